"""File replacement is atomic whichever system call fails, and durable on return."""

from __future__ import annotations

from pathlib import Path

import pytest

from walnutpost.eventloop import remove_temporary_files, replace_file
from walnutpost.testsupport.store.disk_faults import scripted_files

CALLS = ["write", "fsync", "rename", "fsync folder"]


def test_replaced_file_is_synced_before_its_rename_and_its_folder_after(tmp_path: Path) -> None:
    with scripted_files() as files:
        replace_file(tmp_path / "state", b"new")
    assert files.calls == CALLS
    assert (tmp_path / "state").read_bytes() == b"new"


@pytest.mark.parametrize("call", CALLS)
def test_failed_call_leaves_old_or_new_content_and_no_temporary_file(tmp_path: Path, call: str) -> None:
    path = tmp_path / "state"
    path.write_bytes(b"former")
    with scripted_files() as files:
        files.fails[call] = 1
        with pytest.raises(OSError):
            replace_file(path, b"new")
        assert path.read_bytes() == (b"new" if call == "fsync folder" else b"former")
        assert list(tmp_path.iterdir()) == [path]
        replace_file(path, b"new")
    assert path.read_bytes() == b"new"
    assert list(tmp_path.iterdir()) == [path]


def test_short_write_is_continued_until_all_data_is_written(tmp_path: Path) -> None:
    with scripted_files() as files:
        files.fails["short write"] = 5
        replace_file(tmp_path / "state", b"0123456789" * 100)
    assert (tmp_path / "state").read_bytes() == b"0123456789" * 100


def test_only_temporary_files_of_the_path_are_removed(tmp_path: Path) -> None:
    other_names = {"state", "state.0a1b2c3d.new.txt", "other.0a1b2c3d.new", "state.own.new"}
    for name in other_names | {"state.0a1b2c3d.new", "state.new"}:
        (tmp_path / name).write_bytes(b"half")
    remove_temporary_files(tmp_path / "state")
    assert {path.name for path in tmp_path.iterdir()} == other_names
    remove_temporary_files(tmp_path / "nowhere" / "state")
