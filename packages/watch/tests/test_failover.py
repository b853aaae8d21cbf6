"""Failover of a watcher: from lost, rejecting, silent, inconsistent and stale servers, and back."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from walnutpost.configstore import (
    WatchRequest,
    WatchResponse,
    encode,
)
from walnutpost.eventloop import Loop
from walnutpost.http import Exchange, Response
from walnutpost.testsupport.watch.harness import (
    SECOND,
    FakeServer,
    Member,
    ScriptedServer,
    copy,
    filled,
    large,
    play,
    put_keys,
    until,
)
from walnutpost.testsupport.watch.servers import HEADERS, address_getter, names_preferring, two_servers


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
        assert len(moved) == sum(home == "a" for home in [m.selector.preferred_relay for m in members])

    play(script)


STATUSES = [421, 400, 404, 500, 502, 503, 302]


@pytest.mark.parametrize("status", STATUSES)
def test_a_server_that_rejects_requests_is_left(status: int) -> None:
    def script(loop: Loop) -> None:
        bad = ScriptedServer(loop, lambda _: Response(status, body=b"no"))
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
        def silent(_request: WatchRequest) -> None:
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
            ScriptedServer(loop, lambda _: Response(200, HEADERS, encode(page))),
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
        home = member.selector.preferred_relay
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

        def time_out_reject_or_delay(request: WatchRequest) -> Response:
            loop.sleep((0, 10 * SECOND, SECOND)[request.session % 3])
            return Response(503)

        def count_open_connections() -> None:
            nonlocal max_open
            for _ in range(3000):
                live = [s for s in (*one.server.streams, *other.server.streams) if not s.has_ended()]
                max_open = max(max_open, len(live))
                loop.sleep(20_000)

        one, other = (
            ScriptedServer(loop, time_out_reject_or_delay),
            ScriptedServer(loop, time_out_reject_or_delay),
        )
        member = Member(loop, two_servers(one, other))
        loop.spawn(count_open_connections).join()
        assert max_open == 1
        assert member.watcher.counts.requests > 10

    play(script)
