"""Reads on the loop's thread while a process starts, beside commits of its first tasks on the helper's."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from walnutpost.eventloop import Loop
from walnutpost.store.database import Database

SCHEMA = "create table if not exists numbers (number integer primary key)"
INSERT = "insert into numbers values (?)"
READER_HEAD_START_S = 0.2  # a reader that doesn't wait for the commit ends well within it


@pytest.fixture
def loop() -> Loop:
    return Loop()


@pytest.fixture
def database(loop: Loop, tmp_path: Path) -> Iterator[Database]:
    database = Database(loop, tmp_path / "db", SCHEMA)
    yield database
    database.close()


def _select(database: Database) -> object:
    return database.select("select number from numbers order by number")


def _create_tables(database: Database) -> object:
    database.create_tables("create table if not exists others (other integer)")
    return _select(database)


def _commit_at_startup(database: Database) -> object:
    database.commit_at_startup(lambda db: db.execute(INSERT, (2,)))
    return _select(database)


@pytest.mark.parametrize(
    ("access", "numbers"),
    [(_select, [0, 1]), (_create_tables, [0, 1]), (_commit_at_startup, [0, 1, 2])],
)
def test_an_access_amid_a_commit_waits_for_it_and_leaves_it_atomic(
    loop: Loop, database: Database, access: Callable[[Database], object], numbers: list[int]
) -> None:
    results: list[object] = []
    reader = threading.Thread(target=lambda: results.append(access(database)))

    def change(db: sqlite3.Connection) -> None:
        db.execute(INSERT, (0,))
        reader.start()
        reader.join(READER_HEAD_START_S)
        db.execute(INSERT, (1,))

    loop.run(lambda: database.submit(change))
    reader.join()
    assert results == [[(number,) for number in numbers]]
