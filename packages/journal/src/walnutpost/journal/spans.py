"""Sets of sequence numbers as ranges: what is covered, and what is a gap."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator


class Spans:
    """Numbers from 1 up, as half-open ranges (after, upto] that never touch each other."""

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._ends: list[int] = []
        self._starts: list[int] = []
        for after, upto in ranges:
            self.add(after, upto)

    def add(self, after: int, upto: int) -> None:
        """Takes (after, upto] in; any order, any number of times, the same set."""
        if upto <= after:
            return
        first = bisect_right(self._ends, after - 1)
        last = bisect_right(self._starts, upto)
        if first < last:
            after, upto = min(after, self._starts[first]), max(upto, self._ends[last - 1])
        self._starts[first:last] = [after]
        self._ends[first:last] = [upto]

    def merge(self, other: Spans) -> None:
        for after, upto in other:
            self.add(after, upto)

    def __iter__(self) -> Iterator[tuple[int, int]]:
        return zip(self._starts, self._ends, strict=True)

    def __contains__(self, number: int) -> bool:
        place = bisect_right(self._starts, number - 1) - 1
        return place >= 0 and number <= self._ends[place]

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Spans) and list(self) == list(other)

    @property
    def prefix(self) -> int:
        """Up to where nothing is missing."""
        return self._ends[0] if self._starts and self._starts[0] == 0 else 0

    @property
    def last(self) -> int:
        return self._ends[-1] if self._ends else 0

    def gaps(self) -> list[tuple[int, int]]:
        """What is missing below the last number, as (after, upto]."""
        ends = [0, *self._ends[:-1]]
        return [(a, b) for a, b in zip(ends, self._starts, strict=False) if a < b]
