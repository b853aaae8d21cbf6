"""The clock of stored time: a mark of time in each commit, read at the next start (stored_time.py)."""

from __future__ import annotations

import sqlite3

from walnutpost.eventloop import BootTime, Loop
from walnutpost.store.database import Database
from walnutpost.store.stored_time import TimeMark, next_offset_us

SCHEMA = """
create table if not exists time_marks (
    id integer primary key check (id = 1), boot_id text not null, since_boot_us integer not null,
    epoch_us integer not null, stored_us integer not null
);
"""


class StoredTimeConverter:
    """Converts between epochs of the loop's clock and the stored time of one file.

    Reads the last mark, so it must be created before the loop's helper thread uses the file.
    `newest_epoch_us` is the newest time in a file that a version without marks may have written, None if it
    has none.
    """

    def __init__(self, loop: Loop, database: Database, newest_epoch_us: int | None) -> None:
        self._loop = loop
        database.create_tables(SCHEMA)
        mark = _last_mark(database)
        if mark is None and newest_epoch_us is not None:
            mark = TimeMark(BootTime("", 0), newest_epoch_us, newest_epoch_us)
        self.offset_us = next_offset_us(mark, loop.boot_time(), loop.now())
        database.before_commit = self._write_mark

    def to_stored(self, epoch_us: int) -> int:
        """Convert a time of the loop's clock to stored time."""
        return epoch_us - self.offset_us

    def to_epoch(self, stored_us: int) -> int:
        """Convert a stored time to the loop's clock."""
        return stored_us + self.offset_us

    def _write_mark(self, db: sqlite3.Connection) -> None:
        boot = self._loop.boot_time()
        epoch_us = self._loop.now()
        db.execute(
            "insert or replace into time_marks values (1, ?, ?, ?, ?)",
            (boot.boot_id, boot.since_boot_us, epoch_us, self.to_stored(epoch_us)),
        )


def _last_mark(database: Database) -> TimeMark | None:
    rows = database.select("select boot_id, since_boot_us, epoch_us, stored_us from time_marks")
    if not rows:
        return None
    boot_id, since_boot_us, epoch_us, stored_us = rows[0]
    return TimeMark(BootTime(boot_id, since_boot_us), epoch_us, stored_us)
