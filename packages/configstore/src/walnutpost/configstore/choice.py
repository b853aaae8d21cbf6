"""Which relay a member asks, and when again after a failure. No I/O, clock or randomness of its own.

Times are microseconds of the caller's clock."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

import xxhash

SECOND = 1_000_000
HEARD = 9 * SECOND  # within it control must have been heard of again
FIRST = SECOND // 2  # the longest wait before the first question elsewhere
LEAST = SECOND // 4  # from the second failure in a row on, nobody asks again sooner
CAP = 2 * SECOND
HOME = 60 * SECOND


def order(member: str, relays: Mapping[str, str], own: str) -> list[str]:
    """The relays, name to region, as this member prefers them: those of its `own` region first, each part by
    rendezvous hashing. Where one is lost only its members move, spread over the others."""
    score = {name: xxhash.xxh3_64_intdigest(f"{member}\0{name}".encode()) for name in relays}
    return sorted(relays, key=lambda name: (relays[name] != own, -score[name], name))


class Choice:
    """One member's. `relay` is where it asks. Failures in a row wait longer, by exponential back-off with
    full jitter: all who lose a relay at once come to the others spread out."""

    def __init__(self, member: str, relays: Mapping[str, str], own: str, random: Random) -> None:
        """Raises ValueError where there are no relays."""
        if not relays:
            raise ValueError("relays: none, wanted at least one")
        self._order = order(member, relays, own)
        self._random = random
        self._failed = dict.fromkeys(self._order, 0)  # since one last answered
        self._heard = 0
        self._back: int | None = None
        self.relay = self._order[0]

    def first(self, now: int) -> str:
        """Where to begin."""
        self._heard = now
        return self.relay

    def answered(self, now: int) -> None:
        """`relay` has answered, be it with nothing new."""
        self._heard = now
        if any(self._failed.values()):
            self._failed = dict.fromkeys(self._order, 0)
        if self.relay == self._order[0]:
            self._back = None
        elif self._back is None:
            self._back = now + HOME + self._jitter(HOME)

    def failed(self, now: int, relay: str) -> tuple[str, int]:
        """Where to ask next, and the wait before it. Each is tried before one is tried again."""
        self._failed[relay] += 1
        if relay == self._order[0]:
            self._back = None
        self.relay = min(self._order, key=lambda name: self._failed[name])
        times = sum(self._failed.values())
        if times == 1:
            return self.relay, self._jitter(FIRST)
        longest = min(CAP, FIRST << min(times - 1, 8))
        left = self._heard + HEARD - now
        if left > 0:  # two more can still be asked in time
            longest = min(longest, left // 2)
        return self.relay, LEAST + self._jitter(max(longest - LEAST, LEAST))

    def home(self, now: int) -> str | None:
        """The relay to go back to, where it has been elsewhere for long enough; `failed` or `answered` then
        tells how that went."""
        if self._back is None or now < self._back:
            return None
        self._back = None
        self.relay = self._order[0]
        return self.relay

    def _jitter(self, most: int) -> int:
        return int(self._random.random() * most)
