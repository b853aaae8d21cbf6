"""A capture whose disk fails, fills up, or ends in the middle of a record stays readable."""

from __future__ import annotations

from pathlib import Path

import pytest

from walnutpost.faultinjection.capture import Capture, read_records
from walnutpost.testsupport.store.disk_faults import scripted_files


def opened(path: Path) -> Capture:
    return Capture(path, "front", "front-0", lambda: 7)


def kinds(path: Path) -> list[str]:
    return [record[1] for record in read_records(path)]


@pytest.mark.parametrize("cut", [1, 3, 5, 9])
def test_record_that_a_kill_cut_short_is_removed_before_the_next(tmp_path: Path, cut: int) -> None:
    path = tmp_path / "front.capture"
    first = opened(path)
    first.on_execution_started("a", 1)
    first.close()
    path.write_bytes(path.read_bytes()[:-cut])
    second = opened(path)
    second.on_execution_started("b", 1)
    second.close()
    assert kinds(path) == ["begin", "begin", "ran"]


def test_empty_file_is_begun_anew(tmp_path: Path) -> None:
    path = tmp_path / "front.capture"
    path.write_bytes(b"")
    opened(path).close()
    assert kinds(path) == ["begin"]


def test_records_that_a_full_disk_did_not_take_are_counted_and_stop_nothing(tmp_path: Path) -> None:
    path = tmp_path / "front.capture"
    capture = opened(path)
    with scripted_files() as files:
        files.fails = {"short write": 1, "write": 3}  # the first ends half done
        for run in range(4):
            capture.on_execution_started("a", run)
    capture.close()
    records = list(read_records(path))
    assert [record[1:] for record in records[1:]] == [["lost", 3], ["ran", "a", 3]]
