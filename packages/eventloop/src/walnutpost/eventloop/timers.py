"""Timers in a hierarchical timing wheel (Varghese and Lauck, 1987).

`benchmarks/timers.py` compares it with a heap; see also docs/loop.md.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

SLOT_BITS = 8
SLOTS = 1 << SLOT_BITS
SLOT_MASK = SLOTS - 1
LEVELS = 4
TICK_US = 1_000  # width of a slot of the finest level; due times are rounded up to a multiple of it


class TimerOwner(Protocol):
    """A container of pending timers."""

    def on_cancelled(self) -> None:
        """Count a timer that was cancelled."""


class Timer:
    """A callback that is due at `due_us`; `callback` is None after it was handed out or cancelled."""

    __slots__ = ("_owner", "callback", "due_us")

    def __init__(self, due_us: int, callback: Callable[[], object], owner: TimerOwner) -> None:
        """`owner` is notified of a cancellation."""
        self.due_us = due_us
        self.callback: Callable[[], object] | None = callback
        self._owner = owner

    def cancel(self) -> None:
        """Cancel the timer; do nothing if it was already handed out or cancelled."""
        if self.callback is not None:
            self.callback = None
            self._owner.on_cancelled()


class TimerWheel:
    """A hierarchical timing wheel. Slots of the finest level span TICK_US; each level is SLOTS times coarser.

    Timers cascade to finer levels as their due time approaches. Adding and cancelling take constant time,
    regardless of the number of pending timers. Each level has a bitmap of its occupied slots, so that empty
    slots are skipped at no cost.
    """

    def __init__(self, now_us: int = 0) -> None:
        """Create an empty wheel whose time is `now_us`."""
        self._tick = now_us // TICK_US
        self._slots: list[list[list[Timer]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self._occupied_bits = [0] * LEVELS
        self._pending = 0

    def __len__(self) -> int:
        """Return how many timers are pending."""
        return self._pending

    def add(self, due_us: int, callback: Callable[[], object]) -> Timer:
        """Add a timer; its callback is handed out at `due_us`, rounded up to a tick."""
        timer = Timer(due_us, callback, self)
        self._pending += 1
        self._place(timer)
        return timer

    def on_cancelled(self) -> None:
        """Count a timer that was cancelled."""
        self._pending -= 1

    def next_due_us(self) -> int | None:
        """Return a lower bound on the next due time, or None if no timer is pending.

        The bound is the time of the first occupied slot or of the next cascade, whichever comes first.
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
            if self._occupied_bits[0] >> slot & 1:
                for timer in self._take_slot(0, slot):
                    if timer.callback is not None:
                        callbacks.append(timer.callback)
                        timer.callback = None
                        self._pending -= 1
        return callbacks

    def _place(self, timer: Timer) -> None:
        current_tick = self._tick
        due_tick = -(-timer.due_us // TICK_US)
        if due_tick <= current_tick:
            due_tick = current_tick + 1
        ticks_ahead = due_tick - current_tick
        if ticks_ahead < SLOTS:
            level, slot = 0, due_tick & SLOT_MASK
        elif ticks_ahead < SLOTS * SLOTS:
            level, slot = 1, (due_tick >> SLOT_BITS) & SLOT_MASK
        else:
            # A timer beyond the range of the last level waits in its farthest slot, and is then placed again.
            due_tick = min(due_tick, current_tick + (1 << SLOT_BITS * LEVELS) - 1)
            level = 2 if ticks_ahead < 1 << SLOT_BITS * 3 else 3
            slot = (due_tick >> SLOT_BITS * level) & SLOT_MASK
        self._slots[level][slot].append(timer)
        self._occupied_bits[level] |= 1 << slot

    def _next_tick(self) -> int:
        first_slot = (self._tick + 1) & SLOT_MASK
        cascade_tick = (self._tick | SLOT_MASK) + 1
        occupied_bits = self._occupied_bits[0]
        if occupied_bits:
            ahead_bits = (occupied_bits >> first_slot) | (occupied_bits << (SLOTS - first_slot))
            return min(self._tick + (ahead_bits & -ahead_bits).bit_length(), cascade_tick)
        return cascade_tick

    def _cascade(self) -> None:
        """Move the timers of the coarser slots that begin at this tick to finer levels."""
        for level in range(1, LEVELS):
            slot = (self._tick >> SLOT_BITS * level) & SLOT_MASK
            for timer in self._take_slot(level, slot):
                if timer.callback is None:
                    continue
                if timer.due_us <= self._tick * TICK_US:  # due in this tick
                    current_slot = self._tick & SLOT_MASK
                    self._slots[0][current_slot].append(timer)
                    self._occupied_bits[0] |= 1 << current_slot
                else:
                    self._place(timer)
            if slot:
                return

    def _take_slot(self, level: int, slot: int) -> list[Timer]:
        timers = self._slots[level][slot]
        self._slots[level][slot] = []
        self._occupied_bits[level] &= ~(1 << slot)
        return timers

    def _clear(self) -> None:
        """Empty all slots when no timer is pending: the timers left in them were cancelled."""
        for level in range(LEVELS):
            if self._occupied_bits[level]:
                self._slots[level] = [[] for _ in range(SLOTS)]
                self._occupied_bits[level] = 0
