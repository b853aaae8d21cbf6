"""Lower bounds of what members have applied, as the reports of their home relays prove them. No I/O."""

from __future__ import annotations

from walnutpost.configstore.known_fleet import KnownFleet, RegisteredMember
from walnutpost.configstore.messages import MemberProgress
from walnutpost.configstore.relay_report import RelayState


class ProvedRevisions:
    """Raises the bounds of `fleet`: one for most members of a relay, one for each individually tracked one.

    No bound ever decreases, so a bound is true even if reports are lost, duplicated or late.
    """

    def __init__(self, fleet: KnownFleet) -> None:
        self._fleet = fleet

    def proved_revision(self, name: str) -> int:
        """Return the revision that this registered member has applied at least."""
        member = self._fleet.members[name]
        home = member.home
        if home is None or name in home.individual:
            return member.proved_revision
        return home.common_revision

    def members_below(self, revision: int) -> list[str]:
        """Return the registered members of which `revision` is not proved."""
        return [name for name in self._fleet.members if self.proved_revision(name) < revision]

    def raise_common_bound(
        self, relay: RelayState, reported: int, lagging: tuple[MemberProgress, ...]
    ) -> None:
        """Apply a report's minimum, which covers all members that the report does not list.

        If it is below the common revision, members that have proved that one keep it; the members that
        lowered it are tracked individually until all have caught up.
        """
        for progress in lagging:
            if progress.member not in relay.lagging:
                self.track_individually(relay, progress.member)
            relay.members[progress.member] = progress
        relay.lagging = {progress.member: progress for progress in lagging}
        relay.reported_min_revision = reported
        relay.common_revision = max(relay.common_revision, reported)
        before = len(relay.individual)
        for name in list(relay.individual):
            self.raise_member_bound(relay, name)
        if len(relay.individual) < before:
            # Copied, because a set that was large is iterated at that size.
            relay.individual = set(relay.individual)

    def raise_member_bound(self, relay: RelayState, name: str) -> None:
        """Apply the relay's last report to a member that is tracked individually."""
        member = self._fleet.members[name]
        listed = relay.lagging.get(name)
        reported = relay.reported_min_revision
        if listed is not None:
            reported = min(listed.applied_revision, self._fleet.revision)
        self._raise(member, reported)
        if listed is None and member.proved_revision == relay.common_revision:
            relay.individual.discard(name)
            relay.common_count += 1

    def track_individually(self, relay: RelayState, name: str) -> None:
        """Keep what is proved of a member at home at `relay` apart from the relay's common revision."""
        member = self._fleet.members.get(name)
        if member is not None and member.home is relay and name not in relay.individual:
            self._raise(member, relay.common_revision)
            relay.individual.add(name)
            relay.common_count -= 1

    def begin_individually(self, relay: RelayState, name: str) -> None:
        """Track a member whose home became `relay`, by the progress that the relay has reported of it."""
        member = self._fleet.members[name]
        self._raise(member, min(relay.members[name].applied_revision, self._fleet.revision))
        relay.individual.add(name)

    @staticmethod
    def _raise(member: RegisteredMember, revision: int) -> None:
        member.proved_revision = max(member.proved_revision, revision)
