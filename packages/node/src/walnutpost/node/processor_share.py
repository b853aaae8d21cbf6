"""How much processor time one client connection has used lately, against its share."""

from __future__ import annotations

SHARE_DIVISOR = 100  # a connection may use 1/100 of the time
MAX_FREE_DEBT_US = 10_000  # beyond its share, before it has to wait for turns
# Also of a new connection, because an abusive client may open many. So that no connection waits for much
# longer than others that have come later, no more is recorded.
MAX_DEBT_US = 20_000


class ProcessorShare:
    """A leaky bucket of processing time, which empties at the connection's share of the time."""

    def __init__(self, now_us: int) -> None:
        self._debt_us = MAX_DEBT_US
        self._updated_us = now_us

    def charge(self, now_us: int, used_us: int) -> None:
        """Record that processing took `used_us` of processor time, and ended now."""
        self._debt_us = min(self._debt_at(now_us) + used_us, MAX_DEBT_US)
        self._updated_us = now_us

    def is_exceeded(self, now_us: int) -> bool:
        """Return whether the connection has used more than its share, and should wait for a turn."""
        return self._debt_at(now_us) > MAX_FREE_DEBT_US

    def repaid_at_us(self, now_us: int) -> int:
        """Return when the time that was used will be made up for by the connection's share."""
        return now_us + self._debt_at(now_us) * SHARE_DIVISOR

    def _debt_at(self, now_us: int) -> int:
        return max(0, self._debt_us - (now_us - self._updated_us) // SHARE_DIVISOR)
