"""Connections from the origin to its replicas: one to each, kept open between batches."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus

from walnutpost.eventloop import Loop
from walnutpost.http import Connection, Limits
from walnutpost.journal import JournalBatch, JournalOffset
from walnutpost.replication import wire

Address = Callable[[], tuple[str, int]]
"""Returns where a replica listens at present."""


class ReplicaClient:
    """Sends batches to replicas, by the names in `addresses`; `timeout_us` is for each message."""

    def __init__(self, loop: Loop, addresses: Mapping[str, Address], timeout_us: int) -> None:
        self._loop = loop
        self._addresses = dict(addresses)
        self._timeout_us = timeout_us
        self._connections: dict[str, Connection] = {}

    def has_address(self, replica: str) -> bool:
        """Whether batches can be sent to a replica; False for each one after `close`."""
        return replica in self._addresses

    def post_batch(self, replica: str, batch: JournalBatch) -> JournalOffset:
        """Send a batch and return the replica's offset; one at a time to each replica.

        Raises OSError, HttpMessageError, WaitTimeoutError and InvalidMessageError.
        """
        with self._loop.timeout(self._timeout_us):
            connection = self._connect(replica)
            headers = {"Content-Type": "application/msgpack"}
            response = connection.request("POST", wire.BATCHES_PATH, headers, wire.encode(batch))
        if response.status != HTTPStatus.OK:
            raise wire.InvalidMessageError(f"{response.status}: {response.body[:200]!r}")
        return wire.decode(response.body, JournalOffset)

    def disconnect(self, replica: str) -> None:
        """Close the connection to a replica, after an error; the next batch opens another one."""
        connection = self._connections.pop(replica, None)
        if connection is not None:
            connection.close()

    def close(self) -> None:
        """Close all connections and open no more."""
        self._addresses.clear()
        for connection in self._connections.values():
            connection.close()

    def _connect(self, replica: str) -> Connection:
        """Return the open connection to a replica, or a new one."""
        connection = self._connections.get(replica)
        if connection is not None and connection.is_reusable:
            return connection
        if connection is not None:
            connection.close()
        if replica not in self._addresses:
            raise ConnectionRefusedError("no longer a replica")
        address = self._addresses[replica]()
        connection = Connection.open(self._loop, address, limits=Limits(max_body_bytes=wire.MAX_BODY_BYTES))
        self._connections[replica] = connection
        return connection
