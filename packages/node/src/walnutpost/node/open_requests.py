"""The open client requests of this node, by caller id.

Provides what workers need to know about a request, and whether an attempt for it may still start.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from walnutpost.node.recent_ids import RecentIds


class RequestIdentity(NamedTuple):
    """The fields of a request that are forwarded to a worker, as the client sent them."""

    request_id: bytes
    request_class: str
    idempotency_key: str


class OpenRequests:
    """Tracks requests from their acceptance until they end at this node.

    `request_ids` contains the ids of the requests for which an attempt may still start.
    """

    def __init__(self, now: Callable[[], int]) -> None:
        """`now` returns the time in microseconds."""
        self._now = now
        self._recent_ids = RecentIds()  # of requests with an attempt
        self.identities: dict[int, RequestIdentity] = {}
        self.request_ids: set[bytes] = set()
        self._read_ahead_callbacks: dict[int, Callable[[], None]] = {}  # by caller id
        self._attempted: set[int] = set()
        self._end_callbacks: dict[int, list[Callable[[], None]]] = {}  # by caller id
        self._caller_ids: set[int] = set()

    def __len__(self) -> int:
        """Return how many requests are open."""
        return len(self._caller_ids)

    def add(self, caller_id: int, identity: RequestIdentity, read_ahead: Callable[[], None]) -> None:
        """Add a request.

        `read_ahead` reads unread bytes of its connection early, and calls `prevent_attempts` if they cancel
        it.
        """
        self._caller_ids.add(caller_id)
        self.identities[caller_id] = identity
        self.request_ids.add(identity.request_id)
        self._read_ahead_callbacks[caller_id] = read_ahead

    def identity_for_attempt(self, caller_id: int) -> RequestIdentity | None:
        """Return what to send to a worker about a request, and record that an attempt was started for it.

        Call this before creating an attempt, and again before sending its first byte. Returns None if the
        request has been answered, or if its client has cancelled it or left, even if that is still unread.
        """
        read_ahead = self._read_ahead_callbacks.get(caller_id)
        if read_ahead is not None:
            read_ahead()
        identity = self.identities.get(caller_id)
        if identity is not None:
            self._attempted.add(caller_id)
            self._recent_ids.add(self._now(), identity.request_id)
        return identity

    def call_at_end(self, caller_id: int, callback: Callable[[], None]) -> None:
        """Call `callback` when the request ends at this node: it was answered, or nobody waits any more."""
        self._end_callbacks.setdefault(caller_id, []).append(callback)

    def was_attempted_before(self, request_id: bytes) -> bool:
        """Return whether a request with this id may have run lately, so that another one would run twice."""
        return self._recent_ids.contains(self._now(), request_id)

    def was_attempted(self, caller_id: int) -> bool:
        """Return whether an attempt was started for the request, so that it may have run."""
        return caller_id in self._attempted

    def prevent_attempts(self, caller_id: int) -> None:
        """Prevent further attempts for the request."""
        identity = self.identities.pop(caller_id, None)
        if identity is not None:
            self.request_ids.discard(identity.request_id)
        self._read_ahead_callbacks.pop(caller_id, None)

    def remove(self, caller_id: int) -> None:
        """Remove a request that has ended at this node."""
        self.prevent_attempts(caller_id)
        self._caller_ids.discard(caller_id)
        self._attempted.discard(caller_id)
        for callback in self._end_callbacks.pop(caller_id, ()):
            callback()
