"""Bounds on how fast a watcher asks. No I/O."""

from __future__ import annotations

SECOND = 1_000_000


class Debt:
    """A token bucket of received bytes: `rate` a second on average, `burst` more only once. What comes is
    never refused, it delays what is asked for next."""

    def __init__(self, rate: int, burst: int, now: int) -> None:
        self._rate, self._owed, self._at = rate, -burst, now

    def received(self, now: int, size: int) -> None:
        self._owed = self._left(now) + size
        self._at = now

    def wait(self, now: int) -> int:
        """Microseconds until nothing is owed."""
        return max(0, -(-self._left(now) * SECOND // self._rate))

    def _left(self, now: int) -> int:
        """Bytes. What was never owed can't be saved up: it stays what it is."""
        if self._owed <= 0:
            return self._owed
        return max(0, self._owed - (now - self._at) * self._rate // SECOND)


class Floor:
    """The pause before asking again after an answer that changed nothing: doubles with each in a row."""

    def __init__(self, least: int, most: int) -> None:
        self._least, self._most, self._next = least, most, least

    def progress(self) -> None:
        self._next = self._least

    def nothing(self) -> int:
        """Microseconds to wait."""
        wait, self._next = self._next, min(self._most, self._next * 2)
        return wait
