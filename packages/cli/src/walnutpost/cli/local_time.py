"""Times as people read them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from heapq import merge
from itertools import islice
from zoneinfo import ZoneInfo

from walnutpost.cron import Schedule, compute_fire_time_us, iterate_due_times

US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class UpcomingFiring:
    """A firing to come, in microseconds since the epoch: when with jitter, and its due time."""

    fires_at_us: int
    due_us: int
    schedule: Schedule


def format_local_time(at_us: int, zone: str) -> str:
    """Format microseconds since the epoch in a zone, to the second."""
    return datetime.fromtimestamp(at_us / US_PER_S, ZoneInfo(zone)).isoformat(timespec="seconds")


def upcoming_firings(schedules: Iterable[Schedule], now_us: int, count: int) -> list[UpcomingFiring]:
    """Return the next firings, soonest first."""
    by_schedule = [sorted(_next_firings(each, now_us, count), key=_order) for each in schedules]
    return list(islice(merge(*by_schedule, key=_order), count))


def _next_firings(schedule: Schedule, now_us: int, count: int) -> list[UpcomingFiring]:
    return [
        UpcomingFiring(compute_fire_time_us(schedule, due_us), due_us, schedule)
        for due_us in islice(iterate_due_times(schedule, now_us), count)
    ]


def _order(firing: UpcomingFiring) -> tuple[int, int]:
    return firing.fires_at_us, firing.due_us
