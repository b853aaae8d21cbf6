"""A replica's file: what of it is proven to be durable, and what it may not fall behind."""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path

import pytest

from walnutpost.consensus import EntryKind, LogEntry, Members, PersistentState, Snapshot, Write
from walnutpost.eventloop import Loop
from walnutpost.store import StoreError
from walnutpost.store.replica import DurableFloor, ReplicaStore, UnreadableStateError, may_pass


def entries(first: int, last: int, term: int = 1) -> tuple[LogEntry, ...]:
    return tuple(
        LogEntry(index, term, EntryKind.COMMAND, f"c{index}", b"x") for index in range(first, last + 1)
    )


def state(term: int, voted: str, snapshot_index: int, last_index: int) -> PersistentState:
    snapshot = Snapshot(snapshot_index, 0, Members(("k1",)), b"")
    return PersistentState(term, voted, snapshot, entries(snapshot_index + 1, last_index))


def test_once_proven_the_main_file_alone_holds_what_is_read(tmp_path: Path) -> None:
    """Else what a failed sync left in the page cache, in the log's file, would be believed."""
    loop, path, alone = Loop(), tmp_path / "k1.db", tmp_path / "alone.db"
    store = ReplicaStore(loop, path)
    store.make_new("k1", Members(("k1",)))
    loop.run(lambda: store.write([Write(1, 3, "k2", 0, entries(1, 4), None)]))
    store.prove_durable()
    shutil.copyfile(path, alone)
    copy = ReplicaStore(loop, alone)
    known = store.load()
    assert known is not None and known == copy.load()
    assert (known[1].term, known[1].voted_for, len(known[1].entries)) == (3, "k2", 4)
    store.close()
    copy.close()


@pytest.mark.parametrize(
    ("writes", "floor"),
    [
        ([Write(1, 1, "k1", 0, entries(1, 5), None)], DurableFloor(1, "k1", 0, 5)),
        ([Write(1, 1, "", 0, entries(1, 5), None), Write(2, 2, "k2", 5)], DurableFloor(2, "k2", 0, 5)),
        ([Write(1, 1, "", 0, entries(1, 5), None), Write(2, 2, "", 2, entries(3, 3, 2), None)],
         DurableFloor(2, "", 0, 3)),
        ([Write(1, 1, "", 0, entries(1, 5), None),
          Write(2, 1, "", 5, (), Snapshot(4, 1, Members(("k1",)), b""))], DurableFloor(1, "", 4, 5)),
    ],
)  # fmt: skip
def test_the_floor_is_what_the_acknowledged_writes_left(writes: list[Write], floor: DurableFloor) -> None:
    found = DurableFloor()
    for write in writes:
        found.before([write])
        found.after([write])
    assert found == floor


def test_a_write_that_may_be_done_in_part_lowers_what_the_log_must_hold_and_nothing_else() -> None:
    floor = DurableFloor(2, "k1", 3, 9)
    floor.before([Write(1, 4, "k2", 6, entries(7, 8, 4), None)])
    assert floor == DurableFloor(2, "k1", 3, 6)
    assert not floor.missing_from(state(2, "k1", 3, 9)) and not floor.missing_from(state(4, "k2", 3, 8))


@pytest.mark.parametrize(
    ("found", "lacks"),
    [
        (state(1, "k1", 3, 9), "term"),
        (state(2, "", 3, 9), "vote"),
        (state(2, "k2", 3, 9), "vote"),
        (state(2, "k1", 2, 9), "snapshot"),
        (state(2, "k1", 3, 8), "last entry"),
    ],
)
def test_less_than_the_floor_is_named(found: PersistentState, lacks: str) -> None:
    floor = DurableFloor(2, "k1", 3, 9)
    assert not floor.missing_from(state(2, "k1", 3, 9)) and not floor.missing_from(state(3, "", 9, 9))
    assert floor.missing_from(found).startswith(lacks)


def _raised(cause: Exception | None, kind: type[StoreError] = StoreError) -> StoreError:
    error = kind("it failed")
    error.__cause__ = cause
    return error


def _sqlite(code: int) -> sqlite3.OperationalError:
    error = sqlite3.OperationalError("it failed")
    error.sqlite_errorcode = code
    return error


def test_a_fault_of_the_disk_may_pass_and_a_damaged_file_does_not() -> None:
    passing = [
        OSError(28, "no space"),
        _sqlite(sqlite3.SQLITE_IOERR_FSYNC),
        _sqlite(sqlite3.SQLITE_FULL),
        _sqlite(sqlite3.SQLITE_CANTOPEN),
        _sqlite(sqlite3.SQLITE_BUSY),
    ]
    assert all(may_pass(_raised(cause)) for cause in passing)
    lasting = [None, TypeError("a mistake"), _sqlite(sqlite3.SQLITE_CORRUPT), _sqlite(sqlite3.SQLITE_NOTADB)]
    assert not any(may_pass(_raised(cause)) for cause in lasting)
    assert not may_pass(_raised(OSError(5, "I/O error"), UnreadableStateError))
