"""Usage records: what a worker counts for each of its copies and sends as JSON.

A copy is identified by its worker, the start time of that worker and a number that the worker never reuses.
Its lifetime is cut at full hours. Each piece is a UsageSlice, whose counters only grow. Times are
microseconds since the epoch by the worker's clock, memory is in whole MB, memory-time in MB-microseconds.

The JSON field names are those of the first release.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct, field

UNATTRIBUTED = "-"  # the tenant of usage that is charged to nobody; no real tenant has this name


class IncarnationKey(NamedTuple):
    """Identifies one process of a worker."""

    worker: str
    started_us: int


class SliceKey(NamedTuple):
    """Identifies one copy within one hour."""

    worker: str
    started_us: int
    copy: int
    hour_us: int

    @property
    def incarnation(self) -> IncarnationKey:
        """Return the worker process that holds the copy."""
        return IncarnationKey(self.worker, self.started_us)


class UsageSlice(Struct, frozen=True):
    """One copy within the hour that begins at `hour_us`.

    Each microsecond in which the copy held memory is counted once: in `loading_us` until the copy was ready,
    in `unused_us` from then until its first call ever, in `running_us` while calls ran, shared among their
    tenants by slots in use, and in `idle_us` while no call ran, for the tenant whose call ended last. The
    tenant of a call without one is the empty string. The counters cover the time up to `counted_until_us`.
    """

    worker: str
    started_us: int = field(name="started")
    copy: int
    hour_us: int = field(name="hour")
    function: str
    memory_mb: int
    counted_until_us: int = field(name="heard")
    is_final: bool = field(name="ended", default=False)  # the copy was removed, or the hour has ended
    loading_us: int = field(name="loading", default=0)
    unused_us: int = field(name="unused", default=0)
    running_us: dict[str, int] = field(name="runs", default_factory=dict)  # by tenant
    idle_us: dict[str, int] = field(name="after", default_factory=dict)  # by tenant
    first_tenant: str | None = field(name="first", default=None)  # of the first call ever on the copy
    contradictions: frozenset[str] = field(name="doubts", default=frozenset())  # found when merging

    @property
    def key(self) -> SliceKey:
        """Return the key of the slice."""
        return SliceKey(self.worker, self.started_us, self.copy, self.hour_us)

    @property
    def total_us(self) -> int:
        """Return how long the copy held memory."""
        running_us = sum(self.running_us.values())
        return self.loading_us + self.unused_us + running_us + sum(self.idle_us.values())

    @property
    def memory_time(self) -> int:
        """Return the copy's memory-time in MB-microseconds."""
        return self.memory_mb * self.total_us


class UsageReport(Struct, frozen=True):
    """The report that a worker sends to a reader, with the changes that the reader has not read yet.

    `last_evicted_change` is the latest change that the worker has evicted, `evicted_mb_us` the memory-time of
    all slices that it ever evicted.
    """

    worker: str
    started_us: int = field(name="started")
    reported_us: int = field(name="at")
    change: int
    memory_mb: int
    slices: list[UsageSlice] = field(default_factory=list)
    is_draining: bool = field(name="draining", default=False)
    last_evicted_change: int = field(name="forgotten", default=0)
    evicted_mb_us: int = field(name="forgotten_mb_us", default=0)

    @property
    def incarnation(self) -> IncarnationKey:
        """Return the worker process that reports."""
        return IncarnationKey(self.worker, self.started_us)


class ReportCursor(NamedTuple):
    """How far a worker's reports were read; zeros if none was read."""

    started_us: int
    change: int
