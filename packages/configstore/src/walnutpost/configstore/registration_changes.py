"""Changes of the registered members that the reports call for. No I/O.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping

from walnutpost.configstore.known_fleet import KnownFleet
from walnutpost.configstore.member_state import MEMBER_SILENT_AFTER_US, SECOND_US

RELAY_SILENT_AFTER_US = 10 * SECOND_US
"""Reports of a relay without a newer one for so long are not used to find members to be registered."""


class RegistrationChanges:
    """Which members of `fleet` should be registered or removed.

    `began_us`: start of the leader's term.
    `mismatched`: members that are reported with an incarnation that is not the registered one.
    """

    def __init__(self, fleet: KnownFleet, began_us: int) -> None:
        self._fleet = fleet
        self._began_us = began_us
        self.mismatched: set[str] = set()
        self._ended: dict[str, str] = {}

    def update_mismatch(self, name: str) -> None:
        """Compare the incarnations reported of a member with the registered one, after a change of either."""
        member = self._fleet.members.get(name)
        registered = member.incarnation if member is not None else None
        reported = (relay.members.get(name) for relay in self._fleet.relays.values())
        if any(progress is not None and progress.incarnation != registered for progress in reported):
            self.mismatched.add(name)
        else:
            self.mismatched.discard(name)

    def record_ended(self, name: str, incarnation: str) -> None:
        """Record that a process announced its end; without effect if another process is registered."""
        member = self._fleet.members.get(name)
        if member is not None and member.incarnation == incarnation:
            self._ended[name] = incarnation

    def members_changed(self, members: Mapping[str, str]) -> None:
        """Forget the end of processes that are not registered any more (`members`: name to incarnation)."""
        for name in [name for name, ended in self._ended.items() if members.get(name) != ended]:
            del self._ended[name]
        # Copied, because a set that was large is iterated at that size.
        self.mismatched = set(self.mismatched)

    def unregistered_members(self, now: int) -> list[tuple[str, str]]:
        """Return the members to be registered, as name and incarnation.

        If a relay still hears the registered process, another process of its name waits until that one
        is silent or gone.
        """
        found = []
        for name in sorted(self.mismatched):
            incarnation = self._successor(now, name)
            if incarnation is not None:
                found.append((name, incarnation))
        return found

    def ended_members(self) -> list[str]:
        """Return the registered members whose process announced its end and has no successor, sorted."""
        return sorted(name for name in self._ended if name not in self.mismatched)

    def absent_members(self, now: int, absent_for_us: int) -> list[str]:
        """Return the registered members that no relay has reported for so long, sorted."""
        found = []
        for name in self._fleet.unreported - self.mismatched:
            heard = self._fleet.members[name].last_report.heard_at_us
            since = self._began_us if heard is None else max(heard, self._began_us)
            if now - since >= absent_for_us:
                found.append(name)
        return sorted(found)

    def _successor(self, now: int, name: str) -> str | None:
        member = self._fleet.members.get(name)
        best: tuple[int, str] | None = None
        for relay in self._fleet.relays.values():
            progress = relay.members.get(name)
            if progress is None or now - relay.reported_at_us >= RELAY_SILENT_AFTER_US:
                continue
            listed = relay.lagging.get(name)
            if listed is not None and listed.silent_for_us >= MEMBER_SILENT_AFTER_US:
                continue
            if member is not None and progress.incarnation == member.incarnation:
                return None
            if best is None or relay.reported_at_us > best[0]:
                best = relay.reported_at_us, progress.incarnation
        return None if best is None else best[1]
