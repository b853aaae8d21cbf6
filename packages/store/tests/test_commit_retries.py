"""Commits that fail: retried, applied once, rejected in time; a rejected change does not reappear."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TypeVar

import pytest

from walnutpost.eventloop import Loop, VirtualClock
from walnutpost.journal import CallEnded
from walnutpost.store import Change, Database, JournalStore, StoreError
from walnutpost.store.database import COMMIT_RETRY_US
from walnutpost.testsupport.store.disk_faults import Fault, Script, ScriptedConnection, after_a_kill, failing

T = TypeVar("T")
SCHEMA = "create table if not exists other (n integer primary key, data blob)"
SECOND = 1_000_000


def insert(n: int, size: int = 0) -> Change:
    return lambda db: db.execute("insert into other values (?, ?)", (n, b"x" * size))


def run(
    path: Path,
    work: Callable[[Loop, Database], T],
    script: Script | None = None,
    retry_us: int = COMMIT_RETRY_US,
) -> T:
    loop = Loop(VirtualClock())
    database = Database(loop, path, SCHEMA, retry_us)

    def main() -> T:
        database.submit(insert(0))  # so that the log is not empty
        if script is not None:
            ScriptedConnection(database, path, script)
        return work(loop, database)

    try:
        return loop.run(main)
    finally:
        database.close()


def read_numbers(path: Path) -> list[int]:
    with sqlite3.connect(path) as db:
        return [n for (n,) in db.execute("select n from other order by n")]


@pytest.mark.parametrize(
    ("statement", "fault"),
    [(s, f) for s in ("begin", "insert") for f in (Fault.OPEN, Fault.ROLLED_BACK)]
    + [("commit", f) for f in Fault],
)
@pytest.mark.parametrize("times", [1, 4])
def test_change_when_its_commit_fails_for_a_while_is_durable_once(
    tmp_path: Path, statement: str, fault: Fault, times: int
) -> None:
    path = tmp_path / "calls.db"

    def work(_: Loop, database: Database) -> None:
        database.submit(insert(1))
        database.submit(insert(2))
        assert read_numbers(after_a_kill(path)) == [0, 1, 2]

    run(path, work, failing(times, fault, statement))


def test_journal_entry_when_its_commit_is_retried_has_one_number(tmp_path: Path) -> None:
    def work(loop: Loop, database: Database) -> list[int]:
        store = JournalStore(loop, database, "front-0")
        ScriptedConnection(database, tmp_path / "calls.db", failing(3, Fault.ROLLED_BACK))
        entries = [
            store.append_durably(CallEnded(f"c{n}", "SUCCEEDED", 1, b"", "", "")).entry.seq for n in range(3)
        ]
        assert [entry.seq for entry in store.read_journal(store.own_origin).entries] == entries
        return entries

    assert run(tmp_path / "calls.db", work) == [1, 2, 3]


def test_change_when_its_time_is_over_fails_and_is_not_found_by_the_next_start(
    tmp_path: Path,
) -> None:
    path = tmp_path / "calls.db"

    def fail_commits(statement: str) -> Fault | None:
        return Fault.REACHED_DISK if statement == "commit" else None

    def work(loop: Loop, database: Database) -> None:
        began_us = loop.now()
        with pytest.raises(StoreError) as raised:
            database.submit(insert(1))
        assert COMMIT_RETRY_US <= loop.now() - began_us < COMMIT_RETRY_US + SECOND
        assert not raised.value.is_uncertain
        assert read_numbers(after_a_kill(path)) == [0]

    run(path, work, fail_commits)


def test_change_when_it_could_not_be_undone_on_disk_fails_as_uncertain(tmp_path: Path) -> None:
    path = tmp_path / "calls.db"

    def fail_commits_and_pragmas(statement: str) -> Fault | None:
        return Fault.REACHED_DISK if statement == "commit" or statement.startswith("pragma") else None

    def work(_: Loop, database: Database) -> None:
        with pytest.raises(StoreError) as raised:
            database.submit(insert(1))
        assert raised.value.is_uncertain
        assert database.select("select n from other") == [(0,)]  # this process does not see it
        assert read_numbers(after_a_kill(path)) == [0, 1]

    run(path, work, fail_commits_and_pragmas)


def test_commit_after_one_that_could_not_be_undone_overwrites_it(tmp_path: Path) -> None:
    path, is_broken = tmp_path / "calls.db", True

    def fault_of(statement: str) -> Fault | None:
        return Fault.REACHED_DISK if is_broken and statement.startswith(("commit", "pragma")) else None

    def work(_: Loop, database: Database) -> None:
        nonlocal is_broken
        with pytest.raises(StoreError):
            database.submit(insert(1))
        is_broken = False
        database.submit(insert(2))
        assert read_numbers(after_a_kill(path)) == [0, 2]

    run(path, work, fault_of)


def test_change_without_retry_time_is_tried_once(tmp_path: Path) -> None:
    def work(loop: Loop, database: Database) -> None:
        began_us = loop.now()
        with pytest.raises(StoreError):
            database.submit(insert(1))
        database.submit(insert(2))
        assert loop.now() == began_us

    run(tmp_path / "calls.db", work, failing(1), retry_us=0)
    assert read_numbers(tmp_path / "calls.db") == [0, 2]


def test_changes_when_the_disk_is_full_are_written_if_they_fit(tmp_path: Path) -> None:
    def work(loop: Loop, database: Database) -> list[bool]:
        pages = database.select("pragma page_count")[0][0]
        database.select(f"pragma max_page_count={pages + 2}")

        def is_written(n: int, size: int) -> bool:
            try:
                database.submit(insert(n, size))
            except StoreError:
                return False
            return True

        sizes = [200_000, 10, 10, 200_000, 10, 10]
        return [task.join() for task in [loop.spawn(is_written, n + 1, size) for n, size in enumerate(sizes)]]

    assert run(tmp_path / "calls.db", work) == [False, True, True, False, True, True]
    assert read_numbers(tmp_path / "calls.db") == [0, 2, 3, 5, 6]


def test_change_when_it_violates_a_constraint_leaves_none_of_its_statements(tmp_path: Path) -> None:
    def violate_constraint(db: sqlite3.Connection) -> None:
        insert(1)(db)
        insert(0)(db)

    def work(loop: Loop, database: Database) -> None:
        tasks = [loop.spawn(database.submit, change) for change in (insert(2), violate_constraint, insert(3))]
        tasks[0].join()
        with pytest.raises(StoreError):
            tasks[1].join()
        tasks[2].join()

    run(tmp_path / "calls.db", work)
    assert read_numbers(tmp_path / "calls.db") == [0, 2, 3]


@pytest.mark.parametrize("seed", range(5))
def test_changes_when_four_in_ten_commits_fail_are_all_written(tmp_path: Path, seed: int) -> None:
    random = Random(seed)

    def fault_of(statement: str) -> Fault | None:
        return random.choice(list(Fault)) if statement == "commit" and random.random() < 0.4 else None

    def work(loop: Loop, database: Database) -> None:
        tasks = []
        for n in range(1, 101):
            tasks.append(loop.spawn(database.submit, insert(n)))
            loop.sleep(random.randrange(0, 20_000))
        for task in tasks:
            task.join()

    run(tmp_path / "calls.db", work, fault_of)
    assert read_numbers(tmp_path / "calls.db") == list(range(101))


def test_disk_when_it_works_again_is_used_within_two_seconds(tmp_path: Path) -> None:
    is_broken = True

    def work(loop: Loop, database: Database) -> None:
        nonlocal is_broken

        def submit_until_durable() -> int:
            while True:
                try:
                    database.submit(insert(1))
                    return loop.now()
                except StoreError:
                    loop.sleep(200_000)

        task = loop.spawn(submit_until_durable)
        loop.sleep(7 * SECOND)
        is_broken, recovered_us = False, loop.now()
        assert task.join() - recovered_us < 2 * SECOND

    run(tmp_path / "calls.db", work, lambda s: Fault.OPEN if is_broken and s == "commit" else None)
    assert read_numbers(tmp_path / "calls.db") == [0, 1]
