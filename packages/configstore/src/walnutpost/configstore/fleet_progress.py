"""What a leader may claim of the progress of all registered members, by the relays' reports. No I/O.

All claims are lower bounds made of members' own statements, which never become false (see
`member_registry`); so a claim is true even if reports are lost, duplicated or late.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sized
from heapq import nsmallest
from typing import Protocol

from walnutpost.configstore.applied_minimum import AppliedMinimum
from walnutpost.configstore.home_relays import HomeRelays
from walnutpost.configstore.known_fleet import KnownFleet, RegisteredMember
from walnutpost.configstore.messages import (
    MemberStatus,
    ProgressSummary,
    ProgressSummaryResponse,
    PropagationStatus,
)
from walnutpost.configstore.proved_revisions import ProvedRevisions
from walnutpost.configstore.registration_changes import RegistrationChanges
from walnutpost.configstore.report_handler import ReportHandler

MAX_LAGGING_SHOWN = 100
"""Lagging members by name in a status."""


class StoreSummary(Protocol):
    """The attributes of a store that a status shows."""

    @property
    def revision(self) -> int:
        """The revision of the last change set."""

    @property
    def digest(self) -> int:
        """The digest of all entries."""

    @property
    def compacted_revision(self) -> int:
        """The log has all change sets after it."""

    @property
    def entries(self) -> Sized:
        """All entries."""


class FleetProgress:
    """The progress of the registered members as one leader knows it; it begins with nothing known.

    `now`: the start of the leader's term.
    `revision`: the newest committed one.
    """

    def __init__(self, now: int, revision: int) -> None:
        self._fleet = KnownFleet(revision)
        self._minimum = AppliedMinimum(self._fleet)
        self._proved = ProvedRevisions(self._fleet)
        self._homes = HomeRelays(self._fleet, self._proved)
        self._registrations = RegistrationChanges(self._fleet, now)
        self._reports = ReportHandler(
            self._fleet, self._proved, self._homes, self._registrations, self._minimum
        )

    @property
    def min_applied_revision(self) -> int:
        """All registered members have applied at least this; the newest revision if there are none."""
        return self._minimum.revision()

    def applied_revision(self, member: str, incarnation: str) -> int:
        """Return what this process is proved to have applied, 0 if it is not the registered one."""
        registered = self._fleet.members.get(member)
        if registered is None or registered.incarnation != incarnation:
            return 0
        return self._proved.proved_revision(member)

    def revision_committed(self, now: int, revision: int) -> None:
        """Record a committed change set; its latency counts from `now`.

        To be called for each one before reports of it are handled: what a relay reports beyond the newest
        committed revision says nothing about later commits.
        """
        if revision <= self._fleet.revision:
            return
        self._fleet.revision = revision
        self._minimum.record_commit(now, revision)
        if not self._fleet.members:
            self._minimum.progress_changed(now)

    def set_members(self, now: int, members: Mapping[str, str]) -> None:
        """Set all registered members (name to incarnation); to be called after each change of them."""
        known = self._fleet.members
        for name in [name for name in known if name not in members]:
            self._unregister(name)
        for name, incarnation in members.items():
            if name not in known or known[name].incarnation != incarnation:
                self._register(name, incarnation)
        self._registrations.members_changed(members)
        # Copied, because a set that was large is iterated at that size.
        self._fleet.unreported = set(self._fleet.unreported)
        self._minimum.progress_changed(now)

    def handle_summary(self, now: int, summary: ProgressSummary) -> ProgressSummaryResponse:
        """Add a relay's report; if it does not fit the earlier ones, request a complete report instead."""
        return self._reports.handle(now, summary)

    def unregistered_members(self, now: int) -> list[tuple[str, str]]:
        """Return the members to be registered, as name and incarnation.

        If a relay still hears the registered process, another process of its name waits until that one
        is silent or gone.
        """
        return self._registrations.unregistered_members(now)

    def ended_members(self) -> list[str]:
        """Return the registered members whose process announced its end and has no successor, sorted."""
        return self._registrations.ended_members()

    def absent_members(self, now: int, absent_for_us: int) -> list[str]:
        """Return the registered members that no relay has reported for so long, sorted."""
        return self._registrations.absent_members(now, absent_for_us)

    def status(self, now: int, store: StoreSummary, members: Mapping[str, str]) -> PropagationStatus:
        """Return the status for operators; `members`: the registered ones, as in `set_members`."""
        self._reports.forget_gone_relays(now)
        self.set_members(now, members)
        min_applied = min(self.min_applied_revision, store.revision)
        lagging: list[str] = []
        if min_applied < store.revision:
            lagging = self._proved.members_below(store.revision)
        relays = (relay for _, relay in sorted(self._fleet.relays.items()))
        return PropagationStatus(
            store.revision,
            store.digest,
            store.compacted_revision,
            len(store.entries),
            len(members),
            min_applied,
            tuple(self._member_status(now, name) for name in nsmallest(MAX_LAGGING_SHOWN, lagging)),
            self._minimum.latencies(),
            tuple((r.name, r.revision, len(r.members), now - r.reported_at_us) for r in relays),
            lagging_count=len(lagging),
        )

    def _register(self, name: str, incarnation: str) -> None:
        """Register a process; nothing that was proved of the one before applies to it."""
        members = self._fleet.members
        if name in members:
            self._homes.detach(name)
        member = members[name] = RegisteredMember(incarnation)
        self._homes.assign(name)
        if member.home is not None:
            self._proved.raise_member_bound(member.home, name)
        self._registrations.update_mismatch(name)

    def _unregister(self, name: str) -> None:
        self._homes.detach(name)
        self._fleet.unreported.discard(name)
        del self._fleet.members[name]
        self._registrations.update_mismatch(name)

    def _member_status(self, now: int, name: str) -> MemberStatus:
        member = self._fleet.members[name]
        report = member.last_report if member.home is None else member.home.last_report_of(name)
        silent_for_us = None if report.heard_at_us is None else now - report.heard_at_us
        applied = self._proved.proved_revision(name)
        return MemberStatus(
            name, member.incarnation, applied, report.relay, report.blocked_reason, silent_for_us
        )
