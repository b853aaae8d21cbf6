"""Deferred calls on disk. Their times are stored time (stored_time.py), converted here alone: callers give
and get epochs of the loop's clock."""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass, fields, replace
from pathlib import Path

from walnutpost.eventloop import Loop
from walnutpost.gateway import Execution, Status
from walnutpost.store.database import COMMIT_RETRY_US, Change, Database, StoreError
from walnutpost.store.time_marks import StoredClock

# With rowids: in an index of its own, a row of a kilobyte would take a page of four besides.
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
STORING_SHARE = 2  # half of a call's time is for its function
COLUMNS = tuple(f.name for f in fields(Execution))


@dataclass(frozen=True, slots=True)
class Listing:
    """A page of one function's executions, in order of acceptance or the reverse. Times in microseconds,
    exclusive; `marker` is acceptance and id of the last one seen."""

    function: str
    name: str | None
    statuses: frozenset[Status]
    after: int | None
    before: int | None
    reverse: bool
    marker: tuple[int, str] | None
    most: int


class ExecutionStore(Database):
    """One process's executions."""

    def __init__(self, loop: Loop, path: Path) -> None:
        super().__init__(loop, path, SCHEMA, COMMIT_RETRY_US)
        self.clock = StoredClock(loop, self, self._newest_epoch())

    def _newest_epoch(self) -> int | None:
        """When a process certainly still ran that kept no time marks."""
        ((accepted, ended),) = self.select("select max(accepted_at), max(ended_at) from executions")
        return None if accepted is None else max(accepted, ended)

    # Changes

    def add(self, execution: Execution, also: Change | None = None) -> None:
        """`also` becomes durable with it, or not at all. A commit that fails is tried again for a part of
        the call's own time."""
        marks = ",".join("?" * len(COLUMNS))
        values = self._row(execution)

        def change(db: sqlite3.Connection) -> None:
            try:
                db.execute(f"insert into executions values ({marks})", values)
            except sqlite3.IntegrityError:
                if db.execute("select 1 from executions where id=?", (execution.id,)).fetchone() is None:
                    raise  # another's name
                return  # a commit that was reported as failed stands, and `also` with it
            if also is not None:
                also(db)

        self.change(change, (execution.expires_at - self._loop.now()) // STORING_SHARE)

    def put(self, executions: Sequence[Execution], gone: Sequence[str]) -> None:
        """These as they are, in place of what is known of them; `gone`: ids that are no longer known."""
        marks = ",".join("?" * len(COLUMNS))
        rows = [self._row(e) for e in executions]

        def change(db: sqlite3.Connection) -> None:
            db.executemany(f"insert or replace into executions values ({marks})", rows)
            db.executemany("delete from executions where id=?", [(ident,) for ident in gone])

        self.change(change)

    def update(self, execution: Execution, also: Change | None = None) -> None:
        values = (
            int(execution.intended),
            execution.status.value,
            self._to_stored(execution.ended_at),
            execution.result,
            execution.error_type,
            execution.error_message,
            execution.id,
        )

        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "update executions set intended=?, status=?, ended_at=?, result=?, error_type=?,"
                " error_message=? where id=?",
                values,
            )
            if also is not None:
                also(db)

        self.change(change)

    def intend(self, ident: str, also: Change | None = None) -> None:
        """Notes that an attempt may leave from now on."""
        self._run("update executions set intended=1 where id=?", (ident,), also)

    def remove(self, ident: str, also: Change | None = None) -> None:
        self._run("delete from executions where id=?", (ident,), also)

    def purge(self, ended_before: int, also: Change | None = None) -> None:
        running = Status.RUNNING.value
        text = "delete from executions where status<>? and ended_at<?"
        self._run(text, (running, self.clock.to_stored(ended_before)), also)

    def _run(self, text: str, values: Sequence[object], also: Change | None) -> None:
        def change(db: sqlite3.Connection) -> None:
            db.execute(text, values)
            if also is not None:
                also(db)

        self.change(change)

    # Reading

    def open_executions(self) -> list[Execution]:
        """All that have no fate yet, soonest deadline first; read at start, before the loop runs."""
        return self._select("where status=? order by expires_at", (Status.RUNNING.value,))

    def find(self, ident: str) -> Execution | None:
        return next(iter(self._read("where id=?", (ident,))), None)

    def named(self, function: str, name: str) -> Execution | None:
        return next(iter(self._read("where function=? and name=?", (function, name))), None)

    def page(self, wanted: Listing) -> tuple[list[Execution], bool]:
        """Those wanted, and whether there are more after them."""
        where, values = ["function=?"], list[object]([wanted.function])
        if wanted.name is not None:
            where.append("name=?")
            values.append(wanted.name)
        if wanted.statuses:
            where.append(f"status in ({','.join('?' * len(wanted.statuses))})")
            values += [s.value for s in wanted.statuses]
        for bound, sign in ((wanted.after, ">"), (wanted.before, "<")):
            if bound is not None:
                where.append(f"accepted_at{sign}?")
                values.append(self.clock.to_stored(bound))
        if wanted.marker is not None:
            where.append(f"(accepted_at, id) {'<' if wanted.reverse else '>'} (?, ?)")
            accepted_at, ident = wanted.marker
            values += (self.clock.to_stored(accepted_at), ident)
        order = "desc" if wanted.reverse else "asc"
        text = f"where {' and '.join(where)} order by accepted_at {order}, id {order} limit ?"
        rows = self._read(text, (*values, wanted.most + 1))
        return rows[: wanted.most], len(rows) > wanted.most

    def _read(self, where: str, values: Sequence[object]) -> list[Execution]:
        return self._loop.blocking(self._select, where, values)

    def _select(self, where: str, values: Sequence[object]) -> list[Execution]:
        try:
            self._end_transaction()  # nothing uncommitted is shown
            rows = self._db.execute(f"select {','.join(COLUMNS)} from executions {where}", values).fetchall()
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error
        return [self._execution(row) for row in rows]

    # Times

    def _to_stored(self, epoch_us: int) -> int:
        return self.clock.to_stored(epoch_us) if epoch_us else 0  # 0: not yet

    def _row(self, e: Execution) -> tuple[object, ...]:
        accepted_at, expires_at = self._to_stored(e.accepted_at), self._to_stored(e.expires_at)
        return _row(
            replace(e, accepted_at=accepted_at, expires_at=expires_at, ended_at=self._to_stored(e.ended_at))
        )

    def _execution(self, row: Sequence[object]) -> Execution:
        return self.read_stored(_execution(row))

    def read_stored(self, e: Execution) -> Execution:
        """One whose times are stored time, as in rows and in lines of the own journal, in epochs."""
        read = self.clock.to_epoch
        ended_at = read(e.ended_at) if e.ended_at else 0
        return replace(e, accepted_at=read(e.accepted_at), expires_at=read(e.expires_at), ended_at=ended_at)


def _row(e: Execution) -> tuple[object, ...]:
    values = [getattr(e, column) for column in COLUMNS]
    return tuple(v.value if isinstance(v, Status) else int(v) if isinstance(v, bool) else v for v in values)


def _execution(row: Sequence[object]) -> Execution:
    told = dict(zip(COLUMNS, row, strict=True))
    told["status"], told["intended"] = Status(told["status"]), bool(told["intended"])
    return Execution(**told)  # type: ignore[arg-type]
