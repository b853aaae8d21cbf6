"""Persisted forms of a ledger: the state that is read, and the batches that are written."""

from __future__ import annotations

from dataclasses import dataclass, field

from walnutpost.metering.amounts import Statement
from walnutpost.metering.ledger_records import LedgerLine, UsageGap, UsageSample, WorkerIncarnation
from walnutpost.metering.records import UsageSlice


@dataclass(slots=True)
class LedgerState:
    """The state of a ledger on disk.

    All hours before `closed_to_us` are closed; it is 0 for a new ledger. Records of hours before
    `drop_before_us` are dropped. `booked` has the hours whose slices are retained. `serial` is the number of
    the last batch.
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
    """The changes since the previous batch, to be committed atomically.

    `serial` grows by one with each batch. Slices, gaps and samples of hours before `drop_before_us` are
    deleted. Lines by the hour before `fold_before_us` are folded into lines by the day, and lines by the day
    before `delete_before_us` are deleted.
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
    """A ledger as read from a file for a period.

    `hour_lines` are lines by the hour. `day_lines` are the folded lines of earlier hours; their `hour_us` is
    the start of the day.
    """

    state: LedgerState = field(default_factory=LedgerState)
    hour_lines: list[LedgerLine] = field(default_factory=list)
    day_lines: list[LedgerLine] = field(default_factory=list)
