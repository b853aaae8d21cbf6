"""A leader with relays and members, and their progress reports, for tests of members' progress."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from walnutpost.configstore.fleet_progress import FleetProgress
from walnutpost.configstore.member_registry import (
    SECOND_US,
    MemberRegistry,
)
from walnutpost.configstore.messages import (
    MemberProgress,
    ProgressSummary,
    WatchRequest,
    decode,
    encode,
)


def ask(member: str, in_force: int, session: int = 1, incarnation: str = "", **more: Any) -> WatchRequest:
    """Return a member's watch request; `in_force`: the revision that it holds and has applied."""
    incarnation = incarnation or f"{member}.1"
    return WatchRequest(member, incarnation, session, in_force, in_force, 0, 3 * SECOND_US, **more)


def tell(now: int, registry: MemberRegistry, leader: FleetProgress, revision: int) -> list[ProgressSummary]:
    """Exchange reports, decoded from their bytes, until there are no changes left; return the reports."""
    reports: list[ProgressSummary] = []
    while not reports or registry.has_changes:
        reports.append(decode(encode(registry.next_summary(now, revision)), ProgressSummary))
        registry.handle_response(leader.handle_summary(now, reports[-1]))
        assert len(reports) < 50
    return reports


def names_of(members: tuple[MemberProgress, ...]) -> list[str]:
    """Return the members' names."""
    return [standing.member for standing in members]


@dataclass
class FakeStore:
    """A store as far as the leader's status reads it."""

    revision: int
    digest: int = 7
    compacted_revision: int = 3
    entries: list[str] = field(default_factory=lambda: ["x", "y"])


class Fleet:
    """Members distributed over relays; all are registered and have reported."""

    def __init__(self, members: int, relays: int = 1, in_force: int = 10) -> None:
        self.now = 0
        self.relays = [MemberRegistry(f"r{n}", f"r{n}.1") for n in range(relays)]
        self.at = {f"m{n:04d}": self.relays[n % relays] for n in range(members)}
        self.leader = FleetProgress(0, in_force)
        self.agreed = {name: f"{name}.1" for name in self.at}
        self.leader.set_members(0, self.agreed)
        self.ask(in_force)
        self.tell(in_force)

    def ask(self, in_force: int, *but: str) -> None:
        """Let each member except `but` send a request to its relay."""
        for name, relay in self.at.items():
            if name not in but:
                relay.observe(self.now, ask(name, in_force))

    def tell(self, revision: int) -> list[ProgressSummary]:
        """Exchange the reports of all relays; return them."""
        return [summary for relay in self.relays for summary in tell(self.now, relay, self.leader, revision)]
