"""The ledger: books the memory-time of each hour to accounts. No I/O.

Facts are merged and only grow. The statement of an hour is a function of the facts, so the order in which
they arrive has no effect. Each hour is closed once, and its statement is booked then. If the statement
changes later, correction lines book the difference. Times are microseconds since the epoch.
"""

from __future__ import annotations

from collections.abc import Iterable

from walnutpost.metering.amounts import Statement
from walnutpost.metering.bookings import Bookings
from walnutpost.metering.closing import ClosedHours
from walnutpost.metering.facts import LedgerFacts
from walnutpost.metering.intake import add_report
from walnutpost.metering.ledger_records import LedgerLine, LineKind, UsageGap, UsageSample
from walnutpost.metering.persistence import LedgerBatch, LedgerState
from walnutpost.metering.policy import MeteringPolicy
from walnutpost.metering.records import ReportCursor, UsageReport, UsageSlice
from walnutpost.metering.statements import build_statement
from walnutpost.metering.units import HOUR_US, day_start_us, hour_start_us

MAX_HOURS_CLOSED_PER_BATCH = 200


class Ledger:
    """The ledger of one front end, or of several whose states are merged."""

    def __init__(self, policy: MeteringPolicy, state: LedgerState, now_us: int) -> None:
        """Continue from a state on disk. A new ledger starts with the hour of `now_us`."""
        self._policy = policy
        closed_to_us = state.closed_to_us or hour_start_us(now_us)
        self._hours = ClosedHours(closed_to_us, policy.slice_retention_us)
        self._facts = LedgerFacts(self._hours, policy.max_silence_us, state.drop_before_us)
        self._bookings = Bookings(state.booked)
        self._usage_by_hour: dict[int, dict[str, int]] = {}  # by tenant, of closed hours
        self._facts.merge(state)
        # The state was read from disk, so its facts are persisted and its statements booked.
        self._facts.mark_all_written()
        self._hours.clear_stale()
        self._is_new = state.closed_to_us == 0
        self._now_us = now_us
        self._serial = state.serial

    @property
    def closed_to_us(self) -> int:
        """Return the time before which all hours are closed."""
        return self._hours.closed_to_us

    @property
    def slices(self) -> list[UsageSlice]:
        """Return the retained slices."""
        return list(self._facts.slices.records.values())

    # Facts

    def cursor(self, worker: str) -> ReportCursor:
        """Return how far the worker's reports were read."""
        return self._facts.cursor(worker)

    def has_reports(self, worker: str) -> bool:
        """Whether the ledger has any report of the worker."""
        return any(each.worker == worker for each in self._facts.incarnations.values())

    def add_report(self, report: UsageReport, worker: str, now_us: int) -> list[str]:
        """Add a report that was read from a worker; return its inconsistencies as log texts."""
        return add_report(self._facts, report, worker, now_us)

    def merge(self, state: LedgerState) -> None:
        """Add the facts of another ledger of the same site, without its bookings."""
        self._facts.merge(state)

    def add_gap(self, gap: UsageGap) -> None:
        """Add a gap that the calling program found."""
        self._facts.add_gap(gap)

    def add_samples(self, samples: Iterable[UsageSample]) -> None:
        """Add this front end's samples. Each covers its hour so far."""
        self._facts.add_samples(samples)

    # Statements

    def statement(self, hour_us: int, now_us: int) -> Statement:
        """Return the statement of an hour as of `now_us`."""
        return build_statement(self._facts, self._policy.max_silence_us, hour_us, now_us)

    def usage_by_tenant(self, since_us: int, now_us: int) -> dict[str, int]:
        """Return the MB-microseconds of each tenant since the hour of `since_us`, for budgets."""
        usage: dict[str, int] = {}
        for hour_us in range(hour_start_us(since_us), hour_start_us(now_us) + 1, HOUR_US):
            for tenant, mb_us in self._usage_of_hour(hour_us, now_us).items():
                usage[tenant] = usage.get(tenant, 0) + mb_us
        return usage

    def _usage_of_hour(self, hour_us: int, now_us: int) -> dict[str, int]:
        cached = self._usage_by_hour.get(hour_us)
        if cached is not None and hour_us not in self._hours.stale:
            return cached
        usage: dict[str, int] = {}
        for account, amount in self.statement(hour_us, now_us).items():
            usage[account.tenant] = usage.get(account.tenant, 0) + amount.best
        if hour_us < self.closed_to_us:
            self._usage_by_hour[hour_us] = usage
        return usage

    # Booking

    def build_batch(self, now_us: int) -> LedgerBatch | None:
        """Return the facts that are not persisted yet, and the lines of hours that close now.

        Return None if there is nothing to write. If a batch cannot be written, the next one contains its
        facts and lines again.
        """
        self._now_us = max(self._now_us, now_us)
        closed_to_us = self._next_closed_to_us(now_us)
        lines = self._build_lines(closed_to_us, now_us)
        policy = self._policy
        drop_before_us = min(closed_to_us, hour_start_us(now_us - policy.slice_retention_us))
        has_moved = closed_to_us != self.closed_to_us or drop_before_us > self._facts.drop_before_us
        if not (lines or has_moved or self._is_new or self._facts.has_unwritten):
            return None
        return LedgerBatch(
            slices=self._facts.slices.records.unwritten(),
            incarnations=self._facts.incarnations.unwritten(),
            gaps=self._facts.gaps.unwritten(),
            samples=self._facts.samples.unwritten(),
            lines=lines,
            closed_to_us=closed_to_us,
            drop_before_us=drop_before_us,
            fold_before_us=day_start_us(now_us - policy.hour_retention_us),
            delete_before_us=day_start_us(now_us - policy.day_retention_us),
            serial=self._serial + 1,
        )

    def _next_closed_to_us(self, now_us: int) -> int:
        closed_to_us = self.closed_to_us
        for _ in range(MAX_HOURS_CLOSED_PER_BATCH):
            if closed_to_us + HOUR_US + self._policy.close_delay_us > now_us:
                break
            closed_to_us += HOUR_US
        return closed_to_us

    def _build_lines(self, closed_to_us: int, now_us: int) -> list[LedgerLine]:
        lines: list[LedgerLine] = []
        for hour_us in range(self.closed_to_us, closed_to_us, HOUR_US):
            statement = self.statement(hour_us, now_us)
            lines += self._bookings.difference_lines(statement, hour_us, LineKind.CLOSED, now_us)
        for hour_us in sorted(self._hours.stale):
            statement = self.statement(hour_us, now_us)
            lines += self._bookings.difference_lines(statement, hour_us, LineKind.CORRECTION, now_us)
        return lines

    def mark_written(self, batch: LedgerBatch) -> None:
        """Mark a batch as persisted. Facts added since it was built stay unwritten."""
        self._bookings.add(batch.lines)
        self._facts.mark_written(batch)
        self._serial = batch.serial
        self._is_new = False
        newly_closed = range(self.closed_to_us, batch.closed_to_us, HOUR_US)
        self._hours.closed_to_us = batch.closed_to_us
        for hour_us in {*self._hours.stale, *newly_closed}:
            self._usage_by_hour.pop(hour_us, None)
            is_booked = self.statement(hour_us, self._now_us) == self._bookings.statement(hour_us)
            self._hours.set_stale(hour_us, not is_booked)
        if batch.drop_before_us > self._facts.drop_before_us:
            self._drop_before(batch.drop_before_us)

    def _drop_before(self, hour_us: int) -> None:
        self._facts.drop_before(hour_us)
        self._bookings.drop_before(hour_us)
        self._hours.drop_before(hour_us)
        for hour in [hour for hour in self._usage_by_hour if hour < hour_us]:
            del self._usage_by_hour[hour]
