"""The watching side: one request at a time, failover and pacing; a faulty server costs no state."""

from __future__ import annotations

import tracemalloc
import zlib
from collections.abc import Callable
from contextlib import suppress
from itertools import pairwise
from typing import Any

import pytest
from msgspec.structs import replace

from walnutpost.configstore import (
    AGE_HEADER,
    ApplyOutcome,
    ChangeSet,
    ConfigStore,
    Entry,
    Mutation,
    WatchRequest,
    WatchResponse,
    encode,
    respond,
)
from walnutpost.configstore.relay_selection import preference_order
from walnutpost.eventloop import Listener, Loop, Stream
from walnutpost.http import Exchange, Response, encode_response
from walnutpost.testsupport.watch.harness import (
    SECOND,
    WAIT_TIMEOUT_US,
    FakeServer,
    Member,
    Requester,
    ScriptedServer,
    copy,
    filled,
    large,
    play,
    put_keys,
    until,
)
from walnutpost.watch import WAITED_HEADER
from walnutpost.watch.connection import (
    MAX_BODY_BYTES,
    RECEIVE_BURST_BYTES,
    RECEIVE_RATE_BYTES_PER_S,
    ServerConnection,
)

HEADERS = {AGE_HEADER: "0", WAITED_HEADER: "0"}


def address_getter(server: Any) -> Callable[[], tuple[str, int]]:
    return lambda: server.address


def two_servers(a: Any, b: Any) -> dict[str, Callable[[], tuple[str, int]]]:
    return {"a": address_getter(a), "b": address_getter(b)}


def names_preferring(server: str, count: int) -> list[str]:
    """Return names of members that prefer this one of `a` and `b`."""
    names = (f"fe{n}" for n in range(1000))
    return [name for name in names if preference_order(name, {"a": "r", "b": "r"}, "r")[0] == server][:count]


# Watching


def test_an_applied_revision_is_acknowledged_by_the_next_request() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3), batch_interval_us=0)
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: member.has_content_of(server.table))
        for n in range(5):
            until(loop, lambda: server.watch.waiting)
            revision = server.change(put_keys(n, 3))
            changed_us = loop.now()
            until(loop, lambda r=revision: server.requests[-1].applied_revision == r)  # type: ignore[misc]
            assert loop.now() - changed_us < SECOND
        assert member.has_content_of(server.table)
        assert member.applied_revisions == sorted(set(member.applied_revisions))
        assert len(server.server.streams) == 1
        assert member.watcher.counts.server_changes == 0

    play(script)


def test_without_changes_there_is_one_request_each_wait_timeout() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: server.watch.waiting)
        requests_before, bytes_before = member.watcher.counts.requests, member.watcher.counts.bytes_in
        loop.sleep(30 * WAIT_TIMEOUT_US)
        assert 28 <= member.watcher.counts.requests - requests_before <= 31
        assert member.watcher.counts.bytes_in - bytes_before < 31 * 200
        assert server.watch.waiting <= 1
        assert not member.log.count("watch_disconnected")

    play(script)


def test_counted_bytes_are_those_on_the_wire() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: member.has_content_of(server.table))
        counts = member.watcher.counts
        assert counts.bytes_in > server.watch.counts.response_bytes
        assert counts.bytes_in < server.watch.counts.response_bytes + 300 * counts.requests
        assert counts.bytes_out > sum(len(encode(request)) for request in server.requests)

    play(script)


class FailingMember(Member):
    def on_outcome(self, outcome: ApplyOutcome) -> None:
        raise ValueError(f"no such class: {outcome}")


def test_an_error_in_on_outcome_does_not_end_the_watch() -> None:
    errors: list[BaseException] = []

    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = FailingMember(loop, {"a": address_getter(server)})
        until(loop, lambda: server.watch.waiting)
        server.change(put_keys(1))
        until(loop, lambda: member.has_content_of(server.table))
        loop.sleep(2 * WAIT_TIMEOUT_US)
        assert server.watch.waiting
        assert server.requests[-1].applied_revision == 0

    play(script, errors)
    assert errors
    assert all(isinstance(e, ValueError) for e in errors)


# Failover


def test_watchers_of_a_killed_relay_continue_elsewhere_without_a_snapshot() -> None:
    def script(loop: Loop) -> None:
        table = large(400)
        one, other = FakeServer(loop, table), FakeServer(loop, copy(table))
        members = [Member(loop, two_servers(one, other), f"fe{n}", n) for n in range(30)]
        until(loop, lambda: all(m.has_content_of(table) for m in members))
        for server in (one, other):
            server.change(put_keys(1))
        until(loop, lambda: all(m.has_content_of(one.table) for m in members))
        servers = {m.watcher.server for m in members}
        assert servers == {"a", "b"}
        killed, survivor = (one, other)
        killed.kill()
        requests_before = len(survivor.requests)
        for n in range(2, 12):
            survivor.change(put_keys(n))
            loop.sleep(SECOND // 5)
        until(loop, lambda: all(m.has_content_of(survivor.table) for m in members))
        later = survivor.requests[requests_before:]
        assert not [request for request in later if request.after_key is not None or request.revision < 100]
        # Each continues where it was, in order, with a higher session number.
        assert all(m.applied_revisions == sorted(set(m.applied_revisions)) for m in members)
        moved = {request.member for request in later if request.session == 1}
        assert moved == {m.state.member for m in members if m.watcher.counts.server_changes}
        assert len(moved) == sum(home == "a" for home in [m.selector._order[0] for m in members])

    play(script)


STATUSES = [421, 400, 404, 500, 502, 503, 302]


@pytest.mark.parametrize("status", STATUSES)
def test_a_server_that_rejects_requests_is_left(status: int) -> None:
    def script(loop: Loop) -> None:
        bad = ScriptedServer(loop, lambda request: Response(status, body=b"no"))
        good = FakeServer(loop, filled(3))
        members = [
            Member(loop, two_servers(bad, good), name, n) for n, name in enumerate(names_preferring("a", 6))
        ]
        began_us = loop.now()
        until(loop, lambda: all(m.has_content_of(good.table) for m in members))
        assert loop.now() - began_us < 2 * SECOND
        assert len(bad.requests) == 6

    play(script)


def test_a_server_without_a_response_is_left_after_the_timeout() -> None:
    def script(loop: Loop) -> None:
        def silent(request: WatchRequest) -> None:
            loop.sleep(3600 * SECOND)

        bad, good = ScriptedServer(loop, silent), FakeServer(loop, filled(3))
        members = [
            Member(loop, two_servers(bad, good), name, n) for n, name in enumerate(names_preferring("a", 6))
        ]
        until(loop, lambda: all(m.has_content_of(good.table) for m in members))
        # The first request does not wait, so a silent server is found by RESPONSE_TIMEOUT_US alone.
        assert len(bad.requests) == 6
        assert {request.wait_timeout_us for request in bad.requests} == {0}
        assert all(not m.state.is_stale(loop.now()) for m in members)

    play(script)


class SilentServer(FakeServer):
    """A watch server that stops to respond once it `is_silent`."""

    is_silent = False

    def _handle(self, exchange: Exchange) -> Response:
        if self.is_silent:
            self.loop.sleep(3600 * SECOND)
        return super()._handle(exchange)


def test_a_server_that_falls_silent_during_a_wait_is_left_in_time() -> None:
    def script(loop: Loop) -> None:
        one, other = SilentServer(loop, filled(3)), SilentServer(loop, filled(3))
        member = Member(loop, two_servers(one, other))
        until(loop, lambda: one.watch.waiting + other.watch.waiting)
        home, away = (one, other) if one.watch.waiting else (other, one)
        home.is_silent = True
        until(loop, lambda: away.requests)
        until(loop, lambda: away.watch.waiting)
        assert not member.log.count("config_stale")
        assert member.watcher.counts.server_changes == 1

    play(script)


def test_a_server_with_an_inconsistent_snapshot_is_left() -> None:
    def script(loop: Loop) -> None:
        table = large(50)
        entries = tuple(replace(table.entries[key], value=b"other") for key in sorted(table.entries))
        page = WatchResponse(
            table.revision,
            table.digest,
            table.compacted_revision,
            is_snapshot=True,
            entries=entries,
            is_last_page=True,
            after_key="",
        )
        bad, good = (
            ScriptedServer(loop, lambda request: Response(200, HEADERS, encode(page))),
            FakeServer(loop, table),
        )
        member = Member(loop, two_servers(bad, good), names_preferring("a", 1)[0])
        until(loop, lambda: member.has_content_of(table))
        assert member.watcher.counts.server_changes == 1
        assert member.applied_revisions == [table.revision]
        assert member.table.entries == table.entries

    play(script)


@pytest.mark.parametrize("behind", [False, True])
def test_a_server_cut_off_from_the_leader_is_left_before_its_members_are_stale(behind: bool) -> None:
    """Its confirmation ages, or it stays behind; the other server is current."""

    def script(loop: Loop) -> None:
        confirmed_us = loop.now()
        cut = FakeServer(loop, filled(3), lambda: loop.now() - confirmed_us)
        good = FakeServer(loop, filled(3))
        members = [
            Member(loop, two_servers(cut, good), name, n) for n, name in enumerate(names_preferring("a", 6))
        ]
        until(loop, lambda: cut.watch.waiting == 6)
        if behind:
            good.change(put_keys(1))
            for member in members:
                member.state.store = copy(good.table or filled(0))
        until(loop, lambda: good.watch.waiting == 6)
        assert all(m.has_content_of(good.table) for m in members)
        loop.sleep(20 * SECOND)
        assert {m.watcher.counts.server_changes for m in members} == {1}
        assert good.watch.waiting == 6
        assert not any(m.log.count("config_stale") for m in members)

    play(script)


def test_with_only_stale_servers_a_watcher_changes_servers_seldom() -> None:
    def script(loop: Loop) -> None:
        began_us = loop.now()
        servers = [FakeServer(loop, filled(3), lambda: loop.now() - began_us) for _ in range(4)]
        member = Member(loop, {f"s{n}": address_getter(server) for n, server in enumerate(servers)})
        loop.sleep(300 * SECOND)
        assert 25 <= member.watcher.counts.server_changes <= 3 + 30
        assert all(server.requests for server in servers)
        assert member.watcher.counts.requests < 300
        assert member.log.count("config_stale") == 1
        assert len(member.log.lines) < 60
        began_us = loop.now() + 300 * SECOND  # a leader is back
        moves = member.watcher.counts.server_changes
        loop.sleep(30 * SECOND)
        assert member.watcher.counts.server_changes - moves <= 1
        assert member.log.count("config_fresh") == 1

    play(script)


def test_an_unresolvable_address_counts_as_unreachable() -> None:
    def script(loop: Loop) -> None:
        def unknown() -> tuple[str, int]:
            raise OSError("no such host")

        good = FakeServer(loop, filled(3))
        members = [Member(loop, {"a": unknown, "b": address_getter(good)}, f"fe{n}", n) for n in range(6)]
        until(loop, lambda: all(m.has_content_of(good.table) for m in members))

    play(script)


def test_a_watcher_returns_to_its_preferred_server_after_a_while() -> None:
    def script(loop: Loop) -> None:
        one, other = FakeServer(loop, filled(3)), FakeServer(loop, filled(3))
        places = {"a": one.address, "b": other.address}
        member = Member(loop, {"a": lambda: places["a"], "b": lambda: places["b"]})
        home = member.selector._order[0]
        address, places[home] = places[home], ("127.0.0.1", 1)
        until(loop, lambda: member.has_content_of(one.table))
        assert member.watcher.server != home
        places[home] = address
        loop.sleep(30 * SECOND)
        assert member.watcher.server != home
        loop.sleep(120 * SECOND)
        assert member.watcher.server == home
        assert member.watcher.counts.server_changes == 2
        assert (one if home == "a" else other).requests[-1].session == 2

    play(script)


def test_a_member_never_has_two_requests_open() -> None:
    """Servers that time out, reject and delay: a request ends before another connection has one."""

    def script(loop: Loop) -> None:
        max_open = 0

        def strange(request: WatchRequest) -> Response:
            loop.sleep((0, 10 * SECOND, SECOND)[request.session % 3])
            return Response(503)

        def counting(raw: ScriptedServer) -> None:
            nonlocal max_open
            for _ in range(3000):
                live = [s for s in (*one.server.streams, *other.server.streams) if not s.has_ended()]
                max_open = max(max_open, len(live))
                loop.sleep(20_000)

        one, other = ScriptedServer(loop, strange), ScriptedServer(loop, strange)
        member = Member(loop, two_servers(one, other))
        loop.spawn(counting, one).join()
        assert max_open == 1
        assert member.watcher.counts.requests > 10

    play(script)


# Broken responses


class ResettingServer:
    """Resets its first connection after `size` bytes of the response, and completes it on all others."""

    def __init__(self, loop: Loop, response_bytes: bytes, size: int) -> None:
        self._loop, self._response_bytes, self._size = loop, response_bytes, size
        self.connections = 0
        self._listener = Listener(loop, ("127.0.0.1", 0))
        self.address = self._listener.address
        self._task = loop.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            stream = self._listener.accept()
            self.connections += 1
            size = self._size if self.connections == 1 else len(self._response_bytes)
            self._loop.spawn(self._respond, stream, size)

    def _respond(self, stream: Stream, size: int) -> None:
        stream.recv()
        stream.send_all(self._response_bytes[:size])
        if size < len(self._response_bytes):
            stream.reset()
        else:
            self._loop.sleep(3600 * SECOND)

    def close(self) -> None:
        self._task.cancel()
        self._listener.close()


def test_a_reset_at_any_byte_of_a_response_corrupts_nothing() -> None:
    """A server resets its response after N bytes, for each N; the next connection gets all of it."""
    table = filled(2, size=40)
    table.propose(
        50, [Mutation("function/f00000", None), Mutation("function/new", b"x"), Mutation("tenant/a", b"y")]
    )
    page = respond(table, WatchRequest("", "", 0, 2, 0, 0, 0))
    assert page is not None
    response_bytes = encode_response(Response(200, HEADERS, encode(page)))
    start = filled(2, size=40)

    def script(loop: Loop) -> None:
        for size in range(len(response_bytes) + 1):
            server = ResettingServer(loop, response_bytes, size)
            member = Member(loop, {"a": address_getter(server)})
            member.state.store = copy(start)
            member.state.mark_applied(2)
            until(loop, lambda m=member: m.has_content_of(table))  # type: ignore[misc]
            expected_connections = 1 + (size < len(response_bytes))
            assert member.applied_revisions == [50] and server.connections == expected_connections, size
            member.task.cancel()
            server.close()

    play(script)


def test_a_compressed_snapshot_is_paced_by_its_compressed_size() -> None:
    def script(loop: Loop) -> None:
        table = large(3000)
        server = FakeServer(loop, table)
        server.compresses = True
        member = Member(loop, {"a": address_getter(server)})
        began_us = loop.now()
        until(loop, lambda: member.has_content_of(table), timeout_us=600 * SECOND)
        assert member.watcher.counts.bytes_in < 200_000  # of some 700 KB
        assert loop.now() - began_us < 10 * SECOND

    play(script)


COMPRESSED_HEADERS = HEADERS | {"Content-Encoding": "deflate"}
DAMAGED_BODIES = {
    "a bomb": zlib.compress(bytes(64 * MAX_BODY_BYTES)),
    "cut": zlib.compress(encode(WatchResponse(3, 0, 0)))[:-5],
    "not coded": encode(WatchResponse(3, 0, 0)),
    "nothing": b"",
}


@pytest.mark.parametrize("name", DAMAGED_BODIES)
def test_a_response_with_a_damaged_body_is_rejected(name: str) -> None:
    def script(loop: Loop) -> None:
        bad, good = (
            ScriptedServer(loop, lambda request: Response(200, COMPRESSED_HEADERS, DAMAGED_BODIES[name])),
            FakeServer(loop, filled(3)),
        )
        member = Member(loop, two_servers(bad, good), names_preferring("a", 1)[0])
        tracemalloc.start()
        until(loop, lambda: member.has_content_of(good.table))
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert len(bad.requests) == 1
        assert member.watcher.counts.server_changes == 1
        assert peak_bytes < 8 * MAX_BODY_BYTES

    play(script)


def test_a_response_that_is_too_large_is_not_read_to_its_end() -> None:
    def script(loop: Loop) -> None:
        bad = ScriptedServer(loop, lambda request: Response(200, HEADERS, b"x" * (20 * MAX_BODY_BYTES)))
        good = FakeServer(loop, filled(3))
        members = [
            Member(loop, two_servers(bad, good), name, n) for n, name in enumerate(names_preferring("a", 6))
        ]
        until(loop, lambda: all(m.has_content_of(good.table) for m in members))
        assert {m.watcher.counts.server_changes for m in members} == {1}
        assert all(m.watcher.counts.bytes_in < 2 * MAX_BODY_BYTES for m in members)

    play(script)


def test_a_slow_response_is_awaited_and_an_endless_one_is_not() -> None:
    def script(loop: Loop) -> None:
        table = filled(3)

        def run(pause: int) -> tuple[Member, Listener]:
            page = respond(table, WatchRequest("", "", 0, 0, 0, 0, 0))
            assert page is not None
            data = encode_response(Response(200, HEADERS, encode(page)))
            listener = Listener(loop, ("127.0.0.1", 0))

            def serve() -> None:
                while True:
                    stream = listener.accept()
                    loop.spawn(one, stream)

            def one(stream: Stream) -> None:
                stream.recv()
                with suppress(OSError):
                    for at in range(0, len(data), 16):
                        stream.send_all(data[at : at + 16])
                        loop.sleep(pause)

            loop.spawn(serve)
            return Member(loop, {"a": lambda: listener.address}), listener

        member, _ = run(SECOND // 10)
        until(loop, lambda: member.has_content_of(table))
        assert member.watcher.counts.server_changes == 0
        member, _ = run(SECOND)
        loop.sleep(60 * SECOND)
        assert not member.has_content_of(table)
        assert member.watcher.counts.server_changes >= 4

    play(script)


# Servers with useless responses


def _same_change_set(request: WatchRequest) -> Response:
    """Return the same change set for each request."""
    page = respond(filled(1), WatchRequest("", "", 0, 0, 0, 0, 0))
    assert page is not None
    return Response(200, HEADERS, encode(page))


def _change_of_another_store(request: WatchRequest) -> Response:
    table = filled(3, size=21)
    page = respond(table, replace(request, revision=3, digest=1))
    assert page is not None
    return Response(200, HEADERS, encode(page))


def _endless_snapshot(request: WatchRequest) -> Response:
    """Return a page of a snapshot without end, one small entry at a time."""
    after = request.after_key or ""
    entry = Entry(after[:20] + "a" * (len(after) - len(after[:20]) + 1), b"", 1)
    return Response(
        200, HEADERS, encode(WatchResponse(9, 9, 9, is_snapshot=True, entries=(entry,), after_key=after))
    )


def _rising_compaction(request: WatchRequest) -> Response:
    """Return a page whose compacted revision overtakes the load each time."""
    _rising_compaction.count += 1  # type: ignore[attr-defined]
    n: int = _rising_compaction.count  # type: ignore[attr-defined]
    entry = Entry("a/b", b"", n)
    return Response(
        200,
        HEADERS,
        encode(WatchResponse(n, 9, n, is_snapshot=True, entries=(entry,), after_key=request.after_key or "")),
    )


_rising_compaction.count = 9  # type: ignore[attr-defined]


def _wrong_digest_in_change_set(request: WatchRequest) -> Response:
    """Return a change set whose digest does not match the store with it."""
    after = request.revision
    change = ChangeSet(after + 1, (Mutation("function/x", b"1"),), 77)
    page = WatchResponse(after + 1, 77, 0, (change,), since_revision=after)
    return Response(200, HEADERS, encode(page))


USELESS_RESPONSES: dict[str, Callable[[WatchRequest], Response | None]] = {
    "nothing at once": lambda request: Response(204, HEADERS),
    "nothing without a head": lambda request: Response(204),
    "an empty page": lambda request: Response(200, HEADERS, encode(WatchResponse(3, 0, 0))),
    "an old page": _same_change_set,
    "no page": lambda request: Response(200, HEADERS, b"<html>"),
    "a page without a head": lambda request: Response(200, {}, encode(WatchResponse(3, 0, 0))),
    "bad text": lambda request: Response(
        200, HEADERS, encode(WatchResponse(3, 0, 0, after_key="\x01x")).replace(b"\x01x", b"\xffx")
    ),
    "nested": lambda request: Response(
        200, HEADERS, b"\xdc\0\x20" + encode(WatchResponse(3, 0, 0))[1:] + b"\x91" * 99_999
    ),
    "another digest": _change_of_another_store,
    "a snapshot without end": _endless_snapshot,
    "a compacted revision that runs away": _rising_compaction,
    "change sets with a wrong digest": _wrong_digest_in_change_set,
    "its end": lambda request: None,
    "busy": lambda request: Response(503),
}


@pytest.mark.parametrize("name", USELESS_RESPONSES)
def test_a_server_with_useless_responses_is_not_asked_in_a_tight_loop(name: str) -> None:
    def script(loop: Loop) -> None:
        bad = ScriptedServer(loop, USELESS_RESPONSES[name])
        member = Member(loop, {"a": address_getter(bad)})
        member.state.store = filled(3)
        loop.sleep(60 * SECOND)
        assert 5 < len(bad.requests) < 60 * 25, len(bad.requests)
        assert not member.task.is_done
        assert len(member.log.lines) < 60 * 6
        assert all(n >= 3 for n in member.applied_revisions)

    play(script)


# Snapshots and pacing


def test_a_snapshot_load_is_paced() -> None:
    def script(loop: Loop) -> None:
        table = large(3000)  # some 700 KB
        server = FakeServer(loop, table)
        member = Member(loop, {"a": address_getter(server)})
        began_us, counts = loop.now(), member.watcher.counts
        while not member.has_content_of(table):
            passed_us = loop.now() - began_us
            assert (
                counts.bytes_in
                <= RECEIVE_BURST_BYTES + RECEIVE_RATE_BYTES_PER_S * passed_us // SECOND + 2 * 65_536
            ), (counts, passed_us)
            assert passed_us < 120 * SECOND
            loop.sleep(50_000)
        assert counts.bytes_in > 600_000
        load_us = loop.now() - began_us
        assert (
            load_us
            > (counts.bytes_in - RECEIVE_BURST_BYTES - 2 * 65_536) * SECOND // RECEIVE_RATE_BYTES_PER_S
        )
        # The snapshot is applied once, when it is complete.
        assert member.applied_revisions == [table.revision]

    play(script)


def test_the_receive_burst_is_available_once() -> None:
    def script(loop: Loop) -> None:
        bucket = ServerConnection(loop, {}, RECEIVE_RATE_BYTES_PER_S).bucket
        bucket.consume(loop.now(), RECEIVE_BURST_BYTES)
        assert bucket.wait_us(loop.now()) == 0
        bucket.consume(loop.now(), RECEIVE_RATE_BYTES_PER_S)
        assert bucket.wait_us(loop.now()) == SECOND
        loop.sleep(60 * SECOND)  # the burst does not grow again while idle
        bucket.consume(loop.now(), RECEIVE_RATE_BYTES_PER_S)
        assert bucket.wait_us(loop.now()) == SECOND

    play(script)


def test_a_change_set_is_acknowledged_at_once_whatever_the_byte_debt() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: server.watch.waiting)
        for n in range(5):  # much more than 22 KB/s
            changed = loop.now()
            revision = server.change(put_keys(n * 100, 100, 1000))
            until(loop, lambda r=revision: server.requests[-1].applied_revision == r)  # type: ignore[misc]
            assert loop.now() - changed < SECOND
        assert member.has_content_of(server.table)

    play(script)


def test_a_watcher_far_behind_catches_up_at_its_rate() -> None:
    def script(loop: Loop) -> None:
        table = filled(3)
        server = FakeServer(loop, copy(table))
        for n in range(100):
            server.change(put_keys(n * 10, 10, 600))
        member = Member(loop, {"a": address_getter(server)})
        member.state.store = table
        began_us, counts = loop.now(), member.watcher.counts
        while not member.has_content_of(server.table):
            passed_us = loop.now() - began_us
            assert (
                counts.bytes_in
                <= RECEIVE_BURST_BYTES + RECEIVE_RATE_BYTES_PER_S * passed_us // SECOND + 2 * 65_536
            ), (counts, passed_us)
            assert passed_us < 120 * SECOND
            loop.sleep(50_000)
        assert not [request for request in server.requests if request.after_key is not None]
        assert counts.bytes_in > 600_000
        assert (
            loop.now() - began_us
            > (counts.bytes_in - RECEIVE_BURST_BYTES - 2 * 65_536) * SECOND // RECEIVE_RATE_BYTES_PER_S
        )

    play(script)


@pytest.mark.parametrize("changing", [False, True])
def test_a_snapshot_load_over_several_servers_ends_with_the_committed_store(changing: bool) -> None:
    """Two relays, each reset in turn while the snapshot loads, with changes meanwhile."""

    def script(loop: Loop) -> None:
        table = large(2000)
        a, b = FakeServer(loop, table), FakeServer(loop, copy(table))
        places = {"a": a.address, "b": b.address}
        member = Member(loop, {"a": lambda: places["a"], "b": lambda: places["b"]})
        pages = 0
        for n in range(200):
            before = member.watcher.counts.requests
            until(loop, lambda k=before: member.watcher.counts.requests > k)  # type: ignore[misc]
            if member.table.revision:
                break
            pages += 1
            if changing:
                for server in (a, b):
                    server.change(
                        [
                            Mutation(f"function/f{2 * n:05}", None),
                            *put_keys(2 * n + 1, salt=n),
                            *put_keys(1999 - 2 * n),
                        ]
                    )
            here = member.watcher.server
            for stream in list((a if here == "a" else b).server.streams):
                stream.reset()
        until(loop, lambda: member.has_content_of(a.table))
        loop.sleep(10 * SECOND)
        assert member.has_content_of(a.table)
        assert member.has_content_of(b.table)
        assert pages > 5
        assert member.table.compute_bucket_digests() == a.table.compute_bucket_digests() if a.table else False
        assert member.watcher.counts.server_changes > 5
        after_keys = [
            request.after_key for request in (*a.requests, *b.requests) if request.after_key is not None
        ]
        assert len(set(after_keys)) > 5
        assert {request.member for request in a.requests} == {request.member for request in b.requests}
        # Resumed by key at the other server: the first page is requested only a few times.
        assert after_keys.count("") <= 4

    play(script)


def test_a_corrupted_entry_is_found_at_the_next_change_and_repaired() -> None:
    def script(loop: Loop) -> None:
        table = large(500)
        server = FakeServer(loop, table)
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: member.has_content_of(table))
        loop.sleep(10 * SECOND)
        store = member.state.store
        entry = store.entries["function/f00077"]
        store.entries = store.entries.set(entry.key, Entry(entry.key, b"flipped", entry.revision))
        server.change(put_keys(3))
        until(loop, lambda: any(t.repaired_keys == ("function/f00077",) for t in member.outcomes))
        until(loop, lambda: member.has_content_of(table))
        assert member.table.entries == table.entries
        assert member.log.count("config_diverged") >= 1
        assert not [request for request in server.requests[5:] if request.after_key is not None]

    play(script)


# Age and staleness


def test_age_grows_while_upstream_is_silent() -> None:
    """A relay's content is as old as its upstream confirmed it, plus the time since."""

    def script(loop: Loop) -> None:
        confirmed_us = loop.now()
        keeper = FakeServer(loop, filled(3), lambda: loop.now() - confirmed_us)
        upstream = Member(loop, {"k": address_getter(keeper)})
        relay = FakeServer(loop, None, upstream.watcher.age_us)
        assert Requester(loop, relay).ask(0, wait_timeout_us=0).status == 503  # no complete store yet
        until(loop, lambda: upstream.watcher.is_complete)
        relay.table = upstream.table
        requester = Requester(loop, relay)

        def age() -> int:
            return int(requester.ask(3, upstream.table.digest, wait_timeout_us=0).headers[AGE_HEADER.lower()])

        assert loop.now() - confirmed_us <= age() + SECOND
        confirmed_us = loop.now()
        loop.sleep(2 * WAIT_TIMEOUT_US)
        first = age()
        assert first <= loop.now() - confirmed_us + SECOND
        keeper.kill()
        cut = loop.now()
        loop.sleep(60 * SECOND)
        assert age() >= 60 * SECOND
        assert age() >= loop.now() - cut
        assert not requester.ask(3, upstream.table.digest, wait_timeout_us=WAIT_TIMEOUT_US).page

    play(script)


def test_a_delayed_response_is_as_old_as_its_delay() -> None:
    def script(loop: Loop) -> None:
        def late(request: WatchRequest) -> Response:
            if request.wait_timeout_us:
                loop.sleep(SECOND)
                loop.clock.advance_to(
                    loop.now() + SECOND
                )  # both are suspended while the response is under way
            return Response(
                204, {AGE_HEADER: "5", WAITED_HEADER: str(SECOND if request.wait_timeout_us else 0)}
            )

        raw = ScriptedServer(loop, late)
        member = Member(loop, {"a": address_getter(raw)})
        ages: list[int | None] = []
        answered = member.state.handle_response

        def noted(now: int, page: WatchResponse | None, age_us: int | None) -> ApplyOutcome:
            ages.append(age_us)
            return answered(now, page, age_us)

        member.state.handle_response = noted  # type: ignore[method-assign]
        until(loop, lambda: len(ages) >= 3)
        assert ages[0] is not None
        assert ages[0] < SECOND // 10
        # Requested two seconds ago and delayed for one at the server: the content may be a second old.
        assert all(age is not None and SECOND <= age < SECOND + SECOND // 10 for age in ages[1:])

    play(script)


def test_nothing_is_confirmed_before_the_store_is_complete() -> None:
    """A watcher in the middle of a snapshot load, and one that is catching up."""

    def script(loop: Loop) -> None:
        table = filled(3)
        behind = copy(table)
        for n in range(100):
            table.propose(table.revision + 1, put_keys(n * 10, 10, 600))
        for store, wanted in ((ConfigStore(), large(2000)), (behind, table)):
            server = FakeServer(loop, wanted)
            member = Member(loop, {"a": address_getter(server)})
            member.state.store = store
            pages = 0
            while not member.has_content_of(wanted):
                assert not member.watcher.is_complete
                pages += 1
                loop.sleep(SECOND)
            until(loop, lambda m=member: m.watcher.is_complete)  # type: ignore[misc]
            assert pages > 5

    play(script)


def test_a_server_behind_its_watcher_confirms_nothing() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = Member(loop, {"a": address_getter(server)})
        member.state.store = filled(5)
        loop.sleep(20 * SECOND)
        assert not member.watcher.is_complete
        assert member.log.count("config_stale") == 1
        assert member.table.revision == 5
        assert not member.outcomes

    play(script)


def test_staleness_is_logged_once_and_its_end_once() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        places = [server.address]
        member = Member(loop, {"a": lambda: places[0], "b": lambda: places[0]})
        until(loop, lambda: member.has_content_of(server.table))
        loop.sleep(60 * SECOND)
        assert not member.log.count("config_stale")
        for times in (1, 2):
            places[0] = ("127.0.0.1", 1)
            for stream in list(server.server.streams):
                stream.reset()
            loop.sleep(60 * SECOND)
            logged = [f for line, f in member.log.lines if line == "config_stale"]
            assert len(logged) == times
            assert logged[-1]["applied_revision"] == 3
            assert member.log.count("config_fresh") == times - 1
            assert member.log.count("watch_disconnected") == times
            places[0] = server.address
            until(loop, lambda: server.watch.waiting)
            loop.sleep(SECOND)
            assert member.log.count("config_fresh") == times

    play(script)


def test_after_a_long_outage_watchers_return_spread_out_and_in_time() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        places = [("127.0.0.1", 1)]
        members = [Member(loop, {"a": lambda: places[0]}, f"fe{n}", n) for n in range(50)]
        loop.sleep(60 * SECOND)
        assert sum(m.watcher.counts.server_changes for m in members) < 50 * 60 * 4
        places[0] = server.address
        began_us = loop.now()
        first: dict[int, int] = {}
        while not all(m.has_content_of(server.table) for m in members):
            first[loop.now()] = server.watch.counts.responses
            assert loop.now() - began_us < 4 * SECOND
            loop.sleep(100_000)
        steps = list(first.values())
        assert max(b - a for a, b in pairwise(steps)) < 25

    play(script)


# The end


def test_stop_announces_the_end_to_the_server() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: server.watch.waiting)
        member.watcher.stop()
        assert server.requests[-1].is_leaving
        assert server.requests[-1].applied_revision == 3
        requests_before = len(server.requests)
        until(loop, lambda: not server.server.streams)
        loop.sleep(10 * WAIT_TIMEOUT_US)
        assert member.task.is_done
        assert len(server.requests) == requests_before
        assert not server.watch.waiting

    play(script)


def test_stop_without_a_response_ends_within_its_timeout() -> None:
    def script(loop: Loop) -> None:
        def silent(request: WatchRequest) -> None:
            loop.sleep(3600 * SECOND)

        for address in (ScriptedServer(loop, silent).address, ("127.0.0.1", 1)):
            member = Member(loop, {"a": lambda a=address: a})  # type: ignore[misc]
            loop.sleep(SECOND)
            began_us = loop.now()
            member.watcher.stop()
            assert loop.now() - began_us <= SECOND
            loop.sleep(SECOND)
            assert member.task.is_done

    play(script)
