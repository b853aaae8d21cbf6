"""Ledger records other than workers' slices: incarnations, gaps, samples and booked lines.

The ledger stores their fields by position, so the order of fields is fixed. Times are microseconds since
the epoch.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct

from walnutpost.metering.amounts import Account, Amount
from walnutpost.metering.records import IncarnationKey, UsageReport


class LineKind(StrEnum):
    """The kind of a line. The values are stored and shown."""

    CLOSED = "closed"  # booked when its hour was closed
    CORRECTION = "correction"  # a difference that was found after closing
    OPEN = "open"  # for an hour that is not closed yet; not stored


class LedgerLine(Struct, frozen=True):
    """A booking of an amount for one hour."""

    hour_us: int
    account: Account
    kind: str
    amount: Amount
    booked_us: int


class WorkerIncarnation(Struct, frozen=True):
    """One process of a worker. `change` is the latest change that was read from its reports."""

    worker: str
    started_us: int
    last_heard_us: int
    memory_mb: int
    change: int = 0
    evicted_mb_us: int = 0
    is_draining: bool = False

    @property
    def key(self) -> IncarnationKey:
        """Return the key of the record."""
        return IncarnationKey(self.worker, self.started_us)


class GapKey(NamedTuple):
    """Identifies a gap."""

    hour_us: int
    source: str
    cause: str


class UsageGap(Struct, frozen=True):
    """Memory-time for which only an upper bound is known.

    A gap that is found more than once counts once, with its greatest bound.
    """

    hour_us: int
    source: str  # a worker's incarnation, or a front end
    cause: str
    upper_bound_mb_us: int

    @property
    def key(self) -> GapKey:
        """Return the key of the record."""
        return GapKey(self.hour_us, self.source, self.cause)


class SampleKey(NamedTuple):
    """Identifies a sample."""

    sampler_started_us: int
    hour_us: int
    worker: str
    function: str
    tenant: str


class UsageSample(Struct, frozen=True):
    """A front end's estimate of one tenant's usage of a function on a worker in an hour; it only grows."""

    sampler_started_us: int
    hour_us: int
    worker: str
    function: str
    tenant: str
    amount: Amount

    @property
    def key(self) -> SampleKey:
        """Return the key of the record."""
        return SampleKey(self.sampler_started_us, self.hour_us, self.worker, self.function, self.tenant)


def incarnation_of(report: UsageReport) -> WorkerIncarnation:
    """Return the incarnation that a report describes."""
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
    """Merge the records that two readers have of one process."""
    latest = max(a, b, key=lambda each: (each.last_heard_us, each.is_draining))
    return WorkerIncarnation(
        *a.key,
        last_heard_us=latest.last_heard_us,
        memory_mb=max(a.memory_mb, b.memory_mb),
        change=max(a.change, b.change),
        evicted_mb_us=max(a.evicted_mb_us, b.evicted_mb_us),
        is_draining=latest.is_draining,
    )
