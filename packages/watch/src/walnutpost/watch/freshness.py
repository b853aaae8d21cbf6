"""Whether a server's content is current enough for a watcher to stay with it. No I/O.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from walnutpost.watch.errors import UnusableServerError

STALE_FAILOVER_INTERVAL_US = 10_000_000
"""Minimum time between failovers from stale servers, once all servers were found to be stale."""


class FreshnessCheck:
    """Counts failovers from stale servers: a server can answer and be cut off from the others, or far behind.

    `servers`: their number. If none is better than the others the watcher tries them in turn, but seldom.
    `max_age_us`: content that a leader confirmed earlier is stale.
    """

    def __init__(self, servers: int, max_age_us: int) -> None:
        self._others = servers - 1
        self._max_age_us = max_age_us
        self._stale_failovers = 0  # since a server's confirmation was new enough
        self._stale_failover_at_us = 0

    def validate(self, now: int, age_us: int | None, wait_timeout_us: int) -> None:
        """Raise UnusableServerError if another server may be more current.

        `age_us`: as in the server's answer; `wait_timeout_us`: as in the request.
        """
        is_fresh = age_us is not None and age_us <= self._max_age_us
        if is_fresh:
            self._stale_failovers = 0
        is_due = (
            self._stale_failovers < self._others
            or now - self._stale_failover_at_us >= STALE_FAILOVER_INTERVAL_US
        )
        # Without any confirmation the server has one wait timeout to catch up.
        if not is_fresh and self._others and is_due and (age_us is not None or wait_timeout_us):
            self._stale_failovers += 1
            self._stale_failover_at_us = now
            if age_us is None:
                raise UnusableServerError("its content is not confirmed by a leader")
            raise UnusableServerError(f"its content was last confirmed {age_us / 1e6:.1f} s ago")
