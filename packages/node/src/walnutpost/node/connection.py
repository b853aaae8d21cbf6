"""One connection to a worker: commands out, answers in, and what its end means for what is open on it."""

from __future__ import annotations

import errno
import socket
import struct
from typing import Protocol

from walnutpost.eventloop import Loop, Stream
from walnutpost.eventloop.sockets import opening
from walnutpost.interface import Outcome
from walnutpost.node import resp
from walnutpost.node.directory import Address
from walnutpost.node.exchange import Exchange, Kind, Progress
from walnutpost.node.limits import WorkerLimits
from walnutpost.node.outbox import Outbox

MOVES_MOST = 3  # to other connections, of what can't have arrived, or is idempotent
RECENT_IDS_MOST = 256  # ids that a connection remembers as ended
LINGER_ABORT, LINGER_OFF = struct.pack("ii", 1, 0), struct.pack("ii", 0, 0)
RECHECK_AFTER_US = 20_000  # a command that has waited so long leaves only after the sockets were polled anew


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that it belongs to."""

    @property
    def loop(self) -> Loop: ...

    @property
    def limits(self) -> WorkerLimits: ...

    def place(self, worker: str, exchange: Exchange, fresh: bool = False) -> None:
        """Puts the exchange on a connection, a new one where `fresh`."""

    def spoilt(self, connection: WorkerConnection) -> None:
        """The connection has got bytes that are no answer."""

    def drop(self, connection: WorkerConnection) -> None:
        """The connection has been closed."""


class WorkerConnection:
    """One connection; what is to be written is kept until the end of the round, or until it is up.

    What was handed to the kernel whole may arrive until the connection is aborted, and an orderly close would
    still deliver it. So a connection on which something sent was given up is aborted when it ends.
    """

    def __init__(self, owner: ConnectionOwner, worker: str, address: Address) -> None:
        self.worker = worker
        self._owner = owner
        self._loop = owner.loop
        self.open: dict[bytes, Exchange] = {}
        self._recent_ids: dict[bytes, None] = {}
        self.connected = False
        self._accepted = False  # somebody took the connection, whatever became of it
        self.retired = False  # takes nothing new
        self.closed = False
        self._heard_us = 0
        self.idle_since_us = self._loop.now()
        self._reader = resp.Reader(owner.limits.report_fields)
        self.mid_answer = False  # an answer has come in part: what comes next is taken for its rest
        self._out = Outbox()
        self._flush_due = False  # at the end of the round, after a poll, or once the kernel takes bytes
        self._write_closed = False  # a command given up had left in part: no byte may follow it
        self._abort_on_close = False
        self._sock, code = opening(address)
        # Where this process ends without `close`, the kernel must not deliver for a former life either.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ABORT)
        self.stream = Stream(self._loop, self._sock)
        self._dial = self._loop.call_later(owner.limits.dial_timeout_us, self.break_off)
        if code not in (0, errno.EINPROGRESS):
            self._loop.call_soon(self.break_off)
        else:
            self.stream.on_writable(self._dialled)

    def _dialled(self) -> None:
        if self.closed:
            return
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._accepted = error in (0, errno.ECONNRESET)
        if error:
            return self.break_off()
        self._dial.cancel()
        self.connected = True
        self.idle_since_us = self._loop.now()
        self.stream.on_readable(self._readable)
        self._flush()

    def has_carried(self, id: bytes) -> bool:
        """Whether an answer under this id that comes now could be one to an earlier command."""
        return id in self._recent_ids or id in self.open

    # Out

    def send(self, exchange: Exchange) -> None:
        """Takes the exchange on; it leaves as soon as it can."""
        exchange.carrier = self
        exchange.progress = Progress.WAITING
        exchange.queued_us = self._loop.now()
        self.open[exchange.id] = exchange
        self._write(exchange)

    def notify(self, command: bytes) -> None:
        """Sends a command that gets no answer."""
        self._write(command)

    def _write(self, command: Exchange | bytes) -> None:
        self._out.add(command)
        if self.connected and not self._flush_due:
            self._flush_due = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """The one place where a command's first byte leaves, and so the one where it is asked whether what
        was decided still holds. What doesn't any more goes back to the Router as never run.

        That a client has left is known from the last poll of the sockets. Where that may be long ago, as
        other work has filled the round, they are polled once more first: timers run right after a poll."""
        oldest = self._out.oldest
        if oldest is not None and self._loop.now() - oldest.queued_us > RECHECK_AFTER_US:
            self._flush_due = True
            self._loop.call_later(0, self._flush_checked)
        else:
            self._flush_checked()

    def _flush_checked(self) -> None:
        self._flush_due = False
        if self.closed or not self.connected or self._write_closed:
            return
        now = self._loop.now()
        for exchange in self._out.exchanges():
            if not exchange.may_begin(now):
                self._take_back(exchange)
        if self.closed:
            return
        try:
            self._hand_over(now)
        except OSError:
            self._read_what_is_left()
        except Exception:  # costs this connection at the most; the loop tells of it
            self.break_off()
            raise

    def _hand_over(self, now: int) -> None:
        """Gives the kernel what it takes."""
        while self._out.pending:
            data = self._out.chunk(now)
            taken = len(data) - len(self.stream.send_now(data))
            self._out.taken(taken, now)
            if taken < len(data):
                self._flush_due = True
                self.stream.on_writable(self._flush)
                return

    def _withdraw(self, exchange: Exchange) -> bool:
        """Takes back what has not begun to leave; False if it has, or isn't here."""
        if not self._out.remove(exchange):
            return False
        self.open.pop(exchange.id, None)
        exchange.carrier = None
        return True

    def _take_back(self, exchange: Exchange) -> None:
        """Ends it as never run, after this round: what follows may be sent on this very connection."""
        if self._withdraw(exchange):
            self._loop.call_soon(lambda: exchange.finish(Outcome.MOOT))
            self._became_idle()

    # In

    def _readable(self) -> None:
        try:
            self._read()
        except Exception:  # costs this connection at the most; the loop tells of it
            self.break_off()
            raise

    def _read(self) -> bool:
        """Takes what has come; whether there was anything, and may be more."""
        if self.closed:
            return False
        try:
            data = self.stream.recv_now()
        except OSError:
            data = b""
        if data == b"":
            self.break_off()
            return False
        if data:
            self._heard_us = self._loop.now()
            answers, malformed = self._reader.feed(data)
            self.mid_answer = self._reader.partial
            for answer in answers:
                self._answered(answer)
            if malformed is not None:
                self._owner.spoilt(self)
        if not self.closed:
            self.stream.on_readable(self._readable)
        return bool(data)

    def _read_what_is_left(self) -> None:
        """The connection has ended under a command: takes the answers that came before that."""
        self.retired = True
        try:
            while self._read():
                pass
        finally:
            self.break_off()

    def _answered(self, answer: resp.Answer) -> None:
        """An id that isn't open is one given up, a second copy, or somebody's mistake: not ours. Nor is an
        answer to what hasn't left whole."""
        exchange = self.open.get(answer.id)
        if exchange is not None and exchange.progress is Progress.SENT:
            self._release(exchange)
            exchange.finish(answer.outcome, answer)

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

    def give_up(self, exchange: Exchange) -> None:
        """Nobody waits for the exchange any more. Where it may still be on its way, what the kernel holds of
        it is dropped by an abort, once that takes no answer away from others."""
        if exchange.progress is Progress.WAITING:
            if self._withdraw(exchange):
                self._became_idle()
            return
        if self.open.get(exchange.id) is not exchange:
            return
        self._forget(exchange)
        self._abort_on_close = True
        if exchange.progress is Progress.PARTIAL:
            self._write_closed = True
        if self._may_be_reused_after(exchange):
            if exchange.kind is Kind.CALL and self._owner.limits.cancel:
                self.notify(resp.kill(exchange.id))
        else:
            self.retired = True
            self._move_waiting()
        self._became_idle()

    def _may_be_reused_after(self, exchange: Exchange) -> bool:
        """A connection that has said nothing since the exchange left may be dead, and the rest of half an
        answer would be taken for the next one's. An order must not arrive later, so its connection ends."""
        heard_since = exchange.progress is Progress.SENT and self._heard_us >= exchange.sent_us
        return heard_since and exchange.kind is not Kind.ORDER and not self.mid_answer

    def _move_waiting(self) -> None:
        """What has not begun to leave goes out on another connection."""
        for exchange in self._out.exchanges():
            if exchange.moves >= MOVES_MOST:
                self._take_back(exchange)
            elif self._withdraw(exchange):
                exchange.moves += 1
                self._owner.place(self.worker, exchange)
        if self._write_closed:
            self._out.clear()

    def _release(self, exchange: Exchange) -> None:
        """It is owed nothing by this connection any more."""
        self._forget(exchange)
        self._became_idle()

    def _forget(self, exchange: Exchange) -> None:
        """Takes it off; its id is remembered, as an answer may still come."""
        exchange.carrier = None
        self.open.pop(exchange.id, None)
        self._recent_ids[exchange.id] = None
        if len(self._recent_ids) > RECENT_IDS_MOST:
            del self._recent_ids[next(iter(self._recent_ids))]

    def _became_idle(self) -> None:
        """Something was taken off: marks the idle time, or closes the connection if it was retired."""
        if not self.open:
            self.idle_since_us = self._loop.now()
            if self.retired:
                self.close()

    def retire(self) -> None:
        """Its worker has gone, or its address is another's by now: what has not begun doesn't begin there,
        and what has is left to end by itself."""
        self.retired = True
        for exchange in self._out.exchanges():
            self._take_back(exchange)
        if not self.open:
            self.close()

    def break_off(self, outcome: Outcome = Outcome.RESET) -> None:
        """The connection has ended: what was sent whole may have run, what was not can't have. One connection
        may break by itself, and then others with it: what can be sent again goes out on a new one, so that
        only a worker that takes none is told to have failed. `outcome` is that of what may have run."""
        if self.closed:
            return
        unanswered = list(self.open.values())
        self.open.clear()
        self._abort_on_close = True
        self.close()
        for exchange in unanswered:
            exchange.carrier = None
            if exchange.over:  # given up upon the end of one before it
                continue
            if self._accepted and exchange.moves < MOVES_MOST and exchange.repeatable:
                exchange.moves += 1
                self._owner.place(self.worker, exchange, fresh=True)
            else:
                sent = exchange.progress is Progress.SENT
                exchange.finish(outcome if sent else Outcome.CONNECT_FAILED)

    def close(self) -> None:
        """Ends it, by a reset where bytes that nobody waits for may still be with the kernel."""
        if self.closed:
            return
        self.closed = True
        self._dial.cancel()
        if self._abort_on_close or self._out.partial:
            self.stream.reset()
        else:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
            self.stream.close()
        self._owner.drop(self)
