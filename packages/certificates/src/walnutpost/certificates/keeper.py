"""When keys are looked at anew, and when their end is told ahead. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

DAY = 86_400_000_000
Mark = tuple[tuple[int, int, int], ...]  # of each file: when it was changed, which, how long


@dataclass(frozen=True, slots=True)
class Notice:
    """The keys in use end at `ends`; `left` microseconds from now, less than none where they have ended."""

    ends: int
    left: int


class Keeper:
    """Follows one set of files. A set that was refused is not tried again before a file changes, and the
    one in use stays."""

    def __init__(self, mark: Mark, begins: int, ends: int) -> None:
        """`begins` and `ends` of what is in use; 0, 0 where there is nothing that ends."""
        self._mark = mark
        self._begins, self._ends = begins, ends
        self._told = 0

    def looks(self, mark: Mark) -> bool:
        """Whether the files are to be read: they differ from those that were last read."""
        if mark == self._mark:
            return False
        self._mark = mark
        return True

    def accepted(self, begins: int, ends: int) -> None:
        self._begins, self._ends, self._told = begins, ends, 0

    def notice(self, now: int) -> Notice | None:
        """From a third of the lifetime before the end, once a day; in the last day each hour."""
        if not self._ends or now < self._ends - (self._ends - self._begins) // 3:
            return None
        every = DAY if self._ends - now > DAY else DAY // 24
        if self._told and now - self._told < every:
            return None
        self._told = now
        return Notice(self._ends, self._ends - now)
