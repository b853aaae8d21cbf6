"""Pending timers: a hierarchical timing wheel (Varghese and Lauck, 1987).

`benchmarks/timers.py` measures it against a heap; docs/loop.md says more.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

SLOT_BITS = 8
SLOTS = 1 << SLOT_BITS
SLOT_MASK = SLOTS - 1
LEVELS = 4
TICK_US = 1_000  # the finest slot; due times are rounded up to it


class TimerOwner(Protocol):
    """What holds pending timers."""

    def on_cancelled(self) -> None:
        """Count a timer that was cancelled."""


class Timer:
    """One callback at one time; `callback` is None once it was handed out or cancelled."""

    __slots__ = ("_owner", "callback", "due_us")

    def __init__(self, due_us: int, callback: Callable[[], object], owner: TimerOwner) -> None:
        """`owner` counts a cancellation."""
        self.due_us = due_us
        self.callback: Callable[[], object] | None = callback
        self._owner = owner

    def cancel(self) -> None:
        """Run it no more; may be called at any moment, also after it ran."""
        if self.callback is not None:
            self.callback = None
            self._owner.on_cancelled()


class TimerWheel:
    """A hierarchical wheel: slots of TICK_US, each level SLOTS times coarser.

    Entries cascade down as their time comes near. Adding and cancelling cost the same however many are
    pending. One integer a level has a bit for each slot that holds anything, so that empty ones cost nothing.
    """

    def __init__(self, now_us: int = 0) -> None:
        """Start empty at `now_us`."""
        self._tick = now_us // TICK_US
        self._slots: list[list[list[Timer]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self._filled_bits = [0] * LEVELS
        self._pending = 0

    def __len__(self) -> int:
        """Return how many timers are pending."""
        return self._pending

    def add(self, due_us: int, callback: Callable[[], object]) -> Timer:
        """Add a timer; it is handed out at `due_us`, rounded up to a tick."""
        timer = Timer(due_us, callback, self)
        self._pending += 1
        self._place(timer)
        return timer

    def on_cancelled(self) -> None:
        """Count a timer that was cancelled."""
        self._pending -= 1

    def next_due_us(self) -> int | None:
        """Return a lower bound of the next due time, None if no timer is pending.

        It is that of the first filled slot, or the time at which the next level cascades.
        """
        if not self._pending:
            return None
        return self._next_tick() * TICK_US

    def pop_due(self, now_us: int) -> list[Callable[[], object]]:
        """Remove and return the callbacks that are due, earliest tick first."""
        callbacks: list[Callable[[], object]] = []
        last_tick = now_us // TICK_US
        while self._tick < last_tick:
            if not self._pending:
                self._clear()
                self._tick = last_tick
                break
            self._tick = min(last_tick, self._next_tick())
            if not self._tick & SLOT_MASK:
                self._cascade()
            slot = self._tick & SLOT_MASK
            if self._filled_bits[0] >> slot & 1:
                for timer in self._empty_slot(0, slot):
                    if timer.callback is not None:
                        callbacks.append(timer.callback)
                        timer.callback = None
                        self._pending -= 1
        return callbacks

    def _place(self, timer: Timer) -> None:
        now_tick = self._tick
        due_tick = -(-timer.due_us // TICK_US)
        if due_tick <= now_tick:
            due_tick = now_tick + 1
        distance = due_tick - now_tick
        if distance < SLOTS:
            level, slot = 0, due_tick & SLOT_MASK
        elif distance < SLOTS * SLOTS:
            level, slot = 1, (due_tick >> SLOT_BITS) & SLOT_MASK
        else:
            # Beyond the last level's reach an entry waits in its farthest slot, and is then placed again.
            due_tick = min(due_tick, now_tick + (1 << SLOT_BITS * LEVELS) - 1)
            level = 2 if distance < 1 << SLOT_BITS * 3 else 3
            slot = (due_tick >> SLOT_BITS * level) & SLOT_MASK
        self._slots[level][slot].append(timer)
        self._filled_bits[level] |= 1 << slot

    def _next_tick(self) -> int:
        first_slot = (self._tick + 1) & SLOT_MASK
        cascade_tick = (self._tick | SLOT_MASK) + 1
        filled_bits = self._filled_bits[0]
        if filled_bits:
            ahead_bits = (filled_bits >> first_slot) | (filled_bits << (SLOTS - first_slot))
            return min(self._tick + (ahead_bits & -ahead_bits).bit_length(), cascade_tick)
        return cascade_tick

    def _cascade(self) -> None:
        """Place the timers of the coarser slots that begin at this tick anew."""
        for level in range(1, LEVELS):
            slot = (self._tick >> SLOT_BITS * level) & SLOT_MASK
            for timer in self._empty_slot(level, slot):
                if timer.callback is None:
                    continue
                if timer.due_us <= self._tick * TICK_US:  # due in this very tick
                    now_slot = self._tick & SLOT_MASK
                    self._slots[0][now_slot].append(timer)
                    self._filled_bits[0] |= 1 << now_slot
                else:
                    self._place(timer)
            if slot:
                return

    def _empty_slot(self, level: int, slot: int) -> list[Timer]:
        timers = self._slots[level][slot]
        self._slots[level][slot] = []
        self._filled_bits[level] &= ~(1 << slot)
        return timers

    def _clear(self) -> None:
        """Drop what is left in the slots when no timer is pending: those were cancelled."""
        for level in range(LEVELS):
            if self._filled_bits[level]:
                self._slots[level] = [[] for _ in range(SLOTS)]
                self._filled_bits[level] = 0
