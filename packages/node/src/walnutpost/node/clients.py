"""The listener's side of a node's clients: accepting connections, making room, timeouts, and the end."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from typing import Any

from walnutpost import interface as api
from walnutpost.dispatch import Core
from walnutpost.eventloop import AcceptErrorLog, Listener, Loop, Stream
from walnutpost.node.client_connection import Connection
from walnutpost.node.open_requests import OpenRequests
from walnutpost.node.pool import Identity

SWEEP_INTERVAL_US = 250_000
NEW_CONNECTION_GRACE_US = 300_000  # in which a new connection may be about to send


class Clients:
    """All client connections of a node; a `ClientContext` for each of them."""

    def __init__(
        self,
        loop: Loop,
        core: Core,
        settings: api.Settings,
        classes: tuple[str, ...],
        tenants: tuple[str, ...],
        connections: int,
        log: Any,
    ) -> None:
        """`connections`: as many at once at the most."""
        self.loop = loop
        self.core = core
        self.log = log
        self.class_indices = {name: index for index, name in enumerate(classes)}
        self.class_deadlines_us = {
            name: cls.deadline_us for name, cls in zip(classes, settings.classes, strict=True)
        }
        self.tenants = tenants
        self.requests = OpenRequests()
        self.connections: dict[Connection, None] = {}
        self._connections_most = connections
        self.draining = False
        self.ending = False
        self.bad = 0
        self.unreadable = 0
        self.turned_away = 0
        # What the listener's queue holds came after this; None while it is watched and was seen empty.
        self._backlog_since_us: int | None = loop.now()
        self.sweeping = loop.every(SWEEP_INTERVAL_US, self._sweep, "sweep of clients")

    def identity(self, ticket: int) -> Identity | None:
        """What a worker is told of a request; None where no attempt may begin for it any more."""
        return self.requests.identity(ticket)

    def accept(self, listener: Listener) -> None:
        """A task: takes connections until the listener is closed."""
        log = AcceptErrorLog(self.loop, self.log)

        def failed(error: OSError) -> None:
            self._backlog_begins()
            log(error)

        listener.on_accept_error = failed
        try:
            while not listener.closed:
                self._accept_one(listener)
        finally:
            self._backlog_begins()

    def _accept_one(self, listener: Listener) -> None:
        try:
            stream = listener.accept_now()
            if stream is None:
                self._backlog_since_us = None
                stream = listener.accept()
        except OSError:  # the listener has counted it, and paused where it is open
            return
        finally:
            self._backlog_begins()
        self.loop.guarded("client", partial(self.take, stream))

    def take_queued(self, listener: Listener) -> None:
        """Takes what the kernel has taken already, before the listener is closed."""
        with suppress(OSError):  # those that can't be had now are lost: the others' answers can't wait
            while (stream := listener.accept_now()) is not None:
                self.loop.guarded("client", partial(self.take, stream))

    def _backlog_begins(self) -> None:
        """From here until the queue is seen empty its connections may have waited since this round's poll."""
        if self._backlog_since_us is None:
            self._backlog_since_us = self.loop.arrived_after()

    def take(self, stream: Stream) -> None:
        """Takes a connection from the listener's queue, and what has come on it."""
        if len(self.connections) >= self._connections_most:
            self.make_room()
        since_us = self._backlog_since_us
        if since_us is None:
            since_us = self.loop.arrived_after()
        connection = Connection(self, stream, since_us, self._closed)
        self.connections[connection] = None
        connection.read()

    def _closed(self, connection: Connection) -> None:
        self.connections.pop(connection, None)

    def make_room(self) -> bool:
        """Closes one connection that owes nothing; False where there is none. The oldest that never sent a
        whole message goes, else the one idle for longest, else one that has hardly come, and last one whose
        client may still be fetching its answers."""
        idle = [connection for connection in self.connections if connection.idle]
        idle.sort(key=partial(_eviction_order, now=self.loop.now()))
        made = any(connection.close_if_idle() for connection in idle)
        if not made:
            self._backlog_begins()  # the listener may have asked, and wait for a descriptor
        self.turned_away += made
        return made

    def _sweep(self) -> None:
        now = self.loop.now()
        for connection in list(self.connections):
            self.loop.guarded("sweep of clients", partial(connection.check_timeouts, now))

    def end(self) -> None:
        """From now on a connection is closed as soon as nothing is open on it, and what comes is refused."""
        for connection in list(self.connections):
            connection.read()  # what has come by now is still taken
        self.ending = True
        for connection in list(self.connections):
            connection.close_if_done()


def _eviction_order(connection: Connection, now: int) -> tuple[int, int]:
    """Sorts idle connections: the first is the first to be closed for room."""
    if connection.lingers:
        rank = 3
    elif connection.known:
        rank = 1
    elif now - connection.used_us < NEW_CONNECTION_GRACE_US:
        rank = 2
    else:
        rank = 0
    return rank, connection.used_us
