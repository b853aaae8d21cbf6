"""Stored times over steps of the wall clock between two processes: the decision, and executions on disk."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TypeVar

import pytest

from walnutpost.eventloop import BootTime, Loop, VirtualClock
from walnutpost.gateway import Execution, ExecutionStatus
from walnutpost.store import ExecutionQuery, ExecutionStore
from walnutpost.store.stored_time import MAX_STEP_US, READ_TOLERANCE_US, TimeMark, elapsed_us, next_offset_us

T = TypeVar("T")
SECOND = 1_000_000
MINUTE, HOUR = 60 * SECOND, 3600 * SECOND
EPOCH = 1_700_000_000 * SECOND
MARK = TimeMark(BootTime("a", 5 * HOUR), EPOCH, EPOCH - 7 * SECOND)
STEPS = [-HOUR, 0, HOUR]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("downtime", [0, 5 * MINUTE, HOUR, 30 * HOUR])
def test_elapsed_time_within_a_boot_is_exact_whatever_the_wall_clock_says(step: int, downtime: int) -> None:
    boot, epoch = BootTime("a", 5 * HOUR + downtime), EPOCH + downtime + step
    assert elapsed_us(MARK, boot, epoch) == downtime
    assert epoch - next_offset_us(MARK, boot, epoch) == MARK.stored_us + downtime


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("downtime", [0, 5 * MINUTE, HOUR, 30 * HOUR])
@pytest.mark.parametrize(
    "boot",
    [BootTime("b", 20 * SECOND), BootTime("", 90 * HOUR), BootTime("a", 4 * HOUR), BootTime("b", 9**18)],
)
def test_elapsed_time_across_boots_is_never_more_than_passed_and_at_most_two_hours_less(
    step: int, downtime: int, boot: BootTime
) -> None:
    """Another boot, an unknown one, a clock that ran backwards, another machine that has been up for long."""
    epoch = EPOCH + downtime + step
    passed = elapsed_us(MARK, boot, epoch)
    assert max(0, downtime - 2 * MAX_STEP_US) <= passed <= downtime
    assert epoch - next_offset_us(MARK, boot, epoch) == MARK.stored_us + passed


def test_difference_within_the_read_tolerance_is_no_step() -> None:
    boot = BootTime("a", 5 * HOUR + MINUTE)
    for noise in (-READ_TOLERANCE_US, 3, READ_TOLERANCE_US):
        assert next_offset_us(MARK, boot, EPOCH + MINUTE + noise) == MARK.offset_us
    assert next_offset_us(None, boot, EPOCH) == 0


def with_store(path: Path, epoch: int, boot: BootTime, work: Callable[[Loop, ExecutionStore], T]) -> T:
    """Run one process on the file; it ends without a shutdown."""
    loop = Loop(VirtualClock(epoch, boot))
    store = ExecutionStore(loop, path)
    try:
        return loop.run(lambda: work(loop, store))
    finally:
        store.close()


def execution(name: str, accepted_at: int, ended_at: int = 0) -> Execution:
    execution = Execution(name, name, "price", "1", None, b"1", "d", accepted_at, accepted_at + 10 * MINUTE)
    return replace(execution, status=ExecutionStatus.SUCCEEDED, ended_at=ended_at) if ended_at else execution


def fill(loop: Loop, store: ExecutionStore) -> None:
    now = loop.now()
    store.add(execution("open", now))
    store.add(execution("ended", now - MINUTE, now))
    loop.sleep(MINUTE)
    store.purge(now - HOUR)  # any commit leaves a mark


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("downtime", [0, 5 * MINUTE])
def test_ages_over_restarts_are_the_time_that_passed(tmp_path: Path, step: int, downtime: int) -> None:
    path, boot = tmp_path / "calls.db", BootTime("a", HOUR)
    with_store(path, EPOCH, boot, fill)
    for n in (1, 2):  # each restart after a further step
        elapsed = n * (MINUTE + downtime)
        epoch = EPOCH + elapsed + n * step

        def check(loop: Loop, store: ExecutionStore, elapsed: int = elapsed) -> None:
            start = loop.now()
            (running,) = store.load_open()
            assert start - running.accepted_at == elapsed
            assert running.expires_at - start == 10 * MINUTE - elapsed
            ended = store.find("ended")
            assert ended is not None
            assert start - ended.ended_at == elapsed
            assert running.ended_at == 0
            store.purge(start - elapsed)
            assert store.find("ended") is not None
            everything = ExecutionQuery(
                "price", None, frozenset(), start - elapsed - 1, start, False, None, 10
            )
            rows, _ = store.list_page(everything)
            assert [e.name for e in rows] == ["open"]
            marker = (rows[0].accepted_at, rows[0].id)
            earlier = ExecutionQuery("price", None, frozenset(), None, None, True, marker, 10)
            assert [e.name for e in store.list_page(earlier).executions] == ["ended"]
            loop.sleep(MINUTE)
            store.purge(start - HOUR)

        with_store(path, epoch, BootTime("a", HOUR + elapsed), check)

    def purge_ended(loop: Loop, store: ExecutionStore) -> tuple[bool, bool]:
        store.purge(loop.now() - (2 * (MINUTE + downtime) + MINUTE - 1))
        return store.find("ended") is None, store.find("open") is not None

    # All elapsed time counts, so that everything is purged in the end.
    end = 2 * (MINUTE + downtime) + MINUTE
    assert with_store(path, EPOCH + end, BootTime("a", HOUR + end), purge_ended) == (True, True)


@pytest.mark.parametrize("step", STEPS)
def test_file_without_marks_when_opened_ages_by_no_step(tmp_path: Path, step: int) -> None:
    path = tmp_path / "calls.db"
    with_store(path, EPOCH, BootTime("a", HOUR), fill)
    with sqlite3.connect(path) as db:
        db.execute("drop table time_marks")

    def check(loop: Loop, store: ExecutionStore) -> int:
        (running,) = store.load_open()
        store.add(execution("new", loop.now()))
        return loop.now() - running.accepted_at

    elapsed = 2 * MINUTE
    assert 0 <= with_store(path, EPOCH + elapsed + step, BootTime("a", HOUR + elapsed), check) <= elapsed


def test_commit_when_it_fails_leaves_the_previous_mark(tmp_path: Path) -> None:
    path = tmp_path / "calls.db"
    with_store(path, EPOCH, BootTime("a", HOUR), fill)

    def fail_commit(_: Loop, store: ExecutionStore) -> list[tuple[int, ...]]:
        before = store.select("select epoch_us from time_marks")

        def fail_as_full(_: sqlite3.Connection) -> None:
            raise sqlite3.OperationalError("disk is full")

        with pytest.raises(Exception, match="disk is full"):
            store.submit(fail_as_full)
        assert store.select("select epoch_us from time_marks") == before
        return before

    assert with_store(path, EPOCH + HOUR, BootTime("a", 2 * HOUR), fail_commit) == [(EPOCH + MINUTE,)]
