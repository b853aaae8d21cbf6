"""Pending timers: a heap that forgets cancelled entries lazily, and a hierarchical wheel.

Both hold the same interface; benchmarks/timers.py measures them side by side and docs/loop.md says which one
the scheduler uses and why.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Protocol

SLOTS_BITS, LEVELS = 8, 4
SLOTS = 1 << SLOTS_BITS
GRAIN = 1_000  # microseconds of the wheel's finest slot
COMPACT_FROM = 64  # cancelled entries below which a heap is never rebuilt


class Timer:
    """One callback at one time; `cancel` may be called at any moment, also after it ran."""

    __slots__ = ("_owner", "callback", "when")

    def __init__(self, when: int, callback: Callable[[], object], owner: HeapTimers | WheelTimers) -> None:
        self.when = when
        self.callback: Callable[[], object] | None = callback
        self._owner = owner

    def cancel(self) -> None:
        if self.callback is not None:
            self.callback = None
            self._owner.cancelled()


class Timers(Protocol):
    def add(self, when: int, callback: Callable[[], object]) -> Timer: ...

    def next(self) -> int | None: ...

    def due(self, now: int) -> list[Callable[[], object]]: ...


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

    def cancelled(self) -> None:
        self._dead += 1
        if self._dead > COMPACT_FROM and self._dead * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapify(self._heap)
            self._dead = 0

    def next(self) -> int | None:
        heap = self._heap
        while heap and heap[0][2].callback is None:
            heappop(heap)
            self._dead -= 1
        return heap[0][0] if heap else None

    def due(self, now: int) -> list[Callable[[], object]]:
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


class WheelTimers:
    """A hierarchical wheel: slots of GRAIN, each level SLOTS times coarser; entries cascade down as time
    comes near. Adding and cancelling cost the same however many are pending; times are rounded up to
    GRAIN."""

    def __init__(self, now: int = 0) -> None:
        self._tick = now // GRAIN
        self._slots: list[list[list[Timer]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self._live = 0

    def __len__(self) -> int:
        return self._live

    def add(self, when: int, callback: Callable[[], object]) -> Timer:
        timer = Timer(when, callback, self)
        self._live += 1
        self._place(timer)
        return timer

    def cancelled(self) -> None:
        self._live -= 1

    def _place(self, timer: Timer) -> None:
        tick = max(-(-timer.when // GRAIN), self._tick + 1)
        away = tick - self._tick
        for level in range(LEVELS):
            if away < 1 << SLOTS_BITS * (level + 1):
                self._slots[level][(tick >> SLOTS_BITS * level) & (SLOTS - 1)].append(timer)
                return
        # Beyond the last level: as far as the wheel reaches, then placed again.
        far = self._tick + (1 << SLOTS_BITS * LEVELS) - 1
        self._slots[-1][(far >> SLOTS_BITS * (LEVELS - 1)) & (SLOTS - 1)].append(timer)

    def next(self) -> int | None:
        """A lower bound of the next due time: the first filled slot, or the next turn of the finest level."""
        if not self._live:
            return None
        first = self._slots[0]
        for away in range(1, SLOTS + 1):
            tick = self._tick + away
            if first[tick & (SLOTS - 1)] or not tick & (SLOTS - 1):
                return tick * GRAIN
        return (self._tick + SLOTS) * GRAIN

    def due(self, now: int) -> list[Callable[[], object]]:
        out: list[Callable[[], object]] = []
        last = now // GRAIN
        while self._tick < last:
            if not self._live:
                self._tick = last
                break
            self._tick += 1
            level = 1
            while level < LEVELS and not self._tick & ((1 << SLOTS_BITS * level) - 1):
                slot = (self._tick >> SLOTS_BITS * level) & (SLOTS - 1)
                falling, self._slots[level][slot] = self._slots[level][slot], []
                for timer in falling:
                    if timer.callback is not None:
                        if timer.when <= self._tick * GRAIN:
                            self._slots[0][self._tick & (SLOTS - 1)].append(timer)
                        else:
                            self._place(timer)
                level += 1
            slot = self._tick & (SLOTS - 1)
            ripe, self._slots[0][slot] = self._slots[0][slot], []
            for timer in ripe:
                if timer.callback is not None:
                    out.append(timer.callback)
                    timer.callback = None
                    self._live -= 1
        return out
