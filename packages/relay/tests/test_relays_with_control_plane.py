"""Relays with a real control plane, in one process on the real clock: changes, reports and status."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from walnutpost.configstore import PropagationStatus
from walnutpost.consensus import Timing
from walnutpost.controlplane import (
    ControlPlaneClient,
    ControlPlaneReplica,
    ControlPlaneUnavailableError,
    ReplicaSettings,
)
from walnutpost.eventloop import Loop
from walnutpost.relay import RelaySettings, start_relay
from walnutpost.testsupport.watch.harness import SECOND, Log, Member, put_keys, until

Address = tuple[str, int]
NAMES = ("k1", "k2", "k3")
TIMING = Timing(election_timeout_us=1_000_000, heartbeat_interval_us=100_000)


class ReplicatedControlPlane:
    """Three real replicas of the control plane, two relays and eight members on one loop.

    `replicas`: filled as they are started, so that the caller can close them after any failure.
    """

    def __init__(self, loop: Loop, folder: Path, replicas: dict[str, ControlPlaneReplica]) -> None:
        self.loop = loop
        self.replicas = replicas
        address_getters = {name: self._address_getter(name) for name in NAMES}
        for seed, name in enumerate(NAMES):
            settings = ReplicaSettings(
                name=name,
                addresses=address_getters,
                listen=("127.0.0.1", 0),
                folder=folder,
                timing=TIMING,
                lease_us=60 * SECOND,
                is_bootstrap=True,
            )
            self.replicas[name] = ControlPlaneReplica(loop, settings, Log(), seed)
        addresses = {name: replica.address for name, replica in self.replicas.items()}
        self.relays = {
            name: start_relay(loop, RelaySettings(name, addresses, ("127.0.0.1", 0), seed), Log())
            for seed, name in enumerate(("r1", "r2"))
        }
        self.relay_addresses = {name: relay.address for name, relay in self.relays.items()}
        relay_getters = {name: self._relay_address_getter(name) for name in self.relays}
        self.members = [Member(loop, relay_getters, f"fe{n}", n) for n in range(8)]
        self.client = ControlPlaneClient(loop, addresses, 30 * SECOND, 2 * SECOND)

    def change(self, number: int) -> None:
        """Commit a change set, and wait until all members have applied it and the leader knows it."""
        answer, errors = self.client.submit_change_set(f"change {number}", put_keys(number, 3))
        assert answer.ok
        assert not errors
        until(self.loop, lambda: self._is_applied_everywhere(answer.index), step=50_000)
        assert {m.state.applied_revision for m in self.members} == {answer.index}
        assert len({m.table.digest for m in self.members}) == 1

    def stop_relay(self, name: str) -> None:
        self.relays.pop(name).stop()
        self.relay_addresses[name] = ("127.0.0.1", 1)

    def stop_leader(self) -> str:
        """Stop the leader; return its name."""
        leader = next(n for n, replica in self.replicas.items() if replica.raft.role.value == "leader")
        self.replicas[leader].stop()
        return leader

    def has_no_members(self) -> bool:
        status = self._status()
        return status is not None and status.member_count == 0

    def _is_applied_everywhere(self, revision: int) -> bool:
        status = self._status()
        return status is not None and status.member_count == 8 and status.min_applied_revision >= revision

    def _status(self) -> PropagationStatus | None:
        with suppress(ControlPlaneUnavailableError):
            return self.client.status()
        return None

    def _address_getter(self, name: str) -> Callable[[], Address]:
        return lambda: self.replicas[name].address

    def _relay_address_getter(self, name: str) -> Callable[[], Address]:
        return lambda: self.relay_addresses[name]


def test_a_change_reaches_all_members_while_a_relay_and_the_leader_are_lost(tmp_path: Path) -> None:
    loop = Loop()
    replicas: dict[str, ControlPlaneReplica] = {}

    def script() -> None:
        control_plane = ReplicatedControlPlane(loop, tmp_path, replicas)
        control_plane.change(1)
        control_plane.stop_relay("r1")
        control_plane.change(2)
        leader = control_plane.stop_leader()
        control_plane.change(3)
        survivors = [replica for name, replica in replicas.items() if name != leader]
        assert survivors[0].fleet.config_store.digest == control_plane.members[0].table.digest
        for member in control_plane.members:
            member.watcher.stop()
        until(loop, control_plane.has_no_members, step=50_000)
        control_plane.stop_relay("r2")
        for replica in survivors:
            replica.stop()

    try:
        loop.run(script)
    finally:
        for replica in replicas.values():
            replica.close()
