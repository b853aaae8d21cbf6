"""What a leader may claim of the progress of all registered members, by the relays' reports. No I/O.

All claims are lower bounds made of members' own statements, which never become false (see
`member_registry`); so a claim is true whatever reports are lost, duplicated or late.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sized
from dataclasses import dataclass
from heapq import nsmallest
from typing import Protocol

from walnutpost.configstore.member_registry import MEMBER_SILENT_AFTER_US, SECOND_US
from walnutpost.configstore.messages import (
    MemberProgress,
    MemberStatus,
    ProgressSummary,
    ProgressSummaryResponse,
    PropagationStatus,
)
from walnutpost.configstore.propagation import PropagationTracker
from walnutpost.configstore.relay_report import RelayState, is_consistent

RELAY_SILENT_AFTER_US = 10 * SECOND_US
"""A relay without a report for so long is not asked who is new."""
RELAY_GONE_AFTER_US = 600 * SECOND_US
"""A relay without a report for so long is forgotten; what it has proved stays."""
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


@dataclass(slots=True)
class _RegisteredMember:
    """A registered member.

    `proved_revision`: proved of this incarnation by name, by whichever relay.
    `home`: the relay whose reports count for it, that with the member's highest session.
    `last_relay`, `last_blocked_reason`, `last_heard_us`: as last reported, while there is no home.
    """

    incarnation: str
    proved_revision: int = 0
    home: RelayState | None = None
    last_relay: str = ""
    last_blocked_reason: str = ""
    last_heard_us: int | None = None


class FleetProgress:
    """The progress of the registered members as one leader knows it; it begins with nothing known.

    `min_applied_revision` is a minimum over relays, and over the members that are tracked individually
    (lagging, newly joined) or reported by nobody. Handling a report therefore costs by its size, not by
    the number of members.
    """

    def __init__(self, now: int, revision: int) -> None:
        """Begin at the start of a leader's term; `revision` is the newest committed one."""
        self._began_us = now
        self._revision = revision
        self._relays: dict[str, RelayState] = {}
        self._members: dict[str, _RegisteredMember] = {}
        self._unreported: set[str] = set()  # registered, and reported by no relay with this incarnation
        self._mismatched: set[str] = set()  # reported with an incarnation that is not the registered one
        self._ended: dict[str, str] = {}
        self._propagation = PropagationTracker()
        self._min_applied_revision: int | None = None  # None: to be computed

    @property
    def min_applied_revision(self) -> int:
        """All registered members have applied at least this; the newest revision if there are none."""
        if self._min_applied_revision is None:
            relays = self._relays.values()
            found = [relay.common_revision for relay in relays if relay.common_count]
            for relay in relays:
                found += [self._members[name].proved_revision for name in relay.individual]
            found += [self._members[name].proved_revision for name in self._unreported]
            self._min_applied_revision = min(found, default=self._revision)
        return self._min_applied_revision

    def applied_revision(self, member: str, incarnation: str) -> int:
        """Return what this process is proved to have applied, 0 where it is not the registered one."""
        known = self._members.get(member)
        if known is None or known.incarnation != incarnation:
            return 0
        return self._proved_revision(member, known)

    # Commands of the log

    def revision_committed(self, now: int, revision: int) -> None:
        """Record a committed change set; its latency counts from `now`.

        To be called for each one before reports of it are handled: what a relay reports beyond the newest
        committed revision says nothing about later commits.
        """
        if revision <= self._revision:
            return
        self._revision = revision
        self._propagation.record_commit(now, revision)
        if not self._members:
            self._progress_changed(now)

    def set_members(self, now: int, members: Mapping[str, str]) -> None:
        """Set all registered members (name to incarnation); to be called after each change of them."""
        for name in [name for name in self._members if name not in members]:
            self._unregister(name)
        for name, incarnation in members.items():
            known = self._members.get(name)
            if known is None or known.incarnation != incarnation:
                self._register(name, incarnation)
        for name in [name for name, ended in self._ended.items() if members.get(name) != ended]:
            del self._ended[name]
        # Copied, because a set that was large is iterated at that size.
        self._unreported = set(self._unreported)
        self._mismatched = set(self._mismatched)
        self._progress_changed(now)

    def _register(self, name: str, incarnation: str) -> None:
        """Register a process; nothing that was proved of the one before applies to it."""
        former = self._members.get(name)
        if former is not None:
            self._detach_home(name, former)
        known = self._members[name] = _RegisteredMember(incarnation)
        self._assign_home(name, known)
        if known.home is not None:
            self._raise_proved(known.home, name)
        self._update_mismatch(name)

    def _unregister(self, name: str) -> None:
        self._detach_home(name, self._members[name])
        self._unreported.discard(name)
        del self._members[name]
        self._update_mismatch(name)

    # Reports

    def handle_summary(self, now: int, summary: ProgressSummary) -> ProgressSummaryResponse:
        """Handle a relay's report; one that does not fit to those before is rejected for a complete one."""
        relay = self._relays.get(summary.relay)
        is_missing = summary.since_number != 0
        if relay is not None and relay.incarnation == summary.incarnation:
            if summary.number <= relay.number:
                return ProgressSummaryResponse(relay.number)
            is_missing = summary.since_number != 0 and not relay.covers(summary.since_number)
        known = relay.members if relay is not None and summary.since_number else {}
        if is_missing or not is_consistent(known, summary):
            return ProgressSummaryResponse(summary.number, needs_full_report=True)
        if relay is None:
            self._forget_gone_relays(now)
            relay = self._relays[summary.relay] = RelayState(summary.relay, summary.incarnation)
        self._add_report(now, relay, summary)
        return ProgressSummaryResponse(summary.number)

    def _add_report(self, now: int, relay: RelayState, summary: ProgressSummary) -> None:
        if not summary.since_number:
            self._begin_full_report(relay, summary)
        for name in summary.left:
            self._record_left(relay, name)
        for progress in summary.joined:
            self._record_joined(relay, progress)
        if summary.joined:  # copied, because a set that was large is iterated at that size
            self._unreported = set(self._unreported)
        relay.number = summary.number
        relay.revision = summary.revision
        relay.reported_at_us = now
        self._raise_common(relay, min(summary.min_applied_revision, self._revision), summary.lagging)
        for name, incarnation in summary.ended_processes:
            known = self._members.get(name)
            if known is not None and known.incarnation == incarnation:
                self._ended[name] = incarnation
        self._progress_changed(now)

    def _begin_full_report(self, relay: RelayState, summary: ProgressSummary) -> None:
        for name in list(relay.members):
            self._record_left(relay, name)
        relay.incarnation = summary.incarnation
        relay.full_report_number = summary.number
        relay.common_revision = 0
        relay.lagging = {}

    def _record_joined(self, relay: RelayState, progress: MemberProgress) -> None:
        name = progress.member
        known = self._members.get(name)
        if known is not None and known.home is relay:
            self._detach_home(name, known)
        relay.members[name] = progress
        if known is not None:
            self._assign_home(name, known)
        self._update_mismatch(name)

    def _record_left(self, relay: RelayState, name: str) -> None:
        if relay.members.pop(name, None) is None:
            return
        known = self._members.get(name)
        if known is not None and known.home is relay:
            self._detach_home(name, known)
            self._assign_home(name, known)
        self._update_mismatch(name)

    def _forget_gone_relays(self, now: int) -> None:
        relays = self._relays.items()
        for name in [name for name, r in relays if now - r.reported_at_us >= RELAY_GONE_AFTER_US]:
            for member in list(self._relays[name].members):
                self._record_left(self._relays[name], member)
            del self._relays[name]

    # What is proved

    def _raise_common(self, relay: RelayState, reported: int, lagging: tuple[MemberProgress, ...]) -> None:
        """Apply a report's minimum, which covers all members that the report does not list.

        Where it is below the common revision, members that have proved that one keep it; the members that
        lowered it are tracked individually until all have caught up.
        """
        for progress in lagging:
            if progress.member not in relay.lagging:
                self._track_individually(relay, progress.member)
            relay.members[progress.member] = progress
        relay.lagging = {progress.member: progress for progress in lagging}
        relay.reported_min_revision = reported
        relay.common_revision = max(relay.common_revision, reported)
        before = len(relay.individual)
        for name in list(relay.individual):
            self._raise_proved(relay, name)
        if len(relay.individual) < before:
            relay.individual = set(relay.individual)

    def _raise_proved(self, relay: RelayState, name: str) -> None:
        """Apply the relay's last report to a member that is tracked individually."""
        known = self._members[name]
        listed = relay.lagging.get(name)
        reported = relay.reported_min_revision
        if listed is not None:
            reported = min(listed.applied_revision, self._revision)
        known.proved_revision = max(known.proved_revision, reported)
        if listed is None and known.proved_revision == relay.common_revision:
            relay.individual.discard(name)
            relay.common_count += 1

    def _track_individually(self, relay: RelayState, name: str) -> None:
        known = self._members.get(name)
        if known is not None and known.home is relay and name not in relay.individual:
            known.proved_revision = max(known.proved_revision, relay.common_revision)
            relay.individual.add(name)
            relay.common_count -= 1

    def _proved_revision(self, name: str, known: _RegisteredMember) -> int:
        home = known.home
        if home is None or name in home.individual:
            return known.proved_revision
        return home.common_revision

    def _progress_changed(self, now: int) -> None:
        self._min_applied_revision = None
        if self._propagation.has_pending:
            self._propagation.record_applied(now, self.min_applied_revision)

    # Homes

    def _assign_home(self, name: str, known: _RegisteredMember) -> None:
        """Find the home: of the relays that report this incarnation the one with the highest session.

        So what a former relay still reports of a member that has moved neither counts twice nor holds it
        back.
        """
        home, session = None, 0
        for relay in self._relays.values():
            progress = relay.members.get(name)
            if progress is None or progress.incarnation != known.incarnation:
                continue
            if home is None or progress.session > session:
                home, session = relay, progress.session
        if home is not None and home is known.home:
            return
        self._detach_home(name, known)
        if home is None:
            self._unreported.add(name)
            return
        self._unreported.discard(name)
        known.home = home
        reported = min(home.members[name].applied_revision, self._revision)
        known.proved_revision = max(known.proved_revision, reported)
        home.individual.add(name)

    def _detach_home(self, name: str, known: _RegisteredMember) -> None:
        home = known.home
        if home is None:
            return
        self._track_individually(home, name)
        home.individual.discard(name)
        known.last_relay, known.last_blocked_reason, known.last_heard_us = home.last_report_of(name)
        known.home = None

    def _update_mismatch(self, name: str) -> None:
        known = self._members.get(name)
        registered = known.incarnation if known is not None else None
        reported = (relay.members.get(name) for relay in self._relays.values())
        if any(progress is not None and progress.incarnation != registered for progress in reported):
            self._mismatched.add(name)
        else:
            self._mismatched.discard(name)

    # Changes of the registered members that the reports call for

    def unregistered_members(self, now: int) -> list[tuple[str, str]]:
        """Return the members to be registered, as name and incarnation.

        Where a relay still hears the registered process, another process of its name waits until that one
        is silent or gone.
        """
        found = []
        for name in sorted(self._mismatched):
            incarnation = self._successor(now, name)
            if incarnation is not None:
                found.append((name, incarnation))
        return found

    def _successor(self, now: int, name: str) -> str | None:
        known = self._members.get(name)
        best: tuple[int, str] | None = None
        for relay in self._relays.values():
            progress = relay.members.get(name)
            if progress is None or now - relay.reported_at_us >= RELAY_SILENT_AFTER_US:
                continue
            listed = relay.lagging.get(name)
            if listed is not None and listed.silent_for_us >= MEMBER_SILENT_AFTER_US:
                continue
            if known is not None and progress.incarnation == known.incarnation:
                return None
            if best is None or relay.reported_at_us > best[0]:
                best = relay.reported_at_us, progress.incarnation
        return None if best is None else best[1]

    def ended_members(self) -> list[str]:
        """Return the registered members whose process announced its end and has no successor, sorted."""
        return sorted(name for name in self._ended if name not in self._mismatched)

    def absent_members(self, now: int, absent_for_us: int) -> list[str]:
        """Return the registered members that no relay has reported for so long, sorted."""
        found = []
        for name in self._unreported - self._mismatched:
            heard = self._members[name].last_heard_us
            since = self._began_us if heard is None else max(heard, self._began_us)
            if now - since >= absent_for_us:
                found.append(name)
        return sorted(found)

    # Status

    def status(self, now: int, store: StoreSummary, members: Mapping[str, str]) -> PropagationStatus:
        """Return the status for operators; `members`: the registered ones, as in `set_members`."""
        self._forget_gone_relays(now)
        self.set_members(now, members)
        min_applied = min(self.min_applied_revision, store.revision)
        lagging: list[str] = []
        if min_applied < store.revision:
            lagging = list(self._members_below(store.revision))
        relays = (relay for _, relay in sorted(self._relays.items()))
        return PropagationStatus(
            store.revision,
            store.digest,
            store.compacted_revision,
            len(store.entries),
            len(members),
            min_applied,
            tuple(self._member_status(now, name) for name in nsmallest(MAX_LAGGING_SHOWN, lagging)),
            self._propagation.latencies(),
            tuple((r.name, r.revision, len(r.members), now - r.reported_at_us) for r in relays),
            lagging_count=len(lagging),
        )

    def _members_below(self, revision: int) -> Iterator[str]:
        return (
            name for name, known in self._members.items() if self._proved_revision(name, known) < revision
        )

    def _member_status(self, now: int, name: str) -> MemberStatus:
        known = self._members[name]
        if known.home is None:
            relay, blocked_reason, heard = known.last_relay, known.last_blocked_reason, known.last_heard_us
        else:
            relay, blocked_reason, heard = known.home.last_report_of(name)
        silent_for_us = None if heard is None else now - heard
        applied = self._proved_revision(name, known)
        return MemberStatus(name, known.incarnation, applied, relay, blocked_reason, silent_for_us)
