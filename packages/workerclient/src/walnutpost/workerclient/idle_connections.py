"""Connections to workers that are open while nothing runs on them, for reuse."""

from __future__ import annotations

from walnutpost.eventloop import Loop
from walnutpost.http import Connection


class IdleConnections:
    """Idle connections by worker, the last used ones first. None of them has anything unanswered on it."""

    def __init__(self, loop: Loop, idle_timeout_us: int, max_per_worker: int) -> None:
        """Close a connection after `idle_timeout_us` without use."""
        self._loop = loop
        self._idle_timeout_us = idle_timeout_us
        self._max_per_worker = max_per_worker
        self._connections: dict[str, list[Connection]] = {}
        self._expiring: set[str] = set()  # workers for which a timer runs

    @property
    def count(self) -> int:
        """How many connections are idle, to all workers."""
        return sum(map(len, self._connections.values()))

    def take(self, worker: str) -> Connection | None:
        """Remove and return a connection that the worker has not closed, or None."""
        connections = self._connections.get(worker)
        while connections:
            connection = connections.pop()
            is_fresh = self._loop.now() - connection.last_used_us < self._idle_timeout_us
            if is_fresh and not connection.stream.is_stale():
                return connection
            connection.close()
        return None

    def put(self, worker: str, connection: Connection) -> None:
        """Add a connection, or close it where the worker has enough."""
        connections = self._connections.setdefault(worker, [])
        if len(connections) >= self._max_per_worker:
            connection.close()
            return
        connection.last_used_us = self._loop.now()
        connections.append(connection)
        if worker not in self._expiring:
            self._expiring.add(worker)
            self._loop.call_later(self._idle_timeout_us, lambda: self._expire(worker))

    def close(self, worker: str) -> None:
        """Close the connections to a worker."""
        for connection in self._connections.pop(worker, ()):
            connection.close()

    def close_all(self) -> None:
        """Close the connections to all workers."""
        for worker in list(self._connections):
            self.close(worker)

    def _expire(self, worker: str) -> None:
        """Close what has been idle for too long: connections of a burst, or to a worker that is not used."""
        connections = self._connections.get(worker, [])
        last_use_us = self._loop.now() - self._idle_timeout_us
        for connection in [each for each in connections if each.last_used_us <= last_use_us]:
            connections.remove(connection)
            connection.close()
        if connections:
            next_check_us = connections[0].last_used_us - last_use_us
            self._loop.call_later(next_check_us, lambda: self._expire(worker))
        else:
            self._expiring.discard(worker)
