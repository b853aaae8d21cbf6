"""Times as people read them."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime
from heapq import merge
from itertools import islice
from zoneinfo import ZoneInfo

from walnutpost.cron import Schedule, compute_fire_time_us, iterate_due_times


def local(at: int, zone: str) -> str:
    """Microseconds since the epoch in a zone, to the second."""
    return datetime.fromtimestamp(at / 1e6, ZoneInfo(zone)).isoformat(timespec="seconds")


def upcoming(schedules: Iterable[Schedule], now: int, count: int) -> list[tuple[int, int, Schedule]]:
    """The next firings: when with jitter, due time, schedule; in order."""
    lines = [
        sorted(
            ((compute_fire_time_us(s, due), due, s) for due in islice(iterate_due_times(s, now), count)),
            key=lambda f: f[:2],
        )
        for s in schedules
    ]
    return list(islice(merge(*lines, key=lambda f: f[:2]), count))
