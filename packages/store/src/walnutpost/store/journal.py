"""Journals on disk: this process's own and its replicas of others', in the file of the executions.

One commit makes a call's row and its journal entry durable, so that neither is ever without the other.
docs/recovery.md compares this with a log of files and with lmdb.
"""

from __future__ import annotations

import secrets
import sqlite3
from collections.abc import Sequence
from typing import NamedTuple

from walnutpost.eventloop import Loop
from walnutpost.journal import (
    AnyRecord,
    AttemptIntended,
    BatchWrite,
    CallAccepted,
    CallEnded,
    CallWithdrawn,
    CorruptEntryError,
    IntervalSet,
    JournalBatch,
    JournalEntry,
    ResultsPurged,
    call_id_of,
    encode_entry,
    make_batch,
)
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
READ_CHUNK_ENTRIES = 512  # entries read at a time

# Values of column lines.kind, on which _purge selects. They are stored and must not change with class names.
KINDS: dict[type[AnyRecord], str] = {
    CallAccepted: "accepted",
    AttemptIntended: "intended",
    CallEnded: "ended",
    CallWithdrawn: "withdrawn",
    ResultsPurged: "purged",
}
CORRUPT_KIND = "bad"  # of an entry whose bytes can't be read


class EntryAppend:
    """A Change that gives `record` the next number of a journal; `entry` is set once it is durable."""

    def __init__(self, origin: str, record: AnyRecord) -> None:
        self._origin = origin
        self._record = record
        self.entry = JournalEntry(0, b"", 0)

    def __call__(self, db: sqlite3.Connection) -> None:
        """Write the entry as part of a commit."""
        # Numbered within the commit: the numbers of a failed one are used again: no replica was sent them.
        (seq,) = db.execute(
            "update journals set upto = upto + 1 where origin = ? returning upto", (self._origin,)
        ).fetchone()
        self.entry = encode_entry(seq, self._record)
        _insert(db, self._origin, self.entry, self._record)


class StoredJournal(NamedTuple):
    """The part of a journal that is stored here: the numbers accounted for, and their entries."""

    covered: IntervalSet
    entries: list[JournalEntry]


class JournalStore:
    """Journals in a database's file, opened before the loop runs.

    Raises StoreError if the file is not `name`'s. `own_origin` is the name of this process and its disk id: a
    new disk begins a new journal.
    `offsets`: up to which number each journal is here without a gap.
    """

    def __init__(self, loop: Loop, database: Database, name: str) -> None:
        self._loop = loop
        self._database = database
        database.create_tables(SCHEMA)
        rows = database.select("select origin, own, upto from journals")
        own_origins = [origin for origin, is_own, _ in rows if is_own]
        if own_origins and own_origins[0].rpartition("#")[0] != name:
            raise StoreError(f"the journal here is {own_origins[0]}'s, wanted {name}'s")
        self.own_origin = own_origins[0] if own_origins else f"{name}#{secrets.token_hex(6)}"
        if not own_origins:
            database.commit_at_startup(
                lambda db: db.execute("insert into journals values (?, 1, 0)", (self.own_origin,))
            )
        self.offsets = {origin: upto for origin, _, upto in rows}
        self.offsets.setdefault(self.own_origin, 0)

    @property
    def disk_id(self) -> str:
        """The identity of this disk, made with the file."""
        return self.own_origin.rpartition("#")[2]

    def new_append(self, record: AnyRecord) -> EntryAppend:
        """Return a change to be committed with what the record is about; then call `mark_durable`."""
        return EntryAppend(self.own_origin, record)

    def mark_durable(self, append: EntryAppend) -> None:
        """Advance the own journal's offset after the commit of `append`."""
        self.offsets[self.own_origin] = max(self.offsets[self.own_origin], append.entry.seq)

    def append_durably(self, record: AnyRecord) -> EntryAppend:
        """Append to the own journal; return once it is durable. Raises StoreError."""
        append = self.new_append(record)
        self._database.submit(append)
        self.mark_durable(append)
        return append

    def write_batch(self, write: BatchWrite) -> None:
        """Write entries of another's journal; return once they are durable. Raises StoreError."""

        def change(db: sqlite3.Connection) -> None:
            db.execute(
                "insert into journals values (?, 0, ?) on conflict (origin)"
                " do update set upto = excluded.upto",
                (write.origin, write.upto),
            )
            for entry in write.entries:
                _insert(db, write.origin, entry, _decode(entry))

        self._database.submit(change)
        self.offsets[write.origin] = max(self.offsets.get(write.origin, 0), write.upto)

    def read_batch(self, origin: str, after: int, upto: int, max_bytes: int) -> JournalBatch:
        """Return a batch of the entries in (after, upto], or as many as fit `max_bytes`, at least one.

        It is empty if all of them were purged. All up to `upto` must be durable here. Raises StoreError.
        """
        return self._loop.run_blocking(self._read_batch, origin, after, upto, max_bytes)

    def _read_batch(self, origin: str, after: int, upto: int, max_bytes: int) -> JournalBatch:
        entries: list[JournalEntry] = []
        size_bytes = 0
        last = after
        while last < upto:
            chunk = self._read(
                "where origin = ? and seq > ? and seq <= ? order by seq limit ?",
                (origin, last, upto, READ_CHUNK_ENTRIES),
            )
            if not chunk:
                last = upto  # the other entries were purged
            for entry in chunk:
                if entries and size_bytes + entry.size_bytes > max_bytes:
                    return make_batch(origin, after, last, entries)
                entries.append(entry)
                size_bytes += entry.size_bytes
                last = entry.seq
        return make_batch(origin, after, max(last, upto), entries)

    def read_journal(self, origin: str) -> StoredJournal:
        """Return the part of a journal that is stored here. Raises StoreError."""
        entries = self._loop.run_blocking(self._read, "where origin = ? order by seq", (origin,))
        return StoredJournal(IntervalSet([(0, self.offsets.get(origin, 0))]), entries)

    def read_call_entries(self, call_id: str) -> list[JournalEntry]:
        """Return the entries about a call in all journals here. Raises StoreError."""
        return self._loop.run_blocking(self._read, "where call = ?", (call_id,))

    def _read(self, where: str, values: Sequence[object]) -> list[JournalEntry]:
        rows = self._database.select(f"select seq, data, sum from lines {where}", values)
        return [JournalEntry(*row) for row in rows]


def _insert(db: sqlite3.Connection, origin: str, entry: JournalEntry, record: AnyRecord | None) -> None:
    """Insert an entry with its record, None if that can't be read."""
    db.execute(
        "insert into lines values (?, ?, ?, ?, ?, ?, ?)",
        (
            origin,
            entry.seq,
            KINDS[type(record)] if record is not None else CORRUPT_KIND,
            call_id_of(record) if record is not None else None,
            record.expires_at_us if isinstance(record, CallAccepted) else None,
            entry.data,
            entry.checksum,
        ),
    )
    if isinstance(record, ResultsPurged):
        _purge(db, origin, record.ended_before_us, entry.seq)


def _decode(entry: JournalEntry) -> AnyRecord | None:
    try:
        return entry.decode()
    except CorruptEntryError:  # another replica may have it intact; this one stores it as received
        return None


def _purge(db: sqlite3.Connection, origin: str, before_us: int, seq: int) -> None:
    """Delete the entries of calls that expired before a time, and older purge records.

    Open calls are included: a replica that has the first entry of a call but never received the last must not
    show the call as open without end.
    """
    db.execute(
        "delete from lines where origin = ?1 and call in"
        " (select call from lines where origin = ?1 and kind = 'accepted' and at < ?2)",
        (origin, before_us),
    )
    db.execute("delete from lines where origin = ? and kind = 'purged' and seq < ?", (origin, seq))
