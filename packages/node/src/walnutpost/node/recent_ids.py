"""The ids of requests that may have run lately."""

from __future__ import annotations

TTL_US = 30_000_000  # longer than a request and its attempts last
MAX_IDS = 16_384


class RecentIds:
    """Remembers ids for TTL_US, but the newest MAX_IDS at most."""

    def __init__(self) -> None:
        self._expires_us: dict[int, int] = {}  # by id, the oldest first

    def add(self, now_us: int, request_id: bytes) -> None:
        """Remember an id of hexadecimal digits."""
        number = int(request_id, 16)
        self._expires_us.pop(number, None)
        self._expires_us[number] = now_us + TTL_US
        if len(self._expires_us) > MAX_IDS:
            del self._expires_us[next(iter(self._expires_us))]

    def contains(self, now_us: int, request_id: bytes) -> bool:
        """Return whether the id is remembered."""
        while self._expires_us:
            oldest = next(iter(self._expires_us))
            if self._expires_us[oldest] > now_us:
                break
            del self._expires_us[oldest]
        return int(request_id, 16) in self._expires_us
