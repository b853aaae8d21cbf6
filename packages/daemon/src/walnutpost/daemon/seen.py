"""How far schedules have been decided on, kept beside the store: shows a store that is an older copy."""

from __future__ import annotations

from pathlib import Path

from walnutpost.eventloop import remove_leftovers, replace_file


class Seen:
    """A file with two numbers, replaced as a whole: the newest due time that the store had a fate for,
    and when that was written. If it is restored along with the store, nothing shows."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._newest = 0
        remove_leftovers(path)

    def doubtful(self, newest: int) -> int:
        """Up to when firings may have gone out that the store, whose newest mark is `newest`, does not
        know of; 0 where it knows of all that this file does."""
        try:
            seen, at = (int(text) for text in self._path.read_text().split())
        except (OSError, ValueError):
            return 0
        return at if seen > newest else 0

    def write(self, newest: int, now: int) -> None:
        """Raises OSError; the next call tries again."""
        if newest == self._newest:
            return
        replace_file(self._path, f"{newest} {now}\n".encode())
        self._newest = newest
