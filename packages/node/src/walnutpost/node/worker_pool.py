"""The pool of connections to workers: selects one for each command, and closes idle ones."""

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
SWEEP_INTERVAL_RATIO = 0.1  # of the idle timeout, if that gives a shorter interval
# Share of the worker's idle timeout after which a connection is not reused: a command that is sent later
# could cross the worker's close.
IDLE_RATIO = 0.7


class WorkerPool:
    """Owns all connections to workers, within `limits`."""

    def __init__(self, loop: Loop, limits: WorkerLimits) -> None:
        self.loop = loop
        self.limits = limits
        self.connection_count = 0
        self.connections_opened = 0
        self.malformed_responses = 0
        self.delivery_checks = 0
        self.undelivered_resets = 0
        self.liveness_checks = 0
        self.liveness_timeouts = 0
        self._addresses: dict[str, Address] = {}
        self._connections: dict[str, list[WorkerConnection]] = {}
        interval_us = min(MAX_SWEEP_INTERVAL_US, int(limits.idle_timeout_us * SWEEP_INTERVAL_RATIO))
        self.periodic_sweep = loop.call_every(
            max(1, interval_us), self._sweep, "sweep of connections to workers"
        )

    def update_addresses(self, addresses: Mapping[str, Address]) -> None:
        """Apply a new list of workers, and drain connections to workers that have left or moved."""
        for name, address in list(self._addresses.items()):
            if addresses.get(name) != address:
                for connection in list(self._connections.get(name, ())):
                    connection.drain()
        self._addresses = dict(addresses)

    # Connection selection

    def assign(self, worker: str, exchange: Exchange, prefer_new: bool = False) -> None:
        """Send the exchange to the worker; see `select` for `prefer_new`."""
        connection = self.select(worker, exchange.id, prefer_new)
        if connection is not None:
            connection.send(exchange)
            return
        # If the worker is listed, the node itself had no file descriptor for a connection.
        outcome = Outcome.EXPIRED if worker in self._addresses else Outcome.CONNECT_FAILED
        self.loop.call_soon(partial(exchange.finish, outcome))

    def select(self, worker: str, id: bytes, prefer_new: bool = False) -> WorkerConnection | None:
        """Return an idle connection, or a new one within the limits, or else the least loaded one.

        With `prefer_new`, try a new connection before an idle one, which may be broken, too, after another
        has failed. Returns None if there is no usable connection and none can be opened.
        """
        usable = rank_candidates(self._connections.get(worker, ()), id, self.limits.max_streams)
        best = next((connection for connection in usable if self._is_reusable(connection)), None)
        if best is not None and not best.open and not prefer_new:
            return best
        max_per_worker = max(1, self.limits.max_connections // max(1, len(self._addresses)))
        may_open = self.connection_count < self.limits.max_connections and len(usable) < max_per_worker
        if may_open or best is None:
            return self._connect(worker) or best
        return best

    def _connect(self, worker: str) -> WorkerConnection | None:
        """Open a new connection; return None without an address or a file descriptor."""
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
        """Return whether the connection may carry another command; close an idle one that may not.

        The worker may have closed an idle connection, or may be about to. The rest of a partial response,
        which nobody waits for, would be mistaken for part of the next response.
        """
        is_idle = not connection.open and connection.is_connected
        if is_idle and (connection.has_partial_response or self._is_stale(connection)):
            connection.close()
        return not connection.check_ended()

    def _is_stale(self, connection: WorkerConnection) -> bool:
        return connection.idle_since_us < self.loop.now() - int(self.limits.idle_timeout_us * IDLE_RATIO)

    def is_worker_in_doubt(self, worker: str) -> bool:
        """Return whether the worker owes a response, and none of its connections has shown life lately.

        A worker that is cut off falls silent on all of its connections together.
        """
        connections = self._connections.get(worker, ())
        return all(each.is_stale for each in connections) and any(each.owes_response for each in connections)

    # Closing

    def close_idle(self, worker: str) -> None:
        """Close the worker's connections that have no open commands."""
        for connection in list(self._connections.get(worker, ())):
            if not connection.open:
                connection.close()

    def evict_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        idle = [each for each in self._all_connections() if not each.open and each.is_connected]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since_us).close()
        return True

    def forget(self, connection: WorkerConnection) -> None:
        """Remove a closed connection from the pool."""
        worker_connections = self._connections.get(connection.worker, [])
        if connection in worker_connections:
            worker_connections.remove(connection)
            self.connection_count -= 1
            if not worker_connections:
                del self._connections[connection.worker]

    def on_malformed_response(self, connection: WorkerConnection) -> None:
        """Reset a connection on which a malformed response arrived.

        The malformed response still shows that the worker is alive. Commands that were sent on this
        connection may have run, and their responses can't be read any more.
        """
        self.malformed_responses += 1
        connection.fail(Outcome.ERROR)

    def _all_connections(self) -> list[WorkerConnection]:
        return [
            connection
            for worker_connections in self._connections.values()
            for connection in worker_connections
        ]

    def _sweep(self) -> None:
        for connection in self._all_connections():
            if not connection.open and connection.is_connected and self._is_stale(connection):
                connection.close()
