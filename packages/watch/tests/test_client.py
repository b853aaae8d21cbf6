"""The following side: one question at a time, moves, pace; a bad server costs neither spin nor state."""

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
from walnutpost.http import Response, encode_response
from walnutpost.watch import WAITED_HEADER
from walnutpost.watch.client import MAX_BODY_BYTES, RECEIVE_BURST_BYTES, RECEIVE_RATE_BYTES_PER_S
from watch_rig import HOLD, SECOND, Asker, Member, Raw, Served, copy, filled, large, ops, play, until

HEADERS = {AGE_HEADER: "0", WAITED_HEADER: "0"}


def where(served: Any) -> Callable[[], tuple[str, int]]:
    return lambda: served.address


def both(a: Any, b: Any) -> dict[str, Callable[[], tuple[str, int]]]:
    return {"a": where(a), "b": where(b)}


def homed(server: str, count: int) -> list[str]:
    """Names of members that ask this one of `a` and `b` first."""
    names = (f"fe{n}" for n in range(1000))
    return [name for name in names if preference_order(name, {"a": "r", "b": "r"}, "r")[0] == server][:count]


# Following


def test_an_applied_revision_is_acknowledged_by_the_next_request() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3), batch_interval_us=0)
        member = Member(loop, {"a": where(served)})
        until(loop, lambda: member.same(served.table))
        for n in range(5):
            until(loop, lambda: served.watch.waiting)
            revision = served.change(ops(n, 3))
            asked = loop.now()
            until(loop, lambda r=revision: served.questions[-1].applied_revision == r)  # type: ignore[misc]
            assert loop.now() - asked < SECOND
        assert member.same(served.table) and member.acted == sorted(set(member.acted))
        assert len(served.server.streams) == 1 and member.watcher.counts.server_changes == 0

    play(script)


def test_without_changes_there_is_one_request_each_wait_timeout() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        member = Member(loop, {"a": where(served)})
        until(loop, lambda: served.watch.waiting)
        asked, bytes_in = member.watcher.counts.requests, member.watcher.counts.bytes_in
        loop.sleep(30 * HOLD)
        assert 28 <= member.watcher.counts.requests - asked <= 31
        assert member.watcher.counts.bytes_in - bytes_in < 31 * 200
        assert served.watch.waiting <= 1 and not member.log.count("watch_disconnected")

    play(script)


def test_counted_bytes_are_those_on_the_wire() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        member = Member(loop, {"a": where(served)})
        until(loop, lambda: member.same(served.table))
        counts = member.watcher.counts
        assert counts.bytes_in > served.watch.counts.response_bytes
        assert counts.bytes_in < served.watch.counts.response_bytes + 300 * counts.requests
        assert counts.bytes_out > sum(len(encode(q)) for q in served.questions)

    play(script)


def test_an_error_in_on_outcome_does_not_end_the_watch() -> None:
    errors: list[BaseException] = []

    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        member = Member(loop, {"a": where(served)})

        def fails(taken: object) -> None:
            raise ValueError("no such class")

        member.watcher._on_outcome = fails
        until(loop, lambda: served.watch.waiting)
        served.change(ops(1))
        until(loop, lambda: member.same(served.table))
        loop.sleep(2 * HOLD)
        assert served.watch.waiting and served.questions[-1].applied_revision == 0

    play(script, errors)
    assert errors and all(isinstance(e, ValueError) for e in errors)


# Moves


def test_watchers_of_a_killed_relay_continue_elsewhere_without_a_snapshot() -> None:
    def script(loop: Loop) -> None:
        table = large(400)
        one, other = Served(loop, table), Served(loop, copy(table))
        members = [
            Member(loop, both(one, other), f"fe{n}", n, max_log_entries=0)
            if False
            else Member(loop, both(one, other), f"fe{n}", n)
            for n in range(30)
        ]
        until(loop, lambda: all(m.same(table) for m in members))
        for served in (one, other):
            served.change(ops(1))
        until(loop, lambda: all(m.same(one.table) for m in members))
        homes = {m.watcher.server for m in members}
        assert homes == {"a", "b"}
        lost, left = (one, other)
        lost.end()
        asked = len(left.questions)
        for n in range(2, 12):
            left.change(ops(n))
            loop.sleep(SECOND // 5)
        until(loop, lambda: all(m.same(left.table) for m in members))
        later = left.questions[asked:]
        assert not [q for q in later if q.after_key is not None or q.revision < 100]
        # Each goes on where it was, in order, and says so with a higher session.
        assert all(m.acted == sorted(set(m.acted)) for m in members)
        moved = {q.member for q in later if q.session == 1}
        assert moved == {m.follower.member for m in members if m.watcher.counts.server_changes}
        assert len(moved) == sum(home == "a" for home in [m.choice._order[0] for m in members])

    play(script)


STATUSES = [421, 400, 404, 500, 502, 503, 302]


@pytest.mark.parametrize("status", STATUSES)
def test_a_server_that_rejects_requests_is_left(status: int) -> None:
    def script(loop: Loop) -> None:
        bad = Raw(loop, lambda question: Response(status, body=b"no"))
        good = Served(loop, filled(3))
        members = [Member(loop, both(bad, good), name, n) for n, name in enumerate(homed("a", 6))]
        began = loop.now()
        until(loop, lambda: all(m.same(good.table) for m in members))
        assert loop.now() - began < 2 * SECOND
        assert len(bad.questions) == 6

    play(script)


def test_a_server_without_a_response_is_left_after_the_timeout() -> None:
    def script(loop: Loop) -> None:
        def silent(question: WatchRequest) -> None:
            loop.sleep(3600 * SECOND)

        bad, good = Raw(loop, silent), Served(loop, filled(3))
        members = [Member(loop, both(bad, good), name, n) for n, name in enumerate(homed("a", 6))]
        until(loop, lambda: all(m.same(good.table) for m in members))
        # The first question is not held, so a silent server is known by ANSWER_TIME alone.
        assert len(bad.questions) == 6 and {q.wait_timeout_us for q in bad.questions} == {0}
        assert all(not m.follower.is_stale(loop.now()) for m in members)

    play(script)


def test_a_server_that_falls_silent_during_a_wait_is_left_in_time() -> None:
    def script(loop: Loop) -> None:
        one, other = Served(loop, filled(3)), Served(loop, filled(3))
        member = Member(loop, both(one, other))
        until(loop, lambda: one.watch.waiting + other.watch.waiting)
        home, away = (one, other) if one.watch.waiting else (other, one)

        def stuck(timeout_us: int, stream: object) -> bool:
            loop.sleep(3600 * SECOND)
            return False

        home.watch._wait = stuck  # type: ignore[method-assign]
        until(loop, lambda: away.questions)
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
        bad, good = Raw(loop, lambda question: Response(200, HEADERS, encode(page))), Served(loop, table)
        member = Member(loop, both(bad, good), homed("a", 1)[0])
        until(loop, lambda: member.same(table))
        assert member.watcher.counts.server_changes == 1 and member.acted == [table.revision]
        assert member.table.entries == table.entries

    play(script)


@pytest.mark.parametrize("behind", [False, True])
def test_a_server_cut_off_from_the_leader_is_left_before_its_members_are_stale(behind: bool) -> None:
    """Its word grows old, or it is behind for good; the other one is as new as can be."""

    def script(loop: Loop) -> None:
        vouched = loop.now()
        cut = Served(loop, filled(3), lambda: loop.now() - vouched)
        good = Served(loop, filled(3))
        members = [Member(loop, both(cut, good), name, n) for n, name in enumerate(homed("a", 6))]
        until(loop, lambda: cut.watch.waiting == 6)
        if behind:
            good.change(ops(1))
            for member in members:
                member.follower.store = copy(good.table or filled(0))
        until(loop, lambda: good.watch.waiting == 6)
        assert all(m.same(good.table) for m in members)
        loop.sleep(20 * SECOND)
        assert {m.watcher.counts.server_changes for m in members} == {1} and good.watch.waiting == 6
        assert not any(m.log.count("config_stale") for m in members)

    play(script)


def test_with_only_stale_servers_a_watcher_changes_servers_seldom() -> None:
    def script(loop: Loop) -> None:
        began = loop.now()
        servers = [Served(loop, filled(3), lambda: loop.now() - began) for _ in range(4)]
        member = Member(loop, {f"s{n}": where(served) for n, served in enumerate(servers)})
        loop.sleep(300 * SECOND)
        assert 25 <= member.watcher.counts.server_changes <= 3 + 30
        assert all(served.questions for served in servers)
        assert member.watcher.counts.requests < 300
        assert member.log.count("config_stale") == 1 and len(member.log.lines) < 60
        began = loop.now() + 300 * SECOND  # a leader is back
        moves = member.watcher.counts.server_changes
        loop.sleep(30 * SECOND)
        assert member.watcher.counts.server_changes - moves <= 1 and member.log.count("config_fresh") == 1

    play(script)


def test_an_unresolvable_address_counts_as_unreachable() -> None:
    def script(loop: Loop) -> None:
        def unknown() -> tuple[str, int]:
            raise OSError("no such host")

        good = Served(loop, filled(3))
        members = [Member(loop, {"a": unknown, "b": where(good)}, f"fe{n}", n) for n in range(6)]
        until(loop, lambda: all(m.same(good.table) for m in members))

    play(script)


def test_a_watcher_returns_to_its_preferred_server_after_a_while() -> None:
    def script(loop: Loop) -> None:
        one, other = Served(loop, filled(3)), Served(loop, filled(3))
        places = {"a": one.address, "b": other.address}
        member = Member(loop, {"a": lambda: places["a"], "b": lambda: places["b"]})
        home = member.choice._order[0]
        address, places[home] = places[home], ("127.0.0.1", 1)
        until(loop, lambda: member.same(one.table))
        assert member.watcher.server != home
        places[home] = address
        loop.sleep(30 * SECOND)
        assert member.watcher.server != home
        loop.sleep(120 * SECOND)
        assert member.watcher.server == home and member.watcher.counts.server_changes == 2
        assert (one if home == "a" else other).questions[-1].session == 2

    play(script)


def test_a_member_never_has_two_requests_open() -> None:
    """Servers that time out, refuse and hold; what a connection asks is over before another asks."""

    def script(loop: Loop) -> None:
        open_now: set[int] = set()
        most = 0

        def strange(question: WatchRequest) -> Response:
            loop.sleep((0, 10 * SECOND, SECOND)[question.session % 3])
            return Response(503)

        def counting(raw: Raw) -> None:
            nonlocal most
            for _ in range(3000):
                live = [s for s in (*one.server.streams, *other.server.streams) if not s.has_ended()]
                most = max(most, len(live))
                loop.sleep(20_000)

        one, other = Raw(loop, strange), Raw(loop, strange)
        member = Member(loop, both(one, other))
        loop.spawn(counting, one).join()
        assert most == 1 and not open_now
        assert member.watcher.counts.requests > 10

    play(script)


# Broken answers


def test_a_reset_at_any_byte_of_a_response_corrupts_nothing() -> None:
    """A server cuts its answer after byte N, for each N; the next connection gets it whole."""
    table = filled(2, size=40)
    table.propose(
        50, [Mutation("function/f00000", None), Mutation("function/new", b"x"), Mutation("tenant/a", b"y")]
    )
    page = respond(table, WatchRequest("", "", 0, 2, 0, 0, 0))
    assert page is not None
    whole = encode_response(Response(200, HEADERS, encode(page)))
    start = filled(2, size=40)

    def script(loop: Loop) -> None:
        for cut in range(len(whole) + 1):
            listener = Listener(loop, ("127.0.0.1", 0))
            counts = [0]

            def serve(listener: Listener = listener, cut: int = cut, counts: list[int] = counts) -> None:
                while True:
                    stream = listener.accept()
                    counts[0] += 1
                    loop.spawn(one, stream, cut if counts[0] == 1 else len(whole))

            def one(stream: Stream, upto: int) -> None:
                stream.recv()
                stream.send_all(whole[:upto])
                if upto < len(whole):
                    stream.reset()
                else:
                    loop.sleep(3600 * SECOND)

            accepting = loop.spawn(serve)
            member = Member(loop, {"a": lambda address=listener.address: address})  # type: ignore[misc]
            member.follower.store = copy(start)
            member.follower.mark_applied(2)
            until(loop, lambda m=member: m.same(table))  # type: ignore[misc]
            assert member.acted == [50] and counts[0] == 1 + (cut < len(whole)), cut
            member.task.cancel()
            accepting.cancel()
            listener.close()

    play(script)


def test_a_compressed_snapshot_is_paced_by_its_compressed_size() -> None:
    def script(loop: Loop) -> None:
        table = large(3000)
        served = Served(loop, table)
        served.codes = True
        member = Member(loop, {"a": where(served)})
        began = loop.now()
        until(loop, lambda: member.same(table), most=600 * SECOND)
        assert member.watcher.counts.bytes_in < 200_000  # of some 700 KB
        assert loop.now() - began < 10 * SECOND

    play(script)


CODED = HEADERS | {"Content-Encoding": "deflate"}
MISCODED = {
    "a bomb": zlib.compress(bytes(64 * MAX_BODY_BYTES)),
    "cut": zlib.compress(encode(WatchResponse(3, 0, 0)))[:-5],
    "not coded": encode(WatchResponse(3, 0, 0)),
    "nothing": b"",
}


@pytest.mark.parametrize("name", MISCODED)
def test_a_response_with_a_damaged_body_is_rejected(name: str) -> None:
    def script(loop: Loop) -> None:
        bad, good = Raw(loop, lambda question: Response(200, CODED, MISCODED[name])), Served(loop, filled(3))
        member = Member(loop, both(bad, good), homed("a", 1)[0])
        tracemalloc.start()
        until(loop, lambda: member.same(good.table))
        most = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert len(bad.questions) == 1 and member.watcher.counts.server_changes == 1
        assert most < 8 * MAX_BODY_BYTES

    play(script)


def test_a_response_that_is_too_large_is_not_read_to_its_end() -> None:
    def script(loop: Loop) -> None:
        bad = Raw(loop, lambda question: Response(200, HEADERS, b"x" * (20 * MAX_BODY_BYTES)))
        good = Served(loop, filled(3))
        members = [Member(loop, both(bad, good), name, n) for n, name in enumerate(homed("a", 6))]
        until(loop, lambda: all(m.same(good.table) for m in members))
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
        until(loop, lambda: member.same(table))
        assert member.watcher.counts.server_changes == 0
        member, _ = run(SECOND)
        loop.sleep(60 * SECOND)
        assert not member.same(table) and member.watcher.counts.server_changes >= 4

    play(script)


# A server that answers rubbish


def _old(question: WatchRequest) -> Response:
    """The same change set, whatever is asked."""
    page = respond(filled(1), WatchRequest("", "", 0, 0, 0, 0, 0))
    assert page is not None
    return Response(200, HEADERS, encode(page))


def _other_digest(question: WatchRequest) -> Response:
    table = filled(3, size=21)
    page = respond(table, replace(question, revision=3, digest=1))
    assert page is not None
    return Response(200, HEADERS, encode(page))


def _growing(question: WatchRequest) -> Response:
    """A whole state without end, one small entry at a time."""
    after = question.after_key or ""
    entry = Entry(after[:20] + "a" * (len(after) - len(after[:20]) + 1), b"", 1)
    return Response(
        200, HEADERS, encode(WatchResponse(9, 9, 9, is_snapshot=True, entries=(entry,), after_key=after))
    )


def _floors(question: WatchRequest) -> Response:
    """A floor that passes the pages each time."""
    _floors.count += 1  # type: ignore[attr-defined]
    n: int = _floors.count  # type: ignore[attr-defined]
    entry = Entry("a/b", b"", n)
    return Response(
        200,
        HEADERS,
        encode(
            WatchResponse(n, 9, n, is_snapshot=True, entries=(entry,), after_key=question.after_key or "")
        ),
    )


_floors.count = 9  # type: ignore[attr-defined]


def _false(question: WatchRequest) -> Response:
    """A change set whose digest is not that of the table with it."""
    after = question.revision
    change = ChangeSet(after + 1, (Mutation("function/x", b"1"),), 77)
    page = WatchResponse(after + 1, 77, 0, (change,), since_revision=after)
    return Response(200, HEADERS, encode(page))


RUBBISH: dict[str, Callable[[WatchRequest], Response | None]] = {
    "nothing at once": lambda q: Response(204, HEADERS),
    "nothing without a head": lambda q: Response(204),
    "an empty page": lambda q: Response(200, HEADERS, encode(WatchResponse(3, 0, 0))),
    "an old page": _old,
    "no page": lambda q: Response(200, HEADERS, b"<html>"),
    "a page without a head": lambda q: Response(200, {}, encode(WatchResponse(3, 0, 0))),
    "bad text": lambda q: Response(
        200, HEADERS, encode(WatchResponse(3, 0, 0, after_key="\x01x")).replace(b"\x01x", b"\xffx")
    ),
    "nested": lambda q: Response(
        200, HEADERS, b"\xdc\0\x20" + encode(WatchResponse(3, 0, 0))[1:] + b"\x91" * 99_999
    ),
    "another digest": _other_digest,
    "a state without end": _growing,
    "a floor that runs away": _floors,
    "false change sets": _false,
    "its end": lambda q: None,
    "busy": lambda q: Response(503),
}


@pytest.mark.parametrize("name", RUBBISH)
def test_a_server_with_useless_responses_is_not_asked_in_a_tight_loop(name: str) -> None:
    def script(loop: Loop) -> None:
        bad = Raw(loop, RUBBISH[name])
        member = Member(loop, {"a": where(bad)})
        member.follower.store = filled(3)
        loop.sleep(60 * SECOND)
        assert 5 < len(bad.questions) < 60 * 25, len(bad.questions)
        assert not member.task.is_done and len(member.log.lines) < 60 * 6
        assert all(n >= 3 for n in member.acted)

    play(script)


# Whole states


def test_a_snapshot_load_is_paced() -> None:
    def script(loop: Loop) -> None:
        table = large(3000)  # some 700 KB
        served = Served(loop, table)
        member = Member(loop, {"a": where(served)})
        began, counts = loop.now(), member.watcher.counts
        while not member.same(table):
            passed = loop.now() - began
            assert (
                counts.bytes_in
                <= RECEIVE_BURST_BYTES + RECEIVE_RATE_BYTES_PER_S * passed // SECOND + 2 * 65_536
            ), (counts, passed)
            assert passed < 120 * SECOND
            loop.sleep(50_000)
        assert counts.bytes_in > 600_000
        took = loop.now() - began
        assert (
            took > (counts.bytes_in - RECEIVE_BURST_BYTES - 2 * 65_536) * SECOND // RECEIVE_RATE_BYTES_PER_S
        )
        # What is held at last is one state, put in place once.
        assert member.acted == [table.revision]

    play(script)


def test_the_receive_burst_is_available_once() -> None:
    def script(loop: Loop) -> None:
        member = Member(loop, {"a": lambda: ("127.0.0.1", 1)})
        member.task.cancel()
        debt = member.watcher._bucket
        debt.consume(loop.now(), RECEIVE_BURST_BYTES)
        assert debt.wait_us(loop.now()) == 0
        debt.consume(loop.now(), RECEIVE_RATE_BYTES_PER_S)
        assert debt.wait_us(loop.now()) == SECOND
        loop.sleep(60 * SECOND)  # an idle minute saves nothing up
        debt.consume(loop.now(), RECEIVE_RATE_BYTES_PER_S)
        assert debt.wait_us(loop.now()) == SECOND

    play(script)


def test_a_change_set_is_acknowledged_at_once_whatever_the_byte_debt() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        member = Member(loop, {"a": where(served)})
        until(loop, lambda: served.watch.waiting)
        for n in range(5):  # much more than 22 KB/s
            changed = loop.now()
            revision = served.change(ops(n * 100, 100, 1000))
            until(loop, lambda r=revision: served.questions[-1].applied_revision == r)  # type: ignore[misc]
            assert loop.now() - changed < SECOND
        assert member.same(served.table)

    play(script)


def test_a_watcher_far_behind_catches_up_at_its_rate() -> None:
    def script(loop: Loop) -> None:
        table = filled(3)
        served = Served(loop, copy(table))
        for n in range(100):
            served.change(ops(n * 10, 10, 600))
        member = Member(loop, {"a": where(served)})
        member.follower.store = table
        began, counts = loop.now(), member.watcher.counts
        while not member.same(served.table):
            passed = loop.now() - began
            assert (
                counts.bytes_in
                <= RECEIVE_BURST_BYTES + RECEIVE_RATE_BYTES_PER_S * passed // SECOND + 2 * 65_536
            ), (counts, passed)
            assert passed < 120 * SECOND
            loop.sleep(50_000)
        assert not [q for q in served.questions if q.after_key is not None]
        assert counts.bytes_in > 600_000
        assert (
            loop.now() - began
            > (counts.bytes_in - RECEIVE_BURST_BYTES - 2 * 65_536) * SECOND // RECEIVE_RATE_BYTES_PER_S
        )

    play(script)


@pytest.mark.parametrize("changing", [False, True])
def test_a_snapshot_load_over_several_servers_ends_with_the_committed_store(changing: bool) -> None:
    """Two relays, and each is cut off in turn while the state's pages come, with changes meanwhile."""

    def script(loop: Loop) -> None:
        table = large(2000)
        a, b = Served(loop, table), Served(loop, copy(table))
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
                for served in (a, b):
                    served.change(
                        [Mutation(f"function/f{2 * n:05}", None), *ops(2 * n + 1, salt=n), *ops(1999 - 2 * n)]
                    )
            here = member.watcher.server
            for stream in list((a if here == "a" else b).server.streams):
                stream.reset()
        until(loop, lambda: member.same(a.table))
        loop.sleep(10 * SECOND)
        assert member.same(a.table) and member.same(b.table) and pages > 5
        assert member.table.compute_bucket_digests() == a.table.compute_bucket_digests() if a.table else False
        assert member.watcher.counts.server_changes > 5
        asked = [q.after_key for q in (*a.questions, *b.questions) if q.after_key is not None]
        assert len(set(asked)) > 5 and {q.member for q in a.questions} == {q.member for q in b.questions}
        # Resumed by key at the other one: the first key is asked for but a few times.
        assert asked.count("") <= 4

    play(script)


def test_a_corrupted_entry_is_found_at_the_next_change_and_repaired() -> None:
    def script(loop: Loop) -> None:
        table = large(500)
        served = Served(loop, table)
        member = Member(loop, {"a": where(served)})
        until(loop, lambda: member.same(table))
        loop.sleep(10 * SECOND)
        held = member.follower.store
        entry = held.entries["function/f00077"]
        held.entries = held.entries.set(entry.key, Entry(entry.key, b"flipped", entry.revision))
        served.change(ops(3))
        until(loop, lambda: any(t.repaired_keys == ("function/f00077",) for t in member.taken))
        until(loop, lambda: member.same(table))
        assert member.table.entries == table.entries
        assert member.log.count("config_diverged") >= 1
        assert not [q for q in served.questions[5:] if q.after_key is not None]

    play(script)


# Age and lateness


def test_age_grows_while_upstream_is_silent() -> None:
    """A chain: what a relay passes on is as old as what it was told, and older with each moment since."""

    def script(loop: Loop) -> None:
        vouched = loop.now()
        keeper = Served(loop, filled(3), lambda: loop.now() - vouched)
        upstream = Member(loop, {"k": where(keeper)})
        relay = Served(loop, None, upstream.watcher.age_us)
        assert Asker(loop, relay).ask(0, hold=0).status == 503  # nothing whole is held yet
        until(loop, lambda: upstream.watcher.is_complete)
        relay.table = upstream.table
        asker = Asker(loop, relay)

        def age() -> int:
            return int(asker.ask(3, upstream.table.digest, hold=0).headers[AGE_HEADER.lower()])

        assert loop.now() - vouched <= age() + SECOND
        vouched = loop.now()
        loop.sleep(2 * HOLD)
        first = age()
        assert first <= loop.now() - vouched + SECOND
        keeper.end()
        cut = loop.now()
        loop.sleep(60 * SECOND)
        assert age() >= 60 * SECOND and age() >= loop.now() - cut
        assert not asker.ask(3, upstream.table.digest, hold=HOLD).page

    play(script)


def test_a_delayed_response_is_as_old_as_its_delay() -> None:
    def script(loop: Loop) -> None:
        def late(question: WatchRequest) -> Response:
            if question.wait_timeout_us:
                loop.sleep(SECOND)
                loop.clock.advance_to(loop.now() + SECOND)  # both stood still, with the answer on its way
            return Response(
                204, {AGE_HEADER: "5", WAITED_HEADER: str(SECOND if question.wait_timeout_us else 0)}
            )

        raw = Raw(loop, late)
        member = Member(loop, {"a": where(raw)})
        ages: list[int | None] = []
        answered = member.follower.handle_response

        def noted(now: int, page: WatchResponse | None, age_us: int | None) -> ApplyOutcome:
            ages.append(age_us)
            return answered(now, page, age_us)

        member.follower.handle_response = noted  # type: ignore[method-assign]
        until(loop, lambda: len(ages) >= 3)
        assert ages[0] is not None and ages[0] < SECOND // 10
        # Asked two seconds ago and held for one: what it tells may be a second old.
        assert all(age is not None and SECOND <= age < SECOND + SECOND // 10 for age in ages[1:])

    play(script)


def test_nothing_is_confirmed_before_the_store_is_complete() -> None:
    """A relay in the middle of a whole state, and one in the middle of what it missed."""

    def script(loop: Loop) -> None:
        table = filled(3)
        behind = copy(table)
        for n in range(100):
            table.propose(table.revision + 1, ops(n * 10, 10, 600))
        for held, wanted in ((ConfigStore(), large(2000)), (behind, table)):
            served = Served(loop, wanted)
            member = Member(loop, {"a": where(served)})
            member.follower.store = held
            pages = 0
            while not member.same(wanted):
                assert not member.watcher.is_complete
                pages += 1
                loop.sleep(SECOND)
            until(loop, lambda m=member: m.watcher.is_complete)  # type: ignore[misc]
            assert pages > 5

    play(script)


def test_a_server_behind_its_watcher_confirms_nothing() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        member = Member(loop, {"a": where(served)})
        member.follower.store = filled(5)
        loop.sleep(20 * SECOND)
        assert not member.watcher.is_complete and member.log.count("config_stale") == 1
        assert member.table.revision == 5 and not member.taken

    play(script)


def test_staleness_is_logged_once_and_its_end_once() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        places = [served.address]
        member = Member(loop, {"a": lambda: places[0], "b": lambda: places[0]})
        until(loop, lambda: member.same(served.table))
        loop.sleep(60 * SECOND)
        assert not member.log.count("config_stale")
        for times in (1, 2):
            places[0] = ("127.0.0.1", 1)
            for stream in list(served.server.streams):
                stream.reset()
            loop.sleep(60 * SECOND)
            told = [f for line, f in member.log.lines if line == "config_stale"]
            assert len(told) == times and told[-1]["applied_revision"] == 3
            assert member.log.count("config_fresh") == times - 1
            assert member.log.count("watch_disconnected") == times
            places[0] = served.address
            until(loop, lambda: served.watch.waiting)
            loop.sleep(SECOND)
            assert member.log.count("config_fresh") == times

    play(script)


def test_after_a_long_outage_watchers_return_spread_out_and_in_time() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        places = [("127.0.0.1", 1)]
        members = [Member(loop, {"a": lambda: places[0]}, f"fe{n}", n) for n in range(50)]
        loop.sleep(60 * SECOND)
        assert sum(m.watcher.counts.server_changes for m in members) < 50 * 60 * 4
        places[0] = served.address
        began = loop.now()
        first: dict[int, int] = {}
        while not all(m.same(served.table) for m in members):
            first[loop.now()] = served.watch.counts.responses
            assert loop.now() - began < 4 * SECOND
            loop.sleep(100_000)
        steps = list(first.values())
        assert max(b - a for a, b in pairwise(steps)) < 25

    play(script)


# The end


def test_stop_announces_the_end_to_the_server() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3))
        member = Member(loop, {"a": where(served)})
        until(loop, lambda: served.watch.waiting)
        member.watcher.stop()
        assert served.questions[-1].is_leaving and served.questions[-1].applied_revision == 3
        asked = len(served.questions)
        until(loop, lambda: not served.server.streams)
        loop.sleep(10 * HOLD)
        assert member.task.is_done and len(served.questions) == asked and not served.watch.waiting

    play(script)


def test_stop_without_a_response_ends_within_its_timeout() -> None:
    def script(loop: Loop) -> None:
        def silent(question: WatchRequest) -> None:
            loop.sleep(3600 * SECOND)

        for address in (Raw(loop, silent).address, ("127.0.0.1", 1)):
            member = Member(loop, {"a": lambda a=address: a})  # type: ignore[misc]
            loop.sleep(SECOND)
            began = loop.now()
            member.watcher.stop()
            assert loop.now() - began <= SECOND
            loop.sleep(SECOND)
            assert member.task.is_done

    play(script)
