"""The connections to each worker: which one carries a command, and when an idle one is closed."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial

from walnutpost.eventloop import Loop
from walnutpost.interface import Outcome
from walnutpost.node.connection_selection import rank_candidates
from walnutpost.node.directory import Address
from walnutpost.node.exchange import Exchange
from walnutpost.node.worker_connection import WorkerConnection
from walnutpost.node.worker_limits import WorkerLimits

MAX_SWEEP_INTERVAL_US = 1_000_000
SWEEP_INTERVAL_RATIO = 0.1  # of the idle timeout, where that is less
IDLE_RATIO = 0.7  # of the time after which the worker closes an idle connection: never write into that


class WorkerPool:
    """All connections to workers, bounded by `limits`; the owner of each `WorkerConnection`."""

    def __init__(self, loop: Loop, limits: WorkerLimits) -> None:
        self.loop = loop
        self.limits = limits
        self.connection_count = 0
        self.connections_opened = 0
        self.malformed_responses = 0
        self._addresses: dict[str, Address] = {}
        self._connections: dict[str, list[WorkerConnection]] = {}
        interval_us = min(MAX_SWEEP_INTERVAL_US, int(limits.idle_timeout_us * SWEEP_INTERVAL_RATIO))
        self.sweeping = loop.call_every(max(1, interval_us), self._sweep, "sweep of connections to workers")

    def update_addresses(self, addresses: Mapping[str, Address]) -> None:
        """Follow the list of workers; connections to a worker that has gone or moved are drained."""
        for name, address in list(self._addresses.items()):
            if addresses.get(name) != address:
                for connection in list(self._connections.get(name, ())):
                    connection.drain()
        self._addresses = dict(addresses)

    # Which connection

    def assign(self, worker: str, exchange: Exchange, on_new: bool = False) -> None:
        """Put the exchange on a connection to the worker, a new one where `on_new`."""
        connection = self.select(worker, exchange.id, on_new)
        if connection is not None:
            connection.send(exchange)
            return
        # Where a worker is listed and no connection could be made, that is our lack of descriptors.
        outcome = Outcome.MOOT if worker in self._addresses else Outcome.CONNECT_FAILED
        self.loop.call_soon(partial(exchange.finish, outcome))

    def select(self, worker: str, id: bytes, on_new: bool = False) -> WorkerConnection | None:
        """Return an idle connection, else a new one while the limits allow, else the least loaded.

        `on_new`: not an idle one, as it may be broken, too. None where there is none and none can be made.
        """
        usable = rank_candidates(self._connections.get(worker, ()), id, self.limits.max_streams)
        best = next((connection for connection in usable if self._is_reusable(connection)), None)
        if best is not None and not best.open and not on_new:
            return best
        max_per_worker = max(1, self.limits.max_connections // max(1, len(self._addresses)))
        may_open = self.connection_count < self.limits.max_connections and len(usable) < max_per_worker
        if may_open or best is None:
            return self._connect(worker) or best
        return best

    def _connect(self, worker: str) -> WorkerConnection | None:
        """Begin a new connection; None without an address or a descriptor."""
        address = self._addresses.get(worker)
        if address is None:
            return None
        try:
            connection = WorkerConnection(self, worker, address)
        except OSError:
            return None
        self._connections.setdefault(worker, []).append(connection)
        self.connection_count += 1
        self.connections_opened += 1
        return connection

    def _is_reusable(self, connection: WorkerConnection) -> bool:
        """Return whether a call may be written into it.

        The other end's close may have come, or be about to, and the rest of a partial response that nobody
        waits for would be taken for part of the next one.
        """
        is_idle = not connection.open and connection.is_connected
        if is_idle and (connection.has_partial_response or self._is_stale(connection)):
            connection.close()
        return not connection.check_ended()

    def _is_stale(self, connection: WorkerConnection) -> bool:
        return connection.idle_since_us < self.loop.now() - int(self.limits.idle_timeout_us * IDLE_RATIO)

    # Closing

    def close_idle(self, worker: str) -> None:
        """Close the worker's connections that carry nothing."""
        for connection in list(self._connections.get(worker, ())):
            if not connection.open:
                connection.close()

    def evict_idle(self) -> bool:
        """Close the connection that has been idle for longest; return False where none is idle."""
        idle = [each for each in self._all_connections() if not each.open and each.is_connected]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since_us).close()
        return True

    def forget(self, connection: WorkerConnection) -> None:
        """Forget a connection that has been closed."""
        siblings = self._connections.get(connection.worker, [])
        if connection in siblings:
            siblings.remove(connection)
            self.connection_count -= 1
            if not siblings:
                del self._connections[connection.worker]

    def on_malformed_response(self, connection: WorkerConnection) -> None:
        """Reset a connection on which bytes came that are no response.

        The worker is alive, and has answered something to somebody: no sign that it died. Whatever was
        written to this connection may have run, and its response can't be read any more.
        """
        self.malformed_responses += 1
        connection.fail(Outcome.ERROR)

    def _all_connections(self) -> list[WorkerConnection]:
        return [connection for siblings in self._connections.values() for connection in siblings]

    def _sweep(self) -> None:
        for connection in self._all_connections():
            if not connection.open and connection.is_connected and self._is_stale(connection):
                connection.close()
