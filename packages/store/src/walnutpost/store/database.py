"""A file of sqlite in WAL mode: one commit for all changes that wait, off the loop."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from walnutpost.eventloop import Event, Loop

BUSY_SECONDS = 0.5  # how long another process's lock is waited for before a change is refused
BATCH_MOST = 1_000  # changes in one commit


class StoreError(Exception):
    """The store did not take or give something; nothing of the change stands."""


Change = Callable[[sqlite3.Connection], object]


class Database:
    """One process's file. Changes wait until they are durable; many that wait share one commit. All sqlite
    work of a running loop happens on its helper thread."""

    def __init__(self, loop: Loop, path: Path, schema: str) -> None:
        """Opens or makes the file, readable by its owner alone; raises StoreError with the path."""
        self._loop = loop
        self._waiting: list[tuple[Change, Event, list[Exception]]] = []
        self._committing = False
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

    def change(self, change: Change) -> None:
        done, errors = Event(self._loop), list[Exception]()
        self._waiting.append((change, done, errors))
        if not self._committing:
            self._committing = True
            self._loop.spawn(self._commits, name="commit")
        done.wait()
        if errors:
            raise StoreError(str(errors[0])) from errors[0]

    def _commits(self) -> None:
        try:
            while self._waiting:
                batch, self._waiting = self._waiting[:BATCH_MOST], self._waiting[BATCH_MOST:]
                try:
                    self._loop.blocking(self._commit, batch)
                except Exception as error:
                    for _, _, errors in batch:
                        if not errors:
                            errors.append(error)
                for _, done, _ in batch:
                    done.set()
        finally:
            self._committing = False

    def _commit(self, batch: Sequence[tuple[Change, Event, list[Exception]]]) -> None:
        """One transaction. A change that breaks a constraint fails alone; a failed commit fails all."""
        db = self._db
        db.execute("begin immediate")
        try:
            for change, _, errors in batch:
                try:
                    change(db)
                except sqlite3.IntegrityError as error:
                    errors.append(error)
            db.execute("commit")
        except BaseException:
            if db.in_transaction:
                db.execute("rollback")
            raise

    def make(self, schema: str) -> None:
        """Adds tables; before the loop runs."""
        try:
            self._db.executescript(schema)
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error

    def change_now(self, change: Change) -> None:
        """Before the loop runs."""
        try:
            self._commit([(change, Event(self._loop), [])])
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error

    def select(self, query: str, values: Sequence[object] = ()) -> list[tuple[Any, ...]]:
        """Rows of any table; before the loop runs, or on its helper thread."""
        try:
            return self._db.execute(query, values).fetchall()
        except sqlite3.Error as error:
            raise StoreError(str(error)) from error

    def close(self) -> None:
        """After the loop has ended."""
        self._db.close()
