"""Journals on disk: numbered without a hole, in one commit with what they tell of, whatever breaks off."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import pytest

from walnutpost.eventloop import Loop
from walnutpost.journal import Accepted, Ended, Intended, Joined, Purged, Take, Withdrawn, batch, line, taken
from walnutpost.journal.records import Any_
from walnutpost.store import Database, JournalStore, StoreError

T = TypeVar("T")


def accepted(call: str, expires_at: int = 100, size: int = 10) -> Accepted:
    return Accepted(call, call, "f", "1", None, b"p" * size, "d", 1, expires_at, "unsafe", 1)


def opened(path: Path, work: Callable[[Database, JournalStore], T], name: str = "front-0") -> T:
    loop = Loop()

    def run() -> T:
        return work(database, store)

    database = Database(loop, path, "create table if not exists other (n integer primary key)")
    try:
        store = JournalStore(loop, database, name)
        return loop.run(run)
    finally:
        database.close()


def fill(records: list[Any_]) -> Callable[[Database, JournalStore], str]:
    def work(database: Database, store: JournalStore) -> str:
        for record in records:
            store.write(record)
        return store.own

    return work


def test_numbers_go_on_after_a_start_and_another_name_is_another_s_disk(tmp_path: Path) -> None:
    path = tmp_path / "calls.db"
    own = opened(path, fill([accepted("a"), Intended("a", 0, "w")]))
    assert opened(path, fill([accepted("b")])) == own and own.startswith("front-0#")
    assert opened(path, lambda _, s: [found.seq for found in s.held(own)[1]]) == [1, 2, 3]
    with pytest.raises(StoreError, match=r"front-0.*wanted front-1"):
        opened(path, fill([]), name="front-1")


def test_a_change_that_fails_takes_its_line_and_its_number_back(tmp_path: Path) -> None:
    def work(database: Database, store: JournalStore) -> list[int]:
        def both(change: Callable[[sqlite3.Connection], object], record: Any_) -> None:
            done = store.append(record)

            def together(db: sqlite3.Connection) -> None:
                change(db)
                done(db)

            database.change(together)

        both(lambda db: db.execute("insert into other values (1)"), accepted("a"))
        with pytest.raises(StoreError):  # its row is there already: neither it nor its line is written
            both(lambda db: db.execute("insert into other values (1)"), accepted("b"))

        def full(db: sqlite3.Connection) -> None:
            raise sqlite3.OperationalError("database or disk is full")

        with pytest.raises(StoreError):
            both(full, accepted("c"))
        both(lambda db: db.execute("insert into other values (2)"), accepted("d"))
        return [found.seq for found in store.held(store.own)[1]]

    assert opened(tmp_path / "calls.db", work) == [1, 2]


def test_a_holder_resumes_where_it_stands_and_has_each_line_once(tmp_path: Path) -> None:
    origin, holder = tmp_path / "origin.db", tmp_path / "holder.db"
    records: list[Any_] = [accepted(f"c{n}", size=100) for n in range(20)]
    own = opened(origin, fill(records))

    def pull(bytes_most: int) -> int:
        def take(_: Database, store: JournalStore) -> int:
            after = store.known.get(own, 0)
            sent = opened(origin, lambda _, s: s.batch(own, after, 20, bytes_most))
            for _again in range(2):  # the answer was lost, and it is sent again
                if (found := taken(store.known, sent)) is not None:
                    store.take(found)
            return int(store.known[own])

        return opened(holder, take, name="front-1")

    seen = [pull(500)]
    while seen[-1] < 20:
        seen.append(pull(500))
    assert len(seen) > 3 and seen == sorted(set(seen))
    covered, lines = opened(holder, lambda _, s: s.held(own), name="front-1")
    assert covered.prefix == 20 and [found.record() for found in lines] == records


def test_purged_calls_leave_their_numbers_and_an_ended_one_is_never_open_again(tmp_path: Path) -> None:
    path, holder = tmp_path / "calls.db", tmp_path / "holder.db"
    records: list[Any_] = [
        accepted("old", 20),
        accepted("open", 90),
        accepted("late", 90),
        accepted("no", 90),
    ]
    records += [Ended("late", "SUCCEEDED", 30, b"r", "", ""), Withdrawn("no"), Purged(10), Purged(31)]
    own = opened(path, fill(records))
    covered, lines = opened(path, lambda _, s: s.held(own))
    assert [found.seq for found in lines] == [2, 3, 4, 5, 6, 8] and covered.prefix == 8
    sent = opened(path, lambda _, s: s.batch(own, 0, 8, 1 << 20))

    def take(_: Database, store: JournalStore) -> list[int]:
        # It had the first four before: open calls, for all that it knew.
        for found in (batch(own, 0, 4, [line(n + 1, r) for n, r in enumerate(records[:4])]), sent):
            new = taken(store.known, found)
            assert isinstance(new, Take)
            store.take(new)
        return [found.seq for found in store.held(own)[1]]

    assert opened(holder, take, name="front-1") == [2, 3, 4, 5, 6, 8]
    joined = Joined()
    joined.take(covered, lines)
    assert list(joined.kept()) == ["open"] and joined.gaps == []


def test_a_flipped_bit_costs_its_line_alone_and_another_copy_has_it(tmp_path: Path) -> None:
    path = tmp_path / "calls.db"
    own = opened(path, fill([accepted("a"), accepted("b"), accepted("c")]))
    whole = opened(path, lambda _, s: s.held(own))
    with sqlite3.connect(path) as db:
        ((data,),) = db.execute("select data from lines where seq = 2")
        db.execute("update lines set data = ? where seq = 2", (data[:9] + bytes([data[9] ^ 1]) + data[10:],))
    covered, lines = opened(path, lambda _, s: s.held(own))
    joined = Joined()
    joined.take(covered, lines)
    assert sorted(joined.calls) == ["a", "c"] and joined.gaps == [(1, 2)]
    sent = opened(path, lambda _, s: s.batch(own, 0, 3, 1 << 20))

    def take(_: Database, store: JournalStore) -> int:
        new = taken(store.known, sent)
        assert new is not None
        store.take(new)  # it is kept as what it is: the stream goes on
        return int(store.known[own])

    assert opened(tmp_path / "holder.db", take, name="front-1") == 3
    joined.take(*whole)
    assert sorted(joined.calls) == ["a", "b", "c"] and joined.gaps == []


@pytest.mark.parametrize("records", [1, 4])
def test_killed_at_any_write_what_was_told_durable_is_there_without_a_hole(
    tmp_path: Path, records: int
) -> None:
    """The process ends without a word, its file as the system has it; the WAL is cut at any byte."""
    path = tmp_path / "calls.db"

    def work(database: Database, store: JournalStore) -> None:
        for n in range(records):
            store.write(accepted(f"c{n}"))
        for name in ("calls.db", "calls.db-wal"):
            (tmp_path / f"{name}.copy").write_bytes((tmp_path / name).read_bytes())

    opened(path, work)
    main, wal = ((tmp_path / f"{name}.copy").read_bytes() for name in ("calls.db", "calls.db-wal"))
    counts = []
    for cut in [*range(0, len(wal), max(1, len(wal) // 60)), len(wal)]:
        torn = tmp_path / f"torn-{cut}"
        torn.mkdir()
        (torn / "calls.db").write_bytes(main)
        (torn / "calls.db-wal").write_bytes(wal[:cut])
        try:
            numbers = opened(torn / "calls.db", lambda _, s: [found.seq for found in s.held(s.own)[1]])
        except StoreError:
            assert (
                cut < 4096 and os.path.getsize(torn / "calls.db") == 0
            )  # nothing was ever told of this file
            continue
        assert numbers == list(range(1, len(numbers) + 1))
        counts.append(len(numbers))
    assert counts == sorted(counts) and counts[-1] == records
    assert opened(path, lambda _, s: len(s.held(s.own)[1])) == records
