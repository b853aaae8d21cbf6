"""The planner: decides once, for each due time of each schedule, whether to fire or skip it.

It does no I/O and reads no clock: callers pass in the wall clock time, which may jump forward or back.
Times are microseconds since the epoch.
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

# Due times are full minutes, so a due time that is more than a minute late counts as missed.
MAX_ON_TIME_DELAY_US = 60 * SECOND_US


@dataclass(slots=True)
class _DueTimes:
    """Due times of one schedule that have passed, split into missed and on-time ones."""

    missed_us: list[int]
    on_time_us: list[int]


class _ScheduleCursor:
    """The position of one schedule in its sequence of due times."""

    __slots__ = ("_due_times", "generation", "next_due_us", "schedule")

    def __init__(self, schedule: Schedule, after_us: int, generation: int) -> None:
        self.schedule = schedule
        self.generation = generation
        self._due_times: Iterator[int] = iterate_due_times(schedule, after_us)
        self.next_due_us: int | None = next(self._due_times, None)

    def advance(self) -> None:
        self.next_due_us = next(self._due_times, None)


class Planner:
    """Decides on each due time of each schedule exactly once.

    `last_decided_us` maps the name of each schedule to its latest decided due time, or for a new or changed
    schedule to the time at which it starts. Due times up to that time never become due again, even if the
    clock steps back.
    """

    def __init__(
        self,
        schedules: Iterable[Schedule],
        last_decided_us: Mapping[str, int],
        now_us: int,
        uncertain_until_us: int = 0,
    ) -> None:
        """Continue from the `last_decided_us` of an earlier process.

        A schedule without an entry is new and has missed nothing. `last_decided_us` may lack firings with due
        times up to `uncertain_until_us`, so the planner skips those due times for schedules of unsafe
        functions.
        """
        self.last_decided_us = dict(last_decided_us)
        self._uncertain_until_us = uncertain_until_us
        self._cursors: dict[str, _ScheduleCursor] = {}
        self._running: dict[str, dict[int, None]] = {}  # due times by schedule, in order
        self._heap: list[tuple[int, int, str]] = []  # fire time, generation, name
        self._generation = 0
        self.replace_schedules(schedules, now_us)

    def replace_schedules(self, schedules: Iterable[Schedule], now_us: int) -> None:
        """Replace all schedules. Running firings continue even if their schedule is removed.

        A new schedule starts now, and so does a changed one, unless a later due time of it has been decided.
        A schedule that was removed earlier and comes back continues from its latest decided due time.
        """
        previous = self._cursors
        self._cursors = {
            schedule.name: self._get_cursor(schedule, previous.get(schedule.name), now_us)
            for schedule in {schedule.name: schedule for schedule in schedules}.values()
        }
        self._heap = [
            (compute_fire_time_us(cursor.schedule, cursor.next_due_us), cursor.generation, name)
            for name, cursor in self._cursors.items()
            if cursor.next_due_us is not None
        ]
        heapify(self._heap)

    def next_fire_time_us(self) -> int | None:
        """Return the next time at which a schedule fires, or None if no schedule will fire again."""
        return self._heap[0][0] if self._heap else None

    def mark_running(self, schedule_name: str, due_us: int) -> None:
        """Record that a firing is running, for example one found in the store after a restart."""
        self._running.setdefault(schedule_name, {})[due_us] = None

    def mark_ended(self, schedule_name: str, due_us: int) -> None:
        """Record that a firing has ended. Unknown firings are ignored."""
        running = self._running.get(schedule_name)
        if running is None:
            return
        running.pop(due_us, None)
        if not running:
            del self._running[schedule_name]

    def decide(self, now_us: int, max_schedules: int | None = None) -> list[Decision]:
        """Decide on the due times that have passed, earliest first, for at most `max_schedules` schedules.

        Each returned firing counts as running until `mark_ended`. If the limit leaves due times undecided,
        `next_fire_time_us` returns a time that is not later than `now_us`.
        """
        decisions: list[Decision] = []
        remaining = max_schedules if max_schedules is not None else len(self._heap)
        while remaining > 0 and self._heap and self._heap[0][0] <= now_us:
            remaining -= 1
            _, generation, name = heappop(self._heap)
            cursor = self._cursors.get(name)
            if cursor is None or cursor.generation != generation:
                continue
            decisions += self._decide_schedule(cursor, now_us)
            if cursor.next_due_us is not None:
                fire_time_us = compute_fire_time_us(cursor.schedule, cursor.next_due_us)
                heappush(self._heap, (fire_time_us, generation, name))
        return decisions

    def _get_cursor(
        self, schedule: Schedule, previous: _ScheduleCursor | None, now_us: int
    ) -> _ScheduleCursor:
        if previous is not None and previous.schedule == schedule:
            return previous
        self._generation += 1
        after_us = self.last_decided_us.get(schedule.name, now_us)
        if previous is not None:
            # The changed schedule did not apply before now, so it has missed nothing.
            after_us = max(after_us, now_us)
        self.last_decided_us[schedule.name] = after_us
        return _ScheduleCursor(schedule, after_us, self._generation)

    def _decide_schedule(self, cursor: _ScheduleCursor, now_us: int) -> list[Decision]:
        """Decide on all due times of one schedule up to `now_us`."""
        schedule = cursor.schedule
        due = self._collect_due_times(cursor, now_us)
        if schedule.is_paused:
            return list(_build_skips([*due.missed_us, *due.on_time_us], schedule, SkipReason.PAUSED))
        decisions: list[Decision] = []
        if schedule.is_unsafe:
            decisions += _build_skips(self._remove_uncertain(due), schedule, SkipReason.UNCERTAIN)
        too_old_us = _select_too_old(due.missed_us, schedule, now_us)
        decisions += _build_skips(too_old_us, schedule, SkipReason.TOO_OLD)
        recent_us = due.missed_us[len(too_old_us) :]
        to_fire_us = _apply_missed_policy(recent_us, schedule.missed_policy)
        reason = SkipReason.MISSED if schedule.missed_policy is MissedPolicy.SKIP else SkipReason.SUPERSEDED
        decisions += _build_skips(recent_us[: len(recent_us) - len(to_fire_us)], schedule, reason)
        decisions += [self._fire(schedule, due_us) for due_us in (*to_fire_us, *due.on_time_us)]
        return decisions

    def _collect_due_times(self, cursor: _ScheduleCursor, now_us: int) -> _DueTimes:
        """Advance one schedule past `now_us`, and return the due times that have passed."""
        due = _DueTimes([], [])
        while cursor.next_due_us is not None:
            fire_time_us = compute_fire_time_us(cursor.schedule, cursor.next_due_us)
            if fire_time_us > now_us:
                break
            is_missed = now_us - fire_time_us > MAX_ON_TIME_DELAY_US
            (due.missed_us if is_missed else due.on_time_us).append(cursor.next_due_us)
            self.last_decided_us[cursor.schedule.name] = cursor.next_due_us
            cursor.advance()
        return due

    def _remove_uncertain(self, due: _DueTimes) -> list[int]:
        """Remove the due times that may have been fired already, and return them."""
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


def _select_too_old(missed_us: Sequence[int], schedule: Schedule, now_us: int) -> list[int]:
    if schedule.missed_policy is MissedPolicy.SKIP:
        return []
    return [due_us for due_us in missed_us if now_us - due_us > schedule.max_missed_age_us]


def _apply_missed_policy(missed_us: list[int], policy: MissedPolicy) -> list[int]:
    """Return the missed due times that the policy still fires."""
    match policy:
        case MissedPolicy.SKIP:
            return []
        case MissedPolicy.ONCE:
            return missed_us[-1:]
        case MissedPolicy.ALL:
            return missed_us


def _build_skips(due_times_us: Sequence[int], schedule: Schedule, reason: SkipReason) -> Iterator[Skip]:
    """Yield a single decision that covers all the due times, or nothing if there are no due times."""
    if due_times_us:
        yield Skip(schedule, due_times_us[0], due_times_us[-1], len(due_times_us), reason)
