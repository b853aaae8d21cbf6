"""Files of released code: the present code opens them, reads all of them, and writes equal ones."""

from __future__ import annotations

import sqlite3
from contextlib import closing
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest

from walnutpost.eventloop import Loop
from walnutpost.gateway import ExecutionStatus
from walnutpost.journal import IntervalSet, make_batch
from walnutpost.metering import DAY_US, HOUR_US
from walnutpost.store import ExecutionQuery, UsageStore, read_history, read_ledger
from walnutpost.store.firings import FiringRow
from walnutpost.testsupport.golden.files import assert_as_golden, dump_of, restore_dump, schema_of
from walnutpost.testsupport.store.stored_samples import (
    BOOKED,
    CALLS,
    CALLS_DUMP,
    DISK,
    FIRED,
    FIRED_AND_ENDED,
    GONE,
    LEDGER,
    MARKS,
    NOW,
    OPEN,
    OTHER,
    OTHER_ENTRIES,
    OTHER_UPTO,
    OWN,
    OWN_ENTRIES,
    OWN_RECORDS,
    RUN,
    SAVED,
    USAGE_DUMP,
    calls_store,
    shifted,
    write_calls,
    write_usage,
)

WRITERS = {CALLS_DUMP: write_calls, USAGE_DUMP: write_usage}


def drop_marks(path: Path, dump: Path) -> None:
    """Drop the table that was added to files of calls after these golden files were made."""
    if dump == CALLS_DUMP:
        with closing(sqlite3.connect(path)) as db:
            db.execute("drop table time_marks")
            db.commit()


def golden_files() -> dict[Path, bytes]:
    files = {}
    with TemporaryDirectory() as folder:
        for dump, write in WRITERS.items():
            write(path := Path(folder) / f"{dump.stem}.db")
            drop_marks(path, dump)
            files[dump] = dump_of(path)
    return files


def test_content_when_written_equals_the_golden_dumps() -> None:
    assert_as_golden(golden_files())


@pytest.mark.parametrize("dump", WRITERS, ids=lambda dump: dump.name)
def test_new_file_has_the_tables_columns_and_indexes_of_the_golden_dumps(dump: Path, tmp_path: Path) -> None:
    WRITERS[dump](tmp_path / "new.db")
    drop_marks(tmp_path / "new.db", dump)
    assert schema_of(tmp_path / "new.db") == schema_of(restore_dump(dump, tmp_path / "old.db"))


def test_golden_file_when_opened_is_not_changed(tmp_path: Path) -> None:
    with calls_store(restore_dump(CALLS_DUMP, tmp_path / "calls.db")):
        pass
    drop_marks(tmp_path / "calls.db", CALLS_DUMP)
    assert dump_of(tmp_path / "calls.db") == CALLS_DUMP.read_bytes()
    UsageStore(Loop(), restore_dump(USAGE_DUMP, tmp_path / "usage.db")).close()
    assert dump_of(tmp_path / "usage.db") == USAGE_DUMP.read_bytes()


def test_executions_when_read_from_a_golden_file_have_their_outcomes(tmp_path: Path) -> None:
    everything = ExecutionQuery("price", None, frozenset(), None, None, False, None, 100)
    with calls_store(restore_dump(CALLS_DUMP, tmp_path / "calls.db")) as (loop, executions, _, _):
        # Without time marks the downtime is unknown: all times are read with one offset.
        calls = [shifted(e, executions.clock.offset_us) for e in CALLS]
        known = {e.id: e for e in calls}
        running = [e for e in calls if e.status is ExecutionStatus.RUNNING]
        opened = executions.load_open()
        assert {e.id: e for e in opened} == {e.id: e for e in running}
        assert [e.expires_at for e in opened] == sorted(e.expires_at for e in running)

        def read() -> None:
            assert {ident: executions.find(ident) for ident in known} == known
            assert executions.find(GONE.id) is executions.find(FIRED_AND_ENDED.id) is None
            assert executions.find_by_name(OPEN.function, FIRED.name) == known[FIRED.id]
            page, more = executions.list_page(everything)
            assert {e.id: e for e in page} == known
            assert not more
            for status in ExecutionStatus:
                found, _ = executions.list_page(replace(everything, statuses=frozenset({status})))
                assert {e.id for e in found} == {e.id for e in calls if e.status is status}

        loop.run(read)


def test_firings_and_marks_when_read_from_a_golden_file_are_equal(tmp_path: Path) -> None:
    path = restore_dump(CALLS_DUMP, tmp_path / "calls.db")
    fired = FiringRow("nightly", NOW, NOW, 1, NOW + 30, FIRED.name, "RUNNING", "")
    lost = FiringRow("lost", NOW, NOW, 1, NOW + 32, "cron-lost-1800000000", "RUNNING", "")
    ended = FiringRow("hourly", NOW, NOW, 1, NOW + 31, FIRED_AND_ENDED.name, "FAILED", "T: why")
    skipped = FiringRow("often", NOW + 3, NOW + 9, 4, NOW + 33, "", "SKIPPED", "missed")
    rejected = FiringRow("full", NOW + 4, NOW + 4, 1, NOW + 34, "", "REFUSED", "no room")
    with calls_store(path) as (_, _, _, firings):
        assert firings.load_marks() == MARKS
        assert firings.load_unfinished() == ([fired], [lost])
    assert read_history(path, None, 100) == [rejected, skipped, ended, lost, fired]
    assert read_history(path, "often", 100) == [skipped]


def test_journals_when_read_from_a_golden_file_are_equal_and_continue(tmp_path: Path) -> None:
    with calls_store(restore_dump(CALLS_DUMP, tmp_path / "calls.db")) as (loop, _, journal, _):
        assert (journal.own_origin, journal.disk_id) == (OWN, DISK)
        assert journal.offsets == {OWN: len(OWN_RECORDS), OTHER: OTHER_UPTO}

        def read() -> None:
            for origin, entries, upto in (
                (OWN, OWN_ENTRIES, len(OWN_RECORDS)),
                (OTHER, OTHER_ENTRIES, OTHER_UPTO),
            ):
                spans, found = journal.read_journal(origin)
                assert found == entries
                assert list(spans) == list(IntervalSet([(0, upto)]))
                assert journal.read_batch(origin, 0, upto, 1 << 20) == make_batch(origin, 0, upto, entries)
            assert sorted(journal.read_call_entries("id-far"), key=lambda each: each.seq) == OTHER_ENTRIES[:3]
            assert [each.seq for each in journal.read_call_entries("id-open")] == [1, 2, 7]
            assert journal.append_durably(OWN_RECORDS[3]).entry.seq == len(OWN_RECORDS) + 1

        loop.run(read)


def test_ledger_when_read_from_a_golden_file_has_its_totals(tmp_path: Path) -> None:
    path = restore_dump(USAGE_DUMP, tmp_path / "usage.db")
    assert read_ledger(path, 0, 1 << 62) == LEDGER
    assert read_ledger(path, NOW - 10 * DAY_US, NOW, records=False).hour_lines == LEDGER.hour_lines
    store = UsageStore(Loop(), path)
    saved, run = store.load()
    store.close()
    assert run == RUN
    assert saved == replace(SAVED, booked=BOOKED)
    assert set(BOOKED) == {NOW - HOUR_US}


def test_corrupt_entry_when_stored_keeps_its_number_as_in_the_golden_file(tmp_path: Path) -> None:
    db = sqlite3.connect(restore_dump(CALLS_DUMP, tmp_path / "calls.db"))
    kinds = db.execute("select origin, kind, count(*) from lines group by origin, kind").fetchall()
    db.close()
    assert sorted(kinds) == sorted(
        [
            *[(OWN, kind, n) for kind, n in (("accepted", 2), ("intended", 1), ("withdrawn", 1))],
            *[(OWN, kind, 1) for kind in ("ended", "purged")],
            *[(OTHER, kind, 1) for kind in ("accepted", "intended", "ended", "bad")],
        ]
    )
