"""A file of sqlite in WAL mode with group commit: all changes that wait share one commit, off the loop."""

from __future__ import annotations

import os
import sqlite3
import threading
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from walnutpost.eventloop import Event, Loop

LOCK_TIMEOUT_S = 0.5  # how long another process's lock is waited for before a commit fails
MAX_CHANGES_PER_COMMIT = 1_000  # changes in one commit
# A large batch writes many pages, any of which may fail; a small one pays for a sync with few changes. With
# these two factors about one batch in four succeeds on a disk on which single writes fail.
SHRINK_ON_FAILURE = 2
GROW_ON_SUCCESS = 8
COMMIT_RETRY_US = 2_000_000  # how long a change is retried after its commit fails, by default
MIN_BACKOFF_US = 1_000  # between two attempts
MAX_QUICK_RETRIES = 8  # failures in a row before the backoff doubles with each further one
MAX_BACKOFF_US = 100_000  # so a disk that works again is used at the latest after this


class StoreError(Exception):
    """The store could not write or read something.

    `is_uncertain`: the commit failed when it may have reached the disk, and could not be undone; after a kill
    before the next commit the next start may find the change.
    """

    def __init__(self, message: str, is_uncertain: bool = False) -> None:
        super().__init__(message)
        self.is_uncertain = is_uncertain


Change = Callable[[sqlite3.Connection], object]
"""Part of a commit: executes statements, and may be called again if the commit fails."""


class _PendingChange:
    """A change that waits to be durable, until `deadline_us`."""

    __slots__ = ("change", "deadline_us", "done", "error", "was_attempted")

    def __init__(self, loop: Loop, change: Change, deadline_us: int) -> None:
        self.change = change
        self.done = Event(loop)
        self.error: Exception | None = None
        self.deadline_us = deadline_us
        self.was_attempted = False


class Database:
    """One process's file. Changes wait until they are durable; many that wait share one commit.

    Changes are committed on the loop's helper thread. Other accesses wait for a commit to end, so they belong
    on that thread, too, except while a process starts: its first tasks may commit before all is read.
    A commit that fails (EIO, a full disk, a lock) is rolled back and retried with backoff, for `retry_us`
    per change; 0 means one attempt. A change must therefore be repeatable.
    Opens or creates the file, readable by its owner alone; raises StoreError with the path.
    """

    def __init__(self, loop: Loop, path: Path, schema: str, retry_us: int = 0) -> None:
        self._loop = loop
        self._retry_us = retry_us
        self._pending: list[_PendingChange] = []
        self._is_committing = False
        self._may_have_reached_disk = False  # frames of a failed commit may be behind the log's end
        self._access_lock = threading.RLock()  # owned by the thread that uses the connection
        self.before_commit: Change | None = None  # made part of each commit
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            os.close(os.open(path, os.O_CREAT | os.O_RDWR, 0o600))
            self._db = sqlite3.connect(
                path, timeout=LOCK_TIMEOUT_S, isolation_level=None, check_same_thread=False
            )
            self._db.execute("pragma journal_mode=wal")
            self._db.execute("pragma synchronous=full")
            self._db.executescript(schema)
        except (OSError, sqlite3.Error) as error:
            raise StoreError(f"{path}: {error}") from error

    def submit(self, change: Change, retry_us: int | None = None) -> None:
        """Return once the change is durable. Raises StoreError if it isn't within `retry_us`."""
        retry_us = self._retry_us if retry_us is None else min(retry_us, self._retry_us)
        pending = _PendingChange(self._loop, change, self._loop.now() + retry_us)
        self._pending.append(pending)
        if not self._is_committing:
            self._is_committing = True
            self._loop.spawn(self._commit_loop, name="commit")
        pending.done.wait()
        if pending.error is not None:
            if isinstance(pending.error, StoreError):
                raise pending.error
            raise StoreError(str(pending.error)) from pending.error

    def _commit_loop(self) -> None:
        """Commit pending changes, oldest first, until none is left (group commit).

        After a failure the next batch is smaller: fewer pages are written, and one change that can't be
        written fails fewer others.
        """
        batch_size = MAX_CHANGES_PER_COMMIT
        failures = 0
        try:
            while self._pending:
                batch = self._pending[:batch_size]
                for pending in batch:
                    pending.was_attempted = True
                try:
                    self._loop.run_blocking(self._commit, batch)
                except Exception as error:
                    batch_size = max(1, len(batch) // SHRINK_ON_FAILURE)
                    failures += 1
                    if self._fail_expired(batch, error):
                        continue
                    if batch_size == 1:  # another one first: this one may need more space than the disk has
                        self._pending.append(self._pending.pop(0))
                    self._loop.sleep(_backoff_us(failures))
                else:
                    batch_size = min(batch_size * GROW_ON_SUCCESS, MAX_CHANGES_PER_COMMIT)
                    failures = 0
                    self._finish(batch)
        finally:
            self._is_committing = False

    def _fail_expired(self, batch: Sequence[_PendingChange], error: Exception) -> bool:
        """Fail the changes past their deadline, or all of the batch if a retry can't help.

        Returns whether there were any.
        """
        is_retryable = isinstance(error, sqlite3.OperationalError)
        now = self._loop.now()
        failed = list(batch)
        if is_retryable:
            failed = [each for each in self._pending if each.was_attempted and each.deadline_us <= now]
        if not failed:
            return False
        is_uncertain = self._may_have_reached_disk and not self._loop.run_blocking(
            self._overwrite_failed_commit
        )
        for pending in failed:
            pending.error = StoreError(str(error), is_uncertain)
            pending.error.__cause__ = error
        self._finish(failed)
        return True

    def _finish(self, finished: Sequence[_PendingChange]) -> None:
        ids = set(map(id, finished))
        self._pending = [each for each in self._pending if id(each) not in ids]
        for pending in finished:
            pending.done.set()

    def _commit(self, batch: Sequence[_PendingChange]) -> None:
        """Commit one transaction.

        A change that violates a constraint fails alone, with all its statements; a failed commit fails all.
        """
        for pending in batch:
            pending.error = None
        while not self._try_commit([each for each in batch if each.error is None]):
            pass

    def _try_commit(self, batch: Sequence[_PendingChange]) -> bool:
        """Return False if a change violated a constraint: its error is set, and nothing was written."""
        with self._access_lock:
            self._end_transaction()
            self._db.execute("begin immediate")
            try:
                for pending in batch:
                    try:
                        pending.change(self._db)
                    except sqlite3.IntegrityError as error:
                        pending.error = error
                        return False
                if self.before_commit is not None:
                    self.before_commit(self._db)
                self._end_with_commit()
            finally:
                with suppress(sqlite3.Error):  # else the next access rolls back
                    self._end_transaction()
        return True

    def _end_with_commit(self) -> None:
        try:
            self._db.execute("commit")
        except BaseException:
            self._may_have_reached_disk = True
            raise
        self._may_have_reached_disk = False

    def _end_transaction(self) -> None:
        """Roll back an open transaction: sqlite does that itself only after some errors of a commit."""
        if self._db.in_transaction:
            self._db.execute("rollback")

    def _overwrite_failed_commit(self) -> bool:
        """Overwrite frames of a failed commit that may have reached the log; return whether that succeeded.

        They are not part of the log for this process, but would be for the next one after a kill. Any further
        commit overwrites them.
        """
        try:
            with self._access_lock:
                self._end_transaction()
                (version,) = self._db.execute("pragma user_version").fetchone()
                self._db.execute(f"pragma user_version = {version}")
        except sqlite3.Error:
            return False
        self._may_have_reached_disk = False
        return True

    def create_tables(self, schema: str) -> None:
        """Add tables, while the process starts. Raises StoreError."""
        try:
            with self._access_lock:
                self._db.executescript(schema)
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error

    def commit_at_startup(self, change: Change) -> None:
        """Commit a change, while the process starts. Raises StoreError."""
        try:
            self._commit([_PendingChange(self._loop, change, 0)])
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error

    # Any: sqlite3 has no types of columns.
    def select(self, query: str, values: Sequence[object] = ()) -> list[tuple[Any, ...]]:
        """Return rows; while the process starts, or on the loop's helper thread. Raises StoreError."""
        try:
            with self._access_lock:
                self._end_transaction()  # so that nothing uncommitted is read
                return self._db.execute(query, values).fetchall()
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error

    def close(self) -> None:
        """Close the file, after the loop has ended."""
        self._db.close()


def combine_changes(*changes: Change | None) -> Change | None:
    """Return one change that makes all of these in order, None if there is nothing to do."""
    parts = [change for change in changes if change is not None]
    if not parts:
        return None

    def combined(db: sqlite3.Connection) -> None:
        for part in parts:
            part(db)

    return combined


def _backoff_us(failures: int) -> int:
    """Return the wait before the next attempt after a number of failures in a row."""
    doublings = min(max(0, failures - MAX_QUICK_RETRIES), MAX_BACKOFF_US.bit_length())
    return min(MIN_BACKOFF_US << doublings, MAX_BACKOFF_US)
