"""Deferred calls on disk.

Their times are stored time (stored_time.py), converted here: callers give and get epochs of the loop's clock,
in microseconds.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from walnutpost.eventloop import Loop
from walnutpost.gateway import Execution, ExecutionStatus
from walnutpost.store.database import COMMIT_RETRY_US, Change, Database
from walnutpost.store.execution_rows import COLUMNS, PLACEHOLDERS, convert_times, execution_of, row_of
from walnutpost.store.time_marks import StoredTimeConverter

# With rowids: in an index that holds the rows, one of a kilobyte would take a page of four besides.
SCHEMA = """
create table if not exists executions (
    id text primary key, name text not null, function text not null, version text not null, tenant text,
    payload blob not null, digest text not null, accepted_at integer not null, expires_at integer not null,
    intended integer not null, status text not null, ended_at integer not null, result blob,
    error_type text not null, error_message text not null
);
create unique index if not exists by_name on executions (function, name);
create index if not exists by_time on executions (function, accepted_at, id);
create index if not exists by_status on executions (status, ended_at);
"""
STORING_TIME_DIVISOR = 2  # half of a call's time is left for its function


@dataclass(frozen=True, slots=True)
class ExecutionQuery:
    """A page of one function's executions, in order of acceptance or newest first.

    Bounds are exclusive; `cursor` is acceptance time and id of the last one of the page before.
    """

    function: str
    name: str | None
    statuses: frozenset[ExecutionStatus]
    accepted_after_us: int | None
    accepted_before_us: int | None
    newest_first: bool
    cursor: tuple[int, str] | None
    limit: int


class _Condition(NamedTuple):
    """A condition of a query, with the values of its placeholders."""

    sql: str
    values: list[object]


class ExecutionPage(NamedTuple):
    """Executions of a page, and whether more follow."""

    executions: list[Execution]
    has_more: bool


class ExecutionStore(Database):
    """One process's executions. Opens or creates the file.

    A change returns once it is durable; `extra_change` is in the same commit. All methods and the constructor
    raise StoreError.
    """

    def __init__(self, loop: Loop, path: Path) -> None:
        super().__init__(loop, path, SCHEMA, COMMIT_RETRY_US)
        self.clock = StoredTimeConverter(loop, self, self._newest_epoch_us())

    def _newest_epoch_us(self) -> int | None:
        """Return the newest time in the file: a process that wrote no time marks was running then."""
        ((accepted_at, ended_at),) = self.select("select max(accepted_at), max(ended_at) from executions")
        return None if accepted_at is None else max(accepted_at, ended_at)

    def add(self, execution: Execution, extra_change: Change | None = None) -> None:
        """Insert an execution and `extra_change`; nothing changes if its id is already stored.

        A failed commit is retried for a part of the call's own time.
        """
        values = row_of(self.with_stored_times(execution))

        def change(db: sqlite3.Connection) -> None:
            try:
                db.execute(f"insert into executions values ({PLACEHOLDERS})", values)
            except sqlite3.IntegrityError:
                if db.execute("select 1 from executions where id=?", (execution.id,)).fetchone() is None:
                    raise  # the name is another execution's
                return  # a commit that was reported as failed is durable, with `extra_change`
            if extra_change is not None:
                extra_change(db)

        time_left_us = execution.expires_at - self._loop.now()
        self.submit(change, time_left_us // STORING_TIME_DIVISOR)

    def upsert_recovered(self, executions: Sequence[Execution], withdrawn_ids: Sequence[str]) -> None:
        """Insert or overwrite executions, and delete those that were withdrawn."""
        rows = [row_of(self.with_stored_times(execution)) for execution in executions]

        def change(db: sqlite3.Connection) -> None:
            db.executemany(f"insert or replace into executions values ({PLACEHOLDERS})", rows)
            db.executemany("delete from executions where id=?", [(each,) for each in withdrawn_ids])

        self.submit(change)

    def update(self, execution: Execution, extra_change: Change | None = None) -> None:
        """Write an execution's status and result."""
        execution = self.with_stored_times(execution)
        values = (
            int(execution.intended),
            execution.status.value,
            execution.ended_at,
            execution.result,
            execution.error_type,
            execution.error_message,
            execution.id,
        )
        self._submit_statement(
            "update executions set intended=?, status=?, ended_at=?, result=?, error_type=?,"
            " error_message=? where id=?",
            values,
            extra_change,
        )

    def record_intent(self, execution_id: str, extra_change: Change | None = None) -> None:
        """Record that an attempt may be sent from now on."""
        self._submit_statement("update executions set intended=1 where id=?", (execution_id,), extra_change)

    def remove(self, execution_id: str, extra_change: Change | None = None) -> None:
        """Delete an execution."""
        self._submit_statement("delete from executions where id=?", (execution_id,), extra_change)

    def purge(self, ended_before_us: int, extra_change: Change | None = None) -> None:
        """Delete all executions that ended before a time."""
        values = (ExecutionStatus.RUNNING.value, self.clock.to_stored(ended_before_us))
        self._submit_statement("delete from executions where status<>? and ended_at<?", values, extra_change)

    def _submit_statement(
        self, statement: str, values: Sequence[object], extra_change: Change | None
    ) -> None:
        def change(db: sqlite3.Connection) -> None:
            db.execute(statement, values)
            if extra_change is not None:
                extra_change(db)

        self.submit(change)

    def load_open(self) -> list[Execution]:
        """Return all without a final status, soonest deadline first; at start, before the loop runs."""
        return self._select("where status=? order by expires_at", (ExecutionStatus.RUNNING.value,))

    def find(self, execution_id: str) -> Execution | None:
        """Return an execution by its id."""
        return next(iter(self._read("where id=?", (execution_id,))), None)

    def find_by_name(self, function: str, name: str) -> Execution | None:
        """Return the execution with a name within its function."""
        return next(iter(self._read("where function=? and name=?", (function, name))), None)

    def list_page(self, query: ExecutionQuery) -> ExecutionPage:
        """Return a page of a function's executions."""
        condition = self._condition_of(query)
        order = "desc" if query.newest_first else "asc"
        where = f"where {condition.sql} order by accepted_at {order}, id {order} limit ?"
        rows = self._read(where, (*condition.values, query.limit + 1))
        return ExecutionPage(rows[: query.limit], len(rows) > query.limit)

    def _condition_of(self, query: ExecutionQuery) -> _Condition:
        conditions = ["function=?"]
        values: list[object] = [query.function]
        if query.name is not None:
            conditions.append("name=?")
            values.append(query.name)
        if query.statuses:
            conditions.append(f"status in ({','.join('?' * len(query.statuses))})")
            values += [status.value for status in query.statuses]
        if query.accepted_after_us is not None:
            conditions.append("accepted_at>?")
            values.append(self.clock.to_stored(query.accepted_after_us))
        if query.accepted_before_us is not None:
            conditions.append("accepted_at<?")
            values.append(self.clock.to_stored(query.accepted_before_us))
        if query.cursor is not None:
            conditions.append(f"(accepted_at, id) {'<' if query.newest_first else '>'} (?, ?)")
            accepted_at_us, execution_id = query.cursor
            values += (self.clock.to_stored(accepted_at_us), execution_id)
        return _Condition(" and ".join(conditions), values)

    def _read(self, where: str, values: Sequence[object]) -> list[Execution]:
        return self._loop.run_blocking(self._select, where, values)

    def _select(self, where: str, values: Sequence[object]) -> list[Execution]:
        rows = self.select(f"select {COLUMNS} from executions {where}", values)
        return [self.with_epoch_times(execution_of(row)) for row in rows]

    def with_epoch_times(self, execution: Execution) -> Execution:
        """Convert an execution in stored time, as in rows and in entries of the own journal, to epochs."""
        return convert_times(execution, self.clock.to_epoch)

    def with_stored_times(self, execution: Execution) -> Execution:
        """Convert an execution with epochs to stored time, for rows and for entries of the own journal."""
        return convert_times(execution, self.clock.to_stored)
