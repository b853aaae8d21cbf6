"""A relay's registry of the members that watch at it, and its reports of their progress. No I/O.

A member's applied revision never decreases within an incarnation, so "it has applied at least revision R"
stays true, from any reporter and at any delay. A relay that restarts, is cut off, or whose reports are
duplicated or late can delay such a statement, never make it false.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from walnutpost.configstore.lag_tracker import LagTracker
from walnutpost.configstore.member_state import MemberState
from walnutpost.configstore.messages import ProgressSummary, ProgressSummaryResponse, WatchRequest
from walnutpost.configstore.report_changes import EndedProcesses, MemberChanges

SECOND_US = 1_000_000
MEMBER_GONE_AFTER_US = 15 * SECOND_US
"""A member without a request for so long has left."""
MAX_BLOCKED_REASON_CHARS = 200
"""Reasons are cut to this, so that a report of a hundred of them stays small."""


class MemberRegistry:
    """The members of one relay, as their requests show them; it starts without any.

    `min_applied_revision` of a report covers exactly the members that the leader knows after it: joins that
    do not fit into the report are covered by a later one.

    `relay`, `incarnation`: the relay's process.
    `address`: where members reach it.
    `has_changes`: there is something that the last report does not have.
    """

    def __init__(self, relay: str, incarnation: str, address: str = "") -> None:
        self._relay = relay
        self._incarnation = incarnation
        self._address = address
        self._members: dict[str, MemberState] = {}
        self._number = 0  # of the last report
        self._changes = MemberChanges()
        self._ended = EndedProcesses()
        self._lag = LagTracker()
        self.has_changes = False

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def __contains__(self, member: str) -> bool:
        """Return whether the member is registered here."""
        return member in self._members

    def observe(self, now: int, request: WatchRequest) -> None:
        """Record a member's request; one without a member's name is ignored."""
        if not request.member:
            return
        if request.is_leaving:
            self._observe_end(request)
            return
        known = self._members.get(request.member)
        if known is None or known.incarnation != request.incarnation:
            self._observe_new_process(now, request, known)
            return
        if request.applied_revision > known.applied_revision:
            known.applied_revision = request.applied_revision
            self.has_changes = True
        if request.session < known.session:
            return  # delayed, from before it came back: its progress counts, its presence does not
        if request.session > known.session:
            known.session = request.session
            self._mark_pending(request.member)
        blocked_reason = request.blocked_reason[:MAX_BLOCKED_REASON_CHARS]
        if blocked_reason != known.blocked_reason:
            known.blocked_reason = blocked_reason
            self.has_changes = True
        known.heard_at_us = now
        known.request = request

    def connection_closed(self, last_request: WatchRequest) -> None:
        """Remove the member whose connection has ended, unless it has sent another request since.

        `last_request` is the last one on that connection: the very object given to `observe`.
        """
        known = self._members.get(last_request.member)
        if known is not None and known.request is last_request:
            self._remove(last_request.member)

    def next_summary(self, now: int, revision: int) -> ProgressSummary:
        """Build the next report; `revision` is that of the relay's store.

        Changes that are not confirmed are reported again by the next one.
        """
        for name in [n for n, m in self._members.items() if now - m.heard_at_us >= MEMBER_GONE_AFTER_US]:
            self._remove(name)
        self._number += 1
        changes = self._changes.select(self._members, self._number)
        lag = self._lag.measure(now, revision, self._members, self._changes.next_known)
        ended = self._ended.select()
        self.has_changes = self._changes.has_unreported or self._ended.has_unreported
        return ProgressSummary(
            self._relay,
            self._incarnation,
            self._number,
            self._changes.confirmed_number,
            revision,
            lag.min_applied_revision,
            len(self._changes.next_known),
            tuple(self._members[name].progress(name, now) for name in changes.joined),
            tuple(changes.left),
            lag.lagging,
            self._address,
            ended_processes=ended,
        )

    def handle_response(self, response: ProgressSummaryResponse) -> None:
        """Handle the leader's answer; only that to the last report counts."""
        if response.number != self._number:
            return
        if response.needs_full_report:
            self._changes.confirmed_number = 0
            self.has_changes = True
            return
        self._changes.confirm(self._number)
        self._ended.confirm(self._number)

    def _observe_end(self, request: WatchRequest) -> None:
        self._ended.record(request.member, request.incarnation, self._number)
        self.has_changes = True
        known = self._members.get(request.member)
        if known is not None and known.incarnation == request.incarnation:
            self._remove(request.member)

    def _observe_new_process(self, now: int, request: WatchRequest, known: MemberState | None) -> None:
        """Register a process; of two under one name the later one replaces the earlier.

        The earlier does not replace it in turn at each of its further requests, as in a hand-over, or
        the leader would see a change at each of them.
        """
        former_incarnation = ""
        if known is not None:
            is_former = request.incarnation == known.former_incarnation
            if is_former and not known.is_silent(now):
                return
            former_incarnation = known.incarnation
        self._members[request.member] = MemberState(
            request.incarnation,
            request.session,
            request.applied_revision,
            request.blocked_reason[:MAX_BLOCKED_REASON_CHARS],
            now,
            request,
            former_incarnation,
        )
        self._mark_pending(request.member)

    def _mark_pending(self, name: str) -> None:
        self._changes.mark(name, self._number)
        self.has_changes = True

    def _remove(self, name: str) -> None:
        del self._members[name]
        self._mark_pending(name)
