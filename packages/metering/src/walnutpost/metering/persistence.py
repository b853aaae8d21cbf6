"""The form in which a ledger is persisted: its state as read, and the batches that are written to it."""

from __future__ import annotations

from dataclasses import dataclass, field

from walnutpost.metering.amounts import Statement
from walnutpost.metering.ledger_records import LedgerLine, UsageGap, UsageSample, WorkerIncarnation
from walnutpost.metering.records import UsageSlice


@dataclass(slots=True)
class LedgerState:
    """A ledger as it is on disk.

    All hours before `closed_to_us` are closed, 0 for a new ledger; records of hours before `drop_before_us`
    are dropped. `booked` is by hour, of the hours whose slices are there. `serial` is the last batch's.
    """

    slices: list[UsageSlice] = field(default_factory=list)
    incarnations: list[WorkerIncarnation] = field(default_factory=list)
    gaps: list[UsageGap] = field(default_factory=list)
    samples: list[UsageSample] = field(default_factory=list)
    booked: dict[int, Statement] = field(default_factory=dict)
    closed_to_us: int = 0
    drop_before_us: int = 0
    serial: int = 0


@dataclass(slots=True)
class LedgerBatch:
    """What one commit must contain, all or nothing, in addition to the batch before it.

    `serial` goes up by one. Slices, gaps and samples of hours before `drop_before_us` are deleted, lines
    before `fold_before_us` become lines by the day, days before `delete_before_us` are deleted.
    """

    slices: list[UsageSlice]
    incarnations: list[WorkerIncarnation]
    gaps: list[UsageGap]
    samples: list[UsageSample]
    lines: list[LedgerLine]
    closed_to_us: int
    drop_before_us: int
    fold_before_us: int
    delete_before_us: int
    serial: int


@dataclass(slots=True)
class LedgerExtract:
    """A ledger as read from a file for a span of time.

    `hour_lines` are by the hour. `day_lines` have the begin of a day as their hour, for hours that were
    folded.
    """

    state: LedgerState = field(default_factory=LedgerState)
    hour_lines: list[LedgerLine] = field(default_factory=list)
    day_lines: list[LedgerLine] = field(default_factory=list)
