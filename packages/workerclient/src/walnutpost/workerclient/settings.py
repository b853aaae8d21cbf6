"""The settings of the worker client."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerClientSettings:
    """Settings of the connections and requests to workers.

    `call_id_prefix` makes call ids unique across front ends and their restarts. `order_timeout_us` applies to
    load orders, orders to unload and usage queries. `report_fields` is as in `interface.Settings`.
    """

    call_id_prefix: str
    connect_timeout_us: int = 250_000
    order_timeout_us: int = 10_000_000
    idle_timeout_us: int = 15_000_000
    max_idle_connections_per_worker: int = 512
    report_fields: tuple[str, ...] = ()
