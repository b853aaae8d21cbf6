"""The listener and client connections: what one connection may take, and what it gets."""

from __future__ import annotations

from functools import partial
from typing import Any

from walnutpost import interface as api
from walnutpost.core import Core
from walnutpost.gateway import CallArrived, Failed, Final, Function, Refused, Served
from walnutpost.loop import Listener, Loop, Stream
from walnutpost.node import rpc

OPEN_MOST = 32  # requests on one connection
OUT_MOST = 1 << 20  # bytes of answers that a client hasn't fetched
SILENT_US = 2_000_000  # until a connection without a whole message is closed
STRANGER_US = 300_000  # in which a new connection may be about to send
SWEEP_US = 250_000
PATIENCE = 8  # requests of no use on one connection, after which it is read more slowly
PAUSE_US = 200_000


class Clients:
    def __init__(
        self,
        loop: Loop,
        core: Core,
        settings: api.Settings,
        classes: tuple[str, ...],
        connections: int,
        log: Any,
    ) -> None:
        self.loop = loop
        self.core = core
        self.log = log
        self.classes = {name: i for i, name in enumerate(classes)}
        self.waits = {name: cls.deadline for name, cls in zip(classes, settings.classes, strict=True)}
        self.identities: dict[int, tuple[bytes, str]] = {}  # by ticket: id and class, as a worker gets them
        self.open_ids: set[bytes] = set()  # those of identities
        self.connections: dict[Connection, None] = {}
        self._most = connections
        self.ending = False
        self.bad = self.turned_away = self.unreadable = 0
        loop.call_later(SWEEP_US, self._sweep)

    def identity(self, ticket: int) -> tuple[bytes, str]:
        return self.identities[ticket]

    def accept(self, listener: Listener) -> None:
        """A task: takes connections until the listener is closed."""
        while True:
            stream = listener.accept()
            if len(self.connections) >= self._most:
                self._make_room()
            self.connections[Connection(self, stream)] = None

    def _make_room(self) -> None:
        """The oldest connection that never sent a whole message goes, else the one idle for longest, else one
        that has hardly come. Where all have something open, there is one connection more."""
        now = self.loop.now()

        def worth(c: Connection) -> tuple[int, int]:
            return (1 if c.known else 2 if now - c.used_us < STRANGER_US else 0), c.used_us

        idle = sorted((c for c in self.connections if c.idle), key=worth)
        self.turned_away += any(c.close_if_idle() for c in idle)

    def _sweep(self) -> None:
        now = self.loop.now()
        for connection in list(self.connections):
            connection.look(now)
        self.loop.call_later(SWEEP_US, self._sweep)

    def end(self) -> None:
        """From now on a connection is closed as soon as nothing is open on it."""
        self.ending = True
        for connection in list(self.connections):
            connection.close_if_done()


class Connection:
    def __init__(self, clients: Clients, stream: Stream) -> None:
        self._clients = clients
        self._loop = clients.loop
        self._stream = stream
        self._reader = rpc.Reader(clients.waits)
        self._out: list[bytes] = []
        self._rest = b""
        self._flushing = False
        self._last = -1
        self._useless = 0
        self._partial_since_us: int | None = None  # since when a message has been incomplete
        self.open: dict[int, int] = {}  # message id -> ticket
        self.known = False
        self.used_us = self._loop.now()
        self._opened_us = self.used_us
        stream.on_readable(self._readable)

    @property
    def idle(self) -> bool:
        """Nothing is owed here, nor still to leave."""
        return not (self.open or self._out or self._rest)

    def look(self, now: int) -> None:
        """Guards against clients that connect and say nothing, or stop within a message."""
        since = self._opened_us if not self.known else self._partial_since_us
        if since is not None and now - since >= SILENT_US and self.idle:
            self.close_if_idle()

    # In

    def _readable(self) -> None:
        if self._stream.closed:
            return
        try:
            data = self._stream.recv_now(rpc.READ_MOST)
        except OSError:
            return self.close()
        if data == b"":
            return self.close()
        if data:
            useless = self._useless
            messages, wrong = self._reader.feed(data)
            back = {n for message in messages if isinstance(message, rpc.Interrupt) for n in message.numbers}
            for message in messages:
                if isinstance(message, rpc.Call) and message.number in back and message.number > self._last:
                    self._last = message.number  # taken back before it was read: nobody asked
                    self._useless += 1
                    continue
                self._take(message)
                if self._stream.closed:
                    return None
            if wrong is not None:
                self._clients.unreadable += 1
                return self._close_after_answers()
            self._partial_since_us = (
                (self._partial_since_us or self._loop.now()) if self._reader.partial else None
            )
            if self._useless > useless and self._useless > PATIENCE:
                self._loop.call_later(PAUSE_US, self._listen)
                return None
        self._listen()
        return None

    def _listen(self) -> None:
        if not self._stream.closed and len(self._rest) < OUT_MOST // 4:
            self._stream.on_readable(self._readable)

    def _take(self, message: rpc.Incoming) -> None:
        self.used_us = self._loop.now()
        match message:
            case rpc.Call():
                self._call(message)
            case rpc.Interrupt(numbers):
                self.known = True
                for number in numbers:
                    ticket = self.open.pop(number, None)
                    if ticket is not None:
                        self._forget(ticket)
                        self._clients.core.leave(ticket)
            case rpc.Check(number):
                self.known = True
                self.write(rpc.checked(number, not self._clients.ending))
            case rpc.Bad(number, reason):
                self._bad(number, reason)

    def _bad(self, number: int, reason: str) -> None:
        self._useless += 1
        self._clients.bad += 1
        if self._clients.bad <= 20:
            self._clients.log.info("unusable request", why=reason)
        self._last = max(self._last, number)
        if number in self.open:  # an answer under this number would be taken for the other's
            return self.close()
        self.write(rpc.failed(number, reason))
        return None

    def _call(self, call: rpc.Call) -> None:
        clients = self._clients
        if call.number <= self._last:
            clients.bad += 1
            return self.close()
        self._last = call.number
        rid = call.rid.encode()
        if rid in clients.open_ids:
            return self._bad(call.number, "rid: this request is open already")
        if len(self.open) >= OPEN_MOST:
            self._useless += 1
            self.write(rpc.refused(call.number))
            return None
        self.known = True
        ticket = clients.core.ticket()
        self.open[call.number] = ticket
        clients.identities[ticket] = rid, call.cls
        clients.open_ids.add(rid)
        function = Function(
            call.function, clients.classes[call.cls], call.memory_mb, call.lanes, call.load_time
        )
        arrived = CallArrived(
            ticket, call.function, call.body, call.budget, None, "", call.again, of=function
        )
        clients.core.arrive(arrived, partial(self._answered, call.number, ticket))
        return None

    def _forget(self, ticket: int) -> None:
        known = self._clients.identities.pop(ticket, None)
        if known is not None:
            self._clients.open_ids.discard(known[0])

    # Out

    def _answered(self, number: int, ticket: int, final: Final) -> None:
        self._forget(ticket)
        if self.open.pop(number, None) is None:
            return
        match final:
            case Served(payload):
                self.write(rpc.served(number, payload))
            case Refused(_, retry_after):
                self.write(rpc.refused(number, retry_after))
            case Failed():
                self.write(rpc.failed(number))

    def write(self, data: bytes) -> None:
        self._out.append(data)
        if not self._flushing and not self._rest:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self._stream.closed:
            return
        held, self._rest = self._rest, self._rest + b"".join(self._out)
        self._out.clear()
        try:
            if self._rest:
                self._rest = self._stream.send_now(self._rest)
        except OSError:
            return self.close()
        if len(self._rest) > OUT_MOST:
            return self.close()
        if self._rest:
            self._stream.on_writable(self._flush)
        else:
            if held:
                self._listen()
            self.close_if_done()
        return None

    def close_if_done(self) -> None:
        if self._clients.ending and self.idle:
            self.close_if_idle()

    def close_if_idle(self) -> bool:
        """Closes it unless something has come that is still to be read: a request that the kernel has taken
        is taken, and closing on it would lose it."""
        if self._stream.stale() and not self._stream.ended():
            self._readable()
            return False
        self.close()
        return True

    def _close_after_answers(self) -> None:
        """What was answered before the line became unreadable still leaves."""
        self._flush()
        self.close()

    def close(self) -> None:
        if self._stream.closed:
            return
        self._stream.close()
        self._clients.connections.pop(self, None)
        tickets, self.open = list(self.open.values()), {}
        for ticket in tickets:
            self._forget(ticket)
            self._clients.core.leave(ticket)
