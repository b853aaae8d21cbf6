"""A replica's file: what is proven to be durable, and the minimum that it must have."""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path

import pytest

from walnutpost.consensus import EntryKind, LogEntry, Members, PersistentState, Snapshot, Write
from walnutpost.eventloop import Loop
from walnutpost.store import StoreError
from walnutpost.store.replica import ConsensusStore, DurableFloor, UnreadableStateError, is_transient


def entries(first: int, last: int, term: int = 1) -> tuple[LogEntry, ...]:
    return tuple(
        LogEntry(index, term, EntryKind.COMMAND, f"c{index}", b"x") for index in range(first, last + 1)
    )


def state(term: int, voted: str, snapshot_index: int, last_index: int) -> PersistentState:
    snapshot = Snapshot(snapshot_index, 0, Members(("k1",)), b"")
    return PersistentState(term, voted, snapshot, entries(snapshot_index + 1, last_index))


def test_file_once_proven_has_all_that_is_read_in_its_main_part_alone(tmp_path: Path) -> None:
    """Otherwise what a failed sync left in the page cache, in the log's file, would count."""
    loop, path, alone = Loop(), tmp_path / "k1.db", tmp_path / "alone.db"
    store = ConsensusStore(loop, path)
    store.create("k1", Members(("k1",)))
    loop.run(lambda: store.write([Write(1, 3, "k2", 0, entries(1, 4), None)]))
    store.make_durable()
    shutil.copyfile(path, alone)
    copy = ConsensusStore(loop, alone)
    stored = store.load()
    assert stored is not None
    assert stored == copy.load()
    assert (stored.state.term, stored.state.voted_for, len(stored.state.entries)) == (3, "k2", 4)
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
def test_floor_is_what_the_acknowledged_writes_left(writes: list[Write], floor: DurableFloor) -> None:
    found = DurableFloor()
    for write in writes:
        found.writes_started([write])
        found.writes_completed([write])
    assert found == floor


def test_started_write_lowers_only_the_last_index_that_the_log_must_have() -> None:
    floor = DurableFloor(2, "k1", 3, 9)
    floor.writes_started([Write(1, 4, "k2", 6, entries(7, 8, 4), None)])
    assert floor == DurableFloor(2, "k1", 3, 6)
    assert not floor.describe_missing(state(2, "k1", 3, 9))
    assert not floor.describe_missing(state(4, "k2", 3, 8))


@pytest.mark.parametrize(
    ("found", "missing"),
    [
        (state(1, "k1", 3, 9), "term"),
        (state(2, "", 3, 9), "vote"),
        (state(2, "k2", 3, 9), "vote"),
        (state(2, "k1", 2, 9), "snapshot"),
        (state(2, "k1", 3, 8), "last entry"),
    ],
)
def test_state_with_less_than_the_floor_is_reported_by_what_is_missing(
    found: PersistentState, missing: str
) -> None:
    floor = DurableFloor(2, "k1", 3, 9)
    assert not floor.describe_missing(state(2, "k1", 3, 9))
    assert not floor.describe_missing(state(3, "", 9, 9))
    assert floor.describe_missing(found).startswith(missing)


def _raised(cause: Exception | None, kind: type[StoreError] = StoreError) -> StoreError:
    error = kind("it failed")
    error.__cause__ = cause
    return error


def _sqlite(code: int) -> sqlite3.OperationalError:
    error = sqlite3.OperationalError("it failed")
    error.sqlite_errorcode = code
    return error


def test_disk_fault_is_transient_and_a_damaged_file_or_a_programming_error_is_not() -> None:
    transient = [
        OSError(28, "no space"),
        _sqlite(sqlite3.SQLITE_IOERR_FSYNC),
        _sqlite(sqlite3.SQLITE_FULL),
        _sqlite(sqlite3.SQLITE_CANTOPEN),
        _sqlite(sqlite3.SQLITE_BUSY),
    ]
    assert all(is_transient(_raised(cause)) for cause in transient)
    permanent = [
        None,
        TypeError("a mistake"),
        _sqlite(sqlite3.SQLITE_CORRUPT),
        _sqlite(sqlite3.SQLITE_NOTADB),
    ]
    assert not any(is_transient(_raised(cause)) for cause in permanent)
    assert not is_transient(_raised(OSError(5, "I/O error"), UnreadableStateError))
