"""The clients' requests that are open at this node, by caller.

Says what workers are given of a request, and whether an attempt for it may still begin.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class RequestIdentity(NamedTuple):
    """What a worker is given of a request, as its client stated it."""

    request_id: bytes
    request_class: str
    idempotency_key: str


class OpenRequests:
    """Requests from when they are accepted until they end here.

    `request_ids` are those of the requests that an attempt may still begin for.
    """

    def __init__(self) -> None:
        self.identities: dict[int, RequestIdentity] = {}
        self.request_ids: set[bytes] = set()
        self._read_ahead: dict[int, Callable[[], None]] = {}  # of the connection that each came on
        self._attempted: set[int] = set()

    def add(self, caller_id: int, identity: RequestIdentity, read_ahead: Callable[[], None]) -> None:
        """Take up a request; `read_ahead` finds unread bytes that cancel it, and then calls `withdraw`."""
        self.identities[caller_id] = identity
        self.request_ids.add(identity.request_id)
        self._read_ahead[caller_id] = read_ahead

    def identity(self, caller_id: int) -> RequestIdentity | None:
        """Return what a worker is given of a request.

        Asked before an attempt is made and before its first byte leaves. None once its client has left, also
        where that is still unread, or once it has been answered.
        """
        read_ahead = self._read_ahead.get(caller_id)
        if read_ahead is not None:
            read_ahead()
        identity = self.identities.get(caller_id)
        if identity is not None:
            self._attempted.add(caller_id)
        return identity

    def was_attempted(self, caller_id: int) -> bool:
        """Return whether an attempt was started for it, so that it may have run."""
        return caller_id in self._attempted

    def withdraw(self, caller_id: int) -> None:
        """Let no attempt begin for it from now on."""
        identity = self.identities.pop(caller_id, None)
        if identity is not None:
            self.request_ids.discard(identity.request_id)
        self._read_ahead.pop(caller_id, None)

    def remove(self, caller_id: int) -> None:
        """Forget a request that has ended here."""
        self.withdraw(caller_id)
        self._attempted.discard(caller_id)
