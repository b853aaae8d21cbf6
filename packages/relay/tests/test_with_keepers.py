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
from walnutpost.relay import Relay, RelaySettings, start_relay
from walnutpost.testsupport.watch.harness import SECOND, Log, Member, put_keys, until

NAMES = ("k1", "k2", "k3")
TIMING = Timing(election_timeout_us=1_000_000, heartbeat_interval_us=100_000)


def test_a_change_reaches_all_members_while_a_relay_and_the_leader_are_lost(
    tmp_path: Path,
) -> None:
    loop = Loop()
    keepers: dict[str, ControlPlaneReplica] = {}
    relays: dict[str, Relay] = {}

    def address_getter(name: str) -> Callable[[], tuple[str, int]]:
        return lambda: keepers[name].address

    def status(client: ControlPlaneClient) -> PropagationStatus | None:
        with suppress(ControlPlaneUnavailableError):
            return client.status()
        return None

    def script() -> None:
        address_getters = {name: address_getter(name) for name in NAMES}
        for seed, name in enumerate(NAMES):
            settings = ReplicaSettings(
                name=name,
                addresses=address_getters,
                listen=("127.0.0.1", 0),
                folder=tmp_path,
                timing=TIMING,
                lease_us=60 * SECOND,
                is_bootstrap=True,
            )
            keepers[name] = ControlPlaneReplica(loop, settings, Log(), seed)
        addresses = {name: keeper.address for name, keeper in keepers.items()}
        for seed, name in enumerate(("r1", "r2")):
            relays[name] = start_relay(loop, RelaySettings(name, addresses, ("127.0.0.1", 0), seed), Log())
        relay_addresses = {name: relay.address for name, relay in relays.items()}
        relay_getters = {name: lambda name=name: relay_addresses[name] for name in relay_addresses}
        members = [Member(loop, relay_getters, f"fe{n}", n) for n in range(8)]
        client = ControlPlaneClient(loop, addresses, 30 * SECOND, 2 * SECOND)

        def change(number: int) -> None:
            answer, errors = client.submit_change_set(f"change {number}", put_keys(number, 3))
            assert answer.ok
            assert not errors

            def is_applied_everywhere() -> bool:
                propagation = status(client)
                return (
                    propagation is not None
                    and propagation.member_count == 8
                    and propagation.min_applied_revision >= answer.index
                )

            until(loop, is_applied_everywhere, step=50_000)
            assert {m.state.applied_revision for m in members} == {answer.index}
            assert len({m.table.digest for m in members}) == 1

        change(1)
        relays.pop("r1").stop()
        relay_addresses["r1"] = ("127.0.0.1", 1)
        change(2)
        leader = next(name for name, keeper in keepers.items() if keeper.raft.role.value == "leader")
        keepers[leader].stop()
        change(3)
        survivor = next(keeper for name, keeper in keepers.items() if name != leader)
        assert survivor.fleet.config_store.digest == members[0].table.digest
        for member in members:
            member.watcher.stop()
        until(
            loop,
            lambda: (propagation := status(client)) is not None and propagation.member_count == 0,
            step=50_000,
        )
        relays.pop("r2").stop()
        for name, keeper in keepers.items():
            if name != leader:
                keeper.stop()

    try:
        loop.run(script)
    finally:
        for keeper in keepers.values():
            keeper.close()
