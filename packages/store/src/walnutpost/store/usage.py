"""The usage ledger on disk, in a separate file: if its disk is full or slow, no call fails."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from walnutpost.eventloop import Loop
from walnutpost.metering import (
    DAY_US,
    Account,
    Amount,
    LedgerBatch,
    LedgerExtract,
    LedgerLine,
    LedgerState,
    UsageGap,
)
from walnutpost.store.database import COMMIT_RETRY_US, Database, StoreError
from walnutpost.store.usage_rows import IncarnationRow, LineRow, SampleRow, SliceRow

SCHEMA = """
create table if not exists slices (
    worker text not null, started integer not null, copy integer not null, hour integer not null,
    function text not null, memory_mb integer not null, heard integer not null, ended integer not null,
    loading integer not null, unused integer not null, runs text not null, after text not null, first text,
    doubts text not null, primary key (hour, worker, started, copy)
) without rowid;
create table if not exists lives (
    worker text not null, started integer not null, heard integer not null, memory_mb integer not null,
    change integer not null, forgotten_mb_us integer not null, draining integer not null,
    primary key (worker, started)
) without rowid;
create table if not exists gaps (
    hour integer not null, source text not null, cause text not null, most integer not null,
    primary key (hour, source, cause)
) without rowid;
create table if not exists seen (
    run integer not null, hour integer not null, worker text not null, function text not null,
    tenant text not null, best integer not null, least integer not null, most integer not null,
    primary key (hour, worker, function, tenant, run)
) without rowid;
create table if not exists accounts (
    id integer primary key, tenant text not null, function text not null, cause text not null,
    unique (tenant, function, cause)
);
create table if not exists lines (
    hour integer not null, account integer not null, kind text not null, best integer not null,
    least integer not null, most integer not null, at integer not null
);
create index if not exists lines_by_hour on lines (hour);
create table if not exists days (
    day integer not null, account integer not null, kind text not null, best integer not null,
    least integer not null, most integer not null, primary key (day, account, kind)
) without rowid;
create table if not exists state (name text primary key, value integer not null) without rowid;
"""
READ_LOCK_TIMEOUT_S = 1
# The keys of table `state`. They are stored and must not change.
SERIAL = "serial"
CLOSED_TO = "closed to"
DROPPED_BEFORE = "dropped before"
RUN_STARTED = "run"
RUN_WRITTEN = "run at"
RUN_AT_RISK = "at risk"


@dataclass(frozen=True, slots=True)
class LedgerRun:
    """The front end's incarnation that wrote the ledger last; times in microseconds.

    `at_risk_mb` was loaded then at workers that report no usage themselves; 0 after a clean shutdown.
    """

    started_us: int = 0
    written_us: int = 0
    at_risk_mb: int = 0


class SavedLedger(NamedTuple):
    """A ledger as it was found at start."""

    state: LedgerState
    last_run: LedgerRun


class UsageStore(Database):
    """The ledger of one front end. Opens or creates the file; raises StoreError."""

    def __init__(self, loop: Loop, path: Path) -> None:
        super().__init__(loop, path, SCHEMA, COMMIT_RETRY_US)

    def load(self) -> SavedLedger:
        """Return the ledger's state and its last run; at start, before the loop runs. Raises StoreError."""
        try:
            state = _state(self._db)
            saved = _saved(self._db, state, 0, 1 << 62)
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error
        query = (
            "select hour, tenant, function, cause, sum(best), sum(least), sum(most) from lines, accounts"
            f" where id=account and hour>={saved.drop_before_us} group by hour, id"
        )
        for hour, tenant, function, cause, *amount in self.select(query):
            if any(amount):
                saved.booked.setdefault(hour, {})[Account(tenant, function, cause)] = Amount(*amount)
        run = LedgerRun(state.get(RUN_STARTED, 0), state.get(RUN_WRITTEN, 0), state.get(RUN_AT_RISK, 0))
        return SavedLedger(saved, run)

    def write(self, batch: LedgerBatch, run: LedgerRun) -> None:
        """Return once all of it is durable, in one commit. Raises StoreError, and nothing is written."""
        self.submit(lambda db: write_batch(db, batch, run))


def write_batch(db: sqlite3.Connection, batch: LedgerBatch, run: LedgerRun) -> None:
    """Write a batch as part of a transaction. Raises sqlite3.DatabaseError if it isn't the next in order."""
    (last,) = db.execute("select coalesce(max(value), 0) from state where name=?", (SERIAL,)).fetchone()
    if last != batch.serial - 1:
        # Another process uses the file, or a batch reported as failed is in it: lines would count twice.
        raise sqlite3.DatabaseError(f"found batch {last} in the ledger, wanted {batch.serial - 1}: restart")
    _write_observations(db, batch)
    _write_lines(db, batch)
    _write_state(db, batch, run)
    _delete_old(db, batch)


def _write_observations(db: sqlite3.Connection, batch: LedgerBatch) -> None:
    db.executemany(
        f"insert or replace into slices values ({','.join('?' * len(SliceRow._fields))})",
        [SliceRow.of(each) for each in batch.slices],
    )
    db.executemany(
        "insert or replace into lives values (?, ?, ?, ?, ?, ?, ?)",
        [IncarnationRow.of(each) for each in batch.incarnations],
    )
    db.executemany(
        "insert or replace into gaps values (?, ?, ?, ?)",
        [(*gap.key, gap.upper_bound_mb_us) for gap in batch.gaps],
    )
    db.executemany(
        "insert or replace into seen values (?, ?, ?, ?, ?, ?, ?, ?)",
        [SampleRow.of(sample) for sample in batch.samples],
    )


def _write_lines(db: sqlite3.Connection, batch: LedgerBatch) -> None:
    for line in batch.lines:
        account = line.account
        amount = line.amount
        key = (account.tenant, account.function, account.cause)
        db.execute("insert or ignore into accounts values (null, ?, ?, ?)", key)
        db.execute(
            "insert into lines select ?, id, ?, ?, ?, ?, ? from accounts"
            " where tenant=? and function=? and cause=?",
            (
                line.hour_us,
                line.kind,
                amount.best,
                amount.lower_bound,
                amount.upper_bound,
                line.booked_us,
                *key,
            ),
        )


def _write_state(db: sqlite3.Connection, batch: LedgerBatch, run: LedgerRun) -> None:
    state = {
        SERIAL: batch.serial,
        CLOSED_TO: batch.closed_to_us,
        DROPPED_BEFORE: batch.drop_before_us,
        RUN_STARTED: run.started_us,
        RUN_WRITTEN: run.written_us,
        RUN_AT_RISK: run.at_risk_mb,
    }
    db.executemany("insert or replace into state values (?, ?)", list(state.items()))


def _delete_old(db: sqlite3.Connection, batch: LedgerBatch) -> None:
    for table in ("slices", "gaps", "seen"):
        db.execute(f"delete from {table} where hour<?", (batch.drop_before_us,))
    db.execute(
        "delete from lives where heard<? and started<(select max(started) from lives l"
        " where l.worker=lives.worker)",
        (batch.drop_before_us,),
    )
    # Hourly lines are summed up by the day, closed ones and corrections apart.
    db.execute(
        f"insert into days select hour/{DAY_US}*{DAY_US}, account, kind, sum(best), sum(least), sum(most)"
        f" from lines where hour<? group by hour/{DAY_US}, account, kind"
        " on conflict (day, account, kind) do update set"
        " best=best+excluded.best, least=least+excluded.least, most=most+excluded.most",
        (batch.fold_before_us,),
    )
    db.execute("delete from lines where hour<?", (batch.fold_before_us,))
    db.execute("delete from days where day<?", (batch.delete_before_us,))


def read_ledger(path: Path, since_us: int, until_us: int, records: bool = True) -> LedgerExtract:
    """Return the hours from `since_us` to before `until_us` of a file that may be in use. Raises StoreError.

    Without `records`, workers' records are read only for hours that are not closed.
    """
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=READ_LOCK_TIMEOUT_S)
        try:
            db.execute("begin")  # all reads see one snapshot
            state = _state(db)
            records_since_us = since_us if records else max(since_us, state.get(CLOSED_TO, 0))
            extract = LedgerExtract(_saved(db, state, records_since_us, until_us))
            extract.hour_lines.extend(_read_lines(db, since_us, until_us))
            extract.day_lines.extend(_read_days(db, since_us, until_us))
        finally:
            db.close()
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from error
    return extract


def _read_lines(db: sqlite3.Connection, since_us: int, until_us: int) -> list[LedgerLine]:
    rows = db.execute(
        "select hour, tenant, function, cause, kind, best, least, most, at from lines, accounts"
        " where id=account and hour>=? and hour<? order by hour, id, at",
        (since_us, until_us),
    )
    return [LineRow(*row).to_line() for row in rows]


def _read_days(db: sqlite3.Connection, since_us: int, until_us: int) -> list[LedgerLine]:
    rows = db.execute(
        "select day, tenant, function, cause, kind, best, least, most, 0 from days, accounts"
        " where id=account and day>=? and day<? order by day, id",
        (since_us, until_us),
    )
    return [LineRow(*row).to_line() for row in rows]


def _state(db: sqlite3.Connection) -> dict[str, int]:
    return dict(db.execute("select name, value from state"))


def _saved(db: sqlite3.Connection, state: dict[str, int], since_us: int, until_us: int) -> LedgerState:
    """Return the state without the booked amounts."""
    span = "where hour>=? and hour<?"
    values = (since_us, until_us)
    return LedgerState(
        [SliceRow(*row).to_slice() for row in db.execute(f"select * from slices {span}", values)],
        [IncarnationRow(*row).to_incarnation() for row in db.execute("select * from lives")],
        [UsageGap(*row) for row in db.execute(f"select * from gaps {span}", values)],
        [SampleRow(*row).to_sample() for row in db.execute(f"select * from seen {span}", values)],
        closed_to_us=state.get(CLOSED_TO, 0),
        drop_before_us=state.get(DROPPED_BEFORE, 0),
        serial=state.get(SERIAL, 0),
    )
