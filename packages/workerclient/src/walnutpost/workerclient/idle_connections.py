"""A pool of idle connections to workers."""

from __future__ import annotations

from walnutpost.eventloop import Loop
from walnutpost.http import Connection


class IdleConnections:
    """Idle connections by worker, reused most recently used first. None of them has a pending response."""

    def __init__(self, loop: Loop, idle_timeout_us: int, max_per_worker: int) -> None:
        """Create an empty pool; a connection is closed after `idle_timeout_us` without use."""
        self._loop = loop
        self._idle_timeout_us = idle_timeout_us
        self._max_per_worker = max_per_worker
        self._connections: dict[str, list[Connection]] = {}
        self._workers_with_expiry_timer: set[str] = set()

    @property
    def count(self) -> int:
        """The number of idle connections to all workers."""
        return sum(map(len, self._connections.values()))

    def take(self, worker: str) -> Connection | None:
        """Remove and return the last used connection that is still open and not expired, or None."""
        connections = self._connections.get(worker)
        while connections:
            connection = connections.pop()
            is_fresh = self._loop.now() - connection.last_used_us < self._idle_timeout_us
            if is_fresh and not connection.stream.is_stale():
                return connection
            connection.close()
        return None

    def put(self, worker: str, connection: Connection) -> None:
        """Add a connection, or close it if the worker already has `max_per_worker` idle ones."""
        connections = self._connections.setdefault(worker, [])
        if len(connections) >= self._max_per_worker:
            connection.close()
            return
        connection.last_used_us = self._loop.now()
        connections.append(connection)
        if worker not in self._workers_with_expiry_timer:
            self._workers_with_expiry_timer.add(worker)
            self._loop.call_later(self._idle_timeout_us, lambda: self._expire(worker))

    def close(self, worker: str) -> None:
        """Close the idle connections to a worker."""
        for connection in self._connections.pop(worker, ()):
            connection.close()

    def close_all(self) -> None:
        """Close the idle connections to all workers."""
        for worker in list(self._connections):
            self.close(worker)

    def _expire(self, worker: str) -> None:
        """Close connections past the idle timeout: left over from a burst, or to a worker no longer used."""
        connections = self._connections.get(worker, [])
        cutoff_us = self._loop.now() - self._idle_timeout_us
        for connection in [candidate for candidate in connections if candidate.last_used_us <= cutoff_us]:
            connections.remove(connection)
            connection.close()
        if connections:
            delay_us = connections[0].last_used_us - cutoff_us
            self._loop.call_later(delay_us, lambda: self._expire(worker))
        else:
            self._workers_with_expiry_timer.discard(worker)
