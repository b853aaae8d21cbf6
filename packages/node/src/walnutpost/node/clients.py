"""The listener's side of a node's clients: accepting connections, evicting idle ones, timeouts, the drain."""

from __future__ import annotations

from contextlib import suppress
from functools import partial

from walnutpost import interface as api
from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import AcceptErrorLog, Listener, Logger, Loop, Stream
from walnutpost.node.client_connection import ClientConnection
from walnutpost.node.open_requests import OpenRequests, RequestIdentity

SWEEP_INTERVAL_US = 250_000
NEW_CONNECTION_GRACE_US = 300_000  # in which a new connection may be about to send


class Clients:
    """All client connections of a node; a `ClientContext` for each of them."""

    def __init__(
        self,
        loop: Loop,
        dispatcher: Dispatcher,
        settings: api.Settings,
        classes: tuple[str, ...],
        tenants: tuple[str, ...],
        max_connections: int,
        log: Logger,
    ) -> None:
        """Start with no connections; `classes` are the names of the settings' classes."""
        self.loop = loop
        self.dispatcher = dispatcher
        self.log = log
        self.class_indices = {name: index for index, name in enumerate(classes)}
        self.class_deadlines_us = {
            name: each.deadline_us for name, each in zip(classes, settings.classes, strict=True)
        }
        self.tenants = tenants
        self.requests = OpenRequests()
        self.connections: dict[ClientConnection, None] = {}
        self._max_connections = max_connections
        self.is_shutting_down = False
        self.is_draining = False
        self.invalid_requests = 0
        self.malformed_connections = 0
        self.evicted_connections = 0
        # What the listener's queue holds came after this; None while it is watched and was seen empty.
        self._backlog_since_us: int | None = loop.now()
        self.sweeping = loop.call_every(SWEEP_INTERVAL_US, self._sweep, "sweep of clients")

    def identity(self, caller_id: int) -> RequestIdentity | None:
        """Return what a worker is given of a request; None where no attempt may begin for it any more."""
        return self.requests.identity(caller_id)

    def accept(self, listener: Listener) -> None:
        """Accept connections until the listener is closed (the work of a task)."""
        log = AcceptErrorLog(self.loop, self.log)

        def on_error(error: OSError) -> None:
            self._mark_backlog()
            log(error)

        listener.on_accept_error = on_error
        try:
            while not listener.closed:
                self._accept_one(listener)
        finally:
            self._mark_backlog()

    def _accept_one(self, listener: Listener) -> None:
        try:
            stream = listener.accept_now()
            if stream is None:
                self._backlog_since_us = None
                stream = listener.accept()
        except OSError:  # the listener has counted it, and paused where it is open
            return
        finally:
            self._mark_backlog()
        self.loop.run_guarded("client", partial(self.take, stream))

    def take_queued(self, listener: Listener) -> None:
        """Accept what the kernel has queued, before the listener is closed."""
        with suppress(OSError):  # those that can't be accepted now are lost: the others' answers can't wait
            while (stream := listener.accept_now()) is not None:
                self.loop.run_guarded("client", partial(self.take, stream))

    def _mark_backlog(self) -> None:
        """Note that until the queue is seen empty its connections may have waited since this round's poll."""
        if self._backlog_since_us is None:
            self._backlog_since_us = self.loop.arrived_after()

    def take(self, stream: Stream) -> None:
        """Take a connection from the listener's queue, and what has come on it."""
        if len(self.connections) >= self._max_connections:
            self.evict()
        came_after_us = self._backlog_since_us
        if came_after_us is None:
            came_after_us = self.loop.arrived_after()
        connection = ClientConnection(self, stream, came_after_us, self._on_closed)
        self.connections[connection] = None
        connection.read()

    def _on_closed(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)

    def evict(self) -> bool:
        """Close one idle connection; return False where there is none.

        The oldest that never sent a complete message goes, else the one idle for longest, else one that is
        new, and last one whose client may still be fetching its answers.
        """
        idle = [connection for connection in self.connections if connection.is_idle]
        idle.sort(key=partial(_eviction_order, now_us=self.loop.now()))
        is_evicted = any(connection.close_if_idle() for connection in idle)
        if is_evicted:
            self.evicted_connections += 1
        else:
            self._mark_backlog()  # the listener may have asked, and wait for a descriptor
        return is_evicted

    def _sweep(self) -> None:
        now_us = self.loop.now()
        for connection in list(self.connections):
            self.loop.run_guarded("sweep of clients", partial(connection.check_timeouts, now_us))

    def drain(self) -> None:
        """Close each connection as soon as nothing is open on it, and reject what comes from now on."""
        for connection in list(self.connections):
            connection.read()  # what has come by now is still accepted
        self.is_draining = True
        for connection in list(self.connections):
            connection.close_if_done()


def _eviction_order(connection: ClientConnection, now_us: int) -> tuple[int, int]:
    """Return the sort key of an idle connection: the first is evicted first."""
    if connection.is_lingering:
        rank = 3
    elif connection.has_valid_message:
        rank = 1
    elif now_us - connection.last_used_us < NEW_CONNECTION_GRACE_US:
        rank = 2
    else:
        rank = 0
    return rank, connection.last_used_us
