"""Which members a leader has not heard of for a lease. No I/O; decides what is proposed, not what holds."""

from __future__ import annotations

from collections.abc import Mapping

from walnutpost.fleet.commands import Command, Heard, Silent
from walnutpost.fleet.state import Member


class Leases:
    """A new leader has heard of nobody: it waits a whole lease before it calls anybody silent."""

    def __init__(self, began: int, lease: int) -> None:
        self._began, self._lease = began, lease
        self._heard: dict[str, tuple[str, int]] = {}

    def report(self, now: int, member: str, incarnation: str) -> None:
        self._heard[member] = incarnation, now

    def look(self, now: int, members: Mapping[str, Member]) -> list[Command]:
        """What is to be proposed. The same is proposed again until it is agreed on."""
        found: list[Command] = []
        for name, member in sorted(members.items()):
            incarnation, at = self._heard.get(name, ("", self._began))
            alive = incarnation == member.incarnation and now - at < self._lease
            if member.silent and alive:
                found.append(Heard(name, member.incarnation))
            elif not member.silent and not alive and now - max(at, self._began) >= self._lease:
                found.append(Silent(name, member.incarnation))
        for name in [n for n in self._heard if n not in members]:
            del self._heard[name]
        return found
