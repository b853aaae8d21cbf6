"""Deduplication of repeated calls: open calls and recent outcomes by the identity of a call."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass

from walnutpost.gateway.messages import FinalAnswer, Rejected, Served
from walnutpost.interface import Effect

ENTRY_BYTES = 400  # memory of an entry without its payload


@dataclass(frozen=True, slots=True)
class _OutcomeEntry:
    final: FinalAnswer
    expires_us: int
    size_bytes: int


class RecentOutcomes:
    """Open calls by identity, and the outcomes of calls that ended in the last `ttl_us`.

    A client that lost an answer repeats its call; SDKs do so automatically under the same invocation ID. The
    repeat must not run a second time. A rejection is not remembered, because it invites the client to retry.

    Outcomes use about `max_bytes` at most. Beyond that, the oldest outcomes of safe calls are evicted. Other
    outcomes stay, because their calls may have taken effect; if they fill the memory, `has_capacity` is False
    for further calls that are not safe, and the caller must reject these.
    """

    def __init__(self, ttl_us: int, max_bytes: int) -> None:
        self._ttl_us = ttl_us
        self._max_bytes = max_bytes
        self._open: dict[Hashable, int] = {}
        self._evictable: OrderedDict[Hashable, _OutcomeEntry] = OrderedDict()  # outcomes of safe calls
        self._pinned: OrderedDict[Hashable, _OutcomeEntry] = OrderedDict()  # all other outcomes
        self.size_bytes = 0

    def open_call(self, identity: Hashable) -> int | None:
        """Return the number of the open call with this identity, or None."""
        return self._open.get(identity)

    def outcome(self, now_us: int, identity: Hashable) -> FinalAnswer | None:
        """Return the remembered outcome of the call with this identity, or None."""
        self._remove_expired(now_us)
        known = self._pinned.get(identity) or self._evictable.get(identity)
        return known.final if known else None

    def has_capacity(self, now_us: int, effect: Effect) -> bool:
        """Whether there is memory for the outcome of one more call with this effect."""
        if effect is Effect.SAFE:
            return True
        self._remove_expired(now_us)
        pinned_bytes = self.size_bytes
        if self.size_bytes >= self._max_bytes:
            pinned_bytes = sum(entry.size_bytes for entry in self._pinned.values())
        return pinned_bytes + ENTRY_BYTES <= self._max_bytes

    def add_open_call(self, identity: Hashable, call: int) -> None:
        """Record the number of an open call."""
        self._open[identity] = call

    def record_end(self, now_us: int, identity: Hashable, effect: Effect, final: FinalAnswer | None) -> None:
        """Record that the call has ended; if `final` is None, no outcome is kept."""
        self._open.pop(identity, None)
        if final is None or isinstance(final, Rejected):
            return
        payload = final.payload if isinstance(final, Served) else (final.payload or b"")
        entry = _OutcomeEntry(final, now_us + self._ttl_us, ENTRY_BYTES + len(payload))
        entries = self._evictable if effect is Effect.SAFE else self._pinned
        entries[identity] = entry
        self.size_bytes += entry.size_bytes
        while self.size_bytes > self._max_bytes and self._evictable:
            self.size_bytes -= self._evictable.popitem(last=False)[1].size_bytes

    def _remove_expired(self, now_us: int) -> None:
        for entries in (self._evictable, self._pinned):
            while entries and next(iter(entries.values())).expires_us <= now_us:
                self.size_bytes -= entries.popitem(last=False)[1].size_bytes
