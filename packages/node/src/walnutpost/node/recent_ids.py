"""Ids that are remembered for a limited time: of requests that may have run lately, and of others."""

from __future__ import annotations

TTL_US = 30_000_000  # longer than a request and its attempts last
MAX_IDS = 16_384


class ExpiringIds:
    """Remembers ids for `ttl_us`, but the newest `max_ids` at most."""

    def __init__(self, ttl_us: int, max_ids: int) -> None:
        self._ttl_us = ttl_us
        self._max_ids = max_ids
        self._expires_us: dict[int, int] = {}  # by id, the oldest first

    def __len__(self) -> int:
        """Return the number of ids held, including expired ones that no call has removed yet."""
        return len(self._expires_us)

    def add(self, now_us: int, id: int) -> None:
        """Remember the id from now on."""
        self._expires_us.pop(id, None)
        self._expires_us[id] = now_us + self._ttl_us
        if len(self._expires_us) > self._max_ids:
            del self._expires_us[next(iter(self._expires_us))]

    def contains(self, now_us: int, id: int) -> bool:
        """Return whether the id is remembered; remove the expired ones."""
        while self._expires_us:
            oldest = next(iter(self._expires_us))
            if self._expires_us[oldest] > now_us:
                break
            del self._expires_us[oldest]
        return id in self._expires_us

    def remove(self, id: int) -> None:
        """Forget the id if it is remembered."""
        self._expires_us.pop(id, None)

    def clear(self) -> None:
        """Forget all ids."""
        self._expires_us.clear()


class RecentIds:
    """Remembers the ids of requests for TTL_US, but the newest MAX_IDS at most."""

    def __init__(self) -> None:
        self._ids = ExpiringIds(TTL_US, MAX_IDS)

    def add(self, now_us: int, request_id: bytes) -> None:
        """Remember an id of hexadecimal digits."""
        self._ids.add(now_us, int(request_id, 16))

    def contains(self, now_us: int, request_id: bytes) -> bool:
        """Return whether the id is remembered."""
        return self._ids.contains(now_us, int(request_id, 16))
