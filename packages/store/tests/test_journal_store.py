"""Journals on disk: numbered without a hole, in one commit with what they tell of, whatever breaks off."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import pytest

from walnutpost.eventloop import Loop
from walnutpost.journal import (
    AttemptIntended,
    BatchWrite,
    CallAccepted,
    CallEnded,
    CallWithdrawn,
    MergedJournal,
    ResultsPurged,
    encode_line,
    make_batch,
    plan_batch_write,
)
from walnutpost.journal.records import AnyRecord
from walnutpost.store import Database, JournalStore, StoreError

T = TypeVar("T")


def accepted(call: str, expires_at: int = 100, size: int = 10) -> CallAccepted:
    return CallAccepted(call, call, "f", "1", None, b"p" * size, "d", 1, expires_at, "unsafe", 1)


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


def own_numbers(_: Database, store: JournalStore) -> list[int]:
    return [line.seq for line in store.read_journal(store.own_origin)[1]]


def fill(records: list[AnyRecord]) -> Callable[[Database, JournalStore], str]:
    def work(database: Database, store: JournalStore) -> str:
        for record in records:
            store.append_durably(record)
        return store.own_origin

    return work


def test_journal_after_a_restart_continues_its_numbers_and_rejects_another_name(tmp_path: Path) -> None:
    path = tmp_path / "calls.db"
    own = opened(path, fill([accepted("a"), AttemptIntended("a", 0, "w")]))
    assert opened(path, fill([accepted("b")])) == own and own.startswith("front-0#")
    assert opened(path, lambda _, s: [found.seq for found in s.read_journal(own)[1]]) == [1, 2, 3]
    with pytest.raises(StoreError, match=r"front-0.*wanted front-1"):
        opened(path, fill([]), name="front-1")


def test_line_when_its_commit_fails_is_not_written_and_its_number_is_reused(tmp_path: Path) -> None:
    def work(database: Database, store: JournalStore) -> list[int]:
        def both(change: Callable[[sqlite3.Connection], object], record: AnyRecord) -> None:
            done = store.new_append(record)

            def together(db: sqlite3.Connection) -> None:
                change(db)
                done(db)

            database.submit(together)

        both(lambda db: db.execute("insert into other values (1)"), accepted("a"))
        with pytest.raises(StoreError):  # its row is there already: neither it nor its line is written
            both(lambda db: db.execute("insert into other values (1)"), accepted("b"))

        def full(db: sqlite3.Connection) -> None:
            raise sqlite3.OperationalError("database or disk is full")

        with pytest.raises(StoreError):
            both(full, accepted("c"))
        both(lambda db: db.execute("insert into other values (2)"), accepted("d"))
        return own_numbers(database, store)

    assert opened(tmp_path / "calls.db", work) == [1, 2]


def test_replica_when_batches_are_repeated_has_each_line_once(
    tmp_path: Path,
) -> None:
    origin, holder = tmp_path / "origin.db", tmp_path / "holder.db"
    records: list[AnyRecord] = [accepted(f"c{n}", size=100) for n in range(20)]
    own = opened(origin, fill(records))

    def pull(bytes_most: int) -> int:
        def take(_: Database, store: JournalStore) -> int:
            after = store.offsets.get(own, 0)
            sent = opened(origin, lambda _, s: s.read_batch(own, after, 20, bytes_most))
            for _again in range(2):  # the answer was lost, and it is sent again
                if (found := plan_batch_write(store.offsets, sent)) is not None:
                    store.write_batch(found)
            return int(store.offsets[own])

        return opened(holder, take, name="front-1")

    seen = [pull(500)]
    while seen[-1] < 20:
        seen.append(pull(500))
    assert len(seen) > 3 and seen == sorted(set(seen))
    covered, lines = opened(holder, lambda _, s: s.read_journal(own), name="front-1")
    assert covered.contiguous_end == 20 and [found.decode() for found in lines] == records


def test_purge_when_replicated_keeps_numbers_covered_and_leaves_no_ended_call_open(tmp_path: Path) -> None:
    path, holder = tmp_path / "calls.db", tmp_path / "holder.db"
    records: list[AnyRecord] = [
        accepted("old", 20),
        accepted("open", 90),
        accepted("late", 90),
        accepted("no", 90),
    ]
    records += [
        CallEnded("late", "SUCCEEDED", 30, b"r", "", ""),
        CallWithdrawn("no"),
        ResultsPurged(10),
        ResultsPurged(31),
    ]
    own = opened(path, fill(records))
    covered, lines = opened(path, lambda _, s: s.read_journal(own))
    assert [found.seq for found in lines] == [2, 3, 4, 5, 6, 8] and covered.contiguous_end == 8
    sent = opened(path, lambda _, s: s.read_batch(own, 0, 8, 1 << 20))

    def take(_: Database, store: JournalStore) -> list[int]:
        # It had the first four before: open calls, for all that it knew.
        for found in (
            make_batch(own, 0, 4, [encode_line(n + 1, r) for n, r in enumerate(records[:4])]),
            sent,
        ):
            new = plan_batch_write(store.offsets, found)
            assert isinstance(new, BatchWrite)
            store.write_batch(new)
        return [found.seq for found in store.read_journal(own)[1]]

    assert opened(holder, take, name="front-1") == [2, 3, 4, 5, 6, 8]
    joined = MergedJournal()
    joined.add(covered, lines)
    assert list(joined.live_calls()) == ["open"] and joined.gaps == []


def test_line_when_a_bit_is_flipped_is_corrupt_alone_and_another_replica_has_it(tmp_path: Path) -> None:
    path = tmp_path / "calls.db"
    own = opened(path, fill([accepted("a"), accepted("b"), accepted("c")]))
    whole = opened(path, lambda _, s: s.read_journal(own))
    with sqlite3.connect(path) as db:
        ((data,),) = db.execute("select data from lines where seq = 2")
        db.execute("update lines set data = ? where seq = 2", (data[:9] + bytes([data[9] ^ 1]) + data[10:],))
    covered, lines = opened(path, lambda _, s: s.read_journal(own))
    joined = MergedJournal()
    joined.add(covered, lines)
    assert sorted(joined.calls) == ["a", "c"] and joined.gaps == [(1, 2)]
    sent = opened(path, lambda _, s: s.read_batch(own, 0, 3, 1 << 20))

    def take(_: Database, store: JournalStore) -> int:
        new = plan_batch_write(store.offsets, sent)
        assert new is not None
        store.write_batch(new)  # it is kept as what it is: the stream goes on
        return int(store.offsets[own])

    assert opened(tmp_path / "holder.db", take, name="front-1") == 3
    joined.add(*whole)
    assert sorted(joined.calls) == ["a", "b", "c"] and joined.gaps == []


@pytest.mark.parametrize("records", [1, 4])
def test_journal_when_killed_at_any_write_has_all_durable_lines_without_a_gap(
    tmp_path: Path, records: int
) -> None:
    """The process ends without a word, its file as the system has it; the WAL is cut at any byte."""
    path = tmp_path / "calls.db"

    def work(database: Database, store: JournalStore) -> None:
        for n in range(records):
            store.append_durably(accepted(f"c{n}"))
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
            numbers = opened(
                torn / "calls.db", lambda _, s: [found.seq for found in s.read_journal(s.own_origin)[1]]
            )
        except StoreError:
            assert (
                cut < 4096 and os.path.getsize(torn / "calls.db") == 0
            )  # nothing was ever told of this file
            continue
        assert numbers == list(range(1, len(numbers) + 1))
        counts.append(len(numbers))
    assert counts == sorted(counts) and counts[-1] == records
    assert opened(path, lambda _, s: len(s.read_journal(s.own_origin)[1])) == records
