"""The clients' requests that are open at this node, by ticket: what workers are told of them, and whether an
attempt may still begin."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.node.pool import Identity


class OpenRequests:
    """Requests from when they are accepted until they end here. `request_ids` are those of the requests that
    an attempt may still begin for."""

    def __init__(self) -> None:
        self.identities: dict[int, Identity] = {}
        self.request_ids: set[bytes] = set()
        self._read_ahead: dict[int, Callable[[], None]] = {}  # of the connection that each came on
        self._attempted: set[int] = set()

    def add(self, ticket: int, identity: Identity, read_ahead: Callable[[], None]) -> None:
        """`read_ahead` looks for unread bytes that cancel the request, and then calls `withdraw`."""
        self.identities[ticket] = identity
        self.request_ids.add(identity[0])
        self._read_ahead[ticket] = read_ahead

    def identity(self, ticket: int) -> Identity | None:
        """What a worker is told of a request, asked before an attempt is made and before its first byte
        leaves. None once its client has left, also where that has come and is still unread, or has been
        answered."""
        read_ahead = self._read_ahead.get(ticket)
        if read_ahead is not None:
            read_ahead()
        identity = self.identities.get(ticket)
        if identity is not None:
            self._attempted.add(ticket)
        return identity

    def attempted(self, ticket: int) -> bool:
        """Whether an attempt was started for it, so that it may have run."""
        return ticket in self._attempted

    def withdraw(self, ticket: int) -> None:
        """No attempt begins for it from now on."""
        identity = self.identities.pop(ticket, None)
        if identity is not None:
            self.request_ids.discard(identity[0])
        self._read_ahead.pop(ticket, None)

    def remove(self, ticket: int) -> None:
        """It has ended here."""
        self.withdraw(ticket)
        self._attempted.discard(ticket)
