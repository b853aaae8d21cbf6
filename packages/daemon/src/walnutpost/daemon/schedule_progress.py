"""How far schedules have progressed, in a file beside the store: reveals a store that is an older copy."""

from __future__ import annotations

from pathlib import Path

from walnutpost.eventloop import remove_leftovers, replace_file


class ScheduleProgressFile:
    """A file with two numbers: the newest due time with an outcome in the store, and when that was written.

    Replaced atomically. A backup of both files, restored together, can't be detected.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._newest_due = 0
        remove_leftovers(path)

    def uncertain_until(self, newest_mark: int) -> int:
        """Return until when firings may have been sent that the store does not know of.

        `newest_mark` is the newest due time that the store knows; 0 if the store has all that this file has.
        """
        try:
            newest_due, written_at = (int(text) for text in self._path.read_text().split())
        except (OSError, ValueError):
            return 0
        return written_at if newest_due > newest_mark else 0

    def write(self, newest_due: int, now: int) -> None:
        """Write a newer due time. Raises OSError; the next call tries again."""
        if newest_due == self._newest_due:
            return
        replace_file(self._path, f"{newest_due} {now}\n".encode())
        self._newest_due = newest_due
