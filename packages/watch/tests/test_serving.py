"""The serving side: requests wait, are woken and share encoded pages; a closed connection leaves nothing."""

from __future__ import annotations

import pytest

from walnutpost.configstore import AGE_HEADER, WATCH_PATH, WatchRequest, encode
from walnutpost.eventloop import Loop, TaskGroup, connect
from walnutpost.http import encode_request
from walnutpost.testsupport.watch.harness import (
    SECOND,
    WAIT_TIMEOUT_US,
    FakeServer,
    Received,
    Requester,
    filled,
    large,
    play,
    put_keys,
    until,
)
from walnutpost.watch import WAITED_HEADER
from walnutpost.watch.pages import MAX_CACHED_PAGES
from walnutpost.watch.serving import MAX_WAIT_TIMEOUT_US


def age_us(received: Received) -> int:
    return int(received.headers[AGE_HEADER.lower()])


def waited_us(received: Received) -> int:
    return int(received.headers[WAITED_HEADER.lower()])


def test_a_request_waits_until_something_is_newer() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        assert server.table is not None
        requester = Requester(loop, server)
        began_us = loop.now()
        first = requester.ask(1, wait_timeout_us=0)
        assert first.page is not None
        assert [c.revision for c in first.page.changes] == [2, 3]
        assert loop.now() - began_us < SECOND
        task = loop.spawn(requester.ask, 3, server.table.digest)
        until(loop, lambda: server.watch.waiting)
        loop.sleep(SECOND)
        revision = server.change(put_keys(5))
        received = task.join()
        assert received.page is not None
        assert [c.revision for c in received.page.changes] == [revision]
        assert SECOND <= waited_us(received) < WAIT_TIMEOUT_US
        assert not server.watch.waiting

    play(script)


def test_a_wait_without_changes_ends_with_the_age_of_the_store() -> None:
    def script(loop: Loop) -> None:
        confirmed_us = loop.now()
        server = FakeServer(loop, filled(3), lambda: loop.now() - confirmed_us)
        assert server.table is not None
        asked_us = loop.now()
        received = Requester(loop, server).ask(3, server.table.digest)
        assert received.status == 204
        assert WAIT_TIMEOUT_US <= received.at - asked_us < WAIT_TIMEOUT_US + SECOND
        # The age counts to the sending of the response, not to the arrival of the request.
        assert WAIT_TIMEOUT_US <= age_us(received) <= received.at - confirmed_us
        assert waited_us(received) >= WAIT_TIMEOUT_US
        assert server.watch.counts.idle_timeouts == 1
        assert not server.watch.waiting

    play(script)


def test_a_long_wait_timeout_is_cut_to_the_limit() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        assert server.table is not None
        asked_us = loop.now()
        received = Requester(loop, server).ask(3, server.table.digest, wait_timeout_us=3600 * SECOND)
        assert received.status == 204
        assert received.at - asked_us < MAX_WAIT_TIMEOUT_US + SECOND

    play(script)


def test_a_server_behind_its_watcher_waits_and_confirms_nothing() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        requester = Requester(loop, server)
        received = requester.ask(4, 77)
        assert received.status == 204
        assert AGE_HEADER.lower() not in received.headers
        task = loop.spawn(requester.ask, 4, 77)
        until(loop, lambda: server.watch.waiting)
        server.change(put_keys(1))
        server.change(put_keys(2))
        page = task.join().page
        assert page is not None
        assert [c.revision for c in page.changes] == [5]

    play(script)


def test_a_page_is_encoded_once_for_equal_pending_events() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        assert server.table is not None
        digest = server.table.digest
        requesters = [Requester(loop, server, f"fe{n}") for n in range(40)]
        tasks = [loop.spawn(requester.ask, 3, digest) for requester in requesters]
        until(loop, lambda: server.watch.waiting == 40)
        server.change(put_keys(7, 30))
        received_all = [task.join() for task in tasks]
        assert {a.status for a in received_all} == {200}
        assert len({a.body for a in received_all}) == 1
        assert server.watch.counts.pages_encoded == 1
        assert server.watch.counts.responses == 40
        assert server.watch.counts.response_bytes == 40 * len(received_all[0].body)

    play(script)


def test_cached_pages_are_limited_and_dropped_by_a_change() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3 * MAX_CACHED_PAGES))
        requester = Requester(loop, server)
        for revision in range(3 * MAX_CACHED_PAGES):
            assert requester.ask(revision).status == 200
        assert server.watch.cached_pages == MAX_CACHED_PAGES
        assert server.watch.counts.pages_encoded == 3 * MAX_CACHED_PAGES
        server.change(put_keys(1))
        assert not server.watch.cached_pages

    play(script)


def test_a_page_is_compressed_for_watchers_that_accept_it() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, large(1000))
        server.compresses = True
        requester = Requester(loop, server)
        request = encode(WatchRequest("", "1", 0, 0, 0, 0, 0))
        plain, compressed = (
            requester.send(request),
            requester.send(request, {"Accept-Encoding": "gzip, deflate"}),
        )
        assert plain.page == compressed.page
        assert compressed.headers["content-encoding"] == "deflate"
        assert "content-encoding" not in plain.headers
        assert len(compressed.body) * 3 < len(plain.body)
        for headers in ({}, {"Accept-Encoding": "deflate"}, {"Accept-Encoding": "gzip"}):
            requester.send(request, headers)
        assert server.watch.counts.pages_encoded == 2
        # Small pages are not compressed.
        server.change(put_keys(1))
        small = requester.send(encode(WatchRequest("", "1", 0, 100, 0, 0, 0)), {"Accept-Encoding": "deflate"})
        assert small.page is not None
        assert "content-encoding" not in small.headers

    play(script)


def test_a_burst_of_changes_is_a_few_responses_with_all_of_it() -> None:
    """100 changes within ten seconds, to ten watchers that send the next request at once."""

    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        table = server.table
        assert table is not None

        def follow(requester: Requester) -> int:
            revision, digest, received_all = 3, table.digest, 0
            while revision < 103:
                page = requester.ask(revision, digest).page
                assert page is not None
                assert page.changes[0].revision == revision + 1
                revision, digest, received_all = (
                    page.changes[-1].revision,
                    page.changes[-1].digest,
                    received_all + 1,
                )
            return received_all

        tasks = [loop.spawn(follow, Requester(loop, server, f"fe{n}")) for n in range(10)]
        until(loop, lambda: server.watch.waiting == 10)
        for n in range(100):
            server.change(put_keys(n))
            loop.sleep(SECOND // 10)
        received_all = [task.join() for task in tasks]
        assert max(received_all) <= 51, received_all  # one in 200 ms, and the first immediately
        assert server.watch.counts.pages_encoded <= 51
        loop.sleep(SECOND)
        changed_us = loop.now()
        task = loop.spawn(Requester(loop, server).ask, 103, table.digest)
        until(loop, lambda: server.watch.waiting)
        server.change(put_keys(1))
        assert task.join().at - changed_us < SECOND // 10  # a single change is not delayed

    play(script)


def test_without_a_batch_interval_each_change_wakes_at_once() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3), batch_interval_us=0)
        assert server.table is not None
        requester = Requester(loop, server)
        for revision in range(3, 23):
            task = loop.spawn(requester.ask, revision, server.table.digest)
            until(loop, lambda: server.watch.waiting, step=1000)
            changed_us = loop.now()
            server.change(put_keys(revision))
            received = task.join()
            assert received.page is not None
            assert len(received.page.changes) == 1
            assert received.at - changed_us < SECOND // 10

    play(script)


def test_a_watcher_that_reads_nothing_delays_nobody() -> None:
    """Its responses fill only its own connection; others get their responses and later changes."""

    def script(loop: Loop) -> None:
        server = FakeServer(loop, large(3000))
        assert server.table is not None
        slow = connect(loop, server.address)
        request = WatchRequest("slow", "1", 0, 0, 0, 0, WAIT_TIMEOUT_US)
        for _ in range(200):  # far more than the buffers hold: the first page of a snapshot each
            slow.send_nowait(encode_request("POST", WATCH_PATH, "x", {}, encode(request)))
        until(loop, lambda: server.watch.counts.responses > 5)
        quick = Requester(loop, server, "quick")
        revision, digest = server.table.revision, server.table.digest
        for n in range(20):
            task = loop.spawn(quick.ask, revision, digest)
            until(loop, lambda: server.watch.waiting)
            changed_us = loop.now()
            revision = server.change(put_keys(n))
            received = task.join()
            assert received.page is not None
            assert received.page.revision == revision
            assert received.at - changed_us < SECOND
            digest = received.page.digest
        response_count = server.watch.counts.responses
        loop.sleep(60 * SECOND)  # HTTP's timeout for a response closes its connection
        assert server.watch.counts.responses == response_count
        assert len(server.server.streams) == 1
        slow.close()

    play(script)


def test_a_closed_connection_ends_its_wait_at_once() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        assert server.table is not None
        requester = Requester(loop, server, "fe1")
        task = loop.spawn(requester.ask, 3, server.table.digest, MAX_WAIT_TIMEOUT_US)
        until(loop, lambda: server.watch.waiting)
        task.cancel()
        requester.connection.close()
        closed_us = loop.now()
        until(loop, lambda: not server.server.streams)
        assert not server.watch.waiting
        assert loop.now() - closed_us < SECOND
        assert [q.member for q in server.disconnected] == ["fe1"]
        assert server.disconnected[0] is server.requests[0]
        assert not server.watch.member_connections

    play(script)


def test_disconnected_member_is_notified_with_the_last_request_of_that_connection() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        first, second = Requester(loop, server, "fe1"), Requester(loop, server, "fe1")
        first.ask(0, wait_timeout_us=0)
        second.ask(0, wait_timeout_us=0)
        first.connection.close()
        until(loop, lambda: server.disconnected)
        assert len(server.disconnected) == 1
        assert server.disconnected[0] is server.requests[0]

    play(script)


def test_waiting_requests_are_limited_and_one_more_is_rejected() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3), max_waiting=5)
        assert server.table is not None
        digest = server.table.digest
        with TaskGroup(loop) as group:
            for n in range(5):
                group.spawn(Requester(loop, server, f"fe{n}").ask, 3, digest)
            until(loop, lambda: server.watch.waiting == 5)
            more = Requester(loop, server, "more")
            received = more.ask(3, digest)
            assert received.status == 503
            assert received.headers["retry-after"]
            assert server.watch.waiting == 5
            assert more.ask(1, digest).status == 200  # a request that need not wait is answered
        assert server.watch.counts.rejected == 1

    play(script)


def test_without_a_complete_store_requests_are_rejected() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, None)
        requester = Requester(loop, server, "fe1")
        received = requester.ask(3)
        assert received.status == 503
        assert received.headers["retry-after"]
        server.table = filled(3)
        assert requester.ask(1).status == 200

    play(script)


def test_a_leaving_member_does_not_wait() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        assert server.table is not None
        asked_us = loop.now()
        received = Requester(loop, server, "fe1").ask(3, server.table.digest, is_leaving=True)
        assert received.status == 204
        assert received.at - asked_us < SECOND
        assert server.requests[-1].is_leaving

    play(script)


def test_a_watcher_without_a_name_is_not_recorded() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        assert Requester(loop, server).ask(1).status == 200
        assert not server.requests

    play(script)


VALID_REQUEST = WatchRequest("fe1", "1", 0, 3, 0, 0, 0)
INVALID_REQUESTS = {
    "no message": (b"\xc1", "WatchRequest: "),
    "nothing": (b"", "WatchRequest: "),
    "another shape": (encode(WatchRequest("fe1", "1", 0, 3, 0, 0, "x")), "Expected `int`, got `str`"),  # type: ignore[arg-type]
    "no UTF-8": (encode(VALID_REQUEST).replace(b"fe1", b"fe\xff"), "utf-8"),
    "nested": (b"\xdc\0\x20" + encode(VALID_REQUEST)[1:] + b"\x91" * 100_000, "recursion"),
    "cut": (encode(VALID_REQUEST)[:-1], "WatchRequest: "),
    "format": (encode(WatchRequest("fe1", "1", 0, 3, 0, 0, 0, format=9)), "found 9, wanted 1"),
    "revision": (encode(WatchRequest("fe1", "1", 0, -1, 0, 0, 0)), "revision: found -1, wanted 0 or more"),
    "hold": (encode(WatchRequest("fe1", "1", 0, 3, 0, 0, -5)), "wait_timeout_us: found -5, wanted 0 or more"),
    "member": (
        encode(WatchRequest("x" * 300, "1", 0, 3, 0, 0, 0)),
        "member: found 300 characters, wanted 200",
    ),
    "want": (
        encode(WatchRequest("fe1", "1", 0, 3, 0, 0, 0, wanted_buckets=(256,))),
        "wanted_buckets: found (256,), wanted 0 to",
    ),
}


@pytest.mark.parametrize("name", INVALID_REQUESTS)
def test_an_invalid_request_is_rejected_with_found_and_wanted(name: str) -> None:
    body, error_part = INVALID_REQUESTS[name]

    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        requester = Requester(loop, server)
        received = requester.send(body)
        assert received.status == 400
        text = received.body.decode()
        if name != "format":
            assert error_part in text, text
        else:
            assert "format" in text
            assert "9" in text
            assert "1" in text
        assert server.watch.counts.invalid_requests == 1
        assert not server.requests
        assert requester.ask(1).status == 200

    play(script)


def test_waiting_requests_end_with_the_loop() -> None:
    def script(loop: Loop) -> FakeServer:
        server = FakeServer(loop, filled(3))
        assert server.table is not None
        requester = Requester(loop, server, "fe1")
        loop.spawn(requester.ask, 3, server.table.digest)
        until(loop, lambda: server.watch.waiting)
        return server

    assert not play(script).watch.waiting
