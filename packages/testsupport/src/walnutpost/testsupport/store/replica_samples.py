"""Files of control plane replicas that the golden disk holds: vote, log, snapshot and compacted entries."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple, TypeVar

from walnutpost.consensus import LogEntry, Members, PersistentState, Snapshot, Write
from walnutpost.eventloop import Loop
from walnutpost.fleet import Fleet
from walnutpost.store.replica import ConsensusStore
from walnutpost.testsupport.consensus.message_samples import MEMBERS
from walnutpost.testsupport.fleet import command_samples
from walnutpost.testsupport.folders import golden_folder
from walnutpost.testsupport.golden.samples import Form, Golden

T = TypeVar("T")
IDENTITY, VOTED, TERM = "k1#aa", "k2#bb", 4
ALONE = "k1"  # the only replica of a control plane
SNAPSHOT_AT = 25  # last index of the snapshot; within a release and before a drain


class Disk(NamedTuple):
    """What a replica has stored; `past`: all entries of its log, including those before the snapshot."""

    identity: str
    state: PersistentState
    past: list[LogEntry]


def disk(identity: str = IDENTITY, members: Members = MEMBERS) -> Disk:
    """Return a disk with the history of the golden commands, of which the snapshot covers a part."""
    entries = command_samples.history(members)
    fleet = Fleet()
    command_samples.applied(fleet, entries[:SNAPSHOT_AT])
    snapshot = Snapshot(SNAPSHOT_AT, 2, members, fleet.snapshot())
    return Disk(identity, PersistentState(TERM, VOTED, snapshot, entries[SNAPSHOT_AT:]), list(entries))


def new_disk() -> Disk:
    """Return the disk of a replica at its first start."""
    return Disk(IDENTITY, PersistentState(0, "", Snapshot(0, 0, MEMBERS, b""), ()), [])


def with_store(path: Path, work: Callable[[ConsensusStore], T]) -> T:
    """Open the replica's store at `path`, and return the result of `work` on it."""
    loop = Loop()
    store = ConsensusStore(loop, path)
    try:
        return loop.run(lambda: work(store))
    finally:
        store.close()


def sql_of(path: Path) -> str:
    """Return a SQLite file as SQL text."""
    with closing(sqlite3.connect(path)) as db:
        return "\n".join(db.iterdump()) + "\n"


def make_file(path: Path, sql: str) -> None:
    """Create a file from SQL text; SQLite's file state, such as WAL mode, is set when a store opens it."""
    with closing(sqlite3.connect(path)) as db:
        db.executescript(sql)


def written(disk: Disk) -> bytes:
    """Return the disk as this version writes it: a first start, its log, and then its snapshot."""
    identity, state, past = disk
    with TemporaryDirectory() as folder:
        path = Path(folder) / "replica"

        def work(store: ConsensusStore) -> None:
            store.create(identity, MEMBERS)
            if past:
                store.write([Write(1, 1, identity, 0, tuple(past))])
                store.write([Write(2, state.term, state.voted_for, past[-1].index, (), state.snapshot)])

        with_store(path, work)
        return sql_of(path).encode()


def read(sql: bytes) -> Disk:
    """Return the disk that a replica reads from SQL text."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "replica"
        make_file(path, sql.decode())

        def work(store: ConsensusStore) -> Disk:
            loaded = store.load()
            assert loaded is not None
            state = loaded.state
            last = state.entries[-1].index if state.entries else state.snapshot.index
            return Disk(loaded.identity, state, store.read_history(0, 1000, last).entries)

        return with_store(path, work)


def rows_of(sql: bytes, like: dict[str, list[str]] | None = None) -> dict[str, Any]:
    """Return all rows by table, of all columns or of those that `like` names."""
    with closing(sqlite3.connect(":memory:")) as db:
        db.executescript(sql.decode())
        columns = columns_of(db) if like is None else like
        return {
            table: db.execute(f"select {', '.join(names)} from {table} order by 1").fetchall()
            for table, names in columns.items()
        }


def columns_of(db: sqlite3.Connection) -> dict[str, list[str]]:
    """Return the names of the columns, by table."""
    tables = [
        name for (name,) in db.execute("select name from sqlite_master where type = 'table' order by 1")
    ]
    return {table: [row[1] for row in db.execute(f"pragma table_info({table})")] for table in tables}


def same_rows(now: bytes, golden: bytes) -> bool:
    """Whether the golden file's tables and columns hold the same rows; later versions may have more."""
    with closing(sqlite3.connect(":memory:")) as db:
        db.executescript(golden.decode())
        like = columns_of(db)
    return rows_of(now, like) == rows_of(golden)


def _disk(disk: Disk) -> Form:
    return Form(disk, written, read, is_equivalent=same_rows)


FORMS: dict[str, Form] = {
    "disk.with-log-and-snapshot": _disk(disk()),
    "disk.of-one-replica-alone": _disk(disk(ALONE, Members((ALONE,)))),
    "disk.of-a-first-start": _disk(new_disk()),
}

GOLDEN = Golden(
    golden_folder("store") / "replica" / "disk.json",
    "The file of a replica of the control plane, as sqlite dumps it: vote, log, snapshot, and entries that "
    "the snapshot has taken the place of. Make a file of it by sqlite's executescript.",
    FORMS,
)
