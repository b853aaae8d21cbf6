"""One connection to a worker: commands out, answers in, and what its end means for what is open on it."""

from __future__ import annotations

import errno
import socket
from collections import deque
from typing import TYPE_CHECKING

from walnutpost.interface import Outcome
from walnutpost.loop import Stream
from walnutpost.loop.sockets import opening
from walnutpost.node import resp
from walnutpost.node.directory import Address
from walnutpost.node.exchange import Exchange

if TYPE_CHECKING:
    from walnutpost.node.pool import WorkerPool

MOVES_MOST = 3  # to other connections, of what can't have run, or harms nothing twice
PAST_MOST = 256  # ids that a connection remembers as ended


class WorkerConnection:
    """One connection; what is to be written is kept until the end of the round, or until it is up."""

    def __init__(self, workers: WorkerPool, worker: str, address: Address) -> None:
        self.worker = worker
        self._workers = workers
        self._loop = workers.loop
        self.open: dict[bytes, Exchange] = {}
        self.past: dict[bytes, None] = {}
        self.connected = False
        self.reached = False  # somebody took the connection, whatever became of it
        self.retired = False  # takes nothing new
        self.closed = False
        self.heard_us = 0
        self.idle_since_us = self._loop.now()
        self._reader = resp.Reader(workers.limits.report_fields)
        self._out: deque[tuple[bytes, Exchange | None]] = deque()  # no byte of these has left
        self._rest = b""  # what is left of a command that has begun to leave
        self._waits = False  # a flush is due at the end of this round, or once the kernel takes bytes again
        self._sock, code = opening(address)
        self.stream = Stream(self._loop, self._sock)
        self._dial = self._loop.call_later(workers.limits.dial_timeout_us, self.break_off)
        if code not in (0, errno.EINPROGRESS):
            self._loop.call_soon(self.break_off)
        else:
            self.stream.on_writable(self._dialled)

    def _dialled(self) -> None:
        if self.closed:
            return
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.reached = error in (0, errno.ECONNRESET)
        if error:
            return self.break_off()
        self._dial.cancel()
        self.connected = True
        self.idle_since_us = self._loop.now()
        self.stream.on_readable(self._readable)
        self._flush()

    # Out

    def write(self, command: bytes, exchange: Exchange | None) -> None:
        self._out.append((command, exchange))
        if self.connected and not self._waits:
            self._waits = True
            self._loop.call_soon(self._flush)

    def withdraw(self, exchange: Exchange) -> bool:
        """Takes back what has not begun to leave; False if it has, or isn't here."""
        for entry in self._out:
            if entry[1] is exchange:
                self._out.remove(entry)
                self.open.pop(exchange.id, None)
                self._emptied_now()
                return True
        return False

    def _flush(self) -> None:
        """The one place where a command's first byte leaves, and so the one where it is asked whether what
        was decided still holds. What doesn't any more goes back to the Router as never run."""
        self._waits = False
        if self.closed or not self.connected:
            return
        now = self._loop.now()
        for exchange in [e for _, e in self._out if e is not None and not e.may_begin(now)]:
            self._take_back(exchange)
        if self.closed:
            return
        data = self._rest + b"".join(command for command, _ in self._out)
        if not data:
            return
        try:
            taken = len(data) - len(self.stream.send_now(data))
        except OSError:
            return self.break_off()
        if taken < len(self._rest):
            self._rest = self._rest[taken:]
        else:
            taken -= len(self._rest)
            self._rest = b""
            while taken > 0:
                command, begun = self._out.popleft()
                if begun is not None:
                    begun.written = True
                self._rest = command[taken:]
                taken -= len(command)
        if self._rest or self._out:
            self._waits = True
            self.stream.on_writable(self._flush)

    def _take_back(self, exchange: Exchange) -> None:
        """Ends it as never run, after this round: what follows may be sent on this very connection."""
        if self.withdraw(exchange):
            exchange.connection = None
            self._loop.call_soon(lambda: exchange.finish(Outcome.MOOT))

    # In

    def _readable(self) -> None:
        try:
            self._read()
        except Exception:  # costs this connection at the most; the loop tells of it
            self.break_off()
            raise

    def _read(self) -> None:
        if self.closed:
            return
        try:
            data = self.stream.recv_now()
        except OSError:
            return self.break_off()
        if data == b"":
            return self.break_off()
        if data:
            self.heard_us = self._loop.now()
            answers, spoilt = self._reader.feed(data)
            for answer in answers:
                exchange = self.open.get(answer.id)
                # An id that isn't open is one given up, a second copy, or somebody's mistake: not ours. Nor
                # is an answer to what hasn't left.
                if exchange is not None and exchange.written:
                    self.release(exchange)
                    exchange.finish(answer.outcome, answer)
            if spoilt is not None:
                return self._workers.spoilt(self)
        if not self.closed:
            self.stream.on_readable(self._readable)

    @property
    def ended(self) -> bool:
        """Whether it has ended, also where that has come and isn't read yet: a call written into it would
        count as one that may have run. Reads what has come, where nothing is open that it could concern."""
        if self.connected and not self.closed:
            if self.open:
                return self.stream.ended()
            if self.stream.stale():
                self._readable()
        return self.closed

    # Ends

    def release(self, exchange: Exchange) -> None:
        """It is owed nothing by this connection any more."""
        if self.open.pop(exchange.id, None) is None:
            return
        self.past[exchange.id] = None
        if len(self.past) > PAST_MOST:
            del self.past[next(iter(self.past))]
        self._emptied_now()

    def _emptied_now(self) -> None:
        if not self.open:
            self.idle_since_us = self._loop.now()
            if self.retired:
                self.close()

    def retire(self) -> None:
        """Its worker has gone, or its address is another's by now: what has not begun doesn't begin there,
        and what has is left to end by itself."""
        self.retired = True
        for exchange in [e for _, e in self._out if e is not None]:
            self._take_back(exchange)
        if not self.open:
            self.close()

    def break_off(self, outcome: Outcome = Outcome.RESET) -> None:
        """The connection has ended: what was written may have run, what was not can't have. One connection
        may break by itself, and then others with it: what can be sent again goes out on a new one, so that
        only a worker that takes none is told to have failed. `outcome` is that of what may have run."""
        if self.closed:
            return
        waiting = list(self.open.values())
        self.open.clear()
        self.close()
        for exchange in waiting:
            if self.reached and exchange.moves < MOVES_MOST and (exchange.harmless or not exchange.written):
                exchange.moves += 1
                exchange.written = False
                self._workers.place(self.worker, exchange, fresh=True)
            else:
                exchange.finish(outcome if exchange.written else Outcome.CONNECT_FAILED)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._dial.cancel()
            self.stream.close()
            self._workers.drop(self)
