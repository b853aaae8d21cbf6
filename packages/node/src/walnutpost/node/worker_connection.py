"""One connection to a worker: commands out, responses in, and what its end means for what is open on it.

What was given to the kernel completely may arrive until the connection is reset, and an orderly close would
still deliver it. So a connection on which something sent was abandoned is reset when it ends.
"""

from __future__ import annotations

import errno
import socket
import struct
from functools import partial
from typing import Protocol

from walnutpost.eventloop import Loop, Stream
from walnutpost.eventloop.connecting import start_connect
from walnutpost.interface import Outcome
from walnutpost.node import resp
from walnutpost.node.directory import Address
from walnutpost.node.exchange import CommandKind, Exchange, SendProgress
from walnutpost.node.outbox import Outbox
from walnutpost.node.worker_limits import WorkerLimits

MAX_MOVES = 3  # to other connections, of what can't have arrived, or is idempotent
MAX_RECENT_IDS = 256  # ids of former commands that a connection remembers
LINGER_RESET = struct.pack("ii", 1, 0)
LINGER_OFF = struct.pack("ii", 0, 0)
POLL_BEFORE_SEND_AFTER_US = 20_000  # a command that has waited so long leaves only after another poll


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that it belongs to."""

    @property
    def loop(self) -> Loop:
        """The event loop."""

    @property
    def limits(self) -> WorkerLimits:
        """The bounds on connections to workers."""

    def assign(self, worker: str, exchange: Exchange, on_new: bool = False) -> None:
        """Put the exchange on a connection, a new one where `on_new`."""

    def on_malformed_response(self, connection: WorkerConnection) -> None:
        """React to bytes on the connection that are no response."""

    def forget(self, connection: WorkerConnection) -> None:
        """Forget the connection, which has been closed."""


class WorkerConnection:
    """One connection; what is to be written waits until the end of the round, or until it is up."""

    def __init__(self, owner: ConnectionOwner, worker: str, address: Address) -> None:
        """Begin to connect. Raises OSError where there is no descriptor."""
        self.worker = worker
        self._owner = owner
        self._loop = owner.loop
        self.open: dict[bytes, Exchange] = {}
        self._recent_ids: dict[bytes, None] = {}
        self.is_connected = False
        self._was_accepted = False  # the other end took the connection, whatever became of it
        self.is_draining = False  # takes nothing new
        self.is_closed = False
        self._last_received_us = 0
        self.idle_since_us = self._loop.now()
        self._parser = resp.ResponseParser(owner.limits.report_fields)
        self.has_partial_response = False  # what comes next is taken for the rest of it
        self._outbox = Outbox()
        self._is_flush_due = False  # at the end of the round, after a poll, or once the kernel takes bytes
        self._is_write_closed = False  # an abandoned command had left in part: no byte may follow it
        self._must_reset = False
        self._sock, code = start_connect(address)
        # Where this process ends without `close`, the kernel must not deliver for a former process either.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.stream = Stream(self._loop, self._sock)
        self._connect_timer = self._loop.call_later(owner.limits.connect_timeout_us, self.fail)
        if code not in (0, errno.EINPROGRESS):
            self._loop.call_soon(self.fail)
        else:
            self.stream.on_writable(self._on_connect_result)

    def _on_connect_result(self) -> None:
        if self.is_closed:
            return
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._was_accepted = error in (0, errno.ECONNRESET)
        if error:
            self.fail()
            return
        self._connect_timer.cancel()
        self.is_connected = True
        self.idle_since_us = self._loop.now()
        self.stream.on_readable(self._on_readable)
        self._flush()

    def has_carried(self, id: bytes) -> bool:
        """Return whether a response under this id that comes now could be one to an earlier command."""
        return id in self._recent_ids or id in self.open

    # Sending

    def send(self, exchange: Exchange) -> None:
        """Carry the exchange; it leaves as soon as it can."""
        exchange.carrier = self
        exchange.progress = SendProgress.WAITING
        exchange.queued_us = self._loop.now()
        self.open[exchange.id] = exchange
        self._write(exchange)

    def send_one_way(self, command: bytes) -> None:
        """Send a command that gets no response."""
        self._write(command)

    def _write(self, command: Exchange | bytes) -> None:
        self._outbox.add(command)
        if self.is_connected and not self._is_flush_due:
            self._is_flush_due = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Send what waits: the one place where a command's first byte leaves.

        So it is also where it is asked whether a decision still holds. What doesn't goes back to the policy
        as never run. That a client has left is known from the last poll of the sockets. Where that may be
        long ago, as other work has filled the round, they are polled once more first: timers run right
        after a poll.
        """
        oldest = self._outbox.oldest
        if oldest is not None and self._loop.now() - oldest.queued_us > POLL_BEFORE_SEND_AFTER_US:
            self._is_flush_due = True
            self._loop.call_later(0, self._flush_checked)
        else:
            self._flush_checked()

    def _flush_checked(self) -> None:
        self._is_flush_due = False
        if self.is_closed or not self.is_connected or self._is_write_closed:
            return
        now_us = self._loop.now()
        for exchange in self._outbox.unsent_exchanges():
            if not exchange.may_begin(now_us):
                self._end_unsent(exchange)
        if self.is_closed:
            return
        try:
            self._send_waiting(now_us)
        except OSError:
            self._read_remaining()
        except Exception:  # costs this connection at the most; the loop reports it
            self.fail()
            raise

    def _send_waiting(self, now_us: int) -> None:
        """Give the kernel what it takes."""
        while self._outbox.has_pending:
            data = self._outbox.next_chunk(now_us)
            sent = len(data) - len(self.stream.send_now(data))
            self._outbox.mark_sent(sent, now_us)
            if sent < len(data):
                self._is_flush_due = True
                self.stream.on_writable(self._flush)
                return

    def _withdraw(self, exchange: Exchange) -> bool:
        """Take back what has not begun to leave; return False if it has, or isn't here."""
        if not self._outbox.remove(exchange):
            return False
        self.open.pop(exchange.id, None)
        exchange.carrier = None
        return True

    def _end_unsent(self, exchange: Exchange) -> None:
        """End it as never run, after this round: what follows may be sent on this very connection."""
        if self._withdraw(exchange):
            self._loop.call_soon(partial(exchange.finish, Outcome.MOOT))
            self._on_detached()

    # Receiving

    def _on_readable(self) -> None:
        try:
            self._read()
        except Exception:  # costs this connection at the most; the loop reports it
            self.fail()
            raise

    def _read(self) -> bool:
        """Take what has come; return whether there was anything, and may be more."""
        if self.is_closed:
            return False
        try:
            data = self.stream.recv_now()
        except OSError:
            data = b""
        if data == b"":
            self.fail()
            return False
        if data:
            self._take(data)
        if not self.is_closed:
            self.stream.on_readable(self._on_readable)
        return bool(data)

    def _take(self, data: bytes) -> None:
        self._last_received_us = self._loop.now()
        responses, error = self._parser.feed(data)
        self.has_partial_response = self._parser.has_partial
        for response in responses:
            self._on_response(response)
        if error is not None:
            self._owner.on_malformed_response(self)

    def _read_remaining(self) -> None:
        """Take the responses that came before the connection ended under a command."""
        self.is_draining = True
        try:
            while self._read():
                pass
        finally:
            self.fail()

    def _on_response(self, response: resp.Response) -> None:
        """End the exchange that the response answers.

        An id that isn't open belongs to an abandoned exchange, a duplicate or another client's mistake: it
        is ignored. So is a response to what hasn't left completely.
        """
        exchange = self.open.get(response.id)
        if exchange is not None and exchange.progress is SendProgress.SENT:
            self._detach(exchange)
            self._on_detached()
            exchange.finish(response.outcome, response)

    def check_ended(self) -> bool:
        """Return whether it has ended, also where that has come and isn't read yet.

        A call written into it would count as one that may have run. Reads what has come, where nothing is
        open that it could concern.
        """
        if self.is_connected and not self.is_closed:
            if self.open:
                return self.stream.has_ended()
            if self.stream.is_stale():
                self._on_readable()
        return self.is_closed

    # Ending

    def abandon(self, exchange: Exchange) -> None:
        """Detach an exchange that nobody waits for any more.

        Where it may still be on its way, what the kernel holds of it is dropped by a reset, once that takes
        no response away from others.
        """
        if exchange.progress is SendProgress.WAITING:
            if self._withdraw(exchange):
                self._on_detached()
            return
        if self.open.get(exchange.id) is not exchange:
            return
        self._detach(exchange)
        self._must_reset = True
        if exchange.progress is SendProgress.PARTIAL:
            self._is_write_closed = True
        if not self._is_reusable_after(exchange):
            self.is_draining = True
            self._move_waiting()
        elif exchange.kind is CommandKind.CALL and self._owner.limits.may_cancel:
            self.send_one_way(resp.encode_kill(exchange.id))
        self._on_detached()

    def _is_reusable_after(self, exchange: Exchange) -> bool:
        """Return whether other commands may follow an abandoned one.

        A connection that has sent nothing since the exchange left may be dead, and the rest of a partial
        response would be taken for the next one's. A load order must not arrive later, so its connection
        ends.
        """
        was_sent = exchange.progress is SendProgress.SENT
        is_alive = was_sent and self._last_received_us >= exchange.sent_us
        return is_alive and exchange.kind is not CommandKind.LOAD_ORDER and not self.has_partial_response

    def _move_waiting(self) -> None:
        """Move what has not begun to leave to another connection."""
        for exchange in self._outbox.unsent_exchanges():
            if exchange.move_count >= MAX_MOVES:
                self._end_unsent(exchange)
            elif self._withdraw(exchange):
                exchange.move_count += 1
                self._owner.assign(self.worker, exchange)
        if self._is_write_closed:
            self._outbox.clear()

    def _detach(self, exchange: Exchange) -> None:
        """Remove it from this connection; its id is remembered, as a response may still come."""
        exchange.carrier = None
        self.open.pop(exchange.id, None)
        self._recent_ids[exchange.id] = None
        if len(self._recent_ids) > MAX_RECENT_IDS:
            del self._recent_ids[next(iter(self._recent_ids))]

    def _on_detached(self) -> None:
        """Note when nothing is left on the connection, and close it if it is draining."""
        if not self.open:
            self.idle_since_us = self._loop.now()
            if self.is_draining:
                self.close()

    def drain(self) -> None:
        """End it without a loss: its worker has gone, or its address is another's by now.

        What has not begun doesn't begin there; what has is left to end by itself.
        """
        self.is_draining = True
        for exchange in self._outbox.unsent_exchanges():
            self._end_unsent(exchange)
        if not self.open:
            self.close()

    def fail(self, outcome: Outcome = Outcome.RESET) -> None:
        """End it because the other end, or the way there, has failed.

        What was sent completely may have run and ends with `outcome`; what was not can't have. One
        connection may break by itself, and then others with it: what can move goes out on a new one, so that
        only a worker that accepts none counts as failed.
        """
        if self.is_closed:
            return
        unanswered = list(self.open.values())
        self.open.clear()
        self._must_reset = True
        self.close()
        for exchange in unanswered:
            exchange.carrier = None
            if not exchange.is_over:  # it may have been abandoned upon the end of one before it
                self._move_or_finish(exchange, outcome)

    def _move_or_finish(self, exchange: Exchange, outcome: Outcome) -> None:
        if self._was_accepted and exchange.move_count < MAX_MOVES and exchange.can_move:
            exchange.move_count += 1
            self._owner.assign(self.worker, exchange, on_new=True)
        elif exchange.progress is SendProgress.SENT:
            exchange.finish(outcome)
        else:
            exchange.finish(Outcome.CONNECT_FAILED)

    def close(self) -> None:
        """End it, by a reset where bytes that nobody waits for may still be with the kernel."""
        if self.is_closed:
            return
        self.is_closed = True
        self._connect_timer.cancel()
        if self._must_reset or self._outbox.has_partial:
            self.stream.reset()
        else:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
            self.stream.close()
        self._owner.forget(self)
