"""Signal handling: callbacks run between tasks, not wherever a signal interrupts the program."""

from __future__ import annotations

import signal
from collections.abc import Callable


class SignalHandlers:
    """The signal callbacks of a loop. Python writes the number of each signal to the loop's waker."""

    def __init__(self, run_guarded: Callable[[str, Callable[[], object]], bool]) -> None:
        """`run_guarded` runs a callback and reports its errors under a name."""
        self._run_guarded = run_guarded
        self._callbacks: dict[int, Callable[[], object]] = {}

    def add(self, number: int, callback: Callable[[], object], wakeup_fd: int) -> None:
        """Start handling a signal. Raises ValueError outside the main thread."""
        signal.set_wakeup_fd(wakeup_fd, warn_on_full_buffer=False)
        self._callbacks[number] = callback
        signal.signal(number, lambda *_: None)

    def deliver(self, numbers: bytes) -> None:
        """Run the callbacks of these signals, one byte each; ignore bytes without a callback."""
        for number in numbers:
            callback = self._callbacks.get(number)
            if callback is not None:
                self._run_guarded("signal", callback)

    def detach(self) -> None:
        """Stop Python from writing signal numbers to the waker, which is about to be closed."""
        if self._callbacks:
            signal.set_wakeup_fd(-1)
