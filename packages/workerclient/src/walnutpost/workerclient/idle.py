"""Connections to workers that are kept while nothing runs on them."""

from __future__ import annotations

from collections.abc import Iterable

from walnutpost.eventloop import Loop
from walnutpost.http import Connection


class IdleConnections:
    """By worker, the last used ones first. Every connection in here has nothing unanswered on it."""

    def __init__(self, loop: Loop, idle_time_us: int, most_of_worker: int) -> None:
        self._loop = loop
        self._idle_time_us = idle_time_us
        self._most_of_worker = most_of_worker
        self._connections: dict[str, list[Connection]] = {}
        self._expiring: set[str] = set()  # workers for which a timer runs

    def values(self) -> Iterable[list[Connection]]:
        """The idle connections of each worker."""
        return self._connections.values()

    def take(self, worker: str) -> Connection | None:
        """A connection that the worker has not closed."""
        connections = self._connections.get(worker)
        while connections:
            connection = connections.pop()
            fresh = self._loop.now() - connection.used_at < self._idle_time_us
            if fresh and not connection.stream.is_stale():
                return connection
            connection.close()
        return None

    def keep(self, worker: str, connection: Connection) -> None:
        """Closes it where enough are kept already."""
        connections = self._connections.setdefault(worker, [])
        if len(connections) >= self._most_of_worker:
            connection.close()
            return
        connection.used_at = self._loop.now()
        connections.append(connection)
        if worker not in self._expiring:
            self._expiring.add(worker)
            self._loop.call_later(self._idle_time_us, lambda: self._expire(worker))

    def close(self, worker: str) -> None:
        for connection in self._connections.pop(worker, ()):
            connection.close()

    def close_all(self) -> None:
        for worker in list(self._connections):
            self.close(worker)

    def _expire(self, worker: str) -> None:
        """Closes what has been idle for long: a burst's connections, and those of a worker that is not
        used."""
        connections = self._connections.get(worker, [])
        since = self._loop.now() - self._idle_time_us
        for connection in [c for c in connections if c.used_at <= since]:
            connections.remove(connection)
            connection.close()
        if connections:
            self._loop.call_later(connections[0].used_at - since, lambda: self._expire(worker))
        else:
            self._expiring.discard(worker)
