"""Cron schedules: what is due, missed or overlapping, and which front end fires it. No I/O, no clock."""

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
