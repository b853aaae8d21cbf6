"""Periodic calls that go on whatever a run of them raises."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from walnutpost.eventloop.timers import Timer


class GuardingLoop(Protocol):
    """What a periodic call needs of a loop."""

    def call_later(self, delay_us: int, callback: Callable[[], object]) -> Timer:
        """Run `callback` after a time."""

    def run_guarded(self, name: str, callback: Callable[[], object]) -> bool:
        """Run `callback`; return False if it raised, which is reported under `name`."""


class PeriodicCall:
    """What `Loop.call_every` returns. `failures` counts the runs that raised; each was reported."""

    __slots__ = ("_callback", "_loop", "_name", "_period_us", "_timer", "failures")

    def __init__(self, loop: GuardingLoop, name: str, period_us: int, callback: Callable[[], object]) -> None:
        self._loop = loop
        self._name = name
        self._period_us = period_us
        self._callback = callback
        self._timer = loop.call_later(period_us, self._run)
        self.failures = 0

    def cancel(self) -> None:
        """Run it no more."""
        self._timer.cancel()

    def _run(self) -> None:
        # Scheduled first: an error that nobody expected must cost one run, not all that would follow.
        self._timer = self._loop.call_later(self._period_us, self._run)
        self.failures += not self._loop.run_guarded(self._name, self._callback)
