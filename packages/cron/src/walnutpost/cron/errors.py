"""Errors of cron schedules. All derive from CronError."""

from __future__ import annotations


class CronError(Exception):
    """Base class of all errors of this package."""


class InvalidScheduleError(CronError, ValueError):
    """An invalid cron expression or time zone. A ValueError, as validators of models expect."""

    def __init__(self, text: str, message: str) -> None:
        """`text` is what was found; `message` tells the user what is wanted."""
        super().__init__(message)
        self.text = text
        self.message = message
