"""What a fake worker and its functions are like: sizes, costs and limits. Times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FunctionSpec:
    """A function: `work_us` of a core of speed 1, then `wait_us` for other systems.

    A call's work differs from the mean by up to the ratio `work_spread`. `concurrency` calls run at a time
    in one copy. A load takes `load_us`, of which the ratio `fetch_share` is the fetch of the package.
    """

    name: str
    memory_mb: float
    concurrency: int
    work_us: int
    wait_us: int
    work_spread: float
    load_us: int
    fetch_share: float


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """A worker: its cores, its memory, its limits, and how weak it is after a restart.

    After a restart it has the ratio `start_capacity` of its capacity, and all of it after `warm_up_us`. It
    collapses if more than `overload_factor` times what it can do arrives within `overload_window_us`.
    """

    name: str
    cores: int
    speed: float
    memory_mb: float
    max_concurrent_loads: int
    max_queued: int
    keep_alive_us: int
    loads_when_absent: bool = False
    start_capacity: float = 1.0
    warm_up_us: int = 0
    overload_factor: float = 0.0
    overload_window_us: int = 0
