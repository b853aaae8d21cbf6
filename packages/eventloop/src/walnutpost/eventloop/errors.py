"""Errors of the event loop.

All errors except Cancelled derive from EventLoopError. Errors of the operating system are raised unchanged,
as OSErrors with the system's errno.
"""

from __future__ import annotations

import errno


class EventLoopError(Exception):
    """Base class of all errors of this package."""


class Cancelled(BaseException):
    """Raised in a task that is cancelled.

    It derives from BaseException, so that `except Exception` does not catch it.
    """


class NotInTaskError(EventLoopError, RuntimeError):
    """Code outside the loop's tasks tried to wait: a callback, or another thread."""

    def __init__(self) -> None:
        super().__init__("only a task of this loop can wait, not a callback or another thread")


class ClockNotVirtualError(EventLoopError, RuntimeError):
    """The caller tried to advance a real clock."""

    def __init__(self, time_us: int) -> None:
        """`time_us` is the requested time."""
        super().__init__("cannot advance a real clock")
        self.time_us = time_us


class WaitTimeoutError(EventLoopError):
    """A wait took longer than its `Loop.timeout` allows.

    It does not derive from the builtin TimeoutError, which is an OSError: callers treat an OSError as a
    broken connection.
    """

    def __init__(self, timeout_us: int) -> None:
        """`timeout_us` is the timeout that expired."""
        super().__init__("timed out")
        self.timeout_us = timeout_us


class QueueFullError(EventLoopError):
    """A bounded queue is full."""

    def __init__(self, max_items: int) -> None:
        """`max_items` is the capacity of the queue."""
        super().__init__(f"queue is full ({max_items} items)")
        self.max_items = max_items


class StreamClosedError(EventLoopError, ConnectionAbortedError):
    """A stream was used after this side had closed it."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNABORTED, "stream was closed locally")


class TlsTruncatedError(EventLoopError, ConnectionResetError):
    """A TLS connection ended without close_notify, so an attacker may have truncated it (RFC 8446, 6.1)."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "cut off without TLS's farewell")
