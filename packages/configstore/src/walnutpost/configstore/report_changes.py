"""Changes that a relay reports to the leader until it confirms them. No I/O.

Reports are numbered; each has the changes since the last one that the leader has confirmed, so a lost
report costs only time.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from itertools import islice

MAX_CHANGES_PER_REPORT = 500
"""Members in `joined` or `left` of one report."""
MAX_ENDED_PROCESSES = 1000


@dataclass(frozen=True, slots=True)
class SelectedChanges:
    """The names of the members that a report has as joined and as left."""

    joined: list[str]
    left: list[str]


class MemberChanges:
    """The members that joined or left, and which of them the leader knows.

    `confirmed_number`: the report that changes are relative to, 0 if the next one is complete.
    `next_known`: the members that the leader knows once it has the last report.
    """

    def __init__(self) -> None:
        self.confirmed_number = 0
        self.next_known: set[str] = set()
        self._confirmed_members: set[str] = set()  # known to the leader as of the confirmed report
        self._possibly_known: set[str] = set()  # those it may know by reports sent since
        self._pending: dict[str, int] = {}  # to be reported: the last report built before the change
        self._reported: tuple[str, ...] = ()

    @property
    def has_unreported(self) -> bool:
        """Whether there are more changes than the last report has."""
        return len(self._pending) > len(self._reported)

    def mark(self, name: str, number: int) -> None:
        """Record that a member has joined, changed or left; `number`: the last report."""
        self._pending[name] = number

    def select(self, members: Collection[str], number: int) -> SelectedChanges:
        """Select the changes of report `number`, and set which members the leader then knows.

        Changed members that the leader may know must be reported at once: `min_applied_revision` would
        otherwise be taken to cover one that has left, or the process before. If these are more than a
        report holds, it becomes a complete one.
        """
        urgent: list[str] = []
        if self.confirmed_number:
            urgent = [name for name in self._pending if name in self._possibly_known]
        if not self.confirmed_number or len(urgent) > MAX_CHANGES_PER_REPORT:
            selected = self._select_complete(members, number)
        else:
            selected = self._select_delta(members, urgent)
        self._possibly_known.update(selected.joined)
        return selected

    def confirm(self, number: int) -> None:
        """Handle the leader's confirmation of the last report."""
        for name in self._reported:
            if self._pending.get(name, number) < number:
                del self._pending[name]
        self.confirmed_number = number
        self._confirmed_members = self.next_known
        self._possibly_known = set(self._confirmed_members)

    def _select_complete(self, members: Collection[str], number: int) -> SelectedChanges:
        self.confirmed_number = 0
        self._pending = dict.fromkeys(members, number - 1)
        joined = list(islice(members, MAX_CHANGES_PER_REPORT))
        self.next_known = set(joined)
        self._possibly_known = set()
        self._reported = tuple(joined)
        return SelectedChanges(joined, [])

    def _select_delta(self, members: Collection[str], urgent: list[str]) -> SelectedChanges:
        selected = dict.fromkeys(urgent)
        for name in self._pending:
            if len(selected) >= MAX_CHANGES_PER_REPORT:
                break
            selected[name] = None
        joined = [name for name in selected if name in members]
        left = [name for name in selected if name not in members]
        if selected:
            self.next_known = (self._confirmed_members | set(joined)).difference(left)
        else:
            self.next_known = self._confirmed_members
        self._reported = tuple(selected)
        return SelectedChanges(joined, left)


class EndedProcesses:
    """The processes, as member and incarnation, that announced their end; at most MAX_ENDED_PROCESSES."""

    def __init__(self) -> None:
        self._ended: dict[tuple[str, str], int] = {}
        self._reported: tuple[tuple[str, str], ...] = ()

    @property
    def has_unreported(self) -> bool:
        """Whether there are more than the last report has."""
        return len(self._ended) > len(self._reported)

    def record(self, member: str, incarnation: str, number: int) -> None:
        """Record an end; `number`: the last report."""
        self._ended[member, incarnation] = number
        if len(self._ended) > MAX_ENDED_PROCESSES:
            del self._ended[next(iter(self._ended))]

    def select(self) -> tuple[tuple[str, str], ...]:
        """Return the processes for the next report."""
        self._reported = tuple(islice(self._ended, MAX_CHANGES_PER_REPORT))
        return self._reported

    def confirm(self, number: int) -> None:
        """Handle the leader's confirmation of the last report, `number`."""
        for ended in self._reported:
            if self._ended.get(ended, number) < number:
                del self._ended[ended]
