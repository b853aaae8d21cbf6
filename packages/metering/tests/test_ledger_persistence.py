"""The ledger on disk: crashes at each write, two processes, folded days."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from walnutpost.eventloop import Loop
from walnutpost.metering import (
    DAY_US,
    HOUR_US,
    LedgerState,
    MeteringPolicy,
    UsageSlice,
    compare_with_reports,
    sum_statements,
    verify_bookings,
)
from walnutpost.store import UsageStore, read_ledger
from walnutpost.store.usage import LedgerRun, write_batch
from walnutpost.testsupport.metering.fixtures import (
    MINUTE_US,
    POLICY,
    START_US,
    RandomWorker,
    make_ledger,
    make_report,
    make_slice,
    sum_hours,
)


def open_store(path: Path) -> tuple[UsageStore, LedgerState]:
    """Return a store and what is in it."""
    store = UsageStore(Loop(), path)
    return store, store.load()[0]


class DyingConnection:
    """A connection that dies before its statement number `left`, counted from 0."""

    def __init__(self, db: sqlite3.Connection, left: int) -> None:
        self.db = db
        self.left = left

    def _run(self, call: Callable[..., Any], *values: Any) -> Any:
        self.left -= 1
        if self.left < 0:
            raise KeyboardInterrupt
        return call(*values)

    def execute(self, *values: Any) -> Any:
        return self._run(self.db.execute, *values)

    def executemany(self, *values: Any) -> Any:
        return self._run(self.db.executemany, *values)


def test_a_crash_at_each_write_loses_and_repeats_nothing(tmp_path: Path) -> None:
    worker = RandomWorker(Random(11))
    reports = worker.reports(60, 0.1)
    late = worker.now + 2 * HOUR_US
    wanted = make_ledger()
    for report in reports:
        wanted.add_report(report, "w", late)
    store, state = open_store(tmp_path / "usage.db")
    died, now = 0, START_US
    for number in range(len(reports) + 20):
        now = min(late, max(now, reports[min(number, len(reports) - 1)].reported_us) + 10 * MINUTE_US)
        for left in range(10_000):  # the process dies before each statement in turn, then gets through
            ledger = make_ledger(state=state)
            for report in reports[: number + 1]:
                ledger.add_report(report, "w", now)
            batch = ledger.build_batch(now)
            if batch is None:
                break
            store._db.execute("begin immediate")
            try:
                write_batch(DyingConnection(store._db, left), batch, LedgerRun())  # type: ignore[arg-type]
                store._db.execute("commit")
                break
            except KeyboardInterrupt:
                died += 1
                store._db.execute("rollback")
                assert store.load()[0] == state
        state = store.load()[0]
        extract = read_ledger(tmp_path / "usage.db", 0, late)
        assert verify_bookings(extract, POLICY, now) == []
    assert died > 100
    assert sum_hours(make_ledger(state=state), late) == sum_hours(wanted, late)
    assert sum_statements(state.booked.values()) == {a: m for a, m in sum_hours(wanted, late).items() if m}
    assert compare_with_reports(extract, [reports[-1]], late) == []
    store.close()


def test_two_processes_on_one_file_book_nothing_twice(tmp_path: Path) -> None:
    store, state = open_store(tmp_path / "usage.db")
    one, other = make_ledger(state=state), make_ledger(state=state)
    for ledger in (one, other):
        ledger.add_report(make_report(make_slice()), "w", START_US + MINUTE_US)
        batch = ledger.build_batch(START_US + 2 * HOUR_US)
        assert batch is not None
        if ledger is one:
            write_batch(store._db, batch, LedgerRun())
            ledger.mark_written(batch)
        else:
            with pytest.raises(sqlite3.DatabaseError, match="found batch 1 in the ledger, wanted 0"):
                write_batch(store._db, batch, LedgerRun())
    assert sum_statements(store.load()[0].booked.values()) == sum_hours(one, START_US + 2 * HOUR_US)
    store.close()


def test_old_lines_are_folded_into_days_without_loss(tmp_path: Path) -> None:
    policy = MeteringPolicy(
        slice_retention_us=2 * HOUR_US, hour_retention_us=DAY_US, day_retention_us=30 * DAY_US
    )
    store, state = open_store(tmp_path / "usage.db")
    ledger, total = make_ledger(state=state, policy=policy), 0
    for day in range(6):
        at = START_US + MINUTE_US + day * DAY_US
        usage = UsageSlice("w", START_US, day + 1, at // HOUR_US * HOUR_US, "f", 10, at, True, 5)
        total += usage.memory_time
        ledger.add_report(make_report(usage, reported_us=at, change=day + 1, started_us=START_US), "w", at)
        for now in range(at, at + DAY_US, HOUR_US):
            batch = ledger.build_batch(now)
            if batch is not None:
                store._db.execute("begin")
                write_batch(store._db, batch, LedgerRun())
                store._db.execute("commit")
                ledger.mark_written(batch)
    extract = read_ledger(tmp_path / "usage.db", 0, START_US + 9 * DAY_US)
    assert len(extract.day_lines) >= 4
    assert not extract.state.slices
    lines = [x.amount.best for x in extract.hour_lines + extract.day_lines if not x.account.cause]
    assert sum(lines) == total
    store.close()
