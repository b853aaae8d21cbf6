"""Signals of the process, handled between tasks rather than wherever they interrupt the program."""

from __future__ import annotations

import signal
from collections.abc import Callable


class SignalHandlers:
    """The callbacks of a loop's signals. Python writes each signal's number to the loop's waker."""

    def __init__(self, run_guarded: Callable[[str, Callable[[], object]], bool]) -> None:
        """`run_guarded` runs a callback under a name."""
        self._run_guarded = run_guarded
        self._callbacks: dict[int, Callable[[], object]] = {}

    def add(self, number: int, callback: Callable[[], object], wakeup_fd: int) -> None:
        """Handle a signal from now on; only the main thread may (ValueError elsewhere)."""
        signal.set_wakeup_fd(wakeup_fd, warn_on_full_buffer=False)
        self._callbacks[number] = callback
        signal.signal(number, lambda *_: None)

    def deliver(self, numbers: bytes) -> None:
        """Run the callbacks of these signals, a byte each; other bytes mean nothing."""
        for number in numbers:
            callback = self._callbacks.get(number)
            if callback is not None:
                self._run_guarded("signal", callback)

    def detach(self) -> None:
        """Let Python write no more numbers; for when the waker is about to be closed."""
        if self._callbacks:
            signal.set_wakeup_fd(-1)
