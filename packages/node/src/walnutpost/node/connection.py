"""One connection to a worker: commands out, answers in, and what its end means for what is open on it."""

from __future__ import annotations

import errno
import socket
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
    """One connection; what is to be written is kept until the end of the round."""

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
        self._out: list[tuple[bytes, Exchange | None]] = []
        self._rest = b""
        self._flushing = False
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
        self.stream.on_readable(self._readable)
        self._flush()

    def write(self, command: bytes, sent: Exchange | None) -> None:
        self._out.append((command, sent))
        if self.connected and not self._flushing and not self._rest:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self.closed or not self.connected:
            return
        data = self._rest + b"".join(command for command, _ in self._out)
        if not data:
            return
        try:
            rest = self.stream.send_now(data)
        except OSError:
            return self.break_off()
        if len(rest) < len(data):
            for _, sent in self._out:
                if sent is not None:
                    sent.written = True
            self._out.clear()
            self._rest = rest
        if rest:
            self.stream.on_writable(self._flush)

    def _readable(self) -> None:
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
                sent = self.open.get(answer.id)
                # An id that isn't open is one given up, a second copy, or somebody's mistake: not ours.
                if sent is not None:
                    self.release(sent)
                    sent.finish(answer.outcome, answer)
            if spoilt is not None:
                return self._workers.spoilt(self, spoilt)
        if not self.closed:
            self.stream.on_readable(self._readable)

    def release(self, sent: Exchange) -> None:
        """It is owed nothing by this connection any more."""
        if self.open.pop(sent.id, None) is None:
            return
        self.past[sent.id] = None
        if len(self.past) > PAST_MOST:
            del self.past[next(iter(self.past))]
        if not self.open:
            self.idle_since_us = self._loop.now()
            if self.retired:
                self.close()

    def break_off(self) -> None:
        """The connection has ended: what was written may have run, what was not can't have. One connection
        may break by itself, and then others with it: what can be sent again goes out on a new one, so that
        only a worker that takes none is told to have failed."""
        if self.closed:
            return
        for sent in self.emptied():
            if self.reached and sent.moves < MOVES_MOST and (sent.harmless or not sent.written):
                sent.moves += 1
                sent.written = False
                self._workers.place(self.worker, sent, fresh=True)
            elif sent.written:
                sent.finish(Outcome.RESET)
            else:
                sent.finish(Outcome.CONNECT_FAILED)

    def emptied(self) -> list[Exchange]:
        """Closes it; what was open on it."""
        waiting = list(self.open.values())
        self.open.clear()
        self.close()
        return waiting

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._dial.cancel()
            self.stream.close()
            self._workers.drop(self)
