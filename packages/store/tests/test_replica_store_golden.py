"""Older disks: the file of a replica, as this version left it, opens, and gives the same state."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import pytest

from walnutpost.consensus import EntryKind, LogEntry, Timing, Write
from walnutpost.controlplane import ControlPlaneReplica, ReplicaSettings
from walnutpost.eventloop import Loop
from walnutpost.fleet import Fleet
from walnutpost.store.replica import ConsensusStore
from walnutpost.testsupport.fleet import command_samples
from walnutpost.testsupport.store.replica_samples import (
    ALONE,
    GOLDEN,
    IDENTITY,
    SNAPSHOT_AT,
    TERM,
    make_file,
    read,
    same_rows,
    with_store,
)
from walnutpost.testsupport.watch.harness import Log

LONG = 60_000_000  # microseconds: a lease, and the time after which a test gives up
DISK = "disk.with-log-and-snapshot"


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_a_golden_disk_is_written_with_the_same_rows(name: str) -> None:
    GOLDEN.check_written(name)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_a_golden_disk_is_read_as_the_same_vote_log_and_snapshot(name: str) -> None:
    GOLDEN.check_read(name)


def test_the_golden_file_holds_these_forms_and_no_others() -> None:
    GOLDEN.check_names()


def test_the_state_of_a_golden_disk_is_that_of_the_golden_history() -> None:
    _, state, past = read(GOLDEN[DISK])
    fleet = Fleet.restore(state.snapshot.data)
    assert fleet.state.index == SNAPSHOT_AT
    command_samples.applied(fleet, state.entries)
    assert fleet.snapshot() == command_samples.GOLDEN["state-snapshot.after-the-history"]
    assert tuple(past) == command_samples.history()


def test_a_process_over_a_golden_folder_applies_its_log_and_leads_with_the_golden_state(
    tmp_path: Path,
) -> None:
    make_file(tmp_path / "k1.db", GOLDEN["disk.of-one-replica-alone"].decode())
    loop = Loop()
    addresses = {ALONE: lambda: ("127.0.0.1", 1)}
    timing = Timing(election_timeout_us=50_000, heartbeat_interval_us=10_000)

    settings = ReplicaSettings(
        name=ALONE,
        addresses=addresses,
        listen=("127.0.0.1", 0),
        folder=tmp_path,
        timing=timing,
        lease_us=LONG,
    )

    def run() -> ControlPlaneReplica:
        replica = ControlPlaneReplica(loop, settings, Log(), 1)
        with loop.timeout(LONG):
            while replica.fleet.state.index < command_samples.history()[-1].index:
                loop.sleep(timing.heartbeat_interval_us)
        replica.stop()
        return replica

    replica = loop.run(run)
    replica.close()
    assert replica.raft.replica_id == ALONE
    assert replica.raft.term > TERM
    assert replica.fleet.snapshot() == command_samples.GOLDEN["state-snapshot.after-the-history"]


def test_a_golden_disk_takes_more_entries(tmp_path: Path) -> None:
    path = tmp_path / "replica"
    make_file(path, GOLDEN[DISK].decode())

    def work(store: ConsensusStore) -> tuple[str, tuple[LogEntry, ...]]:
        loaded = store.load()
        assert loaded is not None
        last = loaded.state.entries[-1].index
        store.write([Write(1, 5, IDENTITY, last, (LogEntry(last + 1, 5, EntryKind.OPENING),))])
        again = store.load()
        assert again is not None
        return again.state.voted_for, again.state.entries[-2:]

    last = command_samples.history()[-1]
    assert with_store(path, work) == (IDENTITY, (last, LogEntry(last.index + 1, 5, EntryKind.OPENING)))


def test_a_column_or_a_table_more_is_no_other_disk_and_another_name_or_value_is() -> None:
    golden = GOLDEN[DISK]
    more = golden.replace(
        b"COMMIT;", b"alter table replica add column more text; create table t (n);\nCOMMIT;"
    )
    assert same_rows(more, golden)
    other = golden.replace(b"COMMIT;", b"update replica set term = term + 1;\nCOMMIT;")
    assert not same_rows(other, golden)
    renamed = golden.replace(b"COMMIT;", b"alter table replica rename column voted to vote;\nCOMMIT;")
    with pytest.raises(sqlite3.OperationalError, match="no such column"):
        same_rows(renamed, golden)
