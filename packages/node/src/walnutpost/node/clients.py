"""The listener and client connections: what one connection may take, and what it gets."""

from __future__ import annotations

from functools import partial
from typing import Any

from walnutpost import interface as api
from walnutpost.core import Core
from walnutpost.gateway import CallArrived, Failed, Final, Function, Refused, Served
from walnutpost.loop import Listener, Loop, Stream
from walnutpost.node import rpc
from walnutpost.node.pool import Identity

OPEN_MOST = 32  # requests on one connection
OUT_MOST = 1 << 20  # bytes of answers that a client hasn't fetched
SILENT_US = 2_000_000  # until a connection without a whole message is closed
STRANGER_US = 300_000  # in which a new connection may be about to send
SWEEP_US = 250_000
PATIENCE = 8  # requests of no use on one connection, after which it is read more slowly
PAUSE_US = 200_000
USELESS_MOST = 256  # beside requests that are open: then nothing more is taken there
FIRST_NUMBER = 1  # of a connection's requests: ids go up from there
TAKEN_BACK_MOST = 64  # requests taken back before they came
LINGER_US = 500_000  # for a client to fetch its answers while what it sends is thrown away
ACCEPT_PAUSE_US = 20_000  # after an error that nobody expected of the listener


class Clients:
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
        self.loop = loop
        self.core = core
        self.log = log
        self.classes = {name: i for i, name in enumerate(classes)}
        self.waits = {name: cls.deadline for name, cls in zip(classes, settings.classes, strict=True)}
        self.tenants = tenants
        self.identities: dict[int, Identity] = {}  # by ticket, as a worker gets them
        self.open_ids: set[bytes] = set()  # those of identities
        self.connections: dict[Connection, None] = {}
        self._most = connections
        self.draining = False  # told to end: serves on, but is not ready for more
        self.ending = False  # takes nothing new
        self.bad = self.turned_away = self.unreadable = 0
        self.sweeping = loop.every(SWEEP_US, self._sweep, "sweep of clients")

    def identity(self, ticket: int) -> Identity | None:
        """None once its client has left or has been answered."""
        return self.identities.get(ticket)

    def accept(self, listener: Listener) -> None:
        """A task: takes connections until the listener is closed."""
        while not listener.closed:
            try:
                self.take(listener.accept())
            except OSError as error:  # costs the connection that it came on, not all that follow
                self.log.info("accept", why=repr(error))
                self.loop.sleep(ACCEPT_PAUSE_US)

    def take(self, stream: Stream) -> None:
        if len(self.connections) >= self._most:
            self.make_room()
        self.connections[Connection(self, stream)] = None

    def make_room(self) -> bool:
        """Closes one connection that owes nothing; False where there is none. The oldest that never sent a
        whole message goes, else the one idle for longest, else one that has hardly come."""
        now = self.loop.now()

        def worth(c: Connection) -> tuple[int, int]:
            return (1 if c.known else 2 if now - c.used_us < STRANGER_US else 0), c.used_us

        idle = sorted((c for c in self.connections if c.idle), key=worth)
        made = any(c.close_if_idle() for c in idle)
        self.turned_away += made
        return made

    def _sweep(self) -> None:
        now = self.loop.now()
        for connection in list(self.connections):
            connection.look(now)

    def end(self) -> None:
        """From now on a connection is closed as soon as nothing is open on it, and what comes is refused."""
        for connection in list(self.connections):
            connection.read()  # what has come by now is still taken
        self.ending = True
        for connection in list(self.connections):
            connection.close_if_done()


class Connection:
    def __init__(self, clients: Clients, stream: Stream) -> None:
        self._clients = clients
        self._loop = clients.loop
        self._stream = stream
        self._reader = rpc.Reader(clients.waits, clients.tenants)
        self._out: list[bytes] = []
        self._rest = b""
        self._flushing = False
        self._last = -1
        self._useless = 0
        self._deaf = False  # what comes can't be followed, or is too much: it is thrown away
        self._lingers = False
        self._taken_back: set[int] = set()  # numbers of requests that have not come yet
        self._partial_since_us: int | None = None  # since when a message has been incomplete
        self.open: dict[int, int] = {}  # message id -> ticket
        self.known = False
        self.used_us = self._loop.now()
        self._opened_us = self.used_us
        stream.on_readable(self.read)

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

    def read(self) -> None:
        """Takes what has come, if anything has."""
        try:
            self._read()
        except Exception:  # costs this connection at the most; the loop tells of it
            self.close()
            raise

    def _read(self) -> None:
        if self._stream.closed:
            return
        try:
            data = self._stream.recv_now(rpc.READ_MOST)
        except OSError:
            return self.close()
        # An end that has come behind these bytes says that their client has gone: nothing begins for it.
        if data == b"" or (data and len(data) < rpc.READ_MOST and self._stream.ended()):
            return self.close()
        if data and not self._deaf:
            useless = self._useless
            messages, wrong = self._reader.feed(data)
            for message in messages:
                if isinstance(message, rpc.Interrupt):
                    ahead = [n for n in (*self._taken_back, *message.numbers) if n > self._last]
                    self._taken_back = set(ahead[-TAKEN_BACK_MOST:])
            for message in messages:
                self._take(message)
                if self._deaf or self._stream.closed:
                    break
            if wrong is not None and not self._deaf:
                self._clients.unreadable += 1
                self._stop_listening()
            self._partial_since_us = (
                (self._partial_since_us or self._loop.now()) if self._reader.partial else None
            )
            if self._useless > useless and self._useless > PATIENCE and not self._deaf:
                if not self.open:  # else its leaving would be seen late
                    self._loop.call_later(PAUSE_US, self._listen)
                    return None
                if self._useless > USELESS_MOST:
                    self._stop_listening()
        self._listen()
        return None

    def _listen(self) -> None:
        if not self._stream.closed:
            self._stream.on_readable(self.read)

    def _stop_listening(self) -> None:
        """What was asked here before is still answered; what comes now is not looked at, but its end is."""
        self._deaf = True
        self._partial_since_us = None
        self.close_if_done()

    def _take(self, message: rpc.Incoming) -> None:
        self.used_us = self._loop.now()
        match message:
            case rpc.Call(number) if number in self._taken_back and number > self._last:
                self._taken_back.discard(number)
                self._last = number  # nobody asks any more
                self._useless += 1
            case rpc.Call():
                self._call(message)
            case rpc.Interrupt(numbers):
                self.known = True
                for number in numbers:
                    self._leave(number)
            case rpc.Check(number):
                self.known = True
                self.write(rpc.checked(number, not self._clients.draining))
            case rpc.Bad(number, reason):
                self._bad(number, reason)

    def _bad(self, number: int, reason: str) -> None:
        self._useless += 1
        self._clients.bad += 1
        if self._clients.bad <= 20:
            self._clients.log.info("unusable request", why=reason)
        self._last = max(self._last, number)
        if number in self.open:
            return self._twice(number)
        self.write(rpc.failed(number, reason))
        return None

    def _twice(self, number: int) -> None:
        """An answer under a number that stands for two requests could be taken for the other's: it gets none,
        and the connection ends once the others have theirs."""
        self._leave(number)
        self._stop_listening()

    def _leave(self, number: int) -> None:
        ticket = self.open.pop(number, None)
        if ticket is not None:
            self._forget(ticket)
            self._clients.core.leave(ticket)

    def _call(self, call: rpc.Call) -> None:
        clients = self._clients
        if call.number <= self._last:
            clients.bad += 1
            return self._twice(call.number)
        if self._last < 0 and not self.known and call.number > FIRST_NUMBER:  # copied from someone's request
            return self._bad(call.number, f"message id: found {call.number}, wanted {FIRST_NUMBER} first")
        self._last = call.number
        rid = call.rid.encode()
        if rid in clients.open_ids:
            return self._bad(call.number, "rid: this request is open already")
        if len(self.open) >= OPEN_MOST or len(self._rest) > OUT_MOST // 4 or clients.ending:
            self._useless += 1
            self.write(rpc.refused(call.number))
            return None
        self.known = True
        ticket = clients.core.ticket()
        self.open[call.number] = ticket
        clients.identities[ticket] = rid, call.cls, call.repeat_key
        clients.open_ids.add(rid)
        function = Function(
            call.function,
            clients.classes[call.cls],
            call.memory_mb,
            call.lanes,
            call.load_time,
            call.cost,
        )
        arrived = CallArrived(
            ticket, call.function, call.body, call.budget, call.tenant, "", call.again, of=function
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
        self._rest += b"".join(self._out)
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
            self.close_if_done()
        return None

    def close_if_done(self) -> None:
        if not self.idle:
            return
        if self._deaf:
            self._linger()
        elif self._clients.ending:
            self.close_if_idle()

    def _linger(self) -> None:
        """Ends its own side first: a close on bytes that nobody reads would reset the connection, and take
        away answers that the client has not fetched yet."""
        if not self._lingers:
            self._lingers = True
            try:
                self._stream.end_writing()
            except OSError:
                return self.close()
            self._loop.call_later(LINGER_US, self.close)
        return None

    def close_if_idle(self) -> bool:
        """Closes it unless something has come that is still to be read: a request that the kernel has taken
        is taken, and closing on it would lose it."""
        if not self._deaf and self._stream.stale() and not self._stream.ended():
            self.read()
            return False
        self.close()
        return True

    def close(self) -> None:
        if self._stream.closed:
            return
        self._stream.close()
        self._clients.connections.pop(self, None)
        tickets, self.open = list(self.open.values()), {}
        for ticket in tickets:
            self._forget(ticket)
            self._clients.core.leave(ticket)
