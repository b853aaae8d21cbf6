"""What became of each due time, beside the executions in one file: a firing and its call are one commit."""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from walnutpost.gateway import Execution
from walnutpost.store.database import Change, Database, StoreError

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
FIRED, SKIPPED, REFUSED = "RUNNING", "SKIPPED", "REFUSED"


@dataclass(frozen=True, slots=True)
class Row:
    """`count` due times from `due` to `last`; `status` is the execution's, SKIPPED or REFUSED."""

    schedule: str
    due: int
    last: int
    count: int
    decided_at: int
    execution: str
    status: str
    why: str


class FiringStore:
    def __init__(self, store: Database) -> None:
        self._store = store
        store.make(SCHEMA)

    def fired(self, schedule: str, due: int, now: int, execution: str) -> Change:
        """To be committed with the execution it stands for."""

        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "insert or replace into firings values (?, ?, ?, 1, ?, ?, ?, '')",
                (schedule, due, due, now, execution, FIRED),
            )
            _mark(db, schedule, due)

        return change

    def skipped(self, schedule: str, due: int, last: int, count: int, now: int, why: str) -> Change:
        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "insert or ignore into firings values (?, ?, ?, ?, ?, '', ?, ?)",
                (schedule, due, last, count, now, SKIPPED, why),
            )
            _mark(db, schedule, last)

        return change

    def refused(self, schedule: str, due: int, now: int, why: str) -> Change:
        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "insert or replace into firings values (?, ?, ?, 1, ?, '', ?, ?)",
                (schedule, due, due, now, REFUSED, why),
            )
            _mark(db, schedule, due)

        return change

    def ended(self, execution: Execution) -> Change:
        """A firing's fate is its execution's; nothing where the execution is no firing."""
        why = f"{execution.error_type}: {execution.error_message}" if execution.error_type else ""

        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "update firings set status=?, why=? where execution=? and status=?",
                (execution.status.value, why, execution.name, FIRED),
            )

        return change

    def begin(self, schedules: Sequence[str], now: int) -> Change:
        """New schedules are known from now on, so what they miss from here on is known to be missed."""

        def change(db: sqlite3.Connection) -> None:
            for name in schedules:
                db.execute("insert or ignore into marks values (?, ?)", (name, now))

        return change

    def commit(self, *changes: Change) -> None:
        """Waits until all are durable, as one; raises StoreError."""

        def change(db: sqlite3.Connection) -> None:
            for each in changes:
                each(db)

        self._store.change(change)

    def marks(self) -> dict[str, int]:
        """Read at start, before the loop runs."""
        return dict(self._store.select("select schedule, mark from marks"))

    def out(self) -> tuple[list[Row], list[Row]]:
        """Firings that have no fate yet, at start: those whose call is open, and those that were being
        refused when the last process died, so that no call stands for them."""
        there = "exists (select 1 from executions e where e.name=f.execution and e.status='RUNNING')"
        found = [
            [
                Row(*row)
                for row in self._store.select(
                    f"select f.* from firings f where f.status='{FIRED}' and {which}"
                )
            ]
            for which in (there, f"not {there}")
        ]
        return found[0], found[1]


def _mark(db: sqlite3.Connection, schedule: str, due: int) -> None:
    db.execute(
        "insert into marks values (?, ?) on conflict (schedule) do update set mark=max(mark, excluded.mark)",
        (schedule, due),
    )


def history(path: Path, schedule: str | None, most: int) -> list[Row]:
    """The latest fates, newest first, from a store that may be in use; raises StoreError."""
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=1)
        try:
            where, values = ("where schedule=?", [schedule]) if schedule else ("", [])
            rows = db.execute(
                f"select * from firings {where} order by due desc, schedule limit ?", [*values, most]
            ).fetchall()
        finally:
            db.close()
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from error
    return [Row(*row) for row in rows]
