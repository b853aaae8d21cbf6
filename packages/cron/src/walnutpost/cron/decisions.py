"""Decisions of the planner about due times. Times are microseconds since the epoch."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutpost.cron.schedule import Schedule


class SkipReason(Enum):
    """Why due times are skipped. The values are stored, and shown to users."""

    PAUSED = "paused"
    UNCERTAIN = "the state is an older copy: it may have been fired"
    TOO_OLD = "missed, and too old"
    MISSED = "missed"
    SUPERSEDED = "missed, and a later one stands for it"
    OVERLAPPING = "an earlier firing is still out"


@dataclass(frozen=True, slots=True)
class Fire:
    """Fire a due time, after stopping the firings of the earlier due times in `stop_due_us`."""

    schedule: Schedule
    due_us: int
    stop_due_us: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Skip:
    """Skip `count` due times, from `due_us` through `last_due_us`."""

    schedule: Schedule
    due_us: int
    last_due_us: int
    count: int
    reason: SkipReason


Decision = Fire | Skip
