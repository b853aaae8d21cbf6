"""The baseline that the scheduler's wheel is measured against: a heap that drops cancelled timers lazily."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

from walnutpost.eventloop.timers import Timer

COMPACT_FROM = 64  # cancelled entries below which it is never rebuilt


class HeapTimers:
    """Exact; `add` is a C heap push, a cancelled timer stays until it surfaces or is half of the heap."""

    def __init__(self, now: int = 0) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = 0
        self._dead = 0

    def __len__(self) -> int:
        return len(self._heap) - self._dead

    def add(self, when: int, callback: Callable[[], object]) -> Timer:
        timer = Timer(when, callback, self)
        self._count += 1
        heappush(self._heap, (when, self._count, timer))
        return timer

    def on_cancelled(self) -> None:
        self._dead += 1
        if self._dead > COMPACT_FROM and self._dead * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapify(self._heap)
            self._dead = 0

    def next_due_us(self) -> int | None:
        heap = self._heap
        while heap and heap[0][2].callback is None:
            heappop(heap)
            self._dead -= 1
        return heap[0][0] if heap else None

    def pop_due(self, now: int) -> list[Callable[[], object]]:
        """Callbacks whose time has come, earliest first, each handed out once."""
        heap, out = self._heap, []
        while heap and heap[0][0] <= now:
            timer = heappop(heap)[2]
            if timer.callback is None:
                self._dead -= 1
            else:
                out.append(timer.callback)
                timer.callback = None  # a later cancel is no dead entry
        return out
