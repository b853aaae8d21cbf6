"""How long a ledger waits, and what it retains."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.metering.units import DAY_US, HOUR_US


@dataclass(frozen=True, slots=True)
class MeteringPolicy:
    """Times in microseconds.

    What is known `close_delay_us` after an hour's end is booked. Slices are retained `slice_retention_us`
    after their hour, lines by the hour `hour_retention_us`, lines by the day `day_retention_us`. A worker
    that is not heard of is assumed to have used memory no longer than `max_silence_us`.
    """

    close_delay_us: int = HOUR_US // 12
    slice_retention_us: int = DAY_US
    hour_retention_us: int = 35 * DAY_US
    day_retention_us: int = 400 * DAY_US
    max_silence_us: int = HOUR_US // 6
