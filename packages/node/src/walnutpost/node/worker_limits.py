"""Limits from the settings on connections to workers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerLimits:
    """Limits on connections to workers, and the fields of the workers' load reports.

    `max_connections` applies to all workers together; `max_streams` to the open commands on one connection.
    """

    connect_timeout_us: int
    idle_timeout_us: int
    order_timeout_us: int
    max_streams: int
    max_connections: int
    report_fields: tuple[str, ...]
    may_cancel: bool  # whether the node may ask a worker to cancel a call
    may_query_copies: bool  # whether the node may ask a worker how many copies it has loaded
    may_probe: bool  # whether the node may send probes
