"""Cron schedules: due times, missed and overlapping firings, and which front end fires a schedule.

This package does no I/O and reads no clock.
"""

from walnutpost.cron.decisions import Decision, Fire, Skip, SkipReason
from walnutpost.cron.errors import CronError, InvalidScheduleError
from walnutpost.cron.planner import Planner
from walnutpost.cron.schedule import (
    MissedPolicy,
    OverlapPolicy,
    Schedule,
    check_cron,
    check_zone,
    compute_fire_time_us,
    format_execution_name,
    iterate_due_times,
    select_owner,
)

__all__ = [
    "CronError",
    "Decision",
    "Fire",
    "InvalidScheduleError",
    "MissedPolicy",
    "OverlapPolicy",
    "Planner",
    "Schedule",
    "Skip",
    "SkipReason",
    "check_cron",
    "check_zone",
    "compute_fire_time_us",
    "format_execution_name",
    "iterate_due_times",
    "select_owner",
]
