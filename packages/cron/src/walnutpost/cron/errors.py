"""Errors of cron schedules. All derive from CronError."""

from __future__ import annotations


class CronError(Exception):
    """Base class of all errors of this package."""


class InvalidScheduleError(CronError, ValueError):
    """An invalid cron expression or time zone. It is a ValueError because model validators expect one."""

    def __init__(self, text: str, message: str) -> None:
        """`text` is the rejected input. `message` tells the user what is expected."""
        super().__init__(message)
        self.text = text
        self.message = message
