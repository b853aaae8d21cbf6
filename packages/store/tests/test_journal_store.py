"""Journals on disk: numbered without gaps, in one commit with the change that they record."""

from __future__ import annotations

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
    encode_entry,
    make_batch,
    plan_batch_write,
)
from walnutpost.journal.records import AnyRecord
from walnutpost.store import Database, JournalStore, StoreError

T = TypeVar("T")


def accepted(call: str, expires_at: int = 100, size: int = 10) -> CallAccepted:
    return CallAccepted(call, call, "f", "1", None, b"p" * size, "d", 1, expires_at, "unsafe", 1)


def with_journal(path: Path, work: Callable[[Database, JournalStore], T], name: str = "front-0") -> T:
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
    return [entry.seq for entry in store.read_journal(store.own_origin).entries]


def fill(records: list[AnyRecord]) -> Callable[[Database, JournalStore], str]:
    def work(_: Database, store: JournalStore) -> str:
        for record in records:
            store.append_durably(record)
        return store.own_origin

    return work


def test_journal_after_a_restart_continues_its_numbers_and_rejects_another_name(tmp_path: Path) -> None:
    path = tmp_path / "calls.db"
    own = with_journal(path, fill([accepted("a"), AttemptIntended("a", 0, "w")]))
    assert with_journal(path, fill([accepted("b")])) == own
    assert own.startswith("front-0#")
    assert with_journal(path, lambda _, store: [entry.seq for entry in store.read_journal(own).entries]) == [
        1,
        2,
        3,
    ]
    with pytest.raises(StoreError, match=r"front-0.*wanted front-1"):
        with_journal(path, fill([]), name="front-1")


def test_entry_when_its_commit_fails_is_not_written_and_its_number_is_reused(tmp_path: Path) -> None:
    def work(database: Database, store: JournalStore) -> list[int]:
        def submit_with_entry(change: Callable[[sqlite3.Connection], object], record: AnyRecord) -> None:
            append = store.new_append(record)

            def change_and_append(db: sqlite3.Connection) -> None:
                change(db)
                append(db)

            database.submit(change_and_append)

        submit_with_entry(lambda db: db.execute("insert into other values (1)"), accepted("a"))
        with pytest.raises(StoreError):  # its row exists already: neither row nor entry is written
            submit_with_entry(lambda db: db.execute("insert into other values (1)"), accepted("b"))

        def fail_as_full(_: sqlite3.Connection) -> None:
            raise sqlite3.OperationalError("database or disk is full")

        with pytest.raises(StoreError):
            submit_with_entry(fail_as_full, accepted("c"))
        submit_with_entry(lambda db: db.execute("insert into other values (2)"), accepted("d"))
        return own_numbers(database, store)

    assert with_journal(tmp_path / "calls.db", work) == [1, 2]


def test_replica_when_batches_are_repeated_has_each_entry_once(
    tmp_path: Path,
) -> None:
    origin, replica = tmp_path / "origin.db", tmp_path / "replica.db"
    records: list[AnyRecord] = [accepted(f"c{n}", size=100) for n in range(20)]
    own = with_journal(origin, fill(records))

    def pull(max_bytes: int) -> int:
        def receive(_: Database, store: JournalStore) -> int:
            after = store.offsets.get(own, 0)
            batch = with_journal(origin, lambda _, store: store.read_batch(own, after, 20, max_bytes))
            for _repeat in range(2):  # the answer was lost, so the batch is sent again
                if (write := plan_batch_write(store.offsets, batch)) is not None:
                    store.write_batch(write)
            return int(store.offsets[own])

        return with_journal(replica, receive, name="front-1")

    offsets = [pull(500)]
    while offsets[-1] < 20:
        offsets.append(pull(500))
    assert len(offsets) > 3
    assert offsets == sorted(set(offsets))
    covered, entries = with_journal(replica, lambda _, store: store.read_journal(own), name="front-1")
    assert covered.contiguous_end == 20
    assert [entry.decode() for entry in entries] == records


def test_purge_when_replicated_keeps_numbers_covered_and_leaves_no_ended_call_open(tmp_path: Path) -> None:
    path, replica = tmp_path / "calls.db", tmp_path / "replica.db"
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
    own = with_journal(path, fill(records))
    covered, entries = with_journal(path, lambda _, store: store.read_journal(own))
    assert [entry.seq for entry in entries] == [2, 3, 4, 5, 6, 8]
    assert covered.contiguous_end == 8
    batch = with_journal(path, lambda _, store: store.read_batch(own, 0, 8, 1 << 20))

    def receive(_: Database, store: JournalStore) -> list[int]:
        # The replica received the first four earlier: it knows these calls as open.
        for received in (
            make_batch(own, 0, 4, [encode_entry(n + 1, r) for n, r in enumerate(records[:4])]),
            batch,
        ):
            new = plan_batch_write(store.offsets, received)
            assert isinstance(new, BatchWrite)
            store.write_batch(new)
        return [entry.seq for entry in store.read_journal(own).entries]

    assert with_journal(replica, receive, name="front-1") == [2, 3, 4, 5, 6, 8]
    merged = MergedJournal()
    merged.add(covered, entries)
    assert list(merged.retained_calls()) == ["open"]
    assert merged.gaps == []


def test_entry_when_a_bit_is_flipped_is_corrupt_alone_and_another_replica_has_it(tmp_path: Path) -> None:
    path = tmp_path / "calls.db"
    own = with_journal(path, fill([accepted("a"), accepted("b"), accepted("c")]))
    intact = with_journal(path, lambda _, store: store.read_journal(own))
    with sqlite3.connect(path) as db:
        ((data,),) = db.execute("select data from lines where seq = 2")
        db.execute("update lines set data = ? where seq = 2", (data[:9] + bytes([data[9] ^ 1]) + data[10:],))
    covered, entries = with_journal(path, lambda _, store: store.read_journal(own))
    merged = MergedJournal()
    merged.add(covered, entries)
    assert sorted(merged.calls) == ["a", "c"]
    assert merged.gaps == [(1, 2)]
    batch = with_journal(path, lambda _, store: store.read_batch(own, 0, 3, 1 << 20))

    def receive(_: Database, store: JournalStore) -> int:
        new = plan_batch_write(store.offsets, batch)
        assert new is not None
        store.write_batch(new)  # a corrupt entry is stored as it is, and replication continues
        return int(store.offsets[own])

    assert with_journal(tmp_path / "replica.db", receive, name="front-1") == 3
    merged.add(*intact)
    assert sorted(merged.calls) == ["a", "b", "c"]
    assert merged.gaps == []


@pytest.mark.parametrize("records", [1, 4])
def test_journal_when_killed_at_any_write_has_all_durable_entries_without_a_gap(
    tmp_path: Path, records: int
) -> None:
    """The process is killed, and the WAL is truncated at any byte."""
    path = tmp_path / "calls.db"

    def work(_: Database, store: JournalStore) -> None:
        for n in range(records):
            store.append_durably(accepted(f"c{n}"))
        for name in ("calls.db", "calls.db-wal"):
            (tmp_path / f"{name}.copy").write_bytes((tmp_path / name).read_bytes())

    with_journal(path, work)
    main, wal = ((tmp_path / f"{name}.copy").read_bytes() for name in ("calls.db", "calls.db-wal"))
    counts = []
    for size in [*range(0, len(wal), max(1, len(wal) // 60)), len(wal)]:
        torn = tmp_path / f"torn-{size}"
        torn.mkdir()
        (torn / "calls.db").write_bytes(main)
        (torn / "calls.db-wal").write_bytes(wal[:size])
        try:
            numbers = with_journal(
                torn / "calls.db",
                lambda _, store: [entry.seq for entry in store.read_journal(store.own_origin).entries],
            )
        except StoreError:
            assert size < 4096
            assert (torn / "calls.db").stat().st_size == 0
            continue
        assert numbers == list(range(1, len(numbers) + 1))
        counts.append(len(numbers))
    assert counts == sorted(counts)
    assert counts[-1] == records
    assert with_journal(path, lambda _, store: len(store.read_journal(store.own_origin).entries)) == records
