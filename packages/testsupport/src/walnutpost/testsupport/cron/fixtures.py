"""Schedules for tests and benchmarks: random expressions, brute-force matching, restarting planners."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import datetime
from itertools import islice
from random import Random
from zoneinfo import ZoneInfo

from walnutpost.cron import Decision, Planner, Schedule, Skip, iterate_due_times

SECOND_US = 1_000_000
MINUTE_US, HOUR_US, DAY_US = 60 * SECOND_US, 3600 * SECOND_US, 86_400 * SECOND_US
START_US = 1_800_000_000 * SECOND_US  # 2027-01-15T08:00:00Z
EVERY_MINUTE = Schedule("m", "* * * * *", "UTC", "f", None, b"1", HOUR_US)
UTC = ZoneInfo("UTC")


@dataclass(frozen=True)
class CronFields:
    """The values that the fields of a cron expression match. None matches any value.

    If neither day field begins with a star, a match of either day field is enough. Otherwise both must match.
    """

    minutes: set[int] | None
    hours: set[int] | None
    days: set[int] | None
    months: set[int] | None
    weekdays: set[int] | None
    has_starred_day: bool

    def matches(self, moment: datetime) -> bool:
        """Return whether the expression matches the minute of `moment`."""
        is_day = self.days is None or moment.day in self.days
        is_weekday = self.weekdays is None or moment.isoweekday() % 7 in self.weekdays
        return (
            (self.minutes is None or moment.minute in self.minutes)
            and (self.hours is None or moment.hour in self.hours)
            and (self.months is None or moment.month in self.months)
            and ((is_day and is_weekday) if self.has_starred_day else (is_day or is_weekday))
        )


def make_random_cron(rng: Random) -> tuple[str, CronFields]:
    """Return a random cron expression and the values that its fields match."""

    def make_random_field(low: int, high: int, any_probability: float) -> tuple[str, set[int] | None]:
        choice = rng.random()
        if choice < any_probability:
            return "*", None
        if choice < any_probability + 0.15:
            step = rng.randint(2, (high - low) // 2)
            return f"*/{step}", set(range(low, high + 1, step))
        if choice < any_probability + 0.3:
            first, last = sorted(rng.sample(range(low, high + 1), 2))
            return f"{first}-{last}", set(range(first, last + 1))
        values = sorted(rng.sample(range(low, high + 1), rng.randint(1, 3)))
        return ",".join(map(str, values)), set(values)

    minute, minutes = make_random_field(0, 59, 0.05)
    hour, hours = make_random_field(0, 23, 0.3)
    day, days = make_random_field(1, 31, 0.6)
    month, months = make_random_field(1, 12, 0.6)
    weekday, weekdays = make_random_field(0, 6, 0.6)
    has_starred_day = day.startswith("*") or weekday.startswith("*")
    fields = CronFields(minutes, hours, days, months, weekdays, has_starred_day)
    return f"{minute} {hour} {day} {month} {weekday}", fields


def find_matching_minutes(fields: CronFields, start_us: int, end_us: int) -> set[int]:
    """Return the matching minutes from `start_us` until before `end_us`, by brute force."""
    return {
        now_us
        for now_us in range(start_us, end_us, MINUTE_US)
        if fields.matches(datetime.fromtimestamp(now_us / SECOND_US, UTC))
    }


def list_due_times(schedule: Schedule, decision: Decision) -> list[int]:
    """Return the due times that a decision covers."""
    if not isinstance(decision, Skip):
        return [decision.due_us]
    due_times = list(islice(iterate_due_times(schedule, decision.due_us - 1), decision.count))
    assert decision.last_due_us == max(due_times)
    return due_times


def count_decisions(schedule: Schedule, start_us: int, end_us: int, rng: Random) -> Counter[int]:
    """Return how often each due time is decided, with restarts and suspensions at random times.

    If a planner crashes before its decisions are committed, its successor decides on the same due times.
    """
    counts: Counter[int] = Counter()
    last_decided_us = {schedule.name: start_us}
    planner = Planner([schedule], last_decided_us, start_us)
    now_us = start_us
    while now_us < end_us:
        step_us = rng.choice([30 * SECOND_US, MINUTE_US, HOUR_US, 7 * HOUR_US, 3 * DAY_US])
        now_us = min(end_us, now_us + step_us)
        if rng.random() < 0.3:
            planner = Planner([schedule], last_decided_us, now_us)
        decisions = planner.decide(now_us)
        if rng.random() < 0.1:  # a crash before the commit
            planner = Planner([schedule], last_decided_us, now_us)
            continue
        for decision in decisions:
            counts.update(list_due_times(schedule, decision))
            if not isinstance(decision, Skip):
                planner.mark_ended(schedule.name, decision.due_us)
        last_decided_us = dict(planner.last_decided_us)
    # Decide on the due times that the last crash left undecided.
    for decision in Planner([schedule], last_decided_us, now_us).decide(now_us):
        counts.update(list_due_times(schedule, decision))
    return counts
