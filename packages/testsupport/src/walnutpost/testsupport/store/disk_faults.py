"""Scripted disk faults: in a store's sqlite connection, and in the system calls that replace files."""

from __future__ import annotations

import errno
import os
import shutil
import sqlite3
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from pathlib import Path
from typing import Any

from walnutpost.eventloop import FileCalls, set_file_calls
from walnutpost.store import Database

IO_ERROR = "disk I/O error"
LOG_HEADER, FRAME_HEADER = 32, 24  # bytes, in sqlite's WAL format


class Fault(Enum):
    """The state after a statement has failed."""

    OPEN = "the transaction is still open"
    ROLLED_BACK = "sqlite has rolled back by itself"
    REACHED_DISK = "sqlite has rolled back, but the commit is in the log"


Script = Callable[[str], Fault | None]


class ScriptedConnection:
    """Replaces a store's connection; `script` decides before each statement whether it fails."""

    def __init__(self, store: Database, path: Path, script: Script) -> None:
        self._real, self._path, self._script = store._db, path, script
        self._statements: list[tuple[str, Any]] = []  # of the open transaction
        self.failures = 0
        store._db = self  # type: ignore[assignment]

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the real connection."""
        return getattr(self._real, name)

    def execute(self, statement: str, values: Any = ()) -> sqlite3.Cursor:
        """Run a statement, unless the script lets it fail."""
        if statement.startswith("begin"):
            self._statements.clear()
        if not statement.startswith("rollback") and statement != "pragma user_version":
            self._fail(statement)
        self._statements.append((statement, values))
        return self._real.execute(statement, values)

    def executemany(self, statement: str, rows: Any) -> sqlite3.Cursor:
        """Run a statement for each row, unless the script lets it fail."""
        rows = list(rows)
        self._fail(statement)
        self._statements += [(statement, row) for row in rows]
        return self._real.executemany(statement, rows)

    def _fail(self, statement: str) -> None:
        fault = self._script(statement)
        if fault is None:
            return
        self.failures += 1
        if fault is not Fault.OPEN and self._real.in_transaction:
            log = self._log_with_the_commit() if fault is Fault.REACHED_DISK else None
            self._real.execute("rollback")
            if log is not None:
                with self._file("-wal").open("r+b") as out:
                    out.write(log)
        raise sqlite3.OperationalError(IO_ERROR)

    def _file(self, suffix: str) -> Path:
        return self._path.with_name(self._path.name + suffix)

    def _log_end(self) -> int:
        """Return where the log ends for this process, by the frame count in the shared index."""
        (frames,) = struct.unpack_from("=I", self._file("-shm").read_bytes(), 16)
        (page,) = self._real.execute("pragma page_size").fetchone()
        return int(LOG_HEADER + frames * (FRAME_HEADER + page))

    def _log_with_the_commit(self) -> bytes:
        """Return the log after the same transaction on a copy of the files."""
        folder = self._path.with_name("copy of the log")
        folder.mkdir(exist_ok=True)
        for suffix in ("", "-wal"):
            shutil.copy(self._file(suffix), folder / f"calls.db{suffix}")
        os.truncate(folder / "calls.db-wal", self._log_end())
        copy = sqlite3.connect(folder / "calls.db", isolation_level=None)
        try:
            for statement, values in self._statements:
                copy.execute(statement, values)
            copy.execute("commit")
            return (folder / "calls.db-wal").read_bytes()
        finally:
            copy.close()
            shutil.rmtree(folder)


def failing(times: int, fault: Fault = Fault.OPEN, statement: str = "commit") -> Script:
    """Fail the first `times` statements that begin with `statement`."""
    remaining = times

    def script(executed: str) -> Fault | None:
        nonlocal remaining
        if remaining and executed.startswith(statement):
            remaining -= 1
            return fault
        return None

    return script


def after_a_kill(path: Path) -> Path:
    """Copy a store's files, as a kill would leave them, into a new folder; return the store's path there."""
    folder = path.parent / "after the kill"
    folder.mkdir()
    for suffix in ("", "-wal"):
        shutil.copy(path.with_name(path.name + suffix), folder / (path.name + suffix))
    return folder / path.name


class ScriptedFiles(FileCalls):
    """System calls of which some fail.

    `fails`: how many of the next calls fail, by name: write, short write, fsync, fsync folder, rename.
    `calls`: names of the calls in order.
    """

    def __init__(self) -> None:
        self.fails: dict[str, int] = {}
        self.calls: list[str] = []

    def _fail(self, call: str, code: int) -> None:
        self.calls.append(call)
        if self.fails.get(call, 0):
            self.fails[call] -= 1
            raise OSError(code, os.strerror(code))

    def write(self, descriptor: int, data: bytes | memoryview) -> int:
        """Write, or fail because the disk is full; a short write writes half of the data."""
        if self.fails.get("short write", 0):
            self.fails["short write"] -= 1
            return super().write(descriptor, data[: max(1, len(data) // 2)])
        self._fail("write", errno.ENOSPC)
        return super().write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        """Flush a file or folder to the disk, or fail with an I/O error."""
        folder = os.path.isdir(f"/proc/self/fd/{descriptor}")
        self._fail("fsync folder" if folder else "fsync", errno.EIO)
        super().fsync(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, or fail with an I/O error."""
        self._fail("rename", errno.EIO)
        super().rename(source, target)


@contextmanager
def scripted_files() -> Iterator[ScriptedFiles]:
    """Replace the process's file calls within the context."""
    calls = ScriptedFiles()
    previous = set_file_calls(calls)
    try:
        yield calls
    finally:
        set_file_calls(previous)
