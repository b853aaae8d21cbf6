"""The revision that all registered members have applied, and how long change sets take until then. No I/O.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from walnutpost.configstore.known_fleet import KnownFleet
from walnutpost.configstore.messages import PropagationLatency
from walnutpost.configstore.propagation import PropagationTracker


class AppliedMinimum:
    """The minimum of what is proved of the members of `fleet`, computed when it is needed.

    It is a minimum over relays, and over the members that are tracked individually (lagging, newly joined)
    or unreported. Its cost therefore does not depend on the number of members.
    """

    def __init__(self, fleet: KnownFleet) -> None:
        self._fleet = fleet
        self._propagation = PropagationTracker()
        self._revision: int | None = None  # None: to be computed

    def revision(self) -> int:
        """All registered members have applied at least this; the newest revision if there are none."""
        if self._revision is None:
            members, relays = self._fleet.members, self._fleet.relays.values()
            found = [relay.common_revision for relay in relays if relay.common_count]
            for relay in relays:
                found += [members[name].proved_revision for name in relay.individual]
            found += [members[name].proved_revision for name in self._fleet.unreported]
            self._revision = min(found, default=self._fleet.revision)
        return self._revision

    def record_commit(self, now: int, revision: int) -> None:
        """Start to measure the latency of a change set that was just committed."""
        self._propagation.record_commit(now, revision)

    def progress_changed(self, now: int) -> None:
        """Compute the minimum again when it is needed, and end the measurements that it completes.

        To be called after each change of the fleet.
        """
        self._revision = None
        if self._propagation.has_pending:
            self._propagation.record_applied(now, self.revision())

    def latencies(self) -> tuple[PropagationLatency, ...]:
        """Return the latencies of the last change sets, in order of their revisions."""
        return self._propagation.latencies()
