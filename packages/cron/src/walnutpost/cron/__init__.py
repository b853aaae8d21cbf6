"""Cron schedules: what is due, what was missed, what overlaps, whose it is. Decides; no I/O, no clock."""

from walnutpost.cron.planner import Decision, Fire, Planner, Skip
from walnutpost.cron.schedule import (
    BadSchedule,
    Missed,
    Overlap,
    Schedule,
    check_cron,
    check_zone,
    due_times,
    execution_name,
    fires_at,
    owner_of,
)

__all__ = [
    "BadSchedule",
    "Decision",
    "Fire",
    "Missed",
    "Overlap",
    "Planner",
    "Schedule",
    "Skip",
    "check_cron",
    "check_zone",
    "due_times",
    "execution_name",
    "fires_at",
    "owner_of",
]
