"""Errors of the event loop.

All of them derive from EventLoopError, except Cancelled. Errors of the operating system are passed on as they
are: OSErrors with the system's number.
"""

from __future__ import annotations

import errno


class EventLoopError(Exception):
    """Base class of all errors of this package."""


class Cancelled(BaseException):
    """Thrown into a task that is being ended; no Exception, so that `except Exception` does not catch it."""


class NotInTaskError(EventLoopError, RuntimeError):
    """A wait was begun outside the tasks of a loop: in a callback, or on another thread."""

    def __init__(self) -> None:
        super().__init__("only a task of this loop can wait; this is a callback or another thread")


class ClockNotVirtualError(EventLoopError, RuntimeError):
    """Real time was to be moved forward."""

    def __init__(self, time_us: int) -> None:
        """`time_us` is the time that was asked for."""
        super().__init__("real time does not jump")
        self.time_us = time_us


class WaitTimeoutError(EventLoopError):
    """A wait took longer than its `Loop.timeout` allows.

    It is no builtin TimeoutError: that is an OSError, which callers take for a connection that broke.
    """

    def __init__(self, timeout_us: int) -> None:
        """`timeout_us` is the time that was allowed."""
        super().__init__("it took too long")
        self.timeout_us = timeout_us


class QueueFullError(EventLoopError):
    """A bounded queue has no capacity left."""

    def __init__(self, max_items: int) -> None:
        """`max_items` is the capacity of the queue."""
        super().__init__(f"queue holds {max_items} items")
        self.max_items = max_items


class StreamClosedError(EventLoopError, ConnectionAbortedError):
    """A stream was used after it had been closed on this side."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNABORTED, "closed here")


class TlsTruncatedError(EventLoopError, ConnectionResetError):
    """A connection ended without TLS's close_notify: somebody else may have cut it (RFC 8446, 6.1)."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "cut off without TLS's farewell")
