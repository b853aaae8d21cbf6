"""A file of sqlite in WAL mode: one commit for all changes that wait, off the loop."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from walnutpost.eventloop import Event, Loop

BUSY_SECONDS = 0.5  # how long another process's lock is waited for before a commit fails
MAX_BATCH = 1_000  # changes in one commit
# A commit of many changes writes many pages, any of which may fail; one of few changes costs a sync for few.
# With these two, a disk on which single writes fail gets batches of which about one in four succeeds.
SHRINK_ON_FAILURE, GROW_ON_SUCCESS = 2, 8
COMMIT_RETRY_US = 2_000_000  # how long a change whose commit fails is tried again, by default
MIN_BACKOFF_US = 1_000  # between two tries
QUICK_TRIES = 8  # in a row that fail, before the backoff doubles with each further one
MAX_BACKOFF_US = 100_000  # also the longest that a disk which works again waits for the next try


class StoreError(Exception):
    """The store did not take or give something. `uncertain`: its commit failed when it may have reached the
    disk, and could not be undone: a kill before the next commit may let the next start find it."""

    def __init__(self, message: str, uncertain: bool = False) -> None:
        super().__init__(message)
        self.uncertain = uncertain


Change = Callable[[sqlite3.Connection], object]


class _Pending:
    """A change that waits to be durable, until `give_up_at`."""

    __slots__ = ("change", "done", "error", "give_up_at", "tried")

    def __init__(self, loop: Loop, change: Change, give_up_at: int) -> None:
        self.change = change
        self.done = Event(loop)
        self.error: Exception | None = None
        self.give_up_at = give_up_at
        self.tried = False


class Database:
    """One process's file. Changes wait until they are durable; many that wait share one commit. All sqlite
    work of a running loop happens on its helper thread.

    A commit that fails (EIO, a full disk, a lock) is rolled back and tried again with backoff, for
    `retry_us` a change; 0 tries once. A change must therefore be one that can be run again."""

    def __init__(self, loop: Loop, path: Path, schema: str, retry_us: int = 0) -> None:
        """Opens or makes the file, readable by its owner alone; raises StoreError with the path."""
        self._loop = loop
        self._retry_us = retry_us
        self._waiting: list[_Pending] = []
        self._committing = False
        self._may_have_reached_disk = False  # frames of a failed commit may lie behind the log's end
        self.before_commit: Change | None = None  # made part of each commit
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            os.close(os.open(path, os.O_CREAT | os.O_RDWR, 0o600))
            self._db = sqlite3.connect(
                path, timeout=BUSY_SECONDS, isolation_level=None, check_same_thread=False
            )
            self._db.execute("pragma journal_mode=wal")
            self._db.execute("pragma synchronous=full")
            self._db.executescript(schema)
        except (OSError, sqlite3.Error) as error:
            raise StoreError(f"{path}: {error}") from error

    def change(self, change: Change, retry_us: int | None = None) -> None:
        """Returns once it is durable; raises StoreError where it isn't within `retry_us`."""
        retry_us = self._retry_us if retry_us is None else min(retry_us, self._retry_us)
        pending = _Pending(self._loop, change, self._loop.now() + retry_us)
        self._waiting.append(pending)
        if not self._committing:
            self._committing = True
            self._loop.spawn(self._commits, name="commit")
        pending.done.wait()
        if pending.error is not None:
            if isinstance(pending.error, StoreError):
                raise pending.error
            raise StoreError(str(pending.error)) from pending.error

    def _commits(self) -> None:
        """Commits what waits, oldest first. After a failure fewer share the next try: fewer pages are
        written, and one change that can't be taken stops fewer others."""
        size, failures = MAX_BATCH, 0
        try:
            while self._waiting:
                batch = self._waiting[:size]
                for pending in batch:
                    pending.tried = True
                try:
                    self._loop.blocking(self._commit, batch)
                except Exception as error:
                    size, failures = max(1, len(batch) // SHRINK_ON_FAILURE), failures + 1
                    if self._give_up(batch, error):
                        continue
                    if size == 1:  # the next one's turn: what this one wants may be more than there is
                        self._waiting.append(self._waiting.pop(0))
                    self._loop.sleep(_backoff_us(failures))
                else:
                    size, failures = min(size * GROW_ON_SUCCESS, MAX_BATCH), 0
                    self._finish(batch)
        finally:
            self._committing = False

    def _give_up(self, batch: Sequence[_Pending], error: Exception) -> bool:
        """Refuses those whose time is over, or all where another try can't help; False where none were."""
        retryable, now = isinstance(error, sqlite3.OperationalError), self._loop.now()
        over = [p for p in self._waiting if p.tried and p.give_up_at <= now] if retryable else list(batch)
        if not over:
            return False
        uncertain = self._may_have_reached_disk and not self._loop.blocking(self._overwrite_failed_commit)
        for pending in over:
            pending.error = StoreError(str(error), uncertain)
            pending.error.__cause__ = error
        self._finish(over)
        return True

    def _finish(self, ended: Sequence[_Pending]) -> None:
        known = set(map(id, ended))
        self._waiting = [p for p in self._waiting if id(p) not in known]
        for pending in ended:
            pending.done.set()

    def _commit(self, batch: Sequence[_Pending]) -> None:
        """One transaction. A change that breaks a constraint fails alone, with all of its statements; a
        failed commit fails all."""
        for pending in batch:
            pending.error = None
        while not self._try_commit([p for p in batch if p.error is None]):
            pass

    def _try_commit(self, batch: Sequence[_Pending]) -> bool:
        """False where a change broke a constraint: its error is set, and nothing was written."""
        db = self._db
        self._end_transaction()
        db.execute("begin immediate")
        try:
            for pending in batch:
                try:
                    pending.change(db)
                except sqlite3.IntegrityError as error:
                    pending.error = error
                    return False
            if self.before_commit is not None:
                self.before_commit(db)
            try:
                db.execute("commit")
            except BaseException:
                self._may_have_reached_disk = True
                raise
            self._may_have_reached_disk = False
        finally:
            with suppress(sqlite3.Error):  # else it is ended before the next statement
                self._end_transaction()
        return True

    def _end_transaction(self) -> None:
        """sqlite rolls back by itself after some errors of a commit, and leaves it open after others."""
        if self._db.in_transaction:
            self._db.execute("rollback")

    def _overwrite_failed_commit(self) -> bool:
        """Frames of a failed commit that reached the log are not part of it for this process, but would be
        for the next one after a kill. Any further commit takes their place; False where that fails, too."""
        try:
            self._end_transaction()
            (version,) = self._db.execute("pragma user_version").fetchone()
            self._db.execute(f"pragma user_version = {version}")
        except sqlite3.Error:
            return False
        self._may_have_reached_disk = False
        return True

    def make(self, schema: str) -> None:
        """Adds tables; before the loop runs."""
        try:
            self._db.executescript(schema)
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error

    def change_now(self, change: Change) -> None:
        """Before the loop runs."""
        try:
            self._commit([_Pending(self._loop, change, 0)])
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error

    def select(self, query: str, values: Sequence[object] = ()) -> list[tuple[Any, ...]]:
        """Rows of any table; before the loop runs, or on its helper thread."""
        try:
            self._end_transaction()  # nothing uncommitted is shown
            return self._db.execute(query, values).fetchall()
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error

    def close(self) -> None:
        """After the loop has ended."""
        self._db.close()


def _backoff_us(failures: int) -> int:
    """Before the next try, after so many in a row that failed."""
    doublings = min(max(0, failures - QUICK_TRIES), MAX_BACKOFF_US.bit_length())
    return min(MIN_BACKOFF_US << doublings, MAX_BACKOFF_US)
