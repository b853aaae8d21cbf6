"""What the settings allow the connections to workers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerLimits:
    """Bounds on connections to workers, and what their load reports contain.

    `max_connections` counts those to all workers, `max_streams` the commands at once on one of them.
    """

    connect_timeout_us: int
    idle_timeout_us: int
    order_timeout_us: int
    max_streams: int
    max_connections: int
    report_fields: tuple[str, ...]
    may_cancel: bool  # whether a worker may be asked to cancel a call
