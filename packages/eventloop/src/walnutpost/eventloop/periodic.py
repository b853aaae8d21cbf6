"""Periodic calls, which continue even if a run raises."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from walnutpost.eventloop.timers import Timer


class PeriodicCallLoop(Protocol):
    """The methods of a loop that a periodic call uses."""

    def call_later(self, delay_us: int, callback: Callable[[], object]) -> Timer:
        """Run `callback` after `delay_us`."""

    def run_guarded(self, name: str, callback: Callable[[], object]) -> bool:
        """Run `callback`; if it raises, report the error under `name` and return False."""


class PeriodicCall:
    """A periodic call, as returned by `Loop.call_every`. `failures` counts the runs that raised."""

    __slots__ = ("_callback", "_loop", "_name", "_period_us", "_timer", "failures")

    def __init__(
        self, loop: PeriodicCallLoop, name: str, period_us: int, callback: Callable[[], object]
    ) -> None:
        self._loop = loop
        self._name = name
        self._period_us = period_us
        self._callback = callback
        self._timer = loop.call_later(period_us, self._run)
        self.failures = 0

    def cancel(self) -> None:
        """Stop the periodic call."""
        self._timer.cancel()

    def _run(self) -> None:
        # Schedule the next run first, so that an unexpected error affects only this run.
        self._timer = self._loop.call_later(self._period_us, self._run)
        self.failures += not self._loop.run_guarded(self._name, self._callback)
