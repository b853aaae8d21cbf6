"""A keeper's vote, log and snapshot on disk: one commit for all writes that wait."""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from contextlib import closing
from pathlib import Path

import msgspec

from walnutpost.consensus import Entry, Kept, Members, Snapshot, Write
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
_snapshots = msgspec.msgpack.Decoder(Snapshot)
_entries = msgspec.msgpack.Decoder(Entry)


class ReplicaStore(Database):
    """One replica's disk. `identity` is the replica's name, made with the file: a new file, a new name.
    Entries that a snapshot has taken the place of are kept for people, `past_most` of them at the most."""

    def __init__(self, loop: Loop, path: Path, past_most: int = 100_000) -> None:
        super().__init__(loop, path, SCHEMA)
        self._path, self._past_most = path, past_most

    def load(self) -> tuple[str, Kept] | None:
        """None where nothing was ever kept here. Raises StoreError for what can't be read whole."""
        rows = self.select("select format, identity, term, voted, snapshot from replica")
        if not rows:
            return None
        form, identity, term, voted, snapshot = rows[0]
        if form != FORMAT:
            raise StoreError(f"format {form}, wanted {FORMAT}")
        try:
            kept = _snapshots.decode(snapshot)
            found = self.select("select place, record from entries order by place")
            entries = tuple(_entries.decode(record) for _, record in found)
        except msgspec.MsgspecError as error:
            raise StoreError(f"a record that can't be read: {error}") from error
        if [e.index for e in entries] != list(range(kept.index + 1, kept.index + 1 + len(entries))):
            raise StoreError(f"entries that don't follow snapshot {kept.index} one by one")
        return identity, Kept(term, voted, kept, entries)

    def make_new(self, identity: str, members: Members) -> Kept:
        """The first start; before the loop runs."""
        kept = Kept(snapshot=Snapshot(0, 0, members, b""))
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
                db.execute("update replica set term = ?, voted = ?", (w.term, w.voted))
                db.execute("delete from entries where place > ?", (w.keep,))
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

        self.change(change)

    def past(self, after: int, most: int, last: int) -> tuple[int, list[Entry]]:
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
