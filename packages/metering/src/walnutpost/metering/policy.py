"""Metering policy: how long a ledger waits before it closes an hour, and how long it retains records."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.metering.units import DAY_US, HOUR_US


@dataclass(frozen=True, slots=True)
class MeteringPolicy:
    """Delays and retention times of a ledger, in microseconds.

    An hour is closed `close_delay_us` after its end. Slices are retained for `slice_retention_us` after
    their hour, lines by the hour for `hour_retention_us`, and lines by the day for `day_retention_us`. A
    worker that stops reporting is assumed to use memory for at most `max_silence_us` after its last report.
    """

    close_delay_us: int = HOUR_US // 12
    slice_retention_us: int = DAY_US
    hour_retention_us: int = 35 * DAY_US
    day_retention_us: int = 400 * DAY_US
    max_silence_us: int = HOUR_US // 6
