"""Manages the client connections of a node: accepting, evicting idle ones, timeouts and draining."""

from __future__ import annotations

from contextlib import suppress
from enum import IntEnum
from functools import partial

from walnutpost import interface as api
from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import AcceptErrorLog, Listener, Logger, Loop, Stream
from walnutpost.node.client_connection import ClientConnection
from walnutpost.node.client_limits import ClientLimits
from walnutpost.node.client_turns import ClientTurns
from walnutpost.node.memory_budget import MemoryBudget
from walnutpost.node.open_requests import OpenRequests

MAX_ACCEPTS_PER_ROUND = 8  # other connections get their turns in between
MAX_ACCEPT_US = 2_000  # processor time in a round
EVICTION_RETRY_US = 10_000  # after no connection could be evicted
MAX_DRAIN_READ_US = 100_000  # processor time for the last requests, when draining begins
MAX_EVICTIONS = 16  # at once, of connections that never sent a message
MIN_RECLAIM_AGE_US = 100_000  # an incomplete message or an unread answer is part of the usual traffic so long
RECLAIM_INTERVAL_US = 10_000
SWEEP_INTERVAL_US = 250_000
NEW_CONNECTION_GRACE_US = 300_000  # during which a new connection may be about to send its first message


class Clients:
    """Owns all client connections of a node, and is their `ClientContext`."""

    def __init__(
        self,
        loop: Loop,
        dispatcher: Dispatcher,
        requests: OpenRequests,
        settings: api.Settings,
        classes: tuple[str, ...],
        tenants: tuple[str, ...],
        limits: ClientLimits,
        log: Logger,
    ) -> None:
        """`classes` are the names of the classes in the settings, in the same order."""
        self.loop = loop
        self.dispatcher = dispatcher
        self.log = log
        self.class_indices = {name: index for index, name in enumerate(classes)}
        self.class_deadlines_us = {
            name: each.deadline_us for name, each in zip(classes, settings.classes, strict=True)
        }
        self.tenants = tenants
        self.requests = requests
        self.turns = ClientTurns(loop)
        self.connections: dict[ClientConnection, None] = {}
        self._max_connections = limits.max_connections
        self._max_open_requests = limits.max_open_requests
        # Separate, so that input for which there is no room can't keep requests out.
        self.request_memory = MemoryBudget(limits.memory_bytes // 2)
        self.buffer_memory = MemoryBudget(limits.memory_bytes // 2)
        self.is_shutting_down = False
        self.is_draining = False
        self.invalid_requests = 0
        self.malformed_connections = 0
        self.overflowed_connections = 0
        self.reclaimed_connections = 0
        self._reclaimed_us = 0
        self.rejected_for_memory = 0
        self.repeated_ids = 0
        self.evicted_connections = 0
        # Connections in the listener's queue arrived after this time; None while the listener is watched and
        # its queue was last seen empty.
        self._backlog_since_us: int | None = loop.now()
        self.periodic_sweep = loop.call_every(SWEEP_INTERVAL_US, self._sweep, "sweep of clients")

    def accept(self, listener: Listener) -> None:
        """Accept connections until the listener is closed; must run in a task."""
        log_accept_error = AcceptErrorLog(self.loop, self.log)

        def on_error(error: OSError) -> None:
            self._mark_backlog()
            log_accept_error(error)

        listener.on_accept_error = on_error
        try:
            while not listener.closed:
                self._accept_some(listener)
                self.loop.wait_for_next_round()
                while self._is_full and not self.evict():
                    self.loop.sleep(EVICTION_RETRY_US)
        finally:
            self._mark_backlog()

    def _accept_some(self, listener: Listener) -> None:
        end_us = self.loop.processor_time() + MAX_ACCEPT_US
        for _ in range(MAX_ACCEPTS_PER_ROUND):
            self._accept_one(listener)
            if self.loop.processor_time() >= end_us:
                return

    @property
    def _is_full(self) -> bool:
        return len(self.connections) >= self._max_connections

    def _accept_one(self, listener: Listener) -> None:
        try:
            stream = listener.accept_now()
            if stream is None:
                self._backlog_since_us = None
                stream = listener.accept()
        except OSError:  # the listener has counted the error, and has paused if it is still open
            return
        finally:
            self._mark_backlog()
        self.loop.run_guarded("client", partial(self.add_connection, stream))

    def accept_queued(self, listener: Listener) -> None:
        """Accept the connections that the kernel has queued; call this before closing the listener.

        Evictions end with the first that finds nothing to close: looking again for each connection of a crowd
        would take the time that is left for the answers on other connections.
        """
        may_evict = True
        # After an error the rest of the queue is lost: answers on other connections can't wait for a retry.
        with suppress(OSError):
            while (stream := listener.accept_now()) is not None:
                if self._is_full and may_evict:
                    may_evict = self.evict()
                self.loop.run_guarded("client", partial(self._add, stream))

    def _mark_backlog(self) -> None:
        """Record that connections in the queue may have waited since this round's poll.

        This holds until the queue is found empty.
        """
        if self._backlog_since_us is None:
            self._backlog_since_us = self.loop.arrived_after()

    def add_connection(self, stream: Stream) -> None:
        """Add a connection from the listener's queue, and read what has arrived on it."""
        if self._is_full:
            self.evict()
        self._add(stream)

    def _add(self, stream: Stream) -> None:
        arrived_after_us = self._backlog_since_us
        if arrived_after_us is None:
            arrived_after_us = self.loop.arrived_after()
        connection = ClientConnection(self, stream, arrived_after_us, self._on_closed)
        self.connections[connection] = None
        connection.read_first()

    def _on_closed(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)

    def evict(self) -> bool:
        """Close idle connections, at least one; return False if there is none.

        The order of preference is: the oldest connections that never sent a complete message, the connection
        that has been idle longest, a new connection, and a lingering connection, whose client may still be
        reading its answers. Of the first kind several are closed at once, because looking for them takes
        time for each connection, and an abusive client may open many.
        """
        now_us = self.loop.now()
        idle = [
            (_eviction_order(connection, now_us), connection)
            for connection in self.connections
            if connection.is_idle
        ]
        idle.sort(key=lambda candidate: candidate[0])
        evicted = 0
        for (rank, _), connection in idle:
            if evicted >= (MAX_EVICTIONS if rank in (EvictionRank.SILENT, EvictionRank.NEW) else 1):
                break
            evicted += connection.close_if_idle()
        self.evicted_connections += evicted
        if not evicted:
            self._mark_backlog()  # the listener may have called this, and then waits for a file descriptor
        return evicted > 0

    @property
    def may_open_request(self) -> bool:
        """Whether the node may have another request open."""
        return len(self.requests) < self._max_open_requests

    def reclaim_memory(self) -> None:
        """End connections that hold memory of which their clients make no use, until enough is free.

        Those that hold it longest come first.
        """
        now_us = self.loop.now()
        if now_us - self._reclaimed_us < RECLAIM_INTERVAL_US:
            return
        self._reclaimed_us = now_us
        min_age_us = MIN_RECLAIM_AGE_US if self.buffer_memory.free_bytes > 0 else 0
        candidates = [
            (since_us, connection)
            for connection in self.connections
            if (since_us := connection.unused_memory_since_us) is not None and now_us - since_us >= min_age_us
        ]
        candidates.sort(key=lambda candidate: candidate[0])
        for _, connection in candidates:
            if not self.buffer_memory.is_short:
                return
            self.reclaimed_connections += 1
            self.loop.run_guarded("client", connection.reclaim_memory)

    def _sweep(self) -> None:
        now_us = self.loop.now()
        for connection in list(self.connections):
            self.loop.run_guarded("sweep of clients", partial(connection.check_timeouts, now_us))

    def drain(self) -> None:
        """Close each connection once it is idle, and reject requests that arrive from now on.

        Requests that have arrived by now are still accepted, unless reading them takes too long. Connections
        that have used little processor time are read first.
        """
        end_us = self.loop.processor_time() + MAX_DRAIN_READ_US
        for connection in sorted(self.connections, key=lambda connection: connection.turn_due_us):
            connection.read()
            if self.loop.processor_time() >= end_us:
                break
        self.is_draining = True
        for connection in list(self.connections):
            connection.close_if_done()


class EvictionRank(IntEnum):
    """Kinds of idle connections; the lowest are evicted first."""

    SILENT = 0
    UNUSED = 1
    NEW = 2
    LINGERING = 3


def _eviction_order(connection: ClientConnection, now_us: int) -> tuple[EvictionRank, int]:
    """Return the sort key of an idle connection."""
    if connection.is_lingering:
        rank = EvictionRank.LINGERING
    elif connection.has_valid_message:
        rank = EvictionRank.UNUSED
    elif now_us - connection.last_used_us < NEW_CONNECTION_GRACE_US:
        rank = EvictionRank.NEW
    else:
        rank = EvictionRank.SILENT
    return rank, connection.last_used_us
