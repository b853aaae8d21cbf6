"""The ledger of memory-time on disk, in a file of its own: a full or slow disk then costs no call."""

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
_ENCODE, _DECODE = msgspec.json.Encoder().encode, msgspec.json.Decoder().decode
SERIAL, CLOSED_TO, DROPPED, RUN, RUN_AT, AT_RISK = (
    "serial",
    "closed to",
    "dropped before",
    "run",
    "run at",
    "at risk",
)


@dataclass(frozen=True, slots=True)
class Run:
    """The front end's life as last written; `at_risk` MB stood then that no worker counts; 0 where it ended
    in order."""

    started: int = 0
    at: int = 0
    at_risk: int = 0


class UsageStore(Database):
    def __init__(self, loop: Loop, path: Path) -> None:
        super().__init__(loop, path, SCHEMA, COMMIT_RETRY_US)

    def saved(self) -> tuple[Saved, Run]:
        """Read at start, before the loop runs."""
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
        return saved, Run(state.get(RUN, 0), state.get(RUN_AT, 0), state.get(AT_RISK, 0))

    def write(self, batch: Batch, run: Run) -> None:
        """Waits until all of it is durable, as one; raises StoreError, and nothing of it stands."""
        self.change(lambda db: write_batch(db, batch, run))


def write_batch(db: sqlite3.Connection, batch: Batch, run: Run) -> None:
    (before,) = db.execute("select coalesce(max(value), 0) from state where name=?", (SERIAL,)).fetchone()
    if before != batch.serial - 1:
        # Else lines would be booked twice: another process on the same file, or one written unknown to us.
        raise sqlite3.DatabaseError(f"found batch {before} in the ledger, wanted {batch.serial - 1}: restart")
    db.executemany(
        f"insert or replace into slices values ({','.join('?' * 14)})",
        [
            (
                s.worker,
                s.started,
                s.copy,
                s.hour,
                s.function,
                s.memory_mb,
                s.heard,
                int(s.ended),
                s.loading,
                s.unused,
                _ENCODE(s.runs).decode(),
                _ENCODE(s.after).decode(),
                s.first,
                _ENCODE(sorted(s.doubts)).decode(),
            )
            for s in batch.slices
        ],
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
        [(g.hour, g.source, g.cause, g.most) for g in batch.gaps],
    )
    db.executemany(
        "insert or replace into seen values (?, ?, ?, ?, ?, ?, ?, ?)",
        [(*s.key, s.amount.best, s.amount.least, s.amount.most) for s in batch.seen],
    )
    for line in batch.lines:
        a, m = line.account, line.amount
        db.execute("insert or ignore into accounts values (null, ?, ?, ?)", (a.tenant, a.function, a.cause))
        db.execute(
            "insert into lines select ?, id, ?, ?, ?, ?, ? from accounts"
            " where tenant=? and function=? and cause=?",
            (line.hour, line.kind, m.best, m.least, m.most, line.at, a.tenant, a.function, a.cause),
        )
    state = {
        SERIAL: batch.serial,
        CLOSED_TO: batch.closed_to,
        DROPPED: batch.drop_before,
        RUN: run.started,
        RUN_AT: run.at,
        AT_RISK: run.at_risk,
    }
    db.executemany("insert or replace into state values (?, ?)", list(state.items()))
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
    """The hours from `since` to before `until` of a file that may be in use; raises StoreError. Without
    `records`, workers' records are read for hours that are not closed, only."""
    lines = (
        "select hour, tenant, function, cause, kind, best, least, most, at from lines, accounts"
        " where id=account and hour>=? and hour<? order by hour, id, at"
    )
    days = (
        "select day, tenant, function, cause, kind, best, least, most, 0 from days, accounts"
        " where id=account and day>=? and day<? order by day, id"
    )
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=1)
        try:
            db.execute("begin")  # one moment for all of it
            span = (since, until)
            state = _state(db)
            kept = Kept(_saved(db, state, since if records else max(since, state.get(CLOSED_TO, 0)), until))
            for query, out in ((lines, kept.lines), (days, kept.days)):
                for hour, tenant, function, cause, kind, best, least, most, at in db.execute(query, span):
                    account, amount = Account(tenant, function, cause), Amount(best, least, most)
                    out.append(Line(hour, account, kind, amount, at))
        finally:
            db.close()
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from error
    return kept


def _state(db: sqlite3.Connection) -> dict[str, int]:
    return dict(db.execute("select name, value from state"))


def _saved(db: sqlite3.Connection, state: dict[str, int], since: int, until: int) -> Saved:
    """All but what is booked."""
    span = "where hour>=? and hour<?"
    return Saved(
        _slices(db.execute(f"select * from slices {span}", (since, until))),
        [_life(*row) for row in db.execute("select * from lives")],
        [Gap(*row) for row in db.execute(f"select * from gaps {span}", (since, until))],
        [_seen(*row) for row in db.execute(f"select * from seen {span}", (since, until))],
        closed_to=state.get(CLOSED_TO, 0),
        drop_before=state.get(DROPPED, 0),
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
    out = []
    for worker, started, copy, hour, function, mb, heard, ended, *counts, runs, after, first, doubts in rows:
        loading, unused = counts
        s = Slice(worker, started, copy, hour, function, mb, heard, bool(ended), loading, unused)
        runs, after, doubts = _DECODE(runs), _DECODE(after), frozenset(_DECODE(doubts))
        out.append(msgspec.structs.replace(s, runs=runs, after=after, first=first, doubts=doubts))
    return out
