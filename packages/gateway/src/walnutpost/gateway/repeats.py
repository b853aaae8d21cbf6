"""Which askings are the same call, and what its outcome was. Decides; no I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass

from walnutpost.gateway.messages import Final, Refused, Served
from walnutpost.interface import Effect

ENTRY_BYTES = 400  # what an entry costs besides its payload, by measurement rounded up


@dataclass(frozen=True, slots=True)
class _Remembered:
    final: Final
    until: int
    size: int


class Repeats:
    """Open calls by key, and outcomes for `window` after their end within `most` bytes.

    Guards against a client that asks again after a lost answer: an SDK does so by itself under the same
    invocation id. A refusal is not remembered, since it invites the next try. Safe calls give way when
    memory is short; what may have taken effect does not, so then no new call of that kind has room, and
    is refused.
    """

    def __init__(self, window: int, most: int) -> None:
        self._window = window
        self._most = most
        self._open: dict[Hashable, int] = {}
        self._safe: OrderedDict[Hashable, _Remembered] = OrderedDict()
        self._bound: OrderedDict[Hashable, _Remembered] = OrderedDict()
        self.size = 0

    def open_call(self, key: Hashable) -> int | None:
        return self._open.get(key)

    def outcome(self, now: int, key: Hashable) -> Final | None:
        self._expire(now)
        known = self._bound.get(key) or self._safe.get(key)
        return known.final if known else None

    def room(self, now: int, effect: Effect) -> bool:
        """Whether the outcome of one more call with this effect could be kept."""
        if effect is Effect.SAFE:
            return True
        self._expire(now)
        bound = sum(r.size for r in self._bound.values()) if self.size >= self._most else self.size
        return bound + ENTRY_BYTES <= self._most

    def opened(self, key: Hashable, call: int) -> None:
        self._open[key] = call

    def closed(self, now: int, key: Hashable, effect: Effect, final: Final | None) -> None:
        """The call has ended; None where nothing is to be remembered of it."""
        self._open.pop(key, None)
        if final is None or isinstance(final, Refused):
            return
        payload = final.payload if isinstance(final, Served) else (final.payload or b"")
        kept = _Remembered(final, now + self._window, ENTRY_BYTES + len(payload))
        (self._safe if effect is Effect.SAFE else self._bound)[key] = kept
        self.size += kept.size
        while self.size > self._most and self._safe:
            self.size -= self._safe.popitem(last=False)[1].size

    def _expire(self, now: int) -> None:
        for kept in (self._safe, self._bound):
            while kept and next(iter(kept.values())).until <= now:
                self.size -= kept.popitem(last=False)[1].size
