"""The ids of the queries to the name server that may still be answered."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.node.recent_ids import ExpiringIds

QUERY_TIMEOUT_US = 5_000_000  # the usual timeout of a resolver (resolv.conf(5), `timeout`)
MAX_QUERIES = 1024  # remembered at a time, however often the name server's address changes


class OpenQueries:
    """Remembers each query for QUERY_TIMEOUT_US, and whether a response to it still counts.

    A query is closed by its response, or if the name server's address changes. Its id stays recent until the
    timeout, because a duplicate or late response may still arrive under it.
    """

    def __init__(self, now: Callable[[], int]) -> None:
        """`now` returns the current time in microseconds."""
        self._now = now
        self._open = ExpiringIds(QUERY_TIMEOUT_US, MAX_QUERIES)
        self._recent = ExpiringIds(QUERY_TIMEOUT_US, MAX_QUERIES)

    def __len__(self) -> int:
        """Return the number of ids that are held in memory."""
        return len(self._recent)

    def add(self, id: int) -> None:
        """Open a query that is sent now."""
        now_us = self._now()
        self._open.add(now_us, id)
        self._recent.add(now_us, id)

    def is_open(self, id: int) -> bool:
        """Return whether a response with this id may be accepted."""
        return self._open.contains(self._now(), id)

    def is_recent(self, id: int) -> bool:
        """Return whether a response to an earlier query with this id may still arrive."""
        return self._recent.contains(self._now(), id)

    def close(self, id: int) -> None:
        """Accept no further response with this id."""
        self._open.remove(id)

    def close_all(self) -> None:
        """Accept no response to any query so far."""
        self._open.clear()
