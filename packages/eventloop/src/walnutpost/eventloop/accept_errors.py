"""Handling of failed `accept` calls: logging, backoff and a spare descriptor."""

from __future__ import annotations

import os
from contextlib import suppress

from walnutpost.eventloop.logger import Logger
from walnutpost.eventloop.loop import Loop

MAX_CONSECUTIVE_ACCEPT_ERRORS = 32  # the listener pauses after this many consecutive errors
MIN_ACCEPT_BACKOFF_US = 1_000  # doubles with each pause until an accept succeeds
MAX_ACCEPT_BACKOFF_US = 20_000
ACCEPT_LOG_INTERVAL_US = 1_000_000  # minimum interval between two `accept_failed` events


class AcceptErrorLog:
    """Logs failed accepts as the event `accept_failed`, at most once a second, with their count."""

    def __init__(self, loop: Loop, log: Logger) -> None:
        """Log to the structured logger `log`."""
        self._loop = loop
        self._log = log
        self._count = 0
        self._last_logged_us: int | None = None

    def __call__(self, error: OSError) -> None:
        """Count an error, and log it unless one was logged within ACCEPT_LOG_INTERVAL_US."""
        self._count += 1
        now_us = self._loop.now()
        if self._last_logged_us is None or now_us - self._last_logged_us >= ACCEPT_LOG_INTERVAL_US:
            self._log.warning("accept_failed", why=repr(error), count=self._count)
            self._last_logged_us = now_us
            self._count = 0


class AcceptBackoff:
    """Exponential backoff for failed accepts: decides when to pause and for how long."""

    def __init__(self) -> None:
        self._consecutive_errors = 0
        self._backoff_us = MIN_ACCEPT_BACKOFF_US

    def record_success(self) -> None:
        """Reset the error count and the backoff."""
        self._consecutive_errors = 0
        self._backoff_us = MIN_ACCEPT_BACKOFF_US

    def record_error(self) -> bool:
        """Count an error; return whether a pause is due because too many errors occurred in a row."""
        self._consecutive_errors += 1
        if self._consecutive_errors < MAX_CONSECUTIVE_ACCEPT_ERRORS:
            return False
        self._consecutive_errors = 0
        return True

    def next_pause_us(self) -> int:
        """Return the length of the pause to make now, and double the next one."""
        pause_us = self._backoff_us
        self._backoff_us = min(pause_us * 2, MAX_ACCEPT_BACKOFF_US)
        return pause_us


class SpareDescriptor:
    """A reserved file descriptor that is closed temporarily when the process has run out of descriptors."""

    def __init__(self) -> None:
        """Reserve a descriptor. Raises OSError."""
        self._fd: int | None = os.open(os.devnull, os.O_RDONLY)

    @property
    def is_reserved(self) -> bool:
        """Whether a descriptor is reserved."""
        return self._fd is not None

    def release(self) -> None:
        """Close the reserved descriptor, if any."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None

    def reserve(self) -> None:
        """Try to reserve a descriptor again, unless one is reserved."""
        if self._fd is None:
            with suppress(OSError):
                self._fd = os.open(os.devnull, os.O_RDONLY)
