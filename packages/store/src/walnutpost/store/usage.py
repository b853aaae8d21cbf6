"""The usage ledger on disk, in a file of its own: a full or slow disk then costs no call."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from walnutpost.eventloop import Loop
from walnutpost.metering import Account, Amount, Batch, Gap, Life, Line, Saved, Seen, Slice
from walnutpost.metering.records import DAY
from walnutpost.metering.reports import Kept
from walnutpost.store.database import COMMIT_RETRY_US, Database, StoreError

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
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder().decode
READ_LOCK_TIMEOUT_S = 1
SLICE_COLUMNS = 14
# Stored words: the keys of table `state`.
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


class UsageStore(Database):
    """The ledger of one front end."""

    def __init__(self, loop: Loop, path: Path) -> None:
        """Open or make the file. Raises StoreError."""
        super().__init__(loop, path, SCHEMA, COMMIT_RETRY_US)

    def load(self) -> tuple[Saved, LedgerRun]:
        """Return the ledger's state and its last run; at start, before the loop runs. Raises StoreError."""
        try:
            state = _state(self._db)
            saved = _saved(self._db, state, 0, 1 << 62)
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error
        query = (
            "select hour, tenant, function, cause, sum(best), sum(least), sum(most) from lines, accounts"
            f" where id=account and hour>={saved.drop_before} group by hour, id"
        )
        for hour, tenant, function, cause, *amount in self.select(query):
            if any(amount):
                saved.booked.setdefault(hour, {})[Account(tenant, function, cause)] = Amount(*amount)
        run = LedgerRun(state.get(RUN_STARTED, 0), state.get(RUN_WRITTEN, 0), state.get(RUN_AT_RISK, 0))
        return saved, run

    def write(self, batch: Batch, run: LedgerRun) -> None:
        """Return once all of it is durable, in one commit. Raises StoreError, and nothing is written."""
        self.submit(lambda db: write_batch(db, batch, run))


def write_batch(db: sqlite3.Connection, batch: Batch, run: LedgerRun) -> None:
    """Write a batch as part of a transaction. Raises sqlite3.DatabaseError if it isn't the next in order."""
    (last,) = db.execute("select coalesce(max(value), 0) from state where name=?", (SERIAL,)).fetchone()
    if last != batch.serial - 1:
        # Else lines would be booked twice: another process on the same file, or one written unknown to us.
        raise sqlite3.DatabaseError(f"found batch {last} in the ledger, wanted {batch.serial - 1}: restart")
    _write_observations(db, batch)
    _write_lines(db, batch)
    _write_state(db, batch, run)
    _delete_old(db, batch)


def _write_observations(db: sqlite3.Connection, batch: Batch) -> None:
    db.executemany(
        f"insert or replace into slices values ({','.join('?' * SLICE_COLUMNS)})",
        [_slice_row(each) for each in batch.slices],
    )
    db.executemany(
        "insert or replace into lives values (?, ?, ?, ?, ?, ?, ?)",
        [
            (x.worker, x.started, x.heard, x.memory_mb, x.change, x.forgotten_mb_us, int(x.draining))
            for x in batch.lives
        ],
    )
    db.executemany(
        "insert or replace into gaps values (?, ?, ?, ?)",
        [(gap.hour, gap.source, gap.cause, gap.most) for gap in batch.gaps],
    )
    db.executemany(
        "insert or replace into seen values (?, ?, ?, ?, ?, ?, ?, ?)",
        [(*seen.key, seen.amount.best, seen.amount.least, seen.amount.most) for seen in batch.seen],
    )


def _slice_row(each: Slice) -> tuple[object, ...]:
    return (
        each.worker,
        each.started,
        each.copy,
        each.hour,
        each.function,
        each.memory_mb,
        each.heard,
        int(each.ended),
        each.loading,
        each.unused,
        _encode(each.runs).decode(),
        _encode(each.after).decode(),
        each.first,
        _encode(sorted(each.doubts)).decode(),
    )


def _write_lines(db: sqlite3.Connection, batch: Batch) -> None:
    for line in batch.lines:
        account = line.account
        amount = line.amount
        key = (account.tenant, account.function, account.cause)
        db.execute("insert or ignore into accounts values (null, ?, ?, ?)", key)
        db.execute(
            "insert into lines select ?, id, ?, ?, ?, ?, ? from accounts"
            " where tenant=? and function=? and cause=?",
            (line.hour, line.kind, amount.best, amount.least, amount.most, line.at, *key),
        )


def _write_state(db: sqlite3.Connection, batch: Batch, run: LedgerRun) -> None:
    state = {
        SERIAL: batch.serial,
        CLOSED_TO: batch.closed_to,
        DROPPED_BEFORE: batch.drop_before,
        RUN_STARTED: run.started_us,
        RUN_WRITTEN: run.written_us,
        RUN_AT_RISK: run.at_risk_mb,
    }
    db.executemany("insert or replace into state values (?, ?)", list(state.items()))


def _delete_old(db: sqlite3.Connection, batch: Batch) -> None:
    for table in ("slices", "gaps", "seen"):
        db.execute(f"delete from {table} where hour<?", (batch.drop_before,))
    db.execute(
        "delete from lives where heard<? and started<(select max(started) from lives l"
        " where l.worker=lives.worker)",
        (batch.drop_before,),
    )
    # Lines by the hour become lines by the day; closed and corrected stay apart.
    db.execute(
        f"insert into days select hour/{DAY}*{DAY}, account, kind, sum(best), sum(least), sum(most)"
        f" from lines where hour<? group by hour/{DAY}, account, kind"
        " on conflict (day, account, kind) do update set"
        " best=best+excluded.best, least=least+excluded.least, most=most+excluded.most",
        (batch.fold_before,),
    )
    db.execute("delete from lines where hour<?", (batch.fold_before,))
    db.execute("delete from days where day<?", (batch.end_before,))


def read_ledger(path: Path, since: int, until: int, records: bool = True) -> Kept:
    """Return the hours from `since` to before `until` of a file that may be in use. Raises StoreError.

    Without `records`, workers' records are read only for hours that are not closed.
    """
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=READ_LOCK_TIMEOUT_S)
        try:
            db.execute("begin")  # one snapshot for all of it
            state = _state(db)
            records_since = since if records else max(since, state.get(CLOSED_TO, 0))
            ledger = Kept(_saved(db, state, records_since, until))
            ledger.lines.extend(_read_lines(db, since, until))
            ledger.days.extend(_read_days(db, since, until))
        finally:
            db.close()
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from error
    return ledger


def _read_lines(db: sqlite3.Connection, since: int, until: int) -> list[Line]:
    rows = db.execute(
        "select hour, tenant, function, cause, kind, best, least, most, at from lines, accounts"
        " where id=account and hour>=? and hour<? order by hour, id, at",
        (since, until),
    )
    return [_line(*row) for row in rows]


def _read_days(db: sqlite3.Connection, since: int, until: int) -> list[Line]:
    rows = db.execute(
        "select day, tenant, function, cause, kind, best, least, most, 0 from days, accounts"
        " where id=account and day>=? and day<? order by day, id",
        (since, until),
    )
    return [_line(*row) for row in rows]


def _line(
    hour: int, tenant: str, function: str, cause: str, kind: str, best: int, least: int, most: int, at: int
) -> Line:
    return Line(hour, Account(tenant, function, cause), kind, Amount(best, least, most), at)


def _state(db: sqlite3.Connection) -> dict[str, int]:
    return dict(db.execute("select name, value from state"))


def _saved(db: sqlite3.Connection, state: dict[str, int], since: int, until: int) -> Saved:
    """Return the state without the booked amounts."""
    span = "where hour>=? and hour<?"
    return Saved(
        _slices(db.execute(f"select * from slices {span}", (since, until))),
        [_life(*row) for row in db.execute("select * from lives")],
        [Gap(*row) for row in db.execute(f"select * from gaps {span}", (since, until))],
        [_seen(*row) for row in db.execute(f"select * from seen {span}", (since, until))],
        closed_to=state.get(CLOSED_TO, 0),
        drop_before=state.get(DROPPED_BEFORE, 0),
        serial=state.get(SERIAL, 0),
    )


def _life(
    worker: str, started: int, heard: int, memory_mb: int, change: int, forgotten: int, draining: int
) -> Life:
    return Life(worker, started, heard, memory_mb, change, forgotten, bool(draining))


def _seen(
    run: int, hour: int, worker: str, function: str, tenant: str, best: int, least: int, most: int
) -> Seen:
    return Seen(run, hour, worker, function, tenant, Amount(best, least, most))


def _slices(rows: Iterable[tuple[Any, ...]]) -> list[Slice]:
    slices = []
    for row in rows:
        worker, started, copy, hour, function, memory_mb, heard, ended, loading, unused = row[:10]
        runs, after, first, doubts = row[10:]
        counted = Slice(worker, started, copy, hour, function, memory_mb, heard, bool(ended), loading, unused)
        slices.append(
            msgspec.structs.replace(
                counted,
                runs=_decode(runs),
                after=_decode(after),
                first=first,
                doubts=frozenset(_decode(doubts)),
            )
        )
    return slices
