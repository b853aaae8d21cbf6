"""Relays between keepers and members on one loop: changes down, sums up, and either end lost."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
from typing import Any

from walnutpost.configstore import (
    AGE_HEADER,
    PROGRESS_PATH,
    WATCH_PATH,
    ConfigStore,
    Mutation,
    ProgressSummary,
    PropagationStatus,
    WatchRequest,
    decode,
    encode,
)
from walnutpost.configstore.fleet_progress import FleetProgress
from walnutpost.consensus import NOT_LEADER
from walnutpost.controlplane import wire
from walnutpost.eventloop import Loop
from walnutpost.http import Connection, Exchange, Response
from walnutpost.http.server import serve_on
from walnutpost.relay import Relay
from walnutpost.watch import WatchServer
from watch_rig import HOLD, SECOND, Asker, Log, Member, copy, filled, large, ops, play, refusal, until

Address = tuple[str, int]


class Keepers:
    """Keepers as relays see them: each with its table, one that leads and takes the sums."""

    def __init__(self, loop: Loop, table: ConfigStore, names: tuple[str, ...] = ("k1", "k2", "k3")) -> None:
        self.loop, self.leader = loop, names[0]
        self.tables = {name: copy(table) for name in names}
        self.vouched = dict.fromkeys(names, loop.now())
        self.alive = True
        self.cut: set[str] = set()  # from the other keepers, not from relays
        self.asked: list[WatchRequest] = []
        self.sums: list[tuple[int, ProgressSummary]] = []
        self.followers: dict[str, str] = {}
        self.standings = FleetProgress(loop.now(), table.revision)
        self.watches = {name: self._watch(name) for name in names}
        self.servers = {
            name: serve_on(loop, ("127.0.0.1", 0), lambda e, name=name: self._serve(name, e), refusal)  # type: ignore[misc]
            for name in names
        }
        loop.call_every(SECOND // 2, self._look)

    def _watch(self, name: str) -> WatchServer:
        age = lambda: self.loop.now() - self.vouched[name]  # noqa: E731
        return WatchServer(self.loop, lambda: self.tables[name], age, batch_interval_us=0)

    @property
    def addresses(self) -> dict[str, Address]:
        return {name: server.address for name, server in self.servers.items()}

    @property
    def table(self) -> ConfigStore:
        return self.tables[self.leader]

    def _look(self) -> None:
        """What a leader agrees with the others on."""
        if self.alive:
            self.vouched |= dict.fromkeys(self.vouched.keys() - self.cut, self.loop.now())
            self.followers |= self.standings.unregistered_members(self.loop.now())
            for member in self.standings.ended_members():
                self.followers.pop(member, None)
            self.standings.set_members(self.loop.now(), self.followers)

    def _serve(self, name: str, exchange: Exchange) -> Response:
        body = exchange.request.body
        match exchange.request.target.decode():
            case target if target == WATCH_PATH:
                self.asked.append(decode(body, WatchRequest))
                return self.watches[name].handle(body, exchange.stream)
            case target if target == PROGRESS_PATH:
                if name != self.leader:
                    return Response(421, body=wire.encode(wire.Told(None, True, NOT_LEADER, self.leader)))
                self.sums.append((self.loop.now(), decode(body, ProgressSummary)))
                return Response(
                    200, body=encode(self.standings.handle_summary(self.loop.now(), self.sums[-1][1]))
                )
        return Response(404)

    def change(self, wanted: list[Mutation]) -> int:
        revision = self.table.revision + 1
        for name, table in self.tables.items():
            if name not in self.cut:
                table.propose(revision, wanted)
                self.watches[name].store_changed()
        self.standings.revision_committed(self.loop.now(), revision)
        return revision

    def elect(self, leader: str) -> None:
        """A new office knows nothing but what is agreed."""
        self.leader = leader
        self.standings = FleetProgress(self.loop.now(), self.table.revision)
        self.standings.set_members(self.loop.now(), self.followers)

    def status(self) -> PropagationStatus:
        return self.standings.status(self.loop.now(), self.table, self.followers)

    def end(self) -> None:
        for server in self.servers.values():
            server.stop_accepting()
            for stream in list(server.streams):
                stream.reset()


class Tier:
    """Relays by name, and members that know all of them."""

    def __init__(self, loop: Loop, keepers: Keepers, names: tuple[str, ...] = ("r1", "r2")) -> None:
        self.loop, self.keepers = loop, keepers
        self.relays: dict[str, Relay] = {}
        self.logs: dict[str, Log] = {}
        self.places: dict[str, Address] = {}
        self.members: list[Member] = []
        self.starts = 0
        self.names = names
        for name in names:
            self.start(name)

    def start(self, name: str) -> Relay:
        self.starts += 1
        self.logs[name] = Log()
        listen = ("127.0.0.1", 0)
        relay = Relay(self.loop, name, self.keepers.addresses, listen, self.logs[name], self.starts)
        self.relays[name], self.places[name] = relay, relay.address
        return relay

    def kill(self, name: str) -> None:
        """As SIGKILL does: nothing is said to anyone."""
        relay = self.relays.pop(name)
        relay.watcher.stop()
        relay.stop()
        self.places[name] = ("127.0.0.1", 1)

    def join(self, count: int, table: ConfigStore | None = None) -> list[Member]:
        """`table`: what they hold and act on already, as front ends that were there before."""
        places: dict[str, Callable[[], Address]] = {n: lambda n=n: self.places[n] for n in self.names}  # type: ignore[misc]
        for n in range(len(self.members), len(self.members) + count):
            member = Member(self.loop, places, f"fe{n}", n)
            if table is not None:
                member.follower.store = ConfigStore.restore(table.snapshot(), 0, 0)
                member.follower.mark_applied(table.revision)
            self.members.append(member)
        return self.members[-count:]

    def in_force(self) -> bool:
        """Everywhere, and the leader can say so."""
        table = self.keepers.table
        there = all(m.same(table) and m.follower.applied_revision == table.revision for m in self.members)
        status = self.keepers.status()
        return (
            there
            and status.member_count == len(self.members)
            and status.min_applied_revision == table.revision
        )

    def counts(self, field: str) -> int:
        return sum(getattr(r.watches.counts, field) for r in self.relays.values())


def playing(
    script: Callable[[Keepers, Tier], Any], count: int = 10, table: ConfigStore | None = None
) -> None:
    def main(loop: Loop) -> None:
        keepers = Keepers(loop, table if table is not None else filled(3))
        tier = Tier(loop, keepers)
        tier.join(count)
        until(loop, tier.in_force)
        script(keepers, tier)

    play(main)


def test_a_change_reaches_all_members_and_the_leader_knows_it() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        assert sorted(len(relay.registry) for relay in tier.relays.values())[0] > 0
        for n in range(5):
            loop.sleep(SECOND)
            encoded, changed = tier.counts("pages_encoded"), loop.now()
            revision = keepers.change(ops(n, 3))
            until(loop, tier.in_force)
            assert loop.now() - changed < 3 * SECOND
            assert tier.counts("pages_encoded") - encoded == len(
                tier.relays
            )  # once at each, for all its members
            assert dict((t.revision, t.latency_us) for t in keepers.status().latencies)[revision] is not None
        assert not keepers.status().lagging

    playing(script, 40)


def test_requests_to_the_leader_do_not_grow_with_the_members() -> None:
    """The same changes, ten and eighty members: as many questions and reports."""
    counts: list[tuple[int, int, int]] = []

    def script(keepers: Keepers, tier: Tier) -> None:
        keepers.loop.sleep(5 * SECOND)
        asked, told = len(keepers.asked), len(keepers.sums)
        for n in range(10):
            keepers.change(ops(n, 3))
            until(keepers.loop, tier.in_force)
            keepers.loop.sleep(3 * SECOND)
        size = max(len(encode(sums)) for _, sums in keepers.sums[told:])
        counts.append((len(keepers.asked) - asked, len(keepers.sums) - told, size))

    for count in (10, 80):
        playing(script, count)
    (few_asked, few_told, few_size), (asked, told, size) = counts
    assert asked <= few_asked + 4 and told <= few_told + 20 and size <= few_size + 200, counts


def test_reports_are_paced_with_and_without_changes() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        loop.sleep(5 * SECOND)
        told, began = len(keepers.sums), loop.now()
        loop.sleep(20 * SECOND)
        rest = len(keepers.sums) - told
        assert 16 <= rest <= 22  # two relays, one in two seconds each
        told, began = len(keepers.sums), loop.now()
        for n in range(100):
            keepers.change(ops(n))
            loop.sleep(SECOND // 10)
        until(loop, tier.in_force)
        passed = loop.now() - began
        by = [at for at, sums in keepers.sums[told:] if sums.relay == "r1"]
        assert len(by) <= passed // (SECOND // 4) + 1
        assert min(b - a for a, b in pairwise(by)) >= SECOND // 4 - 10_000

    playing(script)


def test_members_of_a_killed_relay_continue_at_the_other_without_a_snapshot() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        before = [(m.watcher.server, m.watcher.counts.server_changes) for m in tier.members]
        whole = sum(t.is_replaced for m in tier.members for t in m.taken)
        tier.kill("r1")
        killed = loop.now()
        for n in range(10):
            keepers.change(ops(n))
            loop.sleep(SECOND // 5)
        until(loop, tier.in_force)
        assert loop.now() - killed < 9 * SECOND
        assert {m.watcher.server for m in tier.members} == {"r2"}
        assert sum(t.is_replaced for m in tier.members for t in m.taken) == whole
        for member, (server, moves) in zip(tier.members, before, strict=True):
            assert member.watcher.counts.server_changes - moves == (server == "r1")
        assert not any(m.log.count("config_stale") for m in tier.members)
        assert all(m.acted == sorted(set(m.acted)) for m in tier.members)
        assert {server for server, _ in before} == {"r1", "r2"}
        tier.start("r1")
        loop.sleep(130 * SECOND)  # and back home
        assert all(m.watcher.server == m.choice._order[0] for m in tier.members)
        assert tier.in_force()

    playing(script, 30, large(300))


def test_restarted_relays_send_no_snapshot_to_members_behind() -> None:
    """Keepers went on meanwhile: the members are below the revision that the new relays start from."""

    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        for name in tier.names:
            tier.kill(name)
        whole = sum(t.is_replaced for m in tier.members for t in m.taken)
        for n in range(20):
            keepers.change(ops(n))
        loop.sleep(20 * SECOND)
        assert all(m.log.count("config_stale") == 1 for m in tier.members)
        assert all(m.follower.applied_revision == keepers.table.revision - 20 for m in tier.members)
        for name in tier.names:
            tier.start(name)
        began = loop.now()
        until(loop, tier.in_force)
        assert loop.now() - began < 9 * SECOND
        assert sum(t.is_replaced for m in tier.members for t in m.taken) == whole
        loop.sleep(SECOND)
        assert all(m.log.count("config_fresh") == 1 for m in tier.members)

    playing(script, 20, filled(30))


def test_a_relay_rejects_requests_until_its_store_is_complete() -> None:
    def main(loop: Loop) -> None:
        keepers = Keepers(loop, large(3000))
        addresses, keepers.leader = keepers.addresses, "k2"
        hidden = dict.fromkeys(addresses, ("127.0.0.1", 1))
        relay = Relay(loop, "r1", hidden, ("127.0.0.1", 0), Log(), 1)
        loop.sleep(5 * SECOND)
        answer = Asker(loop, relay, "fe1").ask(0)
        assert answer.status == 503 and answer.headers["retry-after"]
        relay.stop()
        relay = Relay(loop, "r1", addresses, ("127.0.0.1", 0), Log(), 2)
        statuses = set()
        asker = Asker(loop, relay, "fe1")
        while (answer := asker.ask(0, hold=0)).status == 503:
            statuses.add(answer.status)
            loop.sleep(10_000)
        assert answer.page is not None and answer.page.revision == keepers.table.revision
        assert relay.state.store.digest == keepers.table.digest
        relay.stop()

    play(main)


def test_a_relay_behind_never_sends_an_older_revision() -> None:
    def main(loop: Loop) -> None:
        keepers = Keepers(loop, filled(5))
        relay = Relay(loop, "r1", keepers.addresses, ("127.0.0.1", 0), Log(), 1)
        until(loop, lambda: relay.watcher.is_complete)
        asked = loop.now()
        answer = Asker(loop, relay, "fe1").ask(9, 77)
        assert answer.status == 204 and answer.at - asked >= HOLD
        assert AGE_HEADER.lower() not in answer.headers
        relay.stop()

    play(main)


def test_the_age_of_a_relay_cut_off_from_the_control_plane_grows() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        relay = tier.relays["r1"]
        assert relay.watcher.age_us() < 4 * SECOND
        keepers.alive = False  # they answer, but no leader vouches for what they hold
        loop.sleep(20 * SECOND)
        assert relay.watcher.age_us() >= 19 * SECOND
        assert all(m.log.count("config_stale") == 1 for m in tier.members)
        keepers.alive = True
        until(loop, lambda: all(m.log.count("config_fresh") == 1 for m in tier.members))
        cut = loop.now()
        keepers.end()
        loop.sleep(30 * SECOND)
        assert relay.watcher.age_us() >= loop.now() - cut - SECOND
        answer = Asker(loop, relay).ask(3, relay.state.store.digest, hold=0)
        assert int(answer.headers[AGE_HEADER.lower()]) >= 29 * SECOND
        assert all(m.log.count("config_stale") == 2 for m in tier.members)
        assert tier.logs["r1"].count("progress_report_failed") == 1  # once, however often
        assert all(m.follower.applied_revision == 3 for m in tier.members)  # static stability

    playing(script)


def test_a_replica_cut_off_from_the_others_is_left_before_members_are_stale() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        moves = [m.watcher.counts.server_changes for m in tier.members]
        cut = tier.relays["r1"].watcher.server
        keepers.cut.add(cut)
        if keepers.leader == cut:
            keepers.elect(next(name for name in keepers.tables if name != cut))
        until(loop, lambda: all(relay.watcher.server != cut for relay in tier.relays.values()))
        revision = keepers.change(ops(1))
        until(loop, tier.in_force)
        loop.sleep(20 * SECOND)
        assert keepers.tables[cut].revision < revision
        assert moves == [m.watcher.counts.server_changes for m in tier.members]
        assert not any(m.log.count("config_stale") for m in tier.members)

    playing(script)


def test_a_relay_of_a_lost_replica_changes_to_another() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        for name, server in keepers.servers.items():
            if name != "k3":
                server.stop_accepting()
                for stream in list(server.streams):
                    stream.reset()
        keepers.elect("k3")
        revision = keepers.change(ops(1))
        until(loop, tier.in_force)
        assert keepers.status().min_applied_revision == revision
        assert {relay.watcher.server for relay in tier.relays.values()} == {"k3"}
        assert all(log.count("watch_connected") >= 1 for log in tier.logs.values())

    playing(script)


def test_a_new_leader_gets_complete_reports() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        loop.sleep(5 * SECOND)
        keepers.elect("k2")
        elected = loop.now()
        assert keepers.status().min_applied_revision < keepers.table.revision
        until(loop, tier.in_force)
        assert loop.now() - elected < 4 * SECOND
        assert any(sums.since_number == 0 and sums.joined for at, sums in keepers.sums if at > elected)

    playing(script, 20)


def test_a_disconnected_member_leaves_the_report_at_once() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        member = tier.members.pop()
        name, relay = member.follower.member, tier.relays[member.watcher.server]
        assert name in relay.registry
        member.task.cancel()
        gone = loop.now()
        until(loop, lambda: name not in relay.registry)
        assert loop.now() - gone < SECOND
        until(loop, lambda: name in keepers.sums[-1][1].left or name in keepers.sums[-2][1].left)
        assert loop.now() - gone < 2 * SECOND
        keepers.change(ops(1))
        loop.sleep(5 * SECOND)
        # Agreed on, and told of by nobody: the leader claims nothing of it.
        assert [m.member for m in keepers.status().lagging] == [name]
        assert keepers.status().min_applied_revision < keepers.table.revision

    playing(script)


def test_a_member_that_announces_its_end_is_reported_as_ended() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        member = tier.members.pop()
        member.watcher.stop()
        until(keepers.loop, lambda: member.follower.member not in keepers.followers)
        keepers.change(ops(1))
        until(keepers.loop, tier.in_force)

    playing(script)


def test_a_blocked_member_is_listed_and_holds_back_nobody() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        stuck = tier.members[0]

        def take(taken: object) -> None:
            stuck.follower.mark_blocked(stuck.table.revision, "no class fast here")

        stuck.watcher._on_outcome = take
        revision = keepers.change(ops(1))
        others = tier.members[1:]
        until(loop, lambda: all(m.follower.applied_revision == revision for m in others))
        until(loop, lambda: keepers.status().lagging)
        until(loop, lambda: keepers.status().lagging[0].blocked_reason)
        told = keepers.status()
        assert [(m.member, m.blocked_reason) for m in told.lagging] == [
            (stuck.follower.member, "no class fast here")
        ]
        assert told.min_applied_revision == revision - 1

    playing(script)


def test_a_relay_logs_its_stats() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        keepers.loop.sleep(21 * SECOND)
        lines = [fields for line, fields in tier.logs["r1"].lines if line == "relay_stats"]
        assert len(lines) >= 2 and lines[-1]["revision"] == 3 and lines[-1]["cpu_cores"] >= 0
        assert lines[-1]["members"] == len(tier.relays["r1"].registry)
        assert tier.logs["r1"].count("listening") == 1 and tier.logs["r1"].count("watch_connected") == 1

    playing(script)


def test_other_requests_are_rejected_with_what_is_wanted() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        connection = Connection.open(keepers.loop, tier.relays["r1"].address)
        answer = connection.ask("GET", "/")
        assert answer.status == 404 and answer.body == b"found GET /, wanted POST /table/1/watch"

    playing(script, 1)


def test_stop_ends_the_relay_and_members_find_another() -> None:
    def script(keepers: Keepers, tier: Tier) -> None:
        loop = keepers.loop
        relay = tier.relays.pop("r1")
        tier.places["r1"] = ("127.0.0.1", 1)
        relay.stop()
        asked = len(keepers.asked)
        keepers.change(ops(1))
        until(loop, tier.in_force)
        loop.sleep(10 * SECOND)
        assert relay.watches.waiting == 0 and not relay._server.streams
        told = [sums for at, sums in keepers.sums if sums.relay == "r1"]
        loop.sleep(10 * SECOND)
        assert told == [sums for at, sums in keepers.sums if sums.relay == "r1"] and asked

    playing(script)
