"""Relays between a simulated control plane and members, on a loop with virtual time."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.configstore import (
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
from walnutpost.http import Exchange, Response
from walnutpost.http.server import start_server
from walnutpost.relay import Relay, RelaySettings, start_relay
from walnutpost.testsupport.watch.harness import (
    SECOND,
    Log,
    Member,
    copy,
    filled,
    play,
    protocol_error,
    until,
)
from walnutpost.watch import WatchServer

Address = tuple[str, int]


class FakeControlPlane:
    """The control plane as relays see it: replicas each with a store, and a leader that receives reports."""

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
            name: start_server(
                loop,
                ("127.0.0.1", 0),
                lambda e, name=name: self._serve(name, e),  # type: ignore[misc]
                protocol_error,
            )
            for name in names
        }
        loop.call_every(SECOND // 2, self._update_members)

    def _watch(self, name: str) -> WatchServer:
        age = lambda: self.loop.now() - self.confirmed_us[name]  # noqa: E731
        return WatchServer(self.loop, lambda: self.tables[name], age, batch_interval_us=0)

    @property
    def addresses(self) -> dict[str, Address]:
        """The replicas' addresses, by name."""
        return {name: server.address for name, server in self.servers.items()}

    @property
    def table(self) -> ConfigStore:
        """The leader's store."""
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
        """Commit a change set to all replicas that are not isolated; return its revision."""
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
        """Return the leader's propagation status."""
        return self.progress.status(self.loop.now(), self.table, self.followers)

    def kill(self) -> None:
        """Reset all connections of all replicas, and accept none."""
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
        """Start a relay, which gets a new address."""
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
        """Add members and return them.

        `table`: what they have applied already, like front ends that ran before.
        """
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
        """Return the sum of a counter over all relays."""
        return sum(getattr(r.watches.counts, field) for r in self.relays.values())


def run_with_relays(
    script: Callable[[FakeControlPlane, RelayTier], object], count: int = 10, table: ConfigStore | None = None
) -> None:
    """Run `script` with a control plane, two relays and `count` members that are up to date."""

    def main(loop: Loop) -> None:
        control_plane = FakeControlPlane(loop, table if table is not None else filled(3))
        tier = RelayTier(loop, control_plane)
        tier.add_members(count)
        until(loop, tier.is_applied_everywhere)
        script(control_plane, tier)

    play(main)
