"""The planner: decides on each due time of each schedule once.

No I/O and no clock: the time of day comes in, and may jump either way. Times are microseconds since the
epoch.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from walnutpost.cron.decisions import Decision, Fire, Skip, SkipReason
from walnutpost.cron.schedule import (
    SECOND_US,
    MissedPolicy,
    OverlapPolicy,
    Schedule,
    compute_fire_time_us,
    iterate_due_times,
)

# Due times are full minutes: what is a minute late was missed.
MAX_DELAY_US = 60 * SECOND_US


@dataclass(slots=True)
class _DueTimes:
    """Due times of one schedule that have come, split by whether they are on time."""

    missed_us: list[int]
    on_time_us: list[int]


class _ScheduleCursor:
    """The next due time of one schedule."""

    __slots__ = ("_due_times", "generation", "next_due_us", "schedule")

    def __init__(self, schedule: Schedule, mark_us: int, generation: int) -> None:
        self.schedule = schedule
        self.generation = generation
        self._due_times: Iterator[int] = iterate_due_times(schedule, mark_us)
        self.next_due_us: int | None = next(self._due_times, None)

    def advance(self) -> None:
        self.next_due_us = next(self._due_times, None)


class Planner:
    """Decides on each due time of each schedule exactly once.

    `marks` holds, by name of the schedule, the latest due time that was decided on; a clock that steps back
    makes nothing before it due again.
    """

    def __init__(
        self,
        schedules: Iterable[Schedule],
        marks: Mapping[str, int],
        now_us: int,
        uncertain_until_us: int = 0,
    ) -> None:
        """Begin with the marks of an earlier process. A schedule without one is new and has missed nothing.

        Up to `uncertain_until_us` there may have been firings that the marks do not include, so schedules
        of unsafe functions are not fired for these times.
        """
        self.marks = dict(marks)
        self._uncertain_until_us = uncertain_until_us
        self._cursors: dict[str, _ScheduleCursor] = {}
        self._running: dict[str, dict[int, None]] = {}  # due times by schedule, in order
        self._heap: list[tuple[int, int, str]] = []  # fire time, generation, name
        self._generation = 0
        self.replace_schedules(schedules, now_us)

    def replace_schedules(self, schedules: Iterable[Schedule], now_us: int) -> None:
        """Replace all schedules. Firings that are running go on, whether or not their schedule remains.

        A changed schedule continues from its mark, a new one begins now.
        """
        previous = self._cursors
        self._cursors = {
            schedule.name: self._cursor_for(schedule, previous.get(schedule.name), now_us)
            for schedule in {schedule.name: schedule for schedule in schedules}.values()
        }
        self._heap = [
            (compute_fire_time_us(cursor.schedule, cursor.next_due_us), cursor.generation, name)
            for name, cursor in self._cursors.items()
            if cursor.next_due_us is not None
        ]
        heapify(self._heap)

    def next_fire_time_us(self) -> int | None:
        """Return when something is due next; None if never."""
        return self._heap[0][0] if self._heap else None

    def mark_running(self, schedule_name: str, due_us: int) -> None:
        """Record that a firing is running, for example after a restart."""
        self._running.setdefault(schedule_name, {})[due_us] = None

    def mark_ended(self, schedule_name: str, due_us: int) -> None:
        """Record that a firing has ended; an unknown one is ignored."""
        running = self._running.get(schedule_name)
        if running is None:
            return
        running.pop(due_us, None)
        if not running:
            del self._running[schedule_name]

    def decide(self, now_us: int, max_schedules: int | None = None) -> list[Decision]:
        """Decide on what has come due, earliest first, for at most `max_schedules` schedules.

        Firings count as running from then on. If more is due, `next_fire_time_us` is not later than now.
        """
        decisions: list[Decision] = []
        remaining = max_schedules if max_schedules is not None else len(self._heap)
        while remaining > 0 and self._heap and self._heap[0][0] <= now_us:
            remaining -= 1
            _, generation, name = heappop(self._heap)
            cursor = self._cursors.get(name)
            if cursor is None or cursor.generation != generation:
                continue
            decisions += self._decide_on(cursor, now_us)
            if cursor.next_due_us is not None:
                fire_time_us = compute_fire_time_us(cursor.schedule, cursor.next_due_us)
                heappush(self._heap, (fire_time_us, generation, name))
        return decisions

    def _cursor_for(self, schedule: Schedule, known: _ScheduleCursor | None, now_us: int) -> _ScheduleCursor:
        if known is not None and known.schedule == schedule:
            return known
        self._generation += 1
        mark_us = self.marks.get(schedule.name, now_us)
        if known is not None:
            # The changed schedule was not in force before now: what it would have had due then is not missed.
            mark_us = max(mark_us, now_us)
        self.marks[schedule.name] = mark_us
        return _ScheduleCursor(schedule, mark_us, self._generation)

    def _decide_on(self, cursor: _ScheduleCursor, now_us: int) -> list[Decision]:
        """Decide on all due times of one schedule up to now."""
        schedule = cursor.schedule
        due = self._take_due(cursor, now_us)
        if schedule.is_paused:
            return list(_skip([*due.missed_us, *due.on_time_us], schedule, SkipReason.PAUSED))
        decisions: list[Decision] = []
        if schedule.is_unsafe:
            decisions += _skip(self._remove_uncertain(due), schedule, SkipReason.UNCERTAIN)
        too_old_us = _too_old(due.missed_us, schedule, now_us)
        decisions += _skip(too_old_us, schedule, SkipReason.TOO_OLD)
        recent_us = due.missed_us[len(too_old_us) :]
        late_us = _select_late(recent_us, schedule.missed_policy)
        reason = SkipReason.MISSED if schedule.missed_policy is MissedPolicy.SKIP else SkipReason.SUPERSEDED
        decisions += _skip(recent_us[: len(recent_us) - len(late_us)], schedule, reason)
        decisions += [self._fire(schedule, due_us) for due_us in (*late_us, *due.on_time_us)]
        return decisions

    def _take_due(self, cursor: _ScheduleCursor, now_us: int) -> _DueTimes:
        """Move the mark of one schedule up to now; return the due times before it."""
        due = _DueTimes([], [])
        while cursor.next_due_us is not None:
            fire_time_us = compute_fire_time_us(cursor.schedule, cursor.next_due_us)
            if fire_time_us > now_us:
                break
            is_missed = now_us - fire_time_us > MAX_DELAY_US
            (due.missed_us if is_missed else due.on_time_us).append(cursor.next_due_us)
            self.marks[cursor.schedule.name] = cursor.next_due_us
            cursor.advance()
        return due

    def _remove_uncertain(self, due: _DueTimes) -> list[int]:
        """Remove and return the due times that may have been fired already."""
        uncertain_us = [
            due_us for due_us in (*due.missed_us, *due.on_time_us) if due_us <= self._uncertain_until_us
        ]
        due.missed_us = [due_us for due_us in due.missed_us if due_us > self._uncertain_until_us]
        due.on_time_us = [due_us for due_us in due.on_time_us if due_us > self._uncertain_until_us]
        return uncertain_us

    def _fire(self, schedule: Schedule, due_us: int) -> Decision:
        running_us = tuple(self._running.get(schedule.name, ()))
        if running_us and schedule.overlap_policy is OverlapPolicy.FORBID:
            return Skip(schedule, due_us, due_us, 1, SkipReason.OVERLAPPING)
        self.mark_running(schedule.name, due_us)
        is_replacing = schedule.overlap_policy is OverlapPolicy.REPLACE
        return Fire(schedule, due_us, running_us if is_replacing else ())


def _too_old(missed_us: Sequence[int], schedule: Schedule, now_us: int) -> list[int]:
    if schedule.missed_policy is MissedPolicy.SKIP:
        return []
    return [due_us for due_us in missed_us if now_us - due_us > schedule.max_missed_age_us]


def _select_late(missed_us: list[int], policy: MissedPolicy) -> list[int]:
    """Return those of the missed due times that are fired late."""
    match policy:
        case MissedPolicy.SKIP:
            return []
        case MissedPolicy.ONCE:
            return missed_us[-1:]
        case MissedPolicy.ALL:
            return missed_us


def _skip(due_times_us: Sequence[int], schedule: Schedule, reason: SkipReason) -> Iterator[Skip]:
    """Return one decision for all of the due times, if there are any."""
    if due_times_us:
        yield Skip(schedule, due_times_us[0], due_times_us[-1], len(due_times_us), reason)
