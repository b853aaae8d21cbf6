"""Relays between the control plane and members on one loop: changes, reports, and lost processes."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
from typing import Any

from walnutpost.configstore import (
    AGE_HEADER,
    PROGRESS_PATH,
    WATCH_PATH,
    ApplyOutcome,
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
from walnutpost.relay import Relay, RelaySettings, start_relay
from walnutpost.testsupport.watch.harness import (
    SECOND,
    WAIT_TIMEOUT_US,
    Log,
    Member,
    Requester,
    copy,
    filled,
    large,
    play,
    protocol_error,
    put_keys,
    until,
)
from walnutpost.watch import WatchServer

Address = tuple[str, int]


class FakeControlPlane:
    """The control plane as relays see it: replicas with a store each, and a leader that gets the reports."""

    def __init__(self, loop: Loop, table: ConfigStore, names: tuple[str, ...] = ("k1", "k2", "k3")) -> None:
        self.loop, self.leader = loop, names[0]
        self.tables = {name: copy(table) for name in names}
        self.confirmed_us = dict.fromkeys(names, loop.now())
        self.has_leader = True
        self.isolated: set[str] = set()  # from the other replicas, not from relays
        self.requests: list[WatchRequest] = []
        self.reports: list[tuple[int, ProgressSummary]] = []
        self.followers: dict[str, str] = {}
        self.progress = FleetProgress(loop.now(), table.revision)
        self.watches = {name: self._watch(name) for name in names}
        self.servers = {
            name: serve_on(loop, ("127.0.0.1", 0), lambda e, name=name: self._serve(name, e), protocol_error)  # type: ignore[misc]
            for name in names
        }
        loop.call_every(SECOND // 2, self._update_members)

    def _watch(self, name: str) -> WatchServer:
        age = lambda: self.loop.now() - self.confirmed_us[name]  # noqa: E731
        return WatchServer(self.loop, lambda: self.tables[name], age, batch_interval_us=0)

    @property
    def addresses(self) -> dict[str, Address]:
        return {name: server.address for name, server in self.servers.items()}

    @property
    def table(self) -> ConfigStore:
        return self.tables[self.leader]

    def _update_members(self) -> None:
        """Do what a leader does periodically: confirm the stores, and update the list of members."""
        if self.has_leader:
            self.confirmed_us |= dict.fromkeys(self.confirmed_us.keys() - self.isolated, self.loop.now())
            self.followers |= self.progress.unregistered_members(self.loop.now())
            for member in self.progress.ended_members():
                self.followers.pop(member, None)
            self.progress.set_members(self.loop.now(), self.followers)

    def _serve(self, name: str, exchange: Exchange) -> Response:
        body = exchange.request.body
        match exchange.request.target.decode():
            case target if target == WATCH_PATH:
                self.requests.append(decode(body, WatchRequest))
                return self.watches[name].handle(body, exchange.stream)
            case target if target == PROGRESS_PATH:
                if name != self.leader:
                    return Response(
                        421, body=wire.encode(wire.CommandReply(None, True, NOT_LEADER, self.leader))
                    )
                self.reports.append((self.loop.now(), decode(body, ProgressSummary)))
                return Response(
                    200, body=encode(self.progress.handle_summary(self.loop.now(), self.reports[-1][1]))
                )
        return Response(404)

    def change(self, mutations: list[Mutation]) -> int:
        revision = self.table.revision + 1
        for name, table in self.tables.items():
            if name not in self.isolated:
                table.propose(revision, mutations)
                self.watches[name].store_changed()
        self.progress.revision_committed(self.loop.now(), revision)
        return revision

    def elect(self, leader: str) -> None:
        """Change the leader; the new one knows only the replicated state."""
        self.leader = leader
        self.progress = FleetProgress(self.loop.now(), self.table.revision)
        self.progress.set_members(self.loop.now(), self.followers)

    def status(self) -> PropagationStatus:
        return self.progress.status(self.loop.now(), self.table, self.followers)

    def kill(self) -> None:
        for server in self.servers.values():
            server.stop_accepting()
            for stream in list(server.streams):
                stream.reset()


class RelayTier:
    """Relays by name, and members that have the addresses of all."""

    def __init__(
        self, loop: Loop, control_plane: FakeControlPlane, names: tuple[str, ...] = ("r1", "r2")
    ) -> None:
        self.loop, self.control_plane = loop, control_plane
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
        relay = start_relay(
            self.loop,
            RelaySettings(name, self.control_plane.addresses, listen, self.starts),
            self.logs[name],
        )
        self.relays[name], self.places[name] = relay, relay.address
        return relay

    def kill(self, name: str) -> None:
        """End a relay without announcing it, as SIGKILL does."""
        relay = self.relays.pop(name)
        relay.watcher.stop()
        relay.stop()
        self.places[name] = ("127.0.0.1", 1)

    def add_members(self, count: int, table: ConfigStore | None = None) -> list[Member]:
        """Add members; `table`: what they have applied already, as front ends that ran before."""
        places: dict[str, Callable[[], Address]] = {n: lambda n=n: self.places[n] for n in self.names}  # type: ignore[misc]
        for n in range(len(self.members), len(self.members) + count):
            member = Member(self.loop, places, f"fe{n}", n)
            if table is not None:
                member.state.store = ConfigStore.restore(table.snapshot(), 0, 0)
                member.state.mark_applied(table.revision)
            self.members.append(member)
        return self.members[-count:]

    def is_applied_everywhere(self) -> bool:
        """Whether all members have applied the last revision, and the leader knows it."""
        table = self.control_plane.table
        all_applied = all(
            m.has_content_of(table) and m.state.applied_revision == table.revision for m in self.members
        )
        status = self.control_plane.status()
        return (
            all_applied
            and status.member_count == len(self.members)
            and status.min_applied_revision == table.revision
        )

    def counts(self, field: str) -> int:
        return sum(getattr(r.watches.counts, field) for r in self.relays.values())


def run_with_relays(
    script: Callable[[FakeControlPlane, RelayTier], Any], count: int = 10, table: ConfigStore | None = None
) -> None:
    def main(loop: Loop) -> None:
        control_plane = FakeControlPlane(loop, table if table is not None else filled(3))
        tier = RelayTier(loop, control_plane)
        tier.add_members(count)
        until(loop, tier.is_applied_everywhere)
        script(control_plane, tier)

    play(main)


def test_a_change_reaches_all_members_and_the_leader_knows_it() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        assert sorted(len(relay.registry) for relay in tier.relays.values())[0] > 0
        for n in range(5):
            loop.sleep(SECOND)
            encoded, changed_us = tier.counts("pages_encoded"), loop.now()
            revision = control_plane.change(put_keys(n, 3))
            until(loop, tier.is_applied_everywhere)
            assert loop.now() - changed_us < 3 * SECOND
            assert tier.counts("pages_encoded") - encoded == len(
                tier.relays
            )  # once at each relay, for all its members
            assert {t.revision: t.latency_us for t in control_plane.status().latencies}[revision] is not None
        assert not control_plane.status().lagging

    run_with_relays(script, 40)


def test_requests_to_the_leader_do_not_grow_with_the_members() -> None:
    """The same changes with ten and eighty members: as many requests and reports."""
    counts: list[tuple[int, int, int]] = []

    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        control_plane.loop.sleep(5 * SECOND)
        requests_before, reports_before = len(control_plane.requests), len(control_plane.reports)
        for n in range(10):
            control_plane.change(put_keys(n, 3))
            until(control_plane.loop, tier.is_applied_everywhere)
            control_plane.loop.sleep(3 * SECOND)
        size = max(len(encode(summary)) for _, summary in control_plane.reports[reports_before:])
        counts.append(
            (len(control_plane.requests) - requests_before, len(control_plane.reports) - reports_before, size)
        )

    for count in (10, 80):
        run_with_relays(script, count)
    (few_requests, few_reports, few_size), (requests, reports, size) = counts
    assert requests <= few_requests + 4 and reports <= few_reports + 20 and size <= few_size + 200, counts


def test_reports_are_paced_with_and_without_changes() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        loop.sleep(5 * SECOND)
        reports_before, began_us = len(control_plane.reports), loop.now()
        loop.sleep(20 * SECOND)
        report_count = len(control_plane.reports) - reports_before
        assert 16 <= report_count <= 22  # two relays, one in two seconds each
        reports_before, began_us = len(control_plane.reports), loop.now()
        for n in range(100):
            control_plane.change(put_keys(n))
            loop.sleep(SECOND // 10)
        until(loop, tier.is_applied_everywhere)
        passed_us = loop.now() - began_us
        report_times = [at for at, summary in control_plane.reports[reports_before:] if summary.relay == "r1"]
        assert len(report_times) <= passed_us // (SECOND // 4) + 1
        assert min(b - a for a, b in pairwise(report_times)) >= SECOND // 4 - 10_000

    run_with_relays(script)


def test_members_of_a_killed_relay_continue_at_the_other_without_a_snapshot() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        before = [(m.watcher.server, m.watcher.counts.server_changes) for m in tier.members]
        snapshots_before = sum(t.is_replaced for m in tier.members for t in m.outcomes)
        tier.kill("r1")
        killed_us = loop.now()
        for n in range(10):
            control_plane.change(put_keys(n))
            loop.sleep(SECOND // 5)
        until(loop, tier.is_applied_everywhere)
        assert loop.now() - killed_us < 9 * SECOND
        assert {m.watcher.server for m in tier.members} == {"r2"}
        assert sum(t.is_replaced for m in tier.members for t in m.outcomes) == snapshots_before
        for member, (server, failovers) in zip(tier.members, before, strict=True):
            assert member.watcher.counts.server_changes - failovers == (server == "r1")
        assert not any(m.log.count("config_stale") for m in tier.members)
        assert all(m.applied_revisions == sorted(set(m.applied_revisions)) for m in tier.members)
        assert {server for server, _ in before} == {"r1", "r2"}
        tier.start("r1")
        loop.sleep(130 * SECOND)  # and back at the preferred relay
        assert all(m.watcher.server == m.selector._order[0] for m in tier.members)
        assert tier.is_applied_everywhere()

    run_with_relays(script, 30, large(300))


def test_restarted_relays_send_no_snapshot_to_members_behind() -> None:
    """Changes were committed meanwhile: the members are behind the revision that the new relays load."""

    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        for name in tier.names:
            tier.kill(name)
        snapshots_before = sum(t.is_replaced for m in tier.members for t in m.outcomes)
        for n in range(20):
            control_plane.change(put_keys(n))
        loop.sleep(20 * SECOND)
        assert all(m.log.count("config_stale") == 1 for m in tier.members)
        assert all(m.state.applied_revision == control_plane.table.revision - 20 for m in tier.members)
        for name in tier.names:
            tier.start(name)
        began_us = loop.now()
        until(loop, tier.is_applied_everywhere)
        assert loop.now() - began_us < 9 * SECOND
        assert sum(t.is_replaced for m in tier.members for t in m.outcomes) == snapshots_before
        loop.sleep(SECOND)
        assert all(m.log.count("config_fresh") == 1 for m in tier.members)

    run_with_relays(script, 20, filled(30))


def test_a_relay_rejects_requests_until_its_store_is_complete() -> None:
    def main(loop: Loop) -> None:
        control_plane = FakeControlPlane(loop, large(3000))
        addresses, control_plane.leader = control_plane.addresses, "k2"
        hidden = dict.fromkeys(addresses, ("127.0.0.1", 1))
        relay = start_relay(loop, RelaySettings("r1", hidden, ("127.0.0.1", 0), 1), Log())
        loop.sleep(5 * SECOND)
        received = Requester(loop, relay, "fe1").ask(0)
        assert received.status == 503
        assert received.headers["retry-after"]
        relay.stop()
        relay = start_relay(loop, RelaySettings("r1", addresses, ("127.0.0.1", 0), 2), Log())
        statuses = set()
        requester = Requester(loop, relay, "fe1")
        while (received := requester.ask(0, wait_timeout_us=0)).status == 503:
            statuses.add(received.status)
            loop.sleep(10_000)
        assert received.page is not None
        assert received.page.revision == control_plane.table.revision
        assert relay.state.store.digest == control_plane.table.digest
        relay.stop()

    play(main)


def test_a_relay_behind_never_sends_an_older_revision() -> None:
    def main(loop: Loop) -> None:
        control_plane = FakeControlPlane(loop, filled(5))
        relay = start_relay(loop, RelaySettings("r1", control_plane.addresses, ("127.0.0.1", 0), 1), Log())
        until(loop, lambda: relay.watcher.is_complete)
        asked_us = loop.now()
        received = Requester(loop, relay, "fe1").ask(9, 77)
        assert received.status == 204
        assert received.at - asked_us >= WAIT_TIMEOUT_US
        assert AGE_HEADER.lower() not in received.headers
        relay.stop()

    play(main)


def test_the_age_of_a_relay_cut_off_from_the_control_plane_grows() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        relay = tier.relays["r1"]
        assert relay.watcher.age_us() < 4 * SECOND
        control_plane.has_leader = False  # replicas answer, but no leader confirms their stores
        loop.sleep(20 * SECOND)
        assert relay.watcher.age_us() >= 19 * SECOND
        assert all(m.log.count("config_stale") == 1 for m in tier.members)
        control_plane.has_leader = True
        until(loop, lambda: all(m.log.count("config_fresh") == 1 for m in tier.members))
        cut = loop.now()
        control_plane.kill()
        loop.sleep(30 * SECOND)
        assert relay.watcher.age_us() >= loop.now() - cut - SECOND
        received = Requester(loop, relay).ask(3, relay.state.store.digest, wait_timeout_us=0)
        assert int(received.headers[AGE_HEADER.lower()]) >= 29 * SECOND
        assert all(m.log.count("config_stale") == 2 for m in tier.members)
        assert tier.logs["r1"].count("progress_report_failed") == 1  # logged once
        assert all(m.state.applied_revision == 3 for m in tier.members)  # static stability

    run_with_relays(script)


def test_a_replica_cut_off_from_the_others_is_left_before_members_are_stale() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        failovers = [m.watcher.counts.server_changes for m in tier.members]
        cut = tier.relays["r1"].watcher.server
        control_plane.isolated.add(cut)
        if control_plane.leader == cut:
            control_plane.elect(next(name for name in control_plane.tables if name != cut))
        until(loop, lambda: all(relay.watcher.server != cut for relay in tier.relays.values()))
        revision = control_plane.change(put_keys(1))
        until(loop, tier.is_applied_everywhere)
        loop.sleep(20 * SECOND)
        assert control_plane.tables[cut].revision < revision
        assert failovers == [m.watcher.counts.server_changes for m in tier.members]
        assert not any(m.log.count("config_stale") for m in tier.members)

    run_with_relays(script)


def test_a_relay_of_a_lost_replica_changes_to_another() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        for name, server in control_plane.servers.items():
            if name != "k3":
                server.stop_accepting()
                for stream in list(server.streams):
                    stream.reset()
        control_plane.elect("k3")
        revision = control_plane.change(put_keys(1))
        until(loop, tier.is_applied_everywhere)
        assert control_plane.status().min_applied_revision == revision
        assert {relay.watcher.server for relay in tier.relays.values()} == {"k3"}
        assert all(log.count("watch_connected") >= 1 for log in tier.logs.values())

    run_with_relays(script)


def test_a_new_leader_gets_complete_reports() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        loop.sleep(5 * SECOND)
        control_plane.elect("k2")
        elected_us = loop.now()
        assert control_plane.status().min_applied_revision < control_plane.table.revision
        until(loop, tier.is_applied_everywhere)
        assert loop.now() - elected_us < 4 * SECOND
        assert any(
            summary.since_number == 0 and summary.joined
            for at, summary in control_plane.reports
            if at > elected_us
        )

    run_with_relays(script, 20)


def test_a_disconnected_member_leaves_the_report_at_once() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        member = tier.members.pop()
        name, relay = member.state.member, tier.relays[member.watcher.server]
        assert name in relay.registry
        member.task.cancel()
        disconnected_us = loop.now()
        until(loop, lambda: name not in relay.registry)
        assert loop.now() - disconnected_us < SECOND
        until(
            loop,
            lambda: name in control_plane.reports[-1][1].left or name in control_plane.reports[-2][1].left,
        )
        assert loop.now() - disconnected_us < 2 * SECOND
        control_plane.change(put_keys(1))
        loop.sleep(5 * SECOND)
        # It is registered, but no relay reports it: the leader does not assume its progress.
        assert [m.member for m in control_plane.status().lagging] == [name]
        assert control_plane.status().min_applied_revision < control_plane.table.revision

    run_with_relays(script)


def test_a_member_that_announces_its_end_is_reported_as_ended() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        member = tier.members.pop()
        member.watcher.stop()
        until(control_plane.loop, lambda: member.state.member not in control_plane.followers)
        control_plane.change(put_keys(1))
        until(control_plane.loop, tier.is_applied_everywhere)

    run_with_relays(script)


def test_a_blocked_member_is_listed_and_holds_back_nobody() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        blocked_member = tier.members[0]

        def mark_blocked(outcome: ApplyOutcome) -> None:
            blocked_member.outcomes.append(outcome)
            blocked_member.state.mark_blocked(blocked_member.table.revision, "no class fast here")

        blocked_member.on_outcome = mark_blocked  # type: ignore[method-assign]
        revision = control_plane.change(put_keys(1))
        others = tier.members[1:]
        until(loop, lambda: all(m.state.applied_revision == revision for m in others))
        until(loop, lambda: control_plane.status().lagging)
        until(loop, lambda: control_plane.status().lagging[0].blocked_reason)
        reports_before = control_plane.status()
        assert [(m.member, m.blocked_reason) for m in reports_before.lagging] == [
            (blocked_member.state.member, "no class fast here")
        ]
        assert reports_before.min_applied_revision == revision - 1

    run_with_relays(script)


def test_a_relay_logs_its_stats() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        control_plane.loop.sleep(21 * SECOND)
        lines = [fields for line, fields in tier.logs["r1"].lines if line == "relay_stats"]
        assert len(lines) >= 2
        assert lines[-1]["revision"] == 3
        assert lines[-1]["cpu_cores"] >= 0
        assert lines[-1]["members"] == len(tier.relays["r1"].registry)
        assert tier.logs["r1"].count("listening") == 1
        assert tier.logs["r1"].count("watch_connected") == 1

    run_with_relays(script)


def test_other_requests_are_rejected_with_what_is_wanted() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        connection = Connection.open(control_plane.loop, tier.relays["r1"].address)
        received = connection.request("GET", "/")
        assert received.status == 404
        assert received.body == b"found GET /, wanted POST /table/1/watch"

    run_with_relays(script, 1)


def test_stop_ends_the_relay_and_members_find_another() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop

        relay = tier.relays.pop("r1")

        def messages_of_r1() -> tuple[int, int]:
            requests = sum(request.incarnation == relay.incarnation for request in control_plane.requests)
            reports = sum(summary.relay == "r1" for _, summary in control_plane.reports)
            return requests, reports

        tier.places["r1"] = ("127.0.0.1", 1)
        relay.stop()
        messages_at_stop = messages_of_r1()
        assert all(messages_at_stop)
        control_plane.change(put_keys(1))
        until(loop, tier.is_applied_everywhere)
        loop.sleep(20 * SECOND)
        assert relay.watches.waiting == 0
        assert relay.open_connections == 0
        assert messages_of_r1() == messages_at_stop

    run_with_relays(script)
