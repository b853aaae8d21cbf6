"""Sets of sequence numbers, stored as disjoint half-open intervals (after, upto]."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator


class IntervalSet:
    """A set of numbers from 1 up, first those in `intervals`, given as (after, upto). Not hashable.

    Invariant: its intervals are sorted and neither overlap nor touch.
    """

    __hash__ = None  # type: ignore[assignment]  # it changes; the type that mypy expects is a method

    def __init__(self, intervals: Iterable[tuple[int, int]] = ()) -> None:
        self._ends: list[int] = []
        self._starts: list[int] = []
        for after, upto in intervals:
            self.add(after, upto)

    def add(self, after: int, upto: int) -> None:
        """Add (after, upto]. The result depends neither on the order of additions nor on repetitions."""
        if upto <= after:
            return
        first = bisect_right(self._ends, after - 1)
        last = bisect_right(self._starts, upto)
        if first < last:
            after = min(after, self._starts[first])
            upto = max(upto, self._ends[last - 1])
        self._starts[first:last] = [after]
        self._ends[first:last] = [upto]

    def update(self, other: IntervalSet) -> None:
        """Add all numbers of `other`."""
        for after, upto in other:
            self.add(after, upto)

    def __iter__(self) -> Iterator[tuple[int, int]]:
        """Yield the intervals as (after, upto), in order."""
        return zip(self._starts, self._ends, strict=True)

    def __contains__(self, number: int) -> bool:
        """Whether `number` is in one of the intervals."""
        index = bisect_right(self._starts, number - 1) - 1
        return index >= 0 and number <= self._ends[index]

    def __eq__(self, other: object) -> bool:
        """Whether both are the same set of numbers."""
        return isinstance(other, IntervalSet) and list(self) == list(other)

    @property
    def contiguous_end(self) -> int:
        """The last number below which none is missing; 0 if 1 is missing."""
        return self._ends[0] if self._starts and self._starts[0] == 0 else 0

    @property
    def last(self) -> int:
        """The largest number, 0 of an empty set."""
        return self._ends[-1] if self._ends else 0

    def gaps(self) -> list[tuple[int, int]]:
        """Return the intervals missing below the largest number, as (after, upto)."""
        ends = [0, *self._ends[:-1]]
        return [(after, upto) for after, upto in zip(ends, self._starts, strict=False) if after < upto]
