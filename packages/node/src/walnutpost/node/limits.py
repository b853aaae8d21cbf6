"""What the settings allow the connections to workers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerLimits:
    """Times in microseconds; `connections` in all, `streams` at once on one of them."""

    dial_timeout_us: int
    idle_time_us: int
    order_timeout_us: int
    streams: int
    connections: int
    report_fields: tuple[str, ...]
    cancel: bool  # whether a worker may be told that a call is given up
