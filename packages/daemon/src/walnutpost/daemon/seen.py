"""How far schedules have been decided on, kept beside the store: shows a store that is an older copy."""

from __future__ import annotations

import os
from pathlib import Path


class Seen:
    """A file with two numbers, replaced as a whole: the newest due time that the store had a fate for,
    and when that was written. If it is restored along with the store, nothing shows."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._newest = 0

    def doubtful(self, newest: int) -> int:
        """Up to when firings may have gone out that the store, whose newest mark is `newest`, does not
        know of; 0 where it knows of all that this file does."""
        try:
            seen, at = (int(text) for text in self._path.read_text().split())
        except (OSError, ValueError):
            return 0
        return at if seen > newest else 0

    def write(self, newest: int, now: int) -> None:
        if newest == self._newest:
            return
        self._newest = newest
        fresh = self._path.with_name(self._path.name + ".new")
        fresh.write_text(f"{newest} {now}\n")
        os.replace(fresh, self._path)
