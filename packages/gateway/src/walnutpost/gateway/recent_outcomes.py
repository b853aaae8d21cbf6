"""Idempotency: open calls and recent outcomes by the identity of a call. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass

from walnutpost.gateway.messages import Final, Rejected, Served
from walnutpost.interface import Effect

ENTRY_BYTES = 400  # memory of an entry besides its payload, as measured, rounded up


@dataclass(frozen=True, slots=True)
class _Remembered:
    final: Final
    expires_us: int
    size_bytes: int


class RecentOutcomes:
    """Open calls by identity, and outcomes for `ttl_us` after their end within `max_bytes`.

    Guards against a client that repeats a call after a lost answer: SDKs do so automatically under the same
    invocation id. A rejection is not remembered, since it invites the next attempt. Outcomes of safe calls
    are evicted when memory is short; what may have taken effect is not, so then no new call of that kind has
    capacity, and is rejected.
    """

    def __init__(self, ttl_us: int, max_bytes: int) -> None:
        self._ttl_us = ttl_us
        self._max_bytes = max_bytes
        self._open: dict[Hashable, int] = {}
        self._evictable: OrderedDict[Hashable, _Remembered] = OrderedDict()  # of safe calls
        self._pinned: OrderedDict[Hashable, _Remembered] = OrderedDict()  # of all others
        self.size_bytes = 0

    def open_call(self, identity: Hashable) -> int | None:
        """Return the number of the open call, if there is one."""
        return self._open.get(identity)

    def outcome(self, now_us: int, identity: Hashable) -> Final | None:
        """Return the remembered outcome, if there is one."""
        self._expire(now_us)
        known = self._pinned.get(identity) or self._evictable.get(identity)
        return known.final if known else None

    def has_capacity(self, now_us: int, effect: Effect) -> bool:
        """Whether the outcome of one more call with this effect could be remembered."""
        if effect is Effect.SAFE:
            return True
        self._expire(now_us)
        pinned_bytes = self.size_bytes
        if self.size_bytes >= self._max_bytes:
            pinned_bytes = sum(entry.size_bytes for entry in self._pinned.values())
        return pinned_bytes + ENTRY_BYTES <= self._max_bytes

    def opened(self, identity: Hashable, call: int) -> None:
        """Note that the call is open."""
        self._open[identity] = call

    def closed(self, now_us: int, identity: Hashable, effect: Effect, final: Final | None) -> None:
        """Note that the call has ended; None where nothing is to be remembered of it."""
        self._open.pop(identity, None)
        if final is None or isinstance(final, Rejected):
            return
        payload = final.payload if isinstance(final, Served) else (final.payload or b"")
        entry = _Remembered(final, now_us + self._ttl_us, ENTRY_BYTES + len(payload))
        entries = self._evictable if effect is Effect.SAFE else self._pinned
        entries[identity] = entry
        self.size_bytes += entry.size_bytes
        while self.size_bytes > self._max_bytes and self._evictable:
            self.size_bytes -= self._evictable.popitem(last=False)[1].size_bytes

    def _expire(self, now_us: int) -> None:
        for entries in (self._evictable, self._pinned):
            while entries and next(iter(entries.values())).expires_us <= now_us:
                self.size_bytes -= entries.popitem(last=False)[1].size_bytes
