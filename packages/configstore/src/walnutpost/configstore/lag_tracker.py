"""Which of a relay's members are lagging, and what all others have applied. No I/O.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from walnutpost.configstore.member_state import SECOND_US, MemberState
from walnutpost.configstore.messages import MemberProgress

LAG_GRACE_US = 3 * SECOND_US
"""A member that has not applied for so long what its relay has is reported as lagging."""
MAX_LAGGING_REPORTED = 100
"""Lagging members by name in one report."""


@dataclass(frozen=True, slots=True)
class Lag:
    """The lagging members of a report, furthest behind first, and the minimum of all others."""

    lagging: tuple[MemberProgress, ...]
    min_applied_revision: int


@dataclass(frozen=True, slots=True)
class _RevisionReached:
    """Since when the relay has a revision."""

    at_us: int
    revision: int


class LagTracker:
    """Compares members with the revisions that their relay has had, and with the last reported minimum."""

    def __init__(self) -> None:
        self._min_applied_revision = 0
        self._history: deque[_RevisionReached] = deque()

    def measure(
        self, now: int, revision: int, members: Mapping[str, MemberState], covered: Iterable[str]
    ) -> Lag:
        """Measure the members whose names are `covered` by a report; `revision` is that of the relay's store.

        A member below the minimum that was reported last is listed as well: a new member that loads a
        snapshot would otherwise lower what is proved of the others.
        """
        overdue = self._overdue_revision(now, revision)
        lagging: list[tuple[int, str]] = []
        others: list[int] = []
        for name in covered:
            member = members[name]
            is_behind = member.applied_revision < max(overdue, self._min_applied_revision)
            if member.blocked_reason or is_behind or member.is_silent(now):
                lagging.append((member.applied_revision, name))
            else:
                others.append(member.applied_revision)
        lagging.sort()
        listed = lagging[:MAX_LAGGING_REPORTED]
        others += [applied for applied, _ in lagging[MAX_LAGGING_REPORTED:]]
        self._min_applied_revision = min(others, default=max(self._min_applied_revision, revision))
        return Lag(tuple(members[name].progress(name, now) for _, name in listed), self._min_applied_revision)

    def _overdue_revision(self, now: int, revision: int) -> int:
        """Return the revision that the relay had LAG_GRACE_US ago already: a member below it is lagging."""
        history = self._history
        if not history or history[-1].revision < revision:
            history.append(_RevisionReached(now, revision))
        while len(history) > 1 and now - history[1].at_us >= LAG_GRACE_US:
            history.popleft()
        return history[0].revision if now - history[0].at_us >= LAG_GRACE_US else 0
