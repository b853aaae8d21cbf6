"""What the recorded days of Router and Gateway share: virtual time, what is due on it, and the rows."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Any

from walnutpost.testsupport.golden.neutral_values import neutral_of_each, to_neutral


class RecordedDay:
    """A simulation on virtual time, in microseconds, whose inputs and outputs become rows."""

    def __init__(self, start: int) -> None:
        self.now = start
        self.inputs = 0
        self.rows: list[Any] = []
        self._last_row_at = 0  # the first row tells the start
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled = 0

    def at(self, delay: int, act: Callable[[], None]) -> None:
        """Do it after `delay`; what is due at the same time is done in the order of scheduling."""
        self._scheduled += 1
        heappush(self._due, (self.now + delay, self._scheduled, act))

    def run(self, inputs: int) -> None:
        """Goes on until so many more inputs were recorded."""
        end = self.inputs + inputs
        while self.inputs < end:
            self.now, _, act = heappop(self._due)
            act()

    def record(self, given: Any, came: Iterable[Any]) -> None:
        """Add the row of one input and of all that came of it."""
        self.inputs += 1
        self.rows.append([self.now - self._last_row_at, to_neutral(given), neutral_of_each(came)])
        self._last_row_at = self.now
