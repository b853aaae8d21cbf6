"""A keeper's vote, log and snapshot on disk: one commit for all writes that wait."""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from contextlib import closing
from dataclasses import dataclass
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
UNREADABLE_CODES = {sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB}  # of sqlite: no later try reads it
PRIMARY_CODE_MASK = 0xFF  # an extended result code carries its primary one in the low byte
_snapshots = msgspec.msgpack.Decoder(Snapshot)
_entries = msgspec.msgpack.Decoder(LogEntry)


class UnreadableStateError(StoreError):
    """What is on the disk is not this replica's state, or less than it has answered for: a lost disk."""


def may_pass(error: StoreError) -> bool:
    """Whether it is a fault of the disk that may be over at a later try (EIO, ENOSPC, a lock), rather than a
    file that is damaged or an error of this program."""
    cause = error.__cause__
    if isinstance(error, UnreadableStateError):
        return False
    if isinstance(cause, sqlite3.DatabaseError):
        code = getattr(cause, "sqlite_errorcode", sqlite3.SQLITE_IOERR) & PRIMARY_CODE_MASK
        return code not in UNREADABLE_CODES
    return isinstance(cause, OSError | sqlite3.Error)


@dataclass(slots=True)
class DurableFloor:
    """The least that the file holds, by the writes that were acknowledged: what a replica may have answered
    for. `last_index` counts only entries that no unacknowledged write may have replaced."""

    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0
    last_index: int = 0

    @classmethod
    def of(cls, state: PersistentState) -> DurableFloor:
        last_index = state.snapshot.index + len(state.entries)
        return cls(state.term, state.voted_for, state.snapshot.index, last_index)

    def before(self, writes: Sequence[Write]) -> None:
        """These are about to be written, and may be done in part: they may take entries away."""
        self.last_index = min(self.last_index, *(write.last_retained_index for write in writes))

    def after(self, writes: Sequence[Write]) -> None:
        """These are durable."""
        for write in writes:
            self.term, self.voted_for = write.term, write.voted_for
            self.last_index = min(self.last_index, write.last_retained_index)
            if write.entries:
                self.last_index = write.entries[-1].index
            if write.snapshot is not None:
                self.snapshot_index = write.snapshot.index
                self.last_index = max(self.last_index, self.snapshot_index)

    def missing_from(self, state: PersistentState) -> str:
        """What of it `state` lacks, for people; empty where it holds all."""
        found = DurableFloor.of(state)
        if found.term < self.term:
            return f"term: found {found.term}, wanted {self.term} at least"
        if found.term == self.term and self.voted_for and found.voted_for != self.voted_for:
            return f"vote in term {self.term}: found {found.voted_for!r}, wanted {self.voted_for!r}"
        if found.snapshot_index < self.snapshot_index:
            return f"snapshot: found {found.snapshot_index}, wanted {self.snapshot_index} at least"
        if found.last_index < self.last_index:
            return f"last entry: found {found.last_index}, wanted {self.last_index} at least"
        return ""


class ReplicaStore(Database):
    """One replica's disk. `identity` is the replica's name, made with the file: a new file, a new name.
    Entries that a snapshot has taken the place of are kept for people, `past_most` of them at the most."""

    def __init__(self, loop: Loop, path: Path, past_most: int = 100_000) -> None:
        super().__init__(loop, path, SCHEMA)
        self._path, self._past_most = path, past_most
        self.floor = DurableFloor()

    def prove_durable(self) -> None:
        """Returns once all that is read from the file is durable. Raises StoreError; blocks.

        After a failed sync the kernel takes the pages for clean that never reached the disk, and a reopened
        file shows them: a commit that nobody was told of. No later sync writes those pages. So a write of its
        own shows that the disk takes writes again, and the checkpoint writes each page of the log anew, into
        the main file, and syncs that."""
        try:
            (version,) = self._db.execute("pragma user_version").fetchone()
            self._db.execute(f"pragma user_version = {(version + 1) % (1 << 31)}")
            busy, _, _ = self._db.execute("pragma wal_checkpoint(truncate)").fetchone()
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error
        if busy:
            raise StoreError("checkpoint: the file is locked") from sqlite3.OperationalError("locked")

    def load(self) -> tuple[str, PersistentState] | None:
        """None where nothing was ever kept here. Raises StoreError: UnreadableStateError for what can't be
        read whole."""
        rows = self.select("select format, identity, term, voted, snapshot from replica")
        if not rows:
            return None
        form, identity, term, voted, snapshot = rows[0]
        if form != FORMAT:
            raise UnreadableStateError(f"format {form}, wanted {FORMAT}")
        try:
            kept = _snapshots.decode(snapshot)
            found = self.select("select place, record from entries order by place")
            entries = tuple(_entries.decode(record) for _, record in found)
        except msgspec.MsgspecError as error:
            raise UnreadableStateError(f"a record that can't be read: {error}") from error
        if [e.index for e in entries] != list(range(kept.index + 1, kept.index + 1 + len(entries))):
            raise UnreadableStateError(f"entries that don't follow snapshot {kept.index} one by one")
        state = PersistentState(term, voted, kept, entries)
        self.floor = DurableFloor.of(state)
        return identity, state

    def make_new(self, identity: str, members: Members) -> PersistentState:
        """The first start; before the loop runs."""
        kept = PersistentState(snapshot=Snapshot(0, 0, members, b""))
        values = (1, FORMAT, identity, 0, "", msgspec.msgpack.encode(kept.snapshot))
        try:
            self._db.execute("insert into replica values (?, ?, ?, ?, ?, ?)", values)
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error
        return kept

    def write(self, writes: Sequence[Write]) -> None:
        """Returns once all of them are durable, in their order, as one commit."""

        def change(db: sqlite3.Connection) -> None:
            for w in writes:
                db.execute("update replica set term = ?, voted = ?", (w.term, w.voted_for))
                db.execute("delete from entries where place > ?", (w.last_retained_index,))
                rows = [(e.index, msgspec.msgpack.encode(e)) for e in w.entries]
                db.executemany("insert or replace into entries values (?, ?)", rows)
                if w.snapshot is not None:
                    db.execute("update replica set snapshot = ?", (msgspec.msgpack.encode(w.snapshot),))
                    covered = (w.snapshot.index,)
                    db.execute(
                        "insert or replace into past select place, record from entries where place <= ?",
                        covered,
                    )
                    db.execute("delete from entries where place <= ?", covered)
                    if not db.execute("select 1 from past where place = ?", covered).fetchone():
                        db.execute("delete from past")  # it was sent the state: no history with a hole in it
                    db.execute("delete from past where place <= ?", (w.snapshot.index - self._past_most,))

        self.floor.before(writes)
        self.submit(change)
        self.floor.after(writes)

    def past(self, after: int, most: int, last: int) -> tuple[int, list[LogEntry]]:
        """The oldest entry that is still here, and what follows `after`, up to `last`. Raises StoreError.
        Done while the loop runs, beside the commits: a reader of a WAL file waits for none of them."""
        both = "(select place, record from past union select place, record from entries)"
        try:
            with closing(sqlite3.connect(f"{self._path.absolute().as_uri()}?mode=ro", uri=True)) as db:
                (first,) = db.execute(f"select coalesce(min(place), 0) from {both}").fetchone()
                rows = db.execute(
                    f"select record from {both} where place > ? and place <= ? order by place limit ?",
                    (after, last, most),
                ).fetchall()
            return first, [_entries.decode(record) for (record,) in rows]
        except (sqlite3.Error, msgspec.MsgspecError) as error:
            raise StoreError(str(error)) from error
