"""The handling of relays' progress reports by a leader. No I/O.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from walnutpost.configstore.applied_minimum import AppliedMinimum
from walnutpost.configstore.home_relays import HomeRelays
from walnutpost.configstore.known_fleet import KnownFleet
from walnutpost.configstore.member_state import SECOND_US
from walnutpost.configstore.messages import MemberProgress, ProgressSummary, ProgressSummaryResponse
from walnutpost.configstore.proved_revisions import ProvedRevisions
from walnutpost.configstore.registration_changes import RegistrationChanges
from walnutpost.configstore.relay_report import RelayState, is_consistent

RELAY_GONE_AFTER_US = 600 * SECOND_US
"""A relay without a report for so long is forgotten; what it has proved stays."""


class ReportHandler:
    """Adds reports to `fleet`; handling one costs by its size, not by the number of members."""

    def __init__(
        self,
        fleet: KnownFleet,
        proved: ProvedRevisions,
        homes: HomeRelays,
        registrations: RegistrationChanges,
        minimum: AppliedMinimum,
    ) -> None:
        self._fleet = fleet
        self._proved = proved
        self._homes = homes
        self._registrations = registrations
        self._minimum = minimum

    def handle(self, now: int, summary: ProgressSummary) -> ProgressSummaryResponse:
        """Add a relay's report; if it does not fit the earlier ones, request a complete report instead."""
        relay = self._fleet.relays.get(summary.relay)
        is_missing = summary.since_number != 0
        if relay is not None and relay.incarnation == summary.incarnation:
            if summary.number <= relay.number:
                return ProgressSummaryResponse(relay.number)
            is_missing = summary.since_number != 0 and not relay.covers(summary.since_number)
        known = relay.members if relay is not None and summary.since_number else {}
        if is_missing or not is_consistent(known, summary):
            return ProgressSummaryResponse(summary.number, needs_full_report=True)
        if relay is None:
            self.forget_gone_relays(now)
            relay = self._fleet.relays[summary.relay] = RelayState(summary.relay, summary.incarnation)
        self._add(now, relay, summary)
        return ProgressSummaryResponse(summary.number)

    def forget_gone_relays(self, now: int) -> None:
        """Remove the relays that are gone; their members have no home until another relay reports them."""
        relays = self._fleet.relays
        for name in [name for name, r in relays.items() if now - r.reported_at_us >= RELAY_GONE_AFTER_US]:
            for member in list(relays[name].members):
                self._record_left(relays[name], member)
            del relays[name]

    def _add(self, now: int, relay: RelayState, summary: ProgressSummary) -> None:
        if not summary.since_number:
            self._begin_full_report(relay, summary)
        for name in summary.left:
            self._record_left(relay, name)
        for progress in summary.joined:
            self._record_joined(relay, progress)
        if summary.joined:  # copied, because a set that was large is iterated at that size
            self._fleet.unreported = set(self._fleet.unreported)
        relay.number = summary.number
        relay.revision = summary.revision
        relay.reported_at_us = now
        common = min(summary.min_applied_revision, self._fleet.revision)
        self._proved.raise_common_bound(relay, common, summary.lagging)
        for name, incarnation in summary.ended_processes:
            self._registrations.record_ended(name, incarnation)
        self._minimum.progress_changed(now)

    def _begin_full_report(self, relay: RelayState, summary: ProgressSummary) -> None:
        for name in list(relay.members):
            self._record_left(relay, name)
        relay.incarnation = summary.incarnation
        relay.full_report_number = summary.number
        relay.common_revision = 0
        relay.lagging = {}

    def _record_joined(self, relay: RelayState, progress: MemberProgress) -> None:
        name = progress.member
        member = self._fleet.members.get(name)
        if member is not None and member.home is relay:
            self._homes.detach(name)
        relay.members[name] = progress
        if member is not None:
            self._homes.assign(name)
        self._registrations.update_mismatch(name)

    def _record_left(self, relay: RelayState, name: str) -> None:
        if relay.members.pop(name, None) is None:
            return
        member = self._fleet.members.get(name)
        if member is not None and member.home is relay:
            self._homes.detach(name)
            self._homes.assign(name)
        self._registrations.update_mismatch(name)
