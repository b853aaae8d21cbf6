"""Rows of the usage ledger's tables, and the records that they stand for.

Fields are in the order of the columns and have their names; times in microseconds. JSON within a column is
text.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from walnutpost.metering import Account, Amount, LedgerLine, UsageSample, UsageSlice, WorkerIncarnation

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder().decode


class SliceRow(NamedTuple):
    """A row of table `slices`."""

    worker: str
    started: int
    copy: int
    hour: int
    function: str
    memory_mb: int
    heard: int
    ended: int
    loading: int
    unused: int
    runs: str
    after: str
    first: str | None
    doubts: str

    @classmethod
    def of(cls, record: UsageSlice) -> SliceRow:
        """Return the row of a slice."""
        return cls(
            worker=record.worker,
            started=record.started_us,
            copy=record.copy,
            hour=record.hour_us,
            function=record.function,
            memory_mb=record.memory_mb,
            heard=record.counted_until_us,
            ended=int(record.is_final),
            loading=record.loading_us,
            unused=record.unused_us,
            runs=_encode(record.running_us).decode(),
            after=_encode(record.idle_us).decode(),
            first=record.first_tenant,
            doubts=_encode(sorted(record.contradictions)).decode(),
        )

    def to_slice(self) -> UsageSlice:
        """Return the slice of the row."""
        return UsageSlice(
            worker=self.worker,
            started_us=self.started,
            copy=self.copy,
            hour_us=self.hour,
            function=self.function,
            memory_mb=self.memory_mb,
            counted_until_us=self.heard,
            is_final=bool(self.ended),
            loading_us=self.loading,
            unused_us=self.unused,
            running_us=_decode(self.runs),
            idle_us=_decode(self.after),
            first_tenant=self.first,
            contradictions=frozenset(_decode(self.doubts)),
        )


class IncarnationRow(NamedTuple):
    """A row of table `lives`."""

    worker: str
    started: int
    heard: int
    memory_mb: int
    change: int
    forgotten_mb_us: int
    draining: int

    @classmethod
    def of(cls, record: WorkerIncarnation) -> IncarnationRow:
        """Return the row of a worker's incarnation."""
        return cls(
            worker=record.worker,
            started=record.started_us,
            heard=record.last_heard_us,
            memory_mb=record.memory_mb,
            change=record.change,
            forgotten_mb_us=record.evicted_mb_us,
            draining=int(record.is_draining),
        )

    def to_incarnation(self) -> WorkerIncarnation:
        """Return the worker's incarnation of the row."""
        return WorkerIncarnation(
            worker=self.worker,
            started_us=self.started,
            last_heard_us=self.heard,
            memory_mb=self.memory_mb,
            change=self.change,
            evicted_mb_us=self.forgotten_mb_us,
            is_draining=bool(self.draining),
        )


class SampleRow(NamedTuple):
    """A row of table `seen`."""

    run: int
    hour: int
    worker: str
    function: str
    tenant: str
    best: int
    least: int
    most: int

    @classmethod
    def of(cls, sample: UsageSample) -> SampleRow:
        """Return the row of a sample."""
        amount = sample.amount
        return cls(*sample.key, amount.best, amount.lower_bound, amount.upper_bound)

    def to_sample(self) -> UsageSample:
        """Return the sample of the row."""
        amount = Amount(self.best, self.least, self.most)
        return UsageSample(self.run, self.hour, self.worker, self.function, self.tenant, amount)


class LineRow(NamedTuple):
    """A row of table `lines` or `days`, joined with its account."""

    hour: int
    tenant: str
    function: str
    cause: str
    kind: str
    best: int
    least: int
    most: int
    at: int

    def to_line(self) -> LedgerLine:
        """Return the booking of the row."""
        account = Account(self.tenant, self.function, self.cause)
        return LedgerLine(self.hour, account, self.kind, Amount(self.best, self.least, self.most), self.at)
