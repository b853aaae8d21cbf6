"""Time units. Times are microseconds since the epoch; hours and days are in UTC."""

from __future__ import annotations

SECOND_US = 1_000_000
HOUR_US = 3600 * SECOND_US
DAY_US = 24 * HOUR_US


def hour_start_us(time_us: int) -> int:
    """Return the start of the hour that contains a time."""
    return time_us // HOUR_US * HOUR_US


def day_start_us(time_us: int) -> int:
    """Return the start of the day that contains a time."""
    return time_us // DAY_US * DAY_US
