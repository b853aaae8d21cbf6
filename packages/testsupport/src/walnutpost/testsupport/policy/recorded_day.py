"""The base of the simulations that record golden files for Router and Gateway."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Any

from walnutpost.testsupport.golden.neutral_values import neutral_of_each, to_neutral


class RecordedSimulation:
    """A simulation on virtual time, in microseconds, that records each input with its outputs as a row."""

    def __init__(self, start: int) -> None:
        self.now_us = start
        self.input_count = 0
        self.rows: list[Any] = []
        self._last_row_us = 0  # 0, so that the first row has the absolute start time
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled_count = 0

    def schedule(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Run the callback after a delay. Callbacks due at the same time run in the order of scheduling."""
        self._scheduled_count += 1
        heappush(self._queue, (self.now_us + delay_us, self._scheduled_count, callback))

    def run(self, input_count: int) -> None:
        """Run scheduled callbacks until at least this many more inputs are recorded."""
        end_count = self.input_count + input_count
        while self.input_count < end_count:
            self.now_us, _, callback = heappop(self._queue)
            callback()

    def record(self, received: Any, outputs: Iterable[Any]) -> None:
        """Add a row: the time since the row before, an input and its outputs."""
        self.input_count += 1
        self.rows.append([self.now_us - self._last_row_us, to_neutral(received), neutral_of_each(outputs)])
        self._last_row_us = self.now_us
