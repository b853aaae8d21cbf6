"""The faults of a configuration store's scenario: each goes on for a time, and is healed."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from walnutpost.faultinjection.config_cluster import ConfigCluster
from walnutpost.faultinjection.config_topology import FRONT_ENDS, MEMBER_PROCESSES, REGIONS, RELAYS, REPLICAS

SECOND_US = 1_000_000
RESET_INTERVAL_US = SECOND_US // 3
SLOW_LINK_DELAY_US = 60_000
MIN_TEAR_BYTES = 20
MAX_TEAR_BYTES = 3000


class ConfigFaultKind(StrEnum):
    """What goes wrong; the values are printed."""

    LEADER_KILLED = "leader killed"
    RELAY_KILLED = "relay killed"
    ALL_RELAYS_KILLED = "all relays killed"
    REGION_CUT = "region cut"
    REGION_MUTE = "region mute"
    REGION_DEAF = "region deaf"
    LINKS_SLOW = "slow ways"
    LINKS_RESET = "ways reset"
    LINKS_TORN = "ways torn"
    MEMBER_PAUSED = "member paused"
    MEMBERS_RESTARTED = "members restarted"
    DISK_LOST = "disk lost"


RANDOM_KINDS = tuple(kind for kind in ConfigFaultKind if kind is not ConfigFaultKind.DISK_LOST)


@dataclass(frozen=True, slots=True)
class ConfigFault:
    """A fault `at_s` after the one before has ended, for `for_s`.

    `on` is a process or region where there is a choice.
    """

    kind: ConfigFaultKind
    on: str = ""
    at_s: float = 1.0
    for_s: float = 2.0

    @property
    def description(self) -> str:
        """What it is and on what, as printed."""
        return f"{self.kind} {self.on}".strip()


def random_fault(rng: Random) -> ConfigFault:
    """Draw a fault."""
    kind = rng.choice(RANDOM_KINDS)
    targets = {
        "region": rng.choice(sorted(REGIONS)),
        "relay": rng.choice(RELAYS),
        "member": rng.choice((*FRONT_ENDS, *MEMBER_PROCESSES)),
    }
    on = targets.get(kind.partition(" ")[0], "")
    return ConfigFault(kind, on, rng.uniform(0.2, 1.0), rng.uniform(0.5, 3.0))


class ConfigFaultInjector:
    """Injects faults into a cluster, one after the other."""

    def __init__(self, cluster: ConfigCluster) -> None:
        self._cluster = cluster

    def inject(self, fault: ConfigFault) -> None:
        """Inject a fault, wait, and heal it; raises ClusterError where processes do not come back."""
        cluster = self._cluster
        for_us = round(fault.for_s * SECOND_US)
        match fault.kind:
            case ConfigFaultKind.LEADER_KILLED:
                self._kill([cluster.leader()], for_us)
            case ConfigFaultKind.RELAY_KILLED:
                self._kill([fault.on or RELAYS[0]], for_us)
            case ConfigFaultKind.ALL_RELAYS_KILLED:
                self._kill(RELAYS, for_us)
            case ConfigFaultKind.MEMBERS_RESTARTED:
                self._kill(MEMBER_PROCESSES, for_us)
            case ConfigFaultKind.DISK_LOST:
                self._lose_disk(fault.on or cluster.leader(), for_us)
            case ConfigFaultKind.MEMBER_PAUSED:
                cluster.pause(fault.on)
                cluster.loop.sleep(for_us)
                cluster.resume(fault.on)
            case ConfigFaultKind.LINKS_RESET:
                self._repeat(for_us, self._reset_links)
            case ConfigFaultKind.LINKS_TORN:
                rng = Random(for_us)
                self._repeat(for_us, lambda: self._tear_links(rng))
                cluster.network.heal()
            case _:
                self._block_links(fault)
                cluster.loop.sleep(for_us)
                cluster.network.heal()

    def _block_links(self, fault: ConfigFault) -> None:
        match fault.kind:
            case ConfigFaultKind.REGION_CUT:
                self._cluster.cut_region(fault.on)
            case ConfigFaultKind.REGION_MUTE:
                self._cluster.cut_region(fault.on, inbound=False)
            case ConfigFaultKind.REGION_DEAF:
                self._cluster.cut_region(fault.on, outbound=False)
            case ConfigFaultKind.LINKS_SLOW:
                self._cluster.network.slow_down(SLOW_LINK_DELAY_US)

    def _kill(self, names: Sequence[str], for_us: int) -> None:
        for name in names:
            self._cluster.kill(name)
        self._cluster.loop.sleep(for_us)
        for name in names:
            self._cluster.start_process(name)
        self._cluster.wait_until_up(*names)

    def _lose_disk(self, name: str, for_us: int) -> None:
        self._cluster.lose_disk(name)
        self._cluster.loop.sleep(for_us)
        self._cluster.start_process(name)
        self._cluster.wait_until_up(name)
        self._cluster.add_voter(name)

    def _repeat(self, for_us: int, action: Callable[[], None]) -> None:
        loop = self._cluster.loop
        end_us = loop.now() + for_us
        while loop.now() < end_us:
            action()
            loop.sleep(RESET_INTERVAL_US)

    def _reset_links(self) -> None:
        for link in self._cluster.links_to(*RELAYS, *REPLICAS):
            link.reset()

    def _tear_links(self, rng: Random) -> None:
        """Reset links within a message: of a change set, or of a snapshot's page."""
        for link in self._cluster.links_to(*RELAYS):
            link.backward.reset_after_bytes = rng.randrange(MIN_TEAR_BYTES, MAX_TEAR_BYTES)
