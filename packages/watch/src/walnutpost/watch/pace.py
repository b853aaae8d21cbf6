"""Limits of how fast a watcher sends requests and writes log lines. No I/O.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections import deque

SECOND_US = 1_000_000


class TokenBucket:
    """A token bucket of received bytes: a rate on average, and a burst once.

    Received bytes are never rejected; they delay the next request.
    """

    def __init__(self, rate_bytes_per_s: int, burst_bytes: int, now: int) -> None:
        self._rate = rate_bytes_per_s
        self._debt_bytes = -burst_bytes  # negative: the rest of the burst
        self._updated_us = now

    def consume(self, now: int, size_bytes: int) -> None:
        """Count received bytes."""
        self._debt_bytes = self._debt_at(now) + size_bytes
        self._updated_us = now

    def wait_us(self, now: int) -> int:
        """Return the time until the debt is paid off, rounded up."""
        return max(0, -(-self._debt_at(now) * SECOND_US // self._rate))

    def _debt_at(self, now: int) -> int:
        """Return the debt in bytes; the burst does not grow again."""
        if self._debt_bytes <= 0:
            return self._debt_bytes
        return max(0, self._debt_bytes - (now - self._updated_us) * self._rate // SECOND_US)


class IdleBackoff:
    """The delay before the next request after a response without progress: doubles with each in a row."""

    def __init__(self, min_wait_us: int, max_wait_us: int) -> None:
        self._min_wait_us = min_wait_us
        self._max_wait_us = max_wait_us
        self._next_wait_us = min_wait_us

    def reset(self) -> None:
        """Record progress."""
        self._next_wait_us = self._min_wait_us

    def next_wait_us(self) -> int:
        """Record a response without progress; return the delay after it."""
        wait_us = self._next_wait_us
        self._next_wait_us = min(self._max_wait_us, wait_us * 2)
        return wait_us


class LogLimit:
    """Allows `max_lines` in any `window_us`, so that servers that fail repeatedly do not fill the log."""

    def __init__(self, max_lines: int, window_us: int) -> None:
        self._window_us = window_us
        self._logged_at_us: deque[int] = deque(maxlen=max_lines)

    def may_log(self, now: int) -> bool:
        """Return whether another line may be written now; it then counts as written."""
        logged = self._logged_at_us
        if len(logged) == logged.maxlen and now - logged[0] < self._window_us:
            return False
        logged.append(now)
        return True
