"""Timeouts for `with` blocks: when the time is over, the wait within the block raises."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from walnutpost.eventloop.errors import WaitTimeoutError
from walnutpost.eventloop.tasks import Task
from walnutpost.eventloop.timers import Timer


class TimeoutLoop(Protocol):
    """The methods of a loop that a timeout uses."""

    def current_task(self) -> Task[Any]:
        """Return the running task."""

    def call_later(self, delay_us: int, callback: Callable[[], object]) -> Timer:
        """Run `callback` after `delay_us`."""

    def interrupt(self, task: Task[Any], error: BaseException) -> None:
        """Raise `error` from the current or next wait of the task."""


class TimeoutScope:
    """The context manager that `Loop.timeout` returns; `with ... as` binds the error that it may raise."""

    __slots__ = ("_error", "_loop", "_task", "_timeout_us", "_timer")

    def __init__(self, loop: TimeoutLoop, timeout_us: int) -> None:
        self._loop = loop
        self._timeout_us = timeout_us

    def __enter__(self) -> WaitTimeoutError:
        """Start the timer."""
        loop = self._loop
        self._task = loop.current_task()
        self._error = WaitTimeoutError(self._timeout_us)
        self._timer = loop.call_later(self._timeout_us, self._interrupt)
        return self._error

    def __exit__(self, *_: object) -> None:
        """Cancel the timer, and discard its error if it is still pending."""
        self._timer.cancel()
        pending_errors = self._task.pending_errors
        if pending_errors and self._error in pending_errors:
            pending_errors.remove(self._error)

    def _interrupt(self) -> None:
        self._loop.interrupt(self._task, self._error)
