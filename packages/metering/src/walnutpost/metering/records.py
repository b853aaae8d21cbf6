"""Usage records: what a worker counts of each of its copies, and sends as JSON.

A copy is identified by its worker, that worker's start and a number that the worker assigns once. Its
lifetime is cut at full hours; each piece is a UsageSlice, whose counters only grow. Times are microseconds
since the epoch by the worker's clock, memory is in whole MB, memory-time in MB-microseconds.

The names of fields in JSON are those of the first release.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct, field

UNATTRIBUTED = "-"  # the tenant of what is charged to nobody; no real tenant has this name


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
        """Return the process that has the copy."""
        return IncarnationKey(self.worker, self.started_us)


class UsageSlice(Struct, frozen=True):
    """One copy within the hour that begins at `hour_us`.

    Each microsecond that the copy held memory is counted in one place: `loading_us` until it was ready,
    `unused_us` from then to its first call ever, `running_us` while calls ran, shared among their tenants by
    slots in use, `idle_us` while no call ran, by the tenant whose call ended last. A call without a tenant
    has the empty string. The counters hold up to `counted_until_us`.
    """

    worker: str
    started_us: int = field(name="started")
    copy: int
    hour_us: int = field(name="hour")
    function: str
    memory_mb: int
    counted_until_us: int = field(name="heard")
    is_final: bool = field(name="ended", default=False)  # the copy was removed, or the hour is over
    loading_us: int = field(name="loading", default=0)
    unused_us: int = field(name="unused", default=0)
    running_us: dict[str, int] = field(name="runs", default_factory=dict)  # by tenant
    idle_us: dict[str, int] = field(name="after", default_factory=dict)  # by tenant
    first_tenant: str | None = field(name="first", default=None)  # of the first call ever on the copy
    contradictions: frozenset[str] = field(name="doubts", default=frozenset())  # found when merging

    @property
    def key(self) -> SliceKey:
        """Return what identifies the slice."""
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
    """What a worker sends to a reader that has its changes up to some number already.

    `last_evicted_change` is the latest change that the worker no longer has, `evicted_mb_us` the memory-time
    of all that it ever evicted.
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
        """Return the process that reports."""
        return IncarnationKey(self.worker, self.started_us)


class ReportCursor(NamedTuple):
    """Up to where a worker's reports were read; zeros where none was."""

    started_us: int
    change: int
