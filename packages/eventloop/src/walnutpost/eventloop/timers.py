"""Pending timers: a hierarchical wheel. benchmarks/timers.py measures it against a heap; docs/loop.md
says more."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

SLOTS_BITS, LEVELS = 8, 4
SLOTS = 1 << SLOTS_BITS
GRAIN = 1_000  # microseconds of the wheel's finest slot


class Owner(Protocol):
    def cancelled(self) -> None: ...


class Timer:
    """One callback at one time; `cancel` may be called at any moment, also after it ran."""

    __slots__ = ("_owner", "callback", "when")

    def __init__(self, when: int, callback: Callable[[], object], owner: Owner) -> None:
        self.when = when
        self.callback: Callable[[], object] | None = callback
        self._owner = owner

    def cancel(self) -> None:
        if self.callback is not None:
            self.callback = None
            self._owner.cancelled()


class WheelTimers:
    """A hierarchical wheel: slots of GRAIN, each level SLOTS times coarser; entries cascade down as time
    comes near. Adding and cancelling cost the same however many are pending; times are rounded up to
    GRAIN. One integer a level tells which slots hold anything, so that empty ones cost nothing."""

    def __init__(self, now: int = 0) -> None:
        self._tick = now // GRAIN
        self._slots: list[list[list[Timer]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self._filled = [0] * LEVELS
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
        here = self._tick
        tick = -(-timer.when // GRAIN)
        if tick <= here:
            tick = here + 1
        away = tick - here
        if away < SLOTS:
            level, slot = 0, tick & (SLOTS - 1)
        elif away < SLOTS * SLOTS:
            level, slot = 1, (tick >> SLOTS_BITS) & (SLOTS - 1)
        else:
            # Beyond the last level's reach an entry waits in its farthest slot, and is then placed again.
            tick = min(tick, here + (1 << SLOTS_BITS * LEVELS) - 1)
            level = 2 if away < 1 << SLOTS_BITS * 3 else 3
            slot = (tick >> SLOTS_BITS * level) & (SLOTS - 1)
        self._slots[level][slot].append(timer)
        self._filled[level] |= 1 << slot

    def next(self) -> int | None:
        """A lower bound of the next due time: the first filled slot, or the turn at which a level comes
        down."""
        if not self._live:
            return None
        return self._next_tick() * GRAIN

    def _next_tick(self) -> int:
        first = (self._tick + 1) & (SLOTS - 1)
        turn = (self._tick | (SLOTS - 1)) + 1
        filled = self._filled[0]
        if filled:
            ahead = (filled >> first) | (filled << (SLOTS - first))
            return min(self._tick + (ahead & -ahead).bit_length(), turn)
        return turn

    def due(self, now: int) -> list[Callable[[], object]]:
        out: list[Callable[[], object]] = []
        last = now // GRAIN
        while self._tick < last:
            if not self._live:
                self._forget()
                self._tick = last
                break
            self._tick = min(last, self._next_tick())
            if not self._tick & (SLOTS - 1):
                self._come_down()
            slot = self._tick & (SLOTS - 1)
            if self._filled[0] >> slot & 1:
                for timer in self._take(0, slot):
                    if timer.callback is not None:
                        out.append(timer.callback)
                        timer.callback = None
                        self._live -= 1
        return out

    def _come_down(self) -> None:
        for level in range(1, LEVELS):
            slot = (self._tick >> SLOTS_BITS * level) & (SLOTS - 1)
            for timer in self._take(level, slot):
                if timer.callback is None:
                    continue
                if timer.when <= self._tick * GRAIN:  # due in this very tick
                    here = self._tick & (SLOTS - 1)
                    self._slots[0][here].append(timer)
                    self._filled[0] |= 1 << here
                else:
                    self._place(timer)
            if slot:
                return

    def _take(self, level: int, slot: int) -> list[Timer]:
        taken, self._slots[level][slot] = self._slots[level][slot], []
        self._filled[level] &= ~(1 << slot)
        return taken

    def _forget(self) -> None:
        """Nothing is live: what stands in the slots was cancelled."""
        for level in range(LEVELS):
            if self._filled[level]:
                self._slots[level] = [[] for _ in range(SLOTS)]
                self._filled[level] = 0
