"""The settings of the connections to workers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Times in microseconds. `report_fields` as in interface.Settings."""

    dial_timeout: int = 250_000
    order_timeout: int = 10_000_000
    idle_time: int = 15_000_000
    idle_most: int = 512  # connections kept for each worker while nothing runs on them
    report_fields: tuple[str, ...] = ()
