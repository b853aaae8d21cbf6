"""Records of the ledger beside workers' slices: incarnations, gaps, samples and booked lines.

The ledger stores them by the order of their fields. Times are microseconds since the epoch.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct

from walnutpost.metering.amounts import Account, Amount
from walnutpost.metering.records import IncarnationKey, UsageReport


class LineKind(StrEnum):
    """What a line is; the values are stored and shown."""

    CLOSED = "closed"  # booked when its hour was closed
    CORRECTION = "correction"  # the difference that was learnt later
    OPEN = "open"  # of an hour that is not closed, and not stored


class LedgerLine(Struct, frozen=True):
    """One booking."""

    hour_us: int
    account: Account
    kind: str
    amount: Amount
    booked_us: int


class WorkerIncarnation(Struct, frozen=True):
    """What is known of one process of a worker. `change` is up to where its reports were read."""

    worker: str
    started_us: int
    last_heard_us: int
    memory_mb: int
    change: int = 0
    evicted_mb_us: int = 0
    is_draining: bool = False

    @property
    def key(self) -> IncarnationKey:
        """Return what identifies it."""
        return IncarnationKey(self.worker, self.started_us)


class GapKey(NamedTuple):
    """Identifies a gap."""

    hour_us: int
    source: str
    cause: str


class UsageGap(Struct, frozen=True):
    """Memory-time of which only an upper bound is known.

    The same gap found again counts once, by its greatest bound.
    """

    hour_us: int
    source: str  # a worker's incarnation, or a front end
    cause: str
    upper_bound_mb_us: int

    @property
    def key(self) -> GapKey:
        """Return what identifies it."""
        return GapKey(self.hour_us, self.source, self.cause)


class SampleKey(NamedTuple):
    """Identifies a sample."""

    sampler_started_us: int
    hour_us: int
    worker: str
    function: str
    tenant: str


class UsageSample(Struct, frozen=True):
    """A front end's estimate of a worker's function within an hour, for one tenant; its numbers only grow."""

    sampler_started_us: int
    hour_us: int
    worker: str
    function: str
    tenant: str
    amount: Amount

    @property
    def key(self) -> SampleKey:
        """Return what identifies it."""
        return SampleKey(self.sampler_started_us, self.hour_us, self.worker, self.function, self.tenant)


def incarnation_of(report: UsageReport) -> WorkerIncarnation:
    """Return what is known of a process from its report."""
    return WorkerIncarnation(
        worker=report.worker,
        started_us=report.started_us,
        last_heard_us=report.reported_us,
        memory_mb=report.memory_mb,
        change=report.change,
        evicted_mb_us=report.evicted_mb_us,
        is_draining=report.is_draining,
    )


def merge_incarnations(a: WorkerIncarnation, b: WorkerIncarnation) -> WorkerIncarnation:
    """Return what two readers know of one process together."""
    latest = max(a, b, key=lambda each: (each.last_heard_us, each.is_draining))
    return WorkerIncarnation(
        *a.key,
        last_heard_us=latest.last_heard_us,
        memory_mb=max(a.memory_mb, b.memory_mb),
        change=max(a.change, b.change),
        evicted_mb_us=max(a.evicted_mb_us, b.evicted_mb_us),
        is_draining=latest.is_draining,
    )
