"""Which relay a member watches, and when it tries again after a failure. No I/O, clock or random source.

Relays are ordered for each member by rendezvous hashing (highest random weight), those in its region
first. Failures are retried with exponential backoff and full jitter, so that members that lose a relay at
once arrive at the others spread out.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

import xxhash

from walnutpost.configstore.errors import NoRelaysError

SECOND_US = 1_000_000
FRESHNESS_TIMEOUT_US = 9 * SECOND_US
"""A member must hear from the control plane again within this time."""
MAX_FIRST_RETRY_DELAY_US = SECOND_US // 2
"""Upper bound of the delay after the first failure."""
MIN_RETRY_DELAY_US = SECOND_US // 4
"""Lower bound of the delay from the second consecutive failure on."""
MAX_RETRY_DELAY_US = 2 * SECOND_US
"""Upper bound to which the backoff grows."""
RETURN_AFTER_US = 60 * SECOND_US
"""A member returns to its preferred relay after one to two times this time at another."""
MAX_BACKOFF_DOUBLINGS = 8


def preference_order(member: str, relays: Mapping[str, str], own_region: str) -> list[str]:
    """Return the relays (name to region) in the order of this member's preference.

    When a relay is lost only its members move, spread over the others.
    """
    score = {name: xxhash.xxh3_64_intdigest(f"{member}\0{name}".encode()) for name in relays}
    return sorted(relays, key=lambda name: (relays[name] != own_region, -score[name], name))


@dataclass(frozen=True, slots=True)
class Retry:
    """The relay to ask after a failure, and the delay before it."""

    relay: str
    delay_us: int


class RelaySelector:
    """One member's selection among `relays` (name to region); it begins with the preferred one.

    Raises NoRelaysError if there are no relays. `relay`: the relay to ask.
    """

    def __init__(self, member: str, relays: Mapping[str, str], own_region: str, random: Random) -> None:
        if not relays:
            raise NoRelaysError
        self._order = preference_order(member, relays, own_region)
        self._random = random
        self._failures = dict.fromkeys(self._order, 0)  # since a relay last answered
        self._last_success_us = 0
        self._return_at_us: int | None = None
        self.relay = self._order[0]

    @property
    def preferred_relay(self) -> str:
        """The first relay in the order of preference."""
        return self._order[0]

    def start(self, now: int) -> str:
        """Return the relay to begin with; the freshness timeout counts from `now`."""
        self._last_success_us = now
        return self.relay

    def record_success(self, now: int) -> None:
        """Record that `relay` has answered, even if with nothing new."""
        self._last_success_us = now
        if any(self._failures.values()):
            self._failures = dict.fromkeys(self._order, 0)
        if self.relay == self.preferred_relay:
            self._return_at_us = None
        elif self._return_at_us is None:
            self._return_at_us = now + RETURN_AFTER_US + self._random_delay_us(RETURN_AFTER_US)

    def record_failure(self, now: int, relay: str) -> Retry:
        """Record that `relay` has failed; each relay is tried before one is tried again."""
        self._failures[relay] += 1
        if relay == self.preferred_relay:
            self._return_at_us = None
        self.relay = min(self._order, key=lambda name: self._failures[name])
        return Retry(self.relay, self._retry_delay_us(now))

    def return_to_preferred(self, now: int) -> str | None:
        """Return the preferred relay if it is time to return to it, else None.

        The caller then reports the result by `record_success` or `record_failure`.
        """
        if self._return_at_us is None or now < self._return_at_us:
            return None
        self._return_at_us = None
        self.relay = self.preferred_relay
        return self.relay

    def _retry_delay_us(self, now: int) -> int:
        failures = sum(self._failures.values())
        if failures == 1:
            return self._random_delay_us(MAX_FIRST_RETRY_DELAY_US)
        longest = min(
            MAX_RETRY_DELAY_US, MAX_FIRST_RETRY_DELAY_US << min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        )
        remaining = self._last_success_us + FRESHNESS_TIMEOUT_US - now
        if remaining > 0:  # so that two more relays can be asked before the timeout
            longest = min(longest, remaining // 2)
        jitter = self._random_delay_us(max(longest - MIN_RETRY_DELAY_US, MIN_RETRY_DELAY_US))
        return MIN_RETRY_DELAY_US + jitter

    def _random_delay_us(self, upper_bound_us: int) -> int:
        return int(self._random.random() * upper_bound_us)
