"""The outcome of each due time of a schedule; a firing and its call's execution are one commit."""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from walnutpost.gateway import Execution
from walnutpost.store.database import Change, Database, StoreError, combine_changes

SCHEMA = """
create table if not exists firings (
    schedule text not null, due integer not null, last integer not null, count integer not null,
    decided_at integer not null, execution text not null, status text not null, why text not null,
    primary key (schedule, due)
) without rowid;
create index if not exists firings_by_execution on firings (execution);
create index if not exists firings_by_time on firings (decided_at);
create table if not exists marks (schedule text primary key, mark integer not null) without rowid;
"""
# Values of column firings.status besides those of gateway.ExecutionStatus. They are stored and must stay.
FIRED = "RUNNING"
SKIPPED = "SKIPPED"
REFUSED = "REFUSED"
HISTORY_LOCK_TIMEOUT_S = 1


@dataclass(frozen=True, slots=True)
class FiringRow:
    """A row: `count` due times from `due` to `last`. The order of fields is that of the columns.

    `status` is the execution's, SKIPPED or REFUSED; `why` explains it to people. Times in microseconds.
    """

    schedule: str
    due: int
    last: int
    count: int
    decided_at: int
    execution: str
    status: str
    why: str


class UnfinishedFirings(NamedTuple):
    """Firings without an outcome when the last process ended.

    `open_calls` are those whose call is open; `without_call` were being rejected.
    """

    open_calls: list[FiringRow]
    without_call: list[FiringRow]


class FiringStore:
    """Firings, and for each schedule a mark: up to there all due times have an outcome.

    Methods `record_...` and `register_schedules` return a change, which the caller commits. Methods
    `load_...` read at start, before the loop runs.
    """

    def __init__(self, database: Database) -> None:
        self._database = database
        database.create_tables(SCHEMA)

    def record_fired(self, schedule: str, due: int, now: int, execution: str) -> Change:
        """Return the change that is committed together with the execution itself."""

        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "insert or replace into firings values (?, ?, ?, 1, ?, ?, ?, '')",
                (schedule, due, due, now, execution, FIRED),
            )
            _advance_mark(db, schedule, due)

        return change

    def record_skipped(self, schedule: str, due: int, last: int, count: int, now: int, reason: str) -> Change:
        """Return the change that records `count` due times without a call."""

        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "insert or ignore into firings values (?, ?, ?, ?, ?, '', ?, ?)",
                (schedule, due, last, count, now, SKIPPED, reason),
            )
            _advance_mark(db, schedule, last)

        return change

    def record_rejected(self, schedule: str, due: int, now: int, reason: str) -> Change:
        """Return the change that records a due time whose call was rejected."""

        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "insert or replace into firings values (?, ?, ?, 1, ?, '', ?, ?)",
                (schedule, due, due, now, REFUSED, reason),
            )
            _advance_mark(db, schedule, due)

        return change

    def record_ended(self, execution: Execution) -> Change:
        """Return the change that gives a firing its execution's final status, if it is of a firing."""
        reason = f"{execution.error_type}: {execution.error_message}" if execution.error_type else ""

        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "update firings set status=?, why=? where execution=? and status=?",
                (execution.status.value, reason, execution.name, FIRED),
            )

        return change

    def register_schedules(self, schedules: Sequence[str], now: int) -> Change:
        """Return the change that registers schedules, so that due times missed from now on are found."""

        def change(db: sqlite3.Connection) -> None:
            for name in schedules:
                db.execute("insert or ignore into marks values (?, ?)", (name, now))

        return change

    def commit(self, *changes: Change) -> None:
        """Return once all are durable, in one commit. Raises StoreError."""
        change = combine_changes(*changes)
        self._database.submit(change if change is not None else _no_change)

    def load_marks(self) -> dict[str, int]:
        """Return each schedule's mark."""
        return dict(self._database.select("select schedule, mark from marks"))

    def load_unfinished(self) -> UnfinishedFirings:
        """Return the firings without an outcome."""
        has_call = "exists (select 1 from executions e where e.name=f.execution and e.status='RUNNING')"
        return UnfinishedFirings(self._load_fired(has_call), self._load_fired(f"not {has_call}"))

    def _load_fired(self, condition: str) -> list[FiringRow]:
        query = f"select f.* from firings f where f.status='{FIRED}' and {condition}"
        return [FiringRow(*row) for row in self._database.select(query)]


def _no_change(db: sqlite3.Connection) -> None:
    """Do nothing."""


def _advance_mark(db: sqlite3.Connection, schedule: str, due: int) -> None:
    db.execute(
        "insert into marks values (?, ?) on conflict (schedule) do update set mark=max(mark, excluded.mark)",
        (schedule, due),
    )


def read_history(path: Path, schedule: str | None, limit: int) -> list[FiringRow]:
    """Return the latest firings, newest first, of a file that may be in use. Raises StoreError."""
    where, values = ("where schedule=?", [schedule]) if schedule else ("", [])
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=HISTORY_LOCK_TIMEOUT_S)
        try:
            rows = db.execute(
                f"select * from firings {where} order by due desc, schedule limit ?", [*values, limit]
            ).fetchall()
        finally:
            db.close()
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from error
    return [FiringRow(*row) for row in rows]
