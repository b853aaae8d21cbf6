"""Relays with real keepers, in one process on the real clock: order, history, sums and status."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from walnutpost.configstore import PropagationStatus
from walnutpost.consensus import Timing
from walnutpost.controlplane import Keeper, KeeperClient, NoAnswer
from walnutpost.eventloop import Loop
from walnutpost.relay import Relay
from watch_rig import SECOND, Log, Member, ops, until

NAMES = ("k1", "k2", "k3")
TIMING = Timing(election_timeout_us=1_000_000, heartbeat_interval_us=100_000)


def test_a_change_reaches_all_members_while_a_relay_and_the_leader_are_lost(
    tmp_path: Path,
) -> None:
    loop = Loop()
    keepers: dict[str, Keeper] = {}
    relays: dict[str, Relay] = {}

    def where(name: str) -> Callable[[], tuple[str, int]]:
        return lambda: keepers[name].address

    def status(client: KeeperClient) -> PropagationStatus | None:
        with suppress(NoAnswer):
            return client.status()
        return None

    def script() -> None:
        ways = {name: where(name) for name in NAMES}
        for seed, name in enumerate(NAMES):
            keepers[name] = Keeper(
                loop, name, ways, ("127.0.0.1", 0), tmp_path, TIMING, 60 * SECOND, Log(), seed, found=True
            )
        addresses = {name: keeper.address for name, keeper in keepers.items()}
        for seed, name in enumerate(("r1", "r2")):
            relays[name] = Relay(loop, name, addresses, ("127.0.0.1", 0), Log(), seed)
        at = {name: relay.address for name, relay in relays.items()}
        places = {name: lambda name=name: at[name] for name in at}
        members = [Member(loop, places, f"fe{n}", n) for n in range(8)]
        client = KeeperClient(loop, addresses, 30 * SECOND, 2 * SECOND)

        def change(number: int) -> None:
            answer, errors = client.set_entries(f"change {number}", ops(number, 3))
            assert answer.ok and not errors

            def in_force() -> bool:
                told = status(client)
                return (
                    told is not None and told.member_count == 8 and told.min_applied_revision >= answer.index
                )

            until(loop, in_force, step=50_000)
            assert {m.follower.applied_revision for m in members} == {answer.index}
            assert len({m.table.digest for m in members}) == 1

        change(1)
        relays.pop("r1").stop()
        at["r1"] = ("127.0.0.1", 1)
        change(2)
        leader = next(name for name, keeper in keepers.items() if keeper.raft.role.value == "leader")
        keepers[leader].stop()
        change(3)
        left = next(keeper for name, keeper in keepers.items() if name != leader)
        assert left.fleet.table.digest == members[0].table.digest
        for member in members:
            member.watcher.stop()
        until(loop, lambda: (told := status(client)) is not None and told.member_count == 0, step=50_000)
        relays.pop("r2").stop()
        for name, keeper in keepers.items():
            if name != leader:
                keeper.stop()

    try:
        loop.run(script)
    finally:
        for keeper in keepers.values():
            keeper.close()
