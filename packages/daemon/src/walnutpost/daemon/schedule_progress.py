"""A file beside the store with the progress of schedules; detects a store restored from an older copy."""

from __future__ import annotations

from pathlib import Path

from walnutpost.eventloop import remove_temporary_files, replace_file


class ScheduleProgressFile:
    """A file with two numbers: the newest due time with an outcome in the store, and the time of the write.

    The file is replaced atomically. If it and the store are restored from the same backup, this is not
    detected.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._newest_due = 0
        remove_temporary_files(path)

    def uncertain_until(self, newest_stored_due: int) -> int:
        """Return the time until which firings that are missing from the store may have been sent.

        `newest_stored_due` is the newest due time in the store. Return 0 if the store is not older than this
        file.
        """
        try:
            newest_due, written_at = (int(text) for text in self._path.read_text().split())
        except (OSError, ValueError):
            return 0
        return written_at if newest_due > newest_stored_due else 0

    def write(self, newest_due: int, now: int) -> None:
        """Write the newest due time if it has changed. Raises OSError; the next call tries again."""
        if newest_due == self._newest_due:
            return
        replace_file(self._path, f"{newest_due} {now}\n".encode())
        self._newest_due = newest_due
