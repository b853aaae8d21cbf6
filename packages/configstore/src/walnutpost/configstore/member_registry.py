"""A relay's registry of the members that watch at it, and its reports of their progress. No I/O.

A member's applied revision never decreases within an incarnation, so "it has applied at least revision R"
stays true whoever reports it and however late. A relay that restarts, is cut off, or whose reports are
duplicated or late can delay such a statement, never make it false.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from walnutpost.configstore.messages import (
    MemberProgress,
    ProgressSummary,
    ProgressSummaryResponse,
    WatchRequest,
)

SECOND_US = 1_000_000
LAG_GRACE_US = 3 * SECOND_US
"""A member that has not applied for so long what its relay has is reported as lagging."""
MEMBER_SILENT_AFTER_US = 6 * SECOND_US
"""Two watch requests with a wait timeout of 3 s each."""
MEMBER_GONE_AFTER_US = 15 * SECOND_US
"""A member without a request for so long has left."""
MAX_LAGGING_REPORTED = 100
"""Lagging members by name in one report."""
MAX_CHANGES_PER_REPORT = 500
"""Members in `joined` or `left` of one report."""
MAX_ENDED_PROCESSES = 1000
MAX_BLOCKED_REASON_CHARS = 200
"""Reasons are cut to this, so that a report of a hundred of them stays small."""


@dataclass(slots=True)
class _MemberState:
    """A member's last request; `former_incarnation`: the process that this one replaced here."""

    incarnation: str
    session: int
    applied_revision: int
    blocked_reason: str
    heard_at_us: int
    request: WatchRequest
    former_incarnation: str = ""

    def progress(self, member: str, now: int) -> MemberProgress:
        return MemberProgress(
            member,
            self.incarnation,
            self.session,
            self.applied_revision,
            self.blocked_reason,
            now - self.heard_at_us,
        )


class MemberRegistry:
    """The members of one relay, as their requests show them.

    Reports are numbered; each has the changes since the last one that the leader has confirmed, so a lost
    report costs only time. `min_applied_revision` of a report covers exactly the members that the leader
    knows after it: joins that do not fit into the report are covered by a later one.
    """

    def __init__(self, relay: str, incarnation: str, address: str = "") -> None:
        """Create the registry of the relay's process `incarnation`, which members reach at `address`."""
        self._relay = relay
        self._incarnation = incarnation
        self._address = address
        self._members: dict[str, _MemberState] = {}
        self._number = 0
        self._confirmed_number = 0  # the report that changes are relative to; 0: the next is complete
        self._confirmed_members: set[str] = set()  # known to the leader as of the confirmed report
        self._possibly_known: set[str] = set()  # those it may know by reports sent since
        self._next_known: set[str] = set()  # those it knows once it has the last report
        self._pending: dict[str, int] = {}  # to be reported: the last report built before the change
        self._reported: tuple[str, ...] = ()
        self._ended: dict[tuple[str, str], int] = {}
        self._reported_ended: tuple[tuple[str, str], ...] = ()
        self._min_applied_revision = 0
        self._revision_history: deque[tuple[int, int]] = deque()  # since when the relay has which revision
        self.has_changes = False  # there is something that the last report does not have

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

        What is not confirmed is reported again by the next one.
        """
        for name in [n for n, m in self._members.items() if now - m.heard_at_us >= MEMBER_GONE_AFTER_US]:
            self._remove(name)
        self._number += 1
        joined, left = self._select_changes()
        lagging, others = self._split_lagging(now, self._overdue_revision(now, revision))
        self._min_applied_revision = min(others, default=max(self._min_applied_revision, revision))
        self._reported_ended = tuple(islice(self._ended, MAX_CHANGES_PER_REPORT))
        self.has_changes = len(self._pending) > len(self._reported) or len(self._ended) > len(
            self._reported_ended
        )
        return ProgressSummary(
            self._relay,
            self._incarnation,
            self._number,
            self._confirmed_number,
            revision,
            self._min_applied_revision,
            len(self._next_known),
            tuple(self._members[name].progress(name, now) for name in joined),
            tuple(left),
            lagging,
            self._address,
            ended_processes=self._reported_ended,
        )

    def handle_response(self, response: ProgressSummaryResponse) -> None:
        """Handle the leader's answer; only that to the last report counts."""
        if response.number != self._number:
            return
        if response.needs_full_report:
            self._confirmed_number = 0
            self.has_changes = True
            return
        for name in self._reported:
            if self._pending.get(name, self._number) < self._number:
                del self._pending[name]
        for ended in self._reported_ended:
            if self._ended.get(ended, self._number) < self._number:
                del self._ended[ended]
        self._confirmed_number = self._number
        self._confirmed_members = self._next_known
        self._possibly_known = set(self._confirmed_members)

    def _observe_end(self, request: WatchRequest) -> None:
        self._ended[request.member, request.incarnation] = self._number
        if len(self._ended) > MAX_ENDED_PROCESSES:
            del self._ended[next(iter(self._ended))]
        self.has_changes = True
        known = self._members.get(request.member)
        if known is not None and known.incarnation == request.incarnation:
            self._remove(request.member)

    def _observe_new_process(self, now: int, request: WatchRequest, known: _MemberState | None) -> None:
        """Register a process; of two under one name the later one replaces the earlier.

        The earlier does not replace it in turn at each of its further requests, as in a hand-over, or
        the leader would see a change at each of them.
        """
        former_incarnation = ""
        if known is not None:
            is_former = request.incarnation == known.former_incarnation
            if is_former and now - known.heard_at_us < MEMBER_SILENT_AFTER_US:
                return
            former_incarnation = known.incarnation
        self._members[request.member] = _MemberState(
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
        self._pending[name] = self._number
        self.has_changes = True

    def _remove(self, name: str) -> None:
        del self._members[name]
        self._mark_pending(name)

    def _select_changes(self) -> tuple[list[str], list[str]]:
        """Return who is reported as joined and as left, and set whom the leader then knows.

        Changed members whom the leader may know must be reported at once: `min_applied_revision` would
        otherwise be taken to cover one that has left, or the process before. If these are more than a
        report holds, it becomes a complete one.
        """
        urgent: list[str] = []
        if self._confirmed_number:
            urgent = [name for name in self._pending if name in self._possibly_known]
        if not self._confirmed_number or len(urgent) > MAX_CHANGES_PER_REPORT:
            joined, left = self._select_complete()
        else:
            joined, left = self._select_delta(urgent)
        self._possibly_known.update(joined)
        return joined, left

    def _select_complete(self) -> tuple[list[str], list[str]]:
        self._confirmed_number = 0
        self._pending = dict.fromkeys(self._members, self._number - 1)
        joined = list(islice(self._members, MAX_CHANGES_PER_REPORT))
        self._next_known = set(joined)
        self._possibly_known = set()
        self._reported = tuple(joined)
        return joined, []

    def _select_delta(self, urgent: list[str]) -> tuple[list[str], list[str]]:
        selected = dict.fromkeys(urgent)
        for name in self._pending:
            if len(selected) >= MAX_CHANGES_PER_REPORT:
                break
            selected[name] = None
        joined = [name for name in selected if name in self._members]
        left = [name for name in selected if name not in self._members]
        if selected:
            self._next_known = (self._confirmed_members | set(joined)).difference(left)
        else:
            self._next_known = self._confirmed_members
        self._reported = tuple(selected)
        return joined, left

    def _overdue_revision(self, now: int, revision: int) -> int:
        """Return what the relay had LAG_GRACE_US ago already: a member below it is lagging."""
        history = self._revision_history
        if not history or history[-1][1] < revision:
            history.append((now, revision))
        while len(history) > 1 and now - history[1][0] >= LAG_GRACE_US:
            history.popleft()
        since, oldest = history[0]
        return oldest if now - since >= LAG_GRACE_US else 0

    def _split_lagging(self, now: int, overdue: int) -> tuple[tuple[MemberProgress, ...], Iterable[int]]:
        """Return the lagging members, furthest behind first, and the applied revisions of the others.

        A member below what was already reported of all is listed as well: a new member that loads a
        snapshot would otherwise take back what is proved of the others.
        """
        lagging: list[tuple[int, str]] = []
        others: list[int] = []
        for name in self._next_known:
            member = self._members[name]
            is_behind = member.applied_revision < max(overdue, self._min_applied_revision)
            is_silent = now - member.heard_at_us >= MEMBER_SILENT_AFTER_US
            if member.blocked_reason or is_behind or is_silent:
                lagging.append((member.applied_revision, name))
            else:
                others.append(member.applied_revision)
        lagging.sort()
        listed = lagging[:MAX_LAGGING_REPORTED]
        others += [applied for applied, _ in lagging[MAX_LAGGING_REPORTED:]]
        return tuple(self._members[name].progress(name, now) for _, name in listed), others
