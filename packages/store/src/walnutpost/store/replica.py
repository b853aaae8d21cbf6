"""The disk of a replica of the control plane: its vote, its log and its snapshot, with group commit."""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from contextlib import closing
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec

from walnutpost.consensus import LogEntry, Members, PersistentState, Snapshot, Write
from walnutpost.eventloop import Loop
from walnutpost.store.database import Database, StoreError

FORMAT = 1
SCHEMA = """
create table if not exists replica (
    one integer primary key check (one = 1), format integer not null, identity text not null,
    term integer not null, voted text not null, snapshot blob not null
);
create table if not exists entries (place integer primary key, record blob not null);
create table if not exists past (place integer primary key, record blob not null);
"""
ALL_ENTRIES = "(select place, record from past union select place, record from entries)"
MAX_HISTORY_ENTRIES = 100_000
"""Entries before the snapshot that stay readable, by default."""
PERMANENT_CODES = {sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB}
"""Result codes of sqlite for a file that no later attempt can read."""
PRIMARY_CODE_MASK = 0xFF
"""An extended result code of sqlite has its primary code in the low byte."""
USER_VERSION_LIMIT = 1 << 31
"""`pragma user_version` is a signed integer of 32 bits."""
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
_entry_decoder = msgspec.msgpack.Decoder(LogEntry)


class UnreadableStateError(StoreError):
    """The file doesn't hold this replica's state, or less than it has acknowledged: a lost disk."""


def is_transient(error: StoreError) -> bool:
    """Whether a later attempt may succeed: EIO, ENOSPC, a lock; not a damaged file or a programming error."""
    cause = error.__cause__
    if isinstance(error, UnreadableStateError):
        return False
    if isinstance(cause, sqlite3.DatabaseError):
        code = getattr(cause, "sqlite_errorcode", sqlite3.SQLITE_IOERR) & PRIMARY_CODE_MASK
        return code not in PERMANENT_CODES
    return isinstance(cause, OSError | sqlite3.Error)


@dataclass(slots=True)
class DurableFloor:
    """The minimum that the file must hold, given the acknowledged writes.

    `last_index` counts only entries that no unacknowledged write may have replaced.
    """

    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0
    last_index: int = 0

    @classmethod
    def of_state(cls, state: PersistentState) -> DurableFloor:
        """Return the floor of a state that is durable completely."""
        last_index = state.snapshot.index + len(state.entries)
        return cls(state.term, state.voted_for, state.snapshot.index, last_index)

    def writes_started(self, writes: Sequence[Write]) -> None:
        """Take into account that these may be done in part: they may remove entries."""
        self.last_index = min(self.last_index, *(write.last_retained_index for write in writes))

    def writes_completed(self, writes: Sequence[Write]) -> None:
        """Take into account that these are durable."""
        for write in writes:
            self.term = write.term
            self.voted_for = write.voted_for
            self.last_index = min(self.last_index, write.last_retained_index)
            if write.entries:
                self.last_index = write.entries[-1].index
            if write.snapshot is not None:
                self.snapshot_index = write.snapshot.index
                self.last_index = max(self.last_index, self.snapshot_index)

    def describe_missing(self, state: PersistentState) -> str:
        """Return what `state` lacks, for people; empty if it has everything."""
        found = DurableFloor.of_state(state)
        if found.term < self.term:
            return f"term: found {found.term}, wanted {self.term} at least"
        if found.term == self.term and self.voted_for and found.voted_for != self.voted_for:
            return f"vote in term {self.term}: found {found.voted_for!r}, wanted {self.voted_for!r}"
        if found.snapshot_index < self.snapshot_index:
            return f"snapshot: found {found.snapshot_index}, wanted {self.snapshot_index} at least"
        if found.last_index < self.last_index:
            return f"last entry: found {found.last_index}, wanted {self.last_index} at least"
        return ""


@dataclass(frozen=True, slots=True)
class StoredConsensusState:
    """A file's content. `identity`: the replica's id, created with the file: a new file, a new id."""

    identity: str
    state: PersistentState


@dataclass(frozen=True, slots=True)
class HistoryPage:
    """Consecutive entries, oldest first. `first_index`: the oldest that the file still has, 0 for none."""

    first_index: int
    entries: list[LogEntry]


class ConsensusStore(Database):
    """The file of one replica.

    Opens or creates it; raises StoreError. Entries that a snapshot replaces stay readable as history, up to
    `max_history_entries` of them.
    """

    def __init__(self, loop: Loop, path: Path, max_history_entries: int = MAX_HISTORY_ENTRIES) -> None:
        super().__init__(loop, path, SCHEMA)
        self._path = path
        self._max_history_entries = max_history_entries
        self.floor = DurableFloor()

    def make_durable(self) -> None:
        """Return once everything that can be read from the file is durable. Raises StoreError; blocks.

        After a failed sync the kernel treats pages as clean that never reached the disk, and a reopened file
        shows them: a commit that was not acknowledged. No later sync writes those pages. So a new
        write shows that the disk accepts writes again, and the checkpoint writes each page of the log into
        the main file once more, and syncs that.
        """
        try:
            (version,) = self._db.execute("pragma user_version").fetchone()
            self._db.execute(f"pragma user_version = {(version + 1) % USER_VERSION_LIMIT}")
            is_busy, _, _ = self._db.execute("pragma wal_checkpoint(truncate)").fetchone()
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error
        if is_busy:
            raise StoreError("checkpoint: the file is locked") from sqlite3.OperationalError("locked")

    def load(self) -> StoredConsensusState | None:
        """Read the file; None if it is new. Raises StoreError; UnreadableStateError for invalid data."""
        rows = self.select("select format, identity, term, voted, snapshot from replica")
        if not rows:
            return None
        found_format, identity, term, voted_for, snapshot_record = rows[0]
        if found_format != FORMAT:
            raise UnreadableStateError(f"format {found_format}, wanted {FORMAT}")
        try:
            snapshot = _snapshot_decoder.decode(snapshot_record)
            records = self.select("select place, record from entries order by place")
            entries = tuple(_entry_decoder.decode(record) for _, record in records)
        except msgspec.MsgspecError as error:
            raise UnreadableStateError(f"a record that can't be read: {error}") from error
        first_index = snapshot.index + 1
        if [entry.index for entry in entries] != list(range(first_index, first_index + len(entries))):
            raise UnreadableStateError(f"entries that don't follow snapshot {snapshot.index} one by one")
        state = PersistentState(term, voted_for, snapshot, entries)
        self.floor = DurableFloor.of_state(state)
        return StoredConsensusState(identity, state)

    def create(self, identity: str, members: Members) -> StoredConsensusState:
        """Write the initial state to a new file, before the loop runs. Raises StoreError."""
        state = PersistentState(snapshot=Snapshot(0, 0, members, b""))
        values = (1, FORMAT, identity, 0, "", msgspec.msgpack.encode(state.snapshot))
        try:
            self._db.execute("insert into replica values (?, ?, ?, ?, ?, ?)", values)
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error
        return StoredConsensusState(identity, state)

    def write(self, writes: Sequence[Write]) -> None:
        """Return once all of them are durable, in their order, as one commit. Raises StoreError."""
        self.floor.writes_started(writes)
        self.submit(partial(self._write_all, writes))
        self.floor.writes_completed(writes)

    def _write_all(self, writes: Sequence[Write], db: sqlite3.Connection) -> None:
        for write in writes:
            db.execute("update replica set term = ?, voted = ?", (write.term, write.voted_for))
            db.execute("delete from entries where place > ?", (write.last_retained_index,))
            rows = [(entry.index, msgspec.msgpack.encode(entry)) for entry in write.entries]
            db.executemany("insert or replace into entries values (?, ?)", rows)
            if write.snapshot is not None:
                self._write_snapshot(write.snapshot, db)

    def _write_snapshot(self, snapshot: Snapshot, db: sqlite3.Connection) -> None:
        """Replace the snapshot and move the entries that it covers into the history."""
        db.execute("update replica set snapshot = ?", (msgspec.msgpack.encode(snapshot),))
        covered = (snapshot.index,)
        db.execute(
            "insert or replace into past select place, record from entries where place <= ?",
            covered,
        )
        db.execute("delete from entries where place <= ?", covered)
        if not db.execute("select 1 from past where place = ?", covered).fetchone():
            db.execute("delete from past")  # the snapshot was received: the history would have a hole
        db.execute("delete from past where place <= ?", (snapshot.index - self._max_history_entries,))

    def read_history(self, after: int, max_entries: int, last: int) -> HistoryPage:
        """Read the oldest entries with `after` < index <= `last`. Raises StoreError.

        May run beside commits: a reader of a WAL file waits for none of them.
        """
        try:
            with closing(sqlite3.connect(f"{self._path.absolute().as_uri()}?mode=ro", uri=True)) as db:
                (first_index,) = db.execute(f"select coalesce(min(place), 0) from {ALL_ENTRIES}").fetchone()
                rows = db.execute(
                    f"select record from {ALL_ENTRIES} where place > ? and place <= ? order by place limit ?",
                    (after, last, max_entries),
                ).fetchall()
            return HistoryPage(first_index, [_entry_decoder.decode(record) for (record,) in rows])
        except (sqlite3.Error, msgspec.MsgspecError) as error:
            raise StoreError(str(error)) from error
