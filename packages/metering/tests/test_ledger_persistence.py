"""Tests of the ledger on disk: crashes at each write, two processes on one file, lines folded into days."""

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
    total_statement,
)


def open_store(path: Path) -> tuple[UsageStore, LedgerState]:
    """Open a store; return it with the ledger state that it contains."""
    store = UsageStore(Loop(), path)
    return store, store.load()[0]


class CrashingConnection:
    """A connection that simulates a crash after `statements_left` statements."""

    def __init__(self, db: sqlite3.Connection, statements_left: int) -> None:
        self.db = db
        self.statements_left = statements_left

    def _execute_or_crash(self, method: Callable[..., Any], *values: Any) -> Any:
        self.statements_left -= 1
        if self.statements_left < 0:
            raise KeyboardInterrupt
        return method(*values)

    def execute(self, *values: Any) -> Any:
        return self._execute_or_crash(self.db.execute, *values)

    def executemany(self, *values: Any) -> Any:
        return self._execute_or_crash(self.db.executemany, *values)


def test_a_crash_at_each_write_loses_and_repeats_nothing(tmp_path: Path) -> None:
    worker = RandomWorker(Random(11))
    reports = worker.random_reports(60, 0.1)
    after_closing_us = worker.now_us + 2 * HOUR_US
    expected_ledger = make_ledger()
    for report in reports:
        expected_ledger.add_report(report, "w", after_closing_us)
    store, state = open_store(tmp_path / "usage.db")
    crashes, now_us = 0, START_US
    for last_report_index in range(len(reports) + 20):
        now_us = min(
            after_closing_us,
            max(now_us, reports[min(last_report_index, len(reports) - 1)].reported_us) + 10 * MINUTE_US,
        )
        # The process crashes before each statement in turn, until the batch is written.
        for statements_left in range(10_000):
            ledger = make_ledger(state=state)
            for report in reports[: last_report_index + 1]:
                ledger.add_report(report, "w", now_us)
            batch = ledger.build_batch(now_us)
            if batch is None:
                break
            store._db.execute("begin immediate")
            try:
                write_batch(CrashingConnection(store._db, statements_left), batch, LedgerRun())  # type: ignore[arg-type]
                store._db.execute("commit")
                break
            except KeyboardInterrupt:
                crashes += 1
                store._db.execute("rollback")
                assert store.load()[0] == state
        state = store.load()[0]
        extract = read_ledger(tmp_path / "usage.db", 0, after_closing_us)
        assert verify_bookings(extract, POLICY, now_us) == []
    assert crashes > 100
    assert total_statement(make_ledger(state=state), after_closing_us) == total_statement(
        expected_ledger, after_closing_us
    )
    assert sum_statements(state.booked.values()) == {
        account: amount
        for account, amount in total_statement(expected_ledger, after_closing_us).items()
        if amount
    }
    assert compare_with_reports(extract, [reports[-1]], after_closing_us) == []
    store.close()


def test_two_processes_on_one_file_book_nothing_twice(tmp_path: Path) -> None:
    store, state = open_store(tmp_path / "usage.db")
    first, second = make_ledger(state=state), make_ledger(state=state)
    for ledger in (first, second):
        ledger.add_report(make_report(make_slice()), "w", START_US + MINUTE_US)
        batch = ledger.build_batch(START_US + 2 * HOUR_US)
        assert batch is not None
        if ledger is first:
            write_batch(store._db, batch, LedgerRun())
            ledger.mark_written(batch)
        else:
            with pytest.raises(sqlite3.DatabaseError, match="found batch 1 in the ledger, wanted 0"):
                write_batch(store._db, batch, LedgerRun())
    assert sum_statements(store.load()[0].booked.values()) == total_statement(first, START_US + 2 * HOUR_US)
    store.close()


def test_old_lines_are_folded_into_days_without_loss(tmp_path: Path) -> None:
    policy = MeteringPolicy(
        slice_retention_us=2 * HOUR_US, hour_retention_us=DAY_US, day_retention_us=30 * DAY_US
    )
    store, state = open_store(tmp_path / "usage.db")
    ledger, total_mb_us = make_ledger(state=state, policy=policy), 0
    for day in range(6):
        report_us = START_US + MINUTE_US + day * DAY_US
        usage = UsageSlice(
            "w", START_US, day + 1, report_us // HOUR_US * HOUR_US, "f", 10, report_us, True, 5
        )
        total_mb_us += usage.memory_time
        ledger.add_report(
            make_report(usage, reported_us=report_us, change=day + 1, started_us=START_US), "w", report_us
        )
        for now_us in range(report_us, report_us + DAY_US, HOUR_US):
            batch = ledger.build_batch(now_us)
            if batch is not None:
                store._db.execute("begin")
                write_batch(store._db, batch, LedgerRun())
                store._db.execute("commit")
                ledger.mark_written(batch)
    extract = read_ledger(tmp_path / "usage.db", 0, START_US + 9 * DAY_US)
    assert len(extract.day_lines) >= 4
    assert not extract.state.slices
    line_amounts = [
        line.amount.best for line in extract.hour_lines + extract.day_lines if not line.account.cause
    ]
    assert sum(line_amounts) == total_mb_us
    store.close()
