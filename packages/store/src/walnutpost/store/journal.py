"""Journals on disk: this process's own and those that it holds for others, in the file of the executions.

One commit makes a call's row and its line durable, so that neither is ever without the other. Weighed in
docs/recovery.md against a log of files and lmdb.
"""

from __future__ import annotations

import secrets
import sqlite3
from collections.abc import Sequence

from walnutpost.eventloop import Loop
from walnutpost.journal import (
    Accepted,
    BadLine,
    Batch,
    Line,
    Purged,
    Spans,
    Take,
    batch,
    call_of,
    line,
)
from walnutpost.journal.records import Any_
from walnutpost.store.database import Database, StoreError

SCHEMA = """
create table if not exists journals (
    origin text primary key, own integer not null, upto integer not null
) without rowid;
create table if not exists lines (
    origin text not null, seq integer not null, kind text not null, call text, at integer,
    data blob not null, sum integer not null, primary key (origin, seq)
);
create index if not exists lines_by_call on lines (call, origin);
create index if not exists lines_by_time on lines (origin, kind, at);
"""
READ_MOST = 512  # lines read at a time


class Appending:
    """A Change that gives `record` the next number; `line` is set once it is durable."""

    def __init__(self, origin: str, record: Any_) -> None:
        self._origin = origin
        self._record = record
        self.line = Line(0, b"", 0)

    def __call__(self, db: sqlite3.Connection) -> None:
        # Numbered within the commit: one that fails gives its numbers back, and nobody was told of them.
        (seq,) = db.execute(
            "update journals set upto = upto + 1 where origin = ? returning upto", (self._origin,)
        ).fetchone()
        self.line = line(seq, self._record)
        _insert(db, self._origin, self.line, self._record)


class JournalStore:
    """`own`: this process's journal, by its name and its disk: another disk is another journal. `known`:
    up to where each journal is held here without a hole."""

    def __init__(self, loop: Loop, store: Database, name: str) -> None:
        self._loop = loop
        self._store = store
        store.make(SCHEMA)
        rows = store.select("select origin, own, upto from journals")
        own = [origin for origin, mine, _ in rows if mine]
        if own and own[0].rpartition("#")[0] != name:
            raise StoreError(f"the journal here is {own[0]}'s, wanted {name}'s")
        self.own = own[0] if own else f"{name}#{secrets.token_hex(6)}"
        if not own:
            store.change_now(lambda db: db.execute("insert into journals values (?, 1, 0)", (self.own,)))
        self.known = {origin: upto for origin, _, upto in rows}
        self.known.setdefault(self.own, 0)

    @property
    def disk(self) -> str:
        return self.own.rpartition("#")[2]

    def append(self, record: Any_) -> Appending:
        """To be committed with what it tells of; then `appended`."""
        return Appending(self.own, record)

    def appended(self, done: Appending) -> None:
        self.known[self.own] = max(self.known[self.own], done.line.seq)

    def write(self, record: Any_) -> Appending:
        """Returns once it is durable; raises StoreError."""
        change = self.append(record)
        self._store.change(change)
        self.appended(change)
        return change

    def take(self, take: Take) -> None:
        """Returns once it is durable; raises StoreError."""

        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "insert into journals values (?, 0, ?) on conflict (origin)"
                " do update set upto = excluded.upto",
                (take.origin, take.upto),
            )
            for found in take.lines:
                _insert(db, take.origin, found, _read_line(found))

        self._store.change(change)
        self.known[take.origin] = max(self.known.get(take.origin, 0), take.upto)

    def batch(self, origin: str, after: int, upto: int, bytes_most: int) -> Batch:
        """What follows `after`, no further than `upto`, which must be durable here; raises StoreError."""
        return self._loop.blocking(self._batch, origin, after, upto, bytes_most)

    def _batch(self, origin: str, after: int, upto: int, bytes_most: int) -> Batch:
        found: list[Line] = []
        size, last = 0, after
        while last < upto:
            rows = self._read(
                "where origin = ? and seq > ? and seq <= ? order by seq limit ?",
                (origin, last, upto, READ_MOST),
            )
            if not rows:
                last = upto  # the rest were of calls that are no longer kept
            for row in rows:
                if found and size + row.size > bytes_most:
                    return batch(origin, after, last, found)
                found.append(row)
                size, last = size + row.size, row.seq
        return batch(origin, after, max(last, upto), found)

    def held(self, origin: str) -> tuple[Spans, list[Line]]:
        """All of a journal that is here: the numbers accounted for, and the lines; raises StoreError."""
        lines = self._loop.blocking(self._read, "where origin = ? order by seq", (origin,))
        return Spans([(0, self.known.get(origin, 0))]), lines

    def of_call(self, call: str) -> list[Line]:
        """What any journal here says of it; raises StoreError."""
        return self._loop.blocking(self._read, "where call = ?", (call,))

    def _read(self, where: str, values: Sequence[object]) -> list[Line]:
        return [Line(*row) for row in self._store.select(f"select seq, data, sum from lines {where}", values)]


def _insert(db: sqlite3.Connection, origin: str, found: Line, record: Any_ | None) -> None:
    """`record` is what the line says, None where it can't be read."""
    db.execute(
        "insert into lines values (?, ?, ?, ?, ?, ?, ?)",
        (
            origin,
            found.seq,
            type(record).__name__.lower() if record is not None else "bad",
            call_of(record) if record is not None else None,
            record.expires_at if isinstance(record, Accepted) else None,
            found.data,
            found.sum,
        ),
    )
    if isinstance(record, Purged):
        _purge(db, origin, record.ended_before, found.seq)


def _read_line(found: Line) -> Any_ | None:
    try:
        return found.record()
    except BadLine:  # another copy may have it whole; this one keeps its place and the proof
        return None


def _purge(db: sqlite3.Connection, origin: str, before: int, seq: int) -> None:
    """Lines of calls whose time was over before that, not only ended: a holder that has the first line of a
    call, and never gets the last, must be able to tell by the first alone that it is no longer open."""
    db.execute(
        "delete from lines where origin = ?1 and call in"
        " (select call from lines where origin = ?1 and kind = 'accepted' and at < ?2)",
        (origin, before),
    )
    db.execute("delete from lines where origin = ? and kind = 'purged' and seq < ?", (origin, seq))
