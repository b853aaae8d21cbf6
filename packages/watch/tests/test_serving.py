"""The serving side: what is held and woken, encoded once, bounded; nothing is kept for one who is gone."""

from __future__ import annotations

import pytest

from walnutpost.configstore import AGE_HEADER, WATCH_PATH, WatchRequest, encode
from walnutpost.eventloop import Loop, TaskGroup, connect
from walnutpost.http import encode_request
from walnutpost.watch import WAITED_HEADER
from walnutpost.watch.serving import MAX_CACHED_PAGES, MAX_WAIT_TIMEOUT_US
from watch_rig import HOLD, SECOND, Asked, Asker, Served, filled, large, ops, play, until


def age(asked: Asked) -> int:
    return int(asked.headers[AGE_HEADER.lower()])


def held_for(asked: Asked) -> int:
    return int(asked.headers[WAITED_HEADER.lower()])


def test_a_request_waits_until_something_is_newer() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        assert served.table is not None
        asker = Asker(loop, served)
        began = loop.now()
        first = asker.ask(1, hold=0)
        assert first.page is not None and [c.revision for c in first.page.changes] == [2, 3]
        assert loop.now() - began < SECOND
        task = loop.spawn(asker.ask, 3, served.table.digest)
        until(loop, lambda: served.watch.waiting)
        loop.sleep(SECOND)
        revision = served.change(ops(5))
        answer = task.join()
        assert answer.page is not None and [c.revision for c in answer.page.changes] == [revision]
        assert SECOND <= held_for(answer) < HOLD and not served.watch.waiting

    play(script)


def test_a_wait_without_changes_ends_with_the_age_of_the_store() -> None:
    def script(loop: Loop) -> None:
        vouched = loop.now()
        served = Served(loop, filled(3), lambda: loop.now() - vouched)
        assert served.table is not None
        asked = loop.now()
        answer = Asker(loop, served).ask(3, served.table.digest)
        assert answer.status == 204 and HOLD <= answer.at - asked < HOLD + SECOND
        # The age is that at the answer's leaving, not at the question's coming.
        assert HOLD <= age(answer) <= answer.at - vouched and held_for(answer) >= HOLD
        assert served.watch.counts.idle_timeouts == 1 and not served.watch.waiting

    play(script)


def test_a_long_wait_timeout_is_cut_to_the_limit() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        assert served.table is not None
        asked = loop.now()
        answer = Asker(loop, served).ask(3, served.table.digest, hold=3600 * SECOND)
        assert answer.status == 204 and answer.at - asked < MAX_WAIT_TIMEOUT_US + SECOND

    play(script)


def test_a_server_behind_its_watcher_waits_and_confirms_nothing() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        asker = Asker(loop, served)
        answer = asker.ask(4, 77)
        assert answer.status == 204 and AGE_HEADER.lower() not in answer.headers
        task = loop.spawn(asker.ask, 4, 77)
        until(loop, lambda: served.watch.waiting)
        served.change(ops(1))
        served.change(ops(2))
        page = task.join().page
        assert page is not None and [c.revision for c in page.changes] == [5]

    play(script)


def test_a_page_is_encoded_once_for_equal_pending_events() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        assert served.table is not None
        digest = served.table.digest
        askers = [Asker(loop, served, f"fe{n}") for n in range(40)]
        tasks = [loop.spawn(asker.ask, 3, digest) for asker in askers]
        until(loop, lambda: served.watch.waiting == 40)
        served.change(ops(7, 30))
        answers = [task.join() for task in tasks]
        assert {a.status for a in answers} == {200} and len({a.body for a in answers}) == 1
        assert served.watch.counts.pages_encoded == 1 and served.watch.counts.responses == 40
        assert served.watch.counts.response_bytes == 40 * len(answers[0].body)

    play(script)


def test_cached_pages_are_limited_and_dropped_by_a_change() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3 * MAX_CACHED_PAGES))
        asker = Asker(loop, served)
        for revision in range(3 * MAX_CACHED_PAGES):
            assert asker.ask(revision).status == 200
        assert len(served.watch._pages) == MAX_CACHED_PAGES
        assert served.watch.counts.pages_encoded == 3 * MAX_CACHED_PAGES
        served.change(ops(1))
        assert not served.watch._pages

    play(script)


def test_a_page_is_compressed_for_watchers_that_accept_it() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, large(1000))
        served.codes = True
        asker = Asker(loop, served)
        question = encode(WatchRequest("", "1", 0, 0, 0, 0, 0))
        plain, coded = asker.send(question), asker.send(question, {"Accept-Encoding": "gzip, deflate"})
        assert plain.page == coded.page and coded.headers["content-encoding"] == "deflate"
        assert "content-encoding" not in plain.headers and len(coded.body) * 3 < len(plain.body)
        for headers in ({}, {"Accept-Encoding": "deflate"}, {"Accept-Encoding": "gzip"}):
            asker.send(question, headers)
        assert served.watch.counts.pages_encoded == 2
        # What is small already is not made smaller.
        served.change(ops(1))
        small = asker.send(encode(WatchRequest("", "1", 0, 100, 0, 0, 0)), {"Accept-Encoding": "deflate"})
        assert small.page is not None and "content-encoding" not in small.headers

    play(script)


def test_a_burst_of_changes_is_a_few_responses_with_all_of_it() -> None:
    """100 changes within ten seconds, to ten followers that ask again at once after each answer."""

    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        table = served.table
        assert table is not None

        def follow(asker: Asker) -> int:
            revision, digest, answers = 3, table.digest, 0
            while revision < 103:
                page = asker.ask(revision, digest).page
                assert page is not None and page.changes[0].revision == revision + 1
                revision, digest, answers = page.changes[-1].revision, page.changes[-1].digest, answers + 1
            return answers

        tasks = [loop.spawn(follow, Asker(loop, served, f"fe{n}")) for n in range(10)]
        until(loop, lambda: served.watch.waiting == 10)
        for n in range(100):
            served.change(ops(n))
            loop.sleep(SECOND // 10)
        answers = [task.join() for task in tasks]
        assert max(answers) <= 51, answers  # one in 200 ms, and the first at once
        assert served.watch.counts.pages_encoded <= 51
        loop.sleep(SECOND)
        lone = loop.now()
        task = loop.spawn(Asker(loop, served).ask, 103, table.digest)
        until(loop, lambda: served.watch.waiting)
        served.change(ops(1))
        assert task.join().at - lone < SECOND // 10  # and a lone change waits for nobody

    play(script)


def test_without_a_batch_interval_each_change_wakes_at_once() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3), batch_interval_us=0)
        assert served.table is not None
        asker = Asker(loop, served)
        for revision in range(3, 23):
            task = loop.spawn(asker.ask, revision, served.table.digest)
            until(loop, lambda: served.watch.waiting, step=1000)
            changed = loop.now()
            served.change(ops(revision))
            answer = task.join()
            assert answer.page is not None and len(answer.page.changes) == 1
            assert answer.at - changed < SECOND // 10

    play(script)


def test_a_watcher_that_reads_nothing_delays_nobody() -> None:
    """Its answers stay in its own connection; others get theirs, and the changes after them."""

    def script(loop: Loop) -> None:
        served = Served(loop, large(3000))
        assert served.table is not None
        slow = connect(loop, served.address)
        question = WatchRequest("slow", "1", 0, 0, 0, 0, HOLD)
        for _ in range(200):  # far more than buffers take: a whole state's first page each
            slow.send_now(encode_request("POST", WATCH_PATH, "x", {}, encode(question)))
        until(loop, lambda: served.watch.counts.responses > 5)
        quick = Asker(loop, served, "quick")
        revision, digest = served.table.revision, served.table.digest
        for n in range(20):
            task = loop.spawn(quick.ask, revision, digest)
            until(loop, lambda: served.watch.waiting)
            changed = loop.now()
            revision = served.change(ops(n))
            answer = task.join()
            assert answer.page is not None and answer.page.revision == revision
            assert answer.at - changed < SECOND
            digest = answer.page.digest
        answered = served.watch.counts.responses
        loop.sleep(60 * SECOND)  # its connection is cut by what HTTP allows for an answer
        assert served.watch.counts.responses == answered
        assert len(served.server.streams) == 1
        slow.close()

    play(script)


def test_a_closed_connection_ends_its_wait_at_once() -> None:
    def script(loop: Loop) -> None:
        gone: list[WatchRequest] = []
        served = Served(loop, filled(3), on_disconnect=gone.append)
        assert served.table is not None
        asker = Asker(loop, served, "fe1")
        task = loop.spawn(asker.ask, 3, served.table.digest, MAX_WAIT_TIMEOUT_US)
        until(loop, lambda: served.watch.waiting)
        task.cancel()
        asker.connection.close()
        closed = loop.now()
        until(loop, lambda: not served.server.streams)
        assert not served.watch.waiting and loop.now() - closed < SECOND
        assert [q.member for q in gone] == ["fe1"] and gone[0] is served.questions[0]
        assert not served.watch._last_requests

    play(script)


def test_on_disconnect_gets_the_last_request_of_that_connection() -> None:
    def script(loop: Loop) -> None:
        gone: list[WatchRequest] = []
        served = Served(loop, filled(3), on_disconnect=gone.append)
        first, second = Asker(loop, served, "fe1"), Asker(loop, served, "fe1")
        first.ask(0, hold=0)
        second.ask(0, hold=0)
        first.connection.close()
        until(loop, lambda: gone)
        assert len(gone) == 1 and gone[0] is served.questions[0]

    play(script)


def test_waiting_requests_are_limited_and_one_more_is_rejected() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3), max_waiting=5)
        assert served.table is not None
        digest = served.table.digest
        with TaskGroup(loop) as group:
            for n in range(5):
                group.spawn(Asker(loop, served, f"fe{n}").ask, 3, digest)
            until(loop, lambda: served.watch.waiting == 5)
            more = Asker(loop, served, "more")
            answer = more.ask(3, digest)
            assert answer.status == 503 and answer.headers["retry-after"] and served.watch.waiting == 5
            assert more.ask(1, digest).status == 200  # what needs no holding is answered all the same
        assert served.watch.counts.rejected == 1

    play(script)


def test_without_a_complete_store_requests_are_rejected() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, None)
        asker = Asker(loop, served, "fe1")
        answer = asker.ask(3)
        assert answer.status == 503 and answer.headers["retry-after"]
        served.table = filled(3)
        assert asker.ask(1).status == 200

    play(script)


def test_a_leaving_member_does_not_wait() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        assert served.table is not None
        asked = loop.now()
        answer = Asker(loop, served, "fe1").ask(3, served.table.digest, is_leaving=True)
        assert answer.status == 204 and answer.at - asked < SECOND
        assert served.questions[-1].is_leaving

    play(script)


def test_a_watcher_without_a_name_is_not_recorded() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        assert Asker(loop, served).ask(1).status == 200
        assert not served.questions

    play(script)


GOOD = WatchRequest("fe1", "1", 0, 3, 0, 0, 0)
BAD = {
    "no message": (b"\xc1", "WatchRequest: "),
    "nothing": (b"", "WatchRequest: "),
    "another shape": (encode(WatchRequest("fe1", "1", 0, 3, 0, 0, "x")), "Expected `int`, got `str`"),  # type: ignore[arg-type]
    "no UTF-8": (encode(GOOD).replace(b"fe1", b"fe\xff"), "utf-8"),
    "nested": (b"\xdc\0\x20" + encode(GOOD)[1:] + b"\x91" * 100_000, "recursion"),
    "cut": (encode(GOOD)[:-1], "WatchRequest: "),
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


@pytest.mark.parametrize("name", BAD)
def test_an_invalid_request_is_rejected_with_found_and_wanted(name: str) -> None:
    body, why = BAD[name]

    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        asker = Asker(loop, served)
        answer = asker.send(body)
        assert answer.status == 400
        text = answer.body.decode()
        if name != "format":
            assert why in text, text
        else:
            assert "format" in text and "9" in text and "1" in text
        assert served.watch.counts.invalid_requests == 1 and not served.questions
        assert asker.ask(1).status == 200

    play(script)


def test_waiting_requests_end_with_the_loop() -> None:
    def script(loop: Loop) -> Served:
        served = Served(loop, filled(3))
        assert served.table is not None
        asker = Asker(loop, served, "fe1")
        loop.spawn(asker.ask, 3, served.table.digest)
        until(loop, lambda: served.watch.waiting)
        return served

    assert not play(script).watch.waiting
