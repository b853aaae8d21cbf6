"""What a listener does about failed accepts: it counts, paces and logs them."""

from __future__ import annotations

import os
from contextlib import suppress

from walnutpost.eventloop.logger import Logger
from walnutpost.eventloop.loop import Loop

MAX_ACCEPT_ERRORS_IN_ROW = 32  # accepts that may fail one after the other before a pause
MIN_ACCEPT_BACKOFF_US = 1_000  # doubled with each pause in which none succeeded
MAX_ACCEPT_BACKOFF_US = 20_000
ACCEPT_LOG_INTERVAL_US = 1_000_000  # between two events of failed accepts in a log


class AcceptErrorLog:
    """Logs failed accepts as the event `accept_failed`, once a second at most, with their count."""

    def __init__(self, loop: Loop, log: Logger) -> None:
        """`log` is a structured logger."""
        self._loop = loop
        self._log = log
        self._count = 0
        self._logged_us: int | None = None

    def __call__(self, error: OSError) -> None:
        """Count an error, and log it unless one was logged a moment ago."""
        self._count += 1
        now_us = self._loop.now()
        if self._logged_us is None or now_us - self._logged_us >= ACCEPT_LOG_INTERVAL_US:
            self._log.warning("accept_failed", why=repr(error), count=self._count)
            self._logged_us = now_us
            self._count = 0


class AcceptBackoff:
    """Which failed accept is followed by a pause, and by how long a one."""

    def __init__(self) -> None:
        self._errors_in_row = 0
        self._backoff_us = MIN_ACCEPT_BACKOFF_US

    def record_success(self) -> None:
        """Start anew."""
        self._errors_in_row = 0
        self._backoff_us = MIN_ACCEPT_BACKOFF_US

    def record_error(self) -> bool:
        """Count an error; return whether it is the last of MAX_ACCEPT_ERRORS_IN_ROW."""
        self._errors_in_row += 1
        if self._errors_in_row < MAX_ACCEPT_ERRORS_IN_ROW:
            return False
        self._errors_in_row = 0
        return True

    def next_pause_us(self) -> int:
        """Return the length of the pause that begins now."""
        pause_us = self._backoff_us
        self._backoff_us = min(pause_us * 2, MAX_ACCEPT_BACKOFF_US)
        return pause_us


class SpareDescriptor:
    """A descriptor in reserve: given up for a moment when no other is left."""

    def __init__(self) -> None:
        """Reserve one. Raises OSError."""
        self._fd: int | None = os.open(os.devnull, os.O_RDONLY)

    @property
    def is_reserved(self) -> bool:
        """Whether there is one to give up."""
        return self._fd is not None

    def release(self) -> None:
        """Give it up, if there is one."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None

    def reserve(self) -> None:
        """Try to get one again, unless there is one."""
        if self._fd is None:
            with suppress(OSError):
                self._fd = os.open(os.devnull, os.O_RDONLY)
