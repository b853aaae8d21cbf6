"""One connection to a worker: sends commands, receives responses, and ends open commands when it fails.

A command that the kernel has accepted may still reach the worker until the connection is reset; an orderly
close would deliver it. A connection with an abandoned command is therefore closed by a reset. For a call,
this must happen soon, because it must not begin after its client has left or after another worker has run it:
if other exchanges are open, the worker gets a short time to show that it has received the call already. Not
even a reset takes back what something between the two machines holds, so a call is written only if the
connection doesn't look dead (`liveness.py`).
"""

from __future__ import annotations

import errno
import socket
import struct
from contextlib import suppress
from functools import partial
from typing import Protocol

from walnutpost.eventloop import Loop, Stream
from walnutpost.eventloop.connecting import start_connect
from walnutpost.interface import Outcome
from walnutpost.node import resp
from walnutpost.node.delivery_tracker import DeliveryTracker
from walnutpost.node.directory import Address
from walnutpost.node.exchange import CommandKind, Exchange, SendProgress
from walnutpost.node.liveness import Liveness
from walnutpost.node.outbox import Outbox
from walnutpost.node.worker_limits import WorkerLimits

MAX_MOVES = 3  # per exchange, to other connections; only if it can't have arrived or is idempotent
MAX_RECENT_IDS = 256  # ids of ended commands that a connection remembers
LINGER_RESET = struct.pack("ii", 1, 0)
LINGER_OFF = struct.pack("ii", 0, 0)
POLL_BEFORE_SEND_AFTER_US = 20_000  # a command that has waited longer is sent only after another poll


class ConnectionOwner(Protocol):
    """What a connection needs from the pool that it belongs to."""

    @property
    def loop(self) -> Loop:
        """The event loop."""

    delivery_checks: int
    """Delivery checks since the start."""
    undelivered_resets: int
    """Connections reset since the start because the delivery of a call was not proven."""
    liveness_checks: int
    """Queries sent ahead of calls since the start."""
    liveness_timeouts: int
    """Those of them that were not answered in time."""

    @property
    def limits(self) -> WorkerLimits:
        """The limits on connections to workers."""

    def assign(self, worker: str, exchange: Exchange, prefer_new: bool = False) -> None:
        """Send the exchange to the worker; with `prefer_new`, try a new connection before an idle one."""

    def is_worker_in_doubt(self, worker: str) -> bool:
        """Return whether the worker may be cut off, as far as all connections to it show."""

    def on_malformed_response(self, connection: WorkerConnection) -> None:
        """Handle a malformed response on the connection."""

    def forget(self, connection: WorkerConnection) -> None:
        """Remove the connection, which has been closed."""


class WorkerConnection:
    """A connection that sends commands at the end of the round, or once it is established."""

    def __init__(self, owner: ConnectionOwner, worker: str, address: Address) -> None:
        """Start to connect. Raises OSError if no file descriptor is available."""
        self.worker = worker
        self._owner = owner
        self._loop = owner.loop
        self.open: dict[bytes, Exchange] = {}
        self._recent_ids: dict[bytes, int] = {}  # sequence numbers of ended exchanges
        self.is_connected = False
        self._was_accepted = False  # the worker accepted the connection, even if it reset it afterwards
        self.is_draining = False  # accepts no new commands
        self.is_closed = False
        self._last_received_us = 0
        self.idle_since_us = self._loop.now()
        self._parser = resp.ResponseParser(owner.limits.report_fields)
        self.has_partial_response = False  # the next bytes would be parsed as the rest of it
        self._outbox = Outbox()
        self._is_flush_due = False  # at the end of the round, after a poll, or when the socket is writable
        self._is_write_closed = False  # an abandoned command was partially sent: no byte may follow it
        self._must_reset = False
        self._deliveries = DeliveryTracker(self._loop, self._on_delivery_timeout)
        self._is_silent = False  # nothing has arrived since a call whose delivery must be proven was sent
        self._liveness = Liveness(self._loop, self._on_liveness_timeout)
        self._sock, code = start_connect(address)
        # If this process ends without calling `close`, the kernel must drop unsent bytes, not deliver them.
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
        self._liveness.record_received()
        self.stream.on_readable(self._on_readable)
        self._flush()

    @property
    def accepts_commands(self) -> bool:
        """Whether the connection may carry further commands."""
        return not self.is_draining and not self._is_silent

    @property
    def is_stale(self) -> bool:
        """Whether the worker has not shown lately on this connection that it is reachable."""
        return self._liveness.is_stale

    @property
    def owes_response(self) -> bool:
        """Whether something sent on this connection has not been answered."""
        return self._liveness.has_unanswered_bytes or any(
            exchange.progress is not SendProgress.WAITING for exchange in self.open.values()
        )

    def has_used_id(self, id: bytes) -> bool:
        """Return whether a response with this id could belong to an earlier command on this connection."""
        return id in self._recent_ids or id in self.open

    # Sending

    def send(self, exchange: Exchange) -> None:
        """Queue the exchange, and send it as soon as possible."""
        exchange.connection = self
        exchange.progress = SendProgress.WAITING
        exchange.is_cleared = False
        exchange.queued_us = self._loop.now()
        self.open[exchange.id] = exchange
        self._write(exchange)

    def send_one_way(self, command: bytes) -> None:
        """Send a command that gets no response."""
        self._write(command)

    def _write(self, command: Exchange | bytes) -> None:
        self._outbox.add(command)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self.is_connected and not self._is_flush_due:
            self._is_flush_due = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Send the queued commands; if they have waited long, poll the sockets again first.

        This is the only place that sends commands, so it also checks whether the decision for each command
        still holds. If it doesn't, the policy is told that the command never ran. The check relies on the
        last poll of the sockets to know which clients have left. Other work in this round may have made that
        poll outdated; in this case, a timer defers the sending, because timers run right after a poll.
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
            if not exchange.may_send(now_us):
                self._end_unsent(exchange)
        if self.is_closed:
            return
        self._hold_calls_in_doubt()
        try:
            self._send_waiting(now_us)
        except OSError:
            self._read_remaining()
        except Exception:  # affects only this connection; the loop reports it
            self.fail()
            raise

    def _send_waiting(self, now_us: int) -> None:
        """Send as much as the kernel accepts, and the rest when the socket is writable."""
        while self._outbox.has_pending:
            data = self._outbox.next_chunk(now_us)
            sent = len(data) - len(self.stream.send_nowait(data))
            self._liveness.record_sent()
            self._outbox.mark_sent(sent, now_us)
            if sent < len(data):
                self._is_flush_due = True
                self.stream.on_writable(self._flush)
                return

    def _hold_calls_in_doubt(self) -> None:
        """Hold the calls that must not be sent yet because the worker may be cut off, and send a check."""
        if not self.is_stale:
            return
        calls = [call for call in self._outbox.sendable_calls() if not call.is_cleared]
        is_in_doubt = bool(calls) and (self.owes_response or self._owner.is_worker_in_doubt(self.worker))
        for call in calls:
            if (is_in_doubt or call.needs_live_connection) and call.encode_delivery_check is not None:
                self._hold_call(call)

    def _hold_call(self, call: Exchange) -> None:
        self._outbox.hold(call)
        check = self._liveness.create_check(call)
        if check is not None:
            self._owner.liveness_checks += 1
            self.send(check)

    def _release_held_calls(self) -> None:
        """Send the held calls if the worker has just shown that it is reachable."""
        if self._outbox.has_held and not self._liveness.is_stale:
            self._outbox.release()
            self._schedule_flush()

    def _on_liveness_timeout(self, check: Exchange) -> None:
        """Move the held calls to a new connection, whose connect shows whether the worker is reachable.

        This connection is used no further unless something has arrived since the check was sent.
        """
        while not check.has_ended and self._read():
            pass
        if check.has_ended or self.is_closed:
            return
        self._owner.liveness_timeouts += 1
        if self._outbox.has_held:
            self.is_draining = True
            self._move_unsent(prefer_new=True)
        self.abandon(check)

    def _remove_unsent(self, exchange: Exchange) -> bool:
        """Remove an unsent exchange; return False if it is partly or fully sent, or isn't queued here."""
        if not self._outbox.remove(exchange):
            return False
        self.open.pop(exchange.id, None)
        exchange.connection = None
        return True

    def _end_unsent(self, exchange: Exchange) -> None:
        """Remove an unsent exchange, and report at the end of the round that it never ran.

        The report is deferred because its handler may send another command on this connection.
        """
        if self._remove_unsent(exchange):
            self._loop.call_soon(partial(exchange.finish, Outcome.EXPIRED))
            self._on_detached()

    # Receiving

    def _on_readable(self) -> None:
        try:
            self._read()
        except Exception:  # affects only this connection; the loop reports it
            self.fail()
            raise

    def _read(self) -> bool:
        """Read and process available bytes; return whether there were any, so that more may follow."""
        if self.is_closed:
            return False
        try:
            data = self.stream.recv_nowait()
        except OSError:
            data = b""
        if data == b"":
            self.fail()
            return False
        if data:
            self._process(data)
        if not self.is_closed:
            self.stream.on_readable(self._on_readable)
        return bool(data)

    def _process(self, data: bytes) -> None:
        self._last_received_us = self._loop.now()
        self._liveness.record_received()
        responses, error = self._parser.feed(data)
        self.has_partial_response = self._parser.has_partial
        for response in responses:
            self._on_response(response)
        if error is not None:
            self._owner.on_malformed_response(self)
        else:
            self._release_held_calls()

    def _read_remaining(self) -> None:
        """Process the responses that arrived before a send failed, then fail the connection."""
        self.is_draining = True
        try:
            while self._read():
                pass
        finally:
            self.fail()

    def _on_response(self, response: resp.Response) -> None:
        """End the exchange that the response belongs to.

        A response is ignored if its id isn't open, as after an abandoned exchange, a duplicate or a mix-up
        with another client, or if its command hasn't been sent completely.
        """
        exchange = self.open.get(response.id)
        if exchange is None:
            self._record_delivery(self._recent_ids.get(response.id, 0))
        elif exchange.progress is SendProgress.SENT:
            self._detach(exchange)
            self._record_delivery(exchange.sequence_number)
            self._on_detached()
            exchange.finish(response.outcome, response)

    def check_ended(self) -> bool:
        """Return whether the connection has ended, even if the end hasn't been read yet.

        A call sent on an ended connection would count as one that may have run. If no command is open, this
        also reads unread bytes.
        """
        if self.is_connected and not self.is_closed:
            if self.open:
                return self.stream.has_ended()
            if self.stream.is_stale():
                self._on_readable()
        return self.is_closed

    # Abandoning and closing

    def abandon(self, exchange: Exchange) -> None:
        """Detach an exchange that nobody waits for any more.

        If any of its bytes have been sent, the connection will end by a reset, which drops those that the
        kernel still holds. The reset waits until no other exchange is open that could lose its response, but
        not if a call may still arrive.
        """
        if exchange.progress is SendProgress.WAITING:
            if self._remove_unsent(exchange):
                self._on_detached()
            return
        if self.open.get(exchange.id) is not exchange:
            return
        self._detach(exchange)
        self._must_reset = True
        if exchange.progress is SendProgress.PARTIAL:
            self._is_write_closed = True
            self._stop_use()
        elif exchange.kind is CommandKind.CALL:
            self._abandon_sent_call(exchange)
        elif not self._is_reusable_after(exchange):
            self._stop_use()
        self._on_detached()

    def _abandon_sent_call(self, call: Exchange) -> None:
        """Cancel the call at the worker, and reset the connection unless the call is known to have arrived.

        The cancellation is sent even if a reset follows, because a stopped worker may still read what its
        kernel received before the reset. The rest of a partial response would be mistaken for the next
        response.
        """
        if self.has_partial_response:
            self._stop_use()
        is_delivered = self._deliveries.is_delivered(call)
        if not is_delivered:
            self._suspend_if_silent(call)
        if self._owner.limits.may_cancel:
            self._cancel_at_worker(call)
        elif call.was_connection_silent:
            self._stop_use()  # only the end of the connection makes the worker give up the call
        if is_delivered:
            return
        if self._is_silent and not self.open:
            self.is_draining = True
        else:
            self._track_delivery(call)

    def require_delivery(self, call: Exchange) -> None:
        """Reset the connection soon, unless the worker is known to have received the call.

        The call stays open: it may be executing, and may not be cancelled.
        """
        is_open = self.open.get(call.id) is call
        if is_open and call.progress is SendProgress.SENT and not self._deliveries.is_delivered(call):
            self._suspend_if_silent(call)
            self._track_delivery(call)

    def _suspend_if_silent(self, call: Exchange) -> None:
        """Put nothing new on the connection for now if nothing has arrived since the call was sent."""
        if self._last_received_us < call.sent_us:
            call.was_connection_silent = True
            self._is_silent = True
            self._move_unsent()

    def _track_delivery(self, call: Exchange) -> None:
        """Send a query after the call, unless the response to another one will prove the same."""
        self._must_reset = True
        self._deliveries.add(call)
        check = self._deliveries.create_check(call)
        has_pending_check = any(
            exchange.kind is CommandKind.DELIVERY_CHECK and not exchange.was_sent_before(call)
            for exchange in self.open.values()
        )
        if check is not None and not has_pending_check:
            self._owner.delivery_checks += 1
            self.send(check)

    def _record_delivery(self, sequence_number: int) -> None:
        """Record that the worker has received this exchange, and so all that were sent before it."""
        self._deliveries.record_delivery(sequence_number)
        if self._deliveries:
            return
        self._is_silent = False
        checks = [each for each in self.open.values() if each.kind is CommandKind.DELIVERY_CHECK]
        for check in checks:
            if not self._remove_unsent(check):
                self._detach(check)
        if checks:
            self._on_detached()

    def _on_delivery_timeout(self) -> None:
        """Reset the connection, because a call may still be on its way that must not arrive any more.

        Exchanges that can't move may have run, and end with RESET. Calls among them are cancelled, in case
        the worker reads them later.
        """
        while self._deliveries.is_overdue() and self._read():
            pass
        if not self._deliveries.is_overdue():
            return
        self._owner.undelivered_resets += 1
        if self._owner.limits.may_cancel:
            for exchange in self.open.values():
                if exchange.kind is CommandKind.CALL and exchange.progress is SendProgress.SENT:
                    self._cancel_at_worker(exchange)
        self.fail()

    def _cancel_at_worker(self, call: Exchange) -> None:
        self.send_one_way(resp.encode_kill(call.id))

    def _is_reusable_after(self, exchange: Exchange) -> bool:
        """Return whether the connection may carry other commands after an abandoned order, query or probe.

        A connection on which nothing has arrived since the exchange was sent may be dead, and the rest of a
        partial response would be mistaken for the next response. An abandoned load order must not arrive
        later, so its connection is not reused.
        """
        is_alive = self._last_received_us >= exchange.sent_us
        return is_alive and exchange.kind is not CommandKind.LOAD_ORDER and not self.has_partial_response

    def _stop_use(self) -> None:
        """Accept no further commands, and move the unsent ones."""
        self.is_draining = True
        self._move_unsent()

    def _move_unsent(self, prefer_new: bool = False) -> None:
        """Move the unsent exchanges to other connections; this one may be dead, so those may be, too."""
        for exchange in self._outbox.unsent_exchanges():
            if exchange.move_count >= MAX_MOVES or not exchange.can_move:
                self._end_unsent(exchange)
            elif self._remove_unsent(exchange):
                exchange.move_count += 1
                exchange.needs_live_connection = True
                self._owner.assign(self.worker, exchange, prefer_new)
        if self._is_write_closed:
            self._outbox.clear()

    def _detach(self, exchange: Exchange) -> None:
        """Remove the exchange, and remember its id, because a response may still arrive."""
        exchange.connection = None
        self.open.pop(exchange.id, None)
        self._recent_ids[exchange.id] = exchange.sequence_number
        if len(self._recent_ids) > MAX_RECENT_IDS:
            del self._recent_ids[next(iter(self._recent_ids))]

    def _on_detached(self) -> None:
        """If no exchange is open any more, record that time, and close the connection if it is draining."""
        if not self.open:
            self.idle_since_us = self._loop.now()
            if self.is_draining:
                self.close()

    def drain(self) -> None:
        """Close the connection without losing responses; its worker has left the list or changed its address.

        Unsent exchanges end as never run; the others may still finish.
        """
        self.is_draining = True
        for exchange in self._outbox.unsent_exchanges():
            self._end_unsent(exchange)
        if not self.open:
            self.close()

    def fail(self, outcome: Outcome = Outcome.RESET) -> None:
        """Close the connection because the worker or the network has failed.

        Exchanges that were sent completely may have run, and end with `outcome`; the others can't have run.
        The failure may affect only this connection, or also other open ones. Exchanges that can move are
        therefore sent on a new connection, and only a worker that accepts no connection counts as failed.
        """
        if self.is_closed:
            return
        unanswered = list(self.open.values())
        self.open.clear()
        self._must_reset = True
        self.close()
        for exchange in unanswered:
            exchange.connection = None
            if not exchange.is_over:  # the end of an earlier one may have abandoned it
                self._move_or_finish(exchange, outcome)

    def _move_or_finish(self, exchange: Exchange, outcome: Outcome) -> None:
        if self._was_accepted and exchange.move_count < MAX_MOVES and exchange.can_move:
            exchange.move_count += 1
            self._owner.assign(self.worker, exchange, prefer_new=True)
        elif exchange.progress is SendProgress.SENT:
            exchange.finish(outcome)
        else:
            exchange.finish(Outcome.CONNECT_FAILED)

    def close(self) -> None:
        """Close the connection, by a reset if the kernel may still hold bytes of an abandoned command."""
        if self.is_closed:
            return
        self.is_closed = True
        self._connect_timer.cancel()
        self._deliveries.close()
        if self._must_reset or self._outbox.has_partial:
            self._send_one_way_commands()
            self.stream.reset()
        else:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
            self.stream.close()
        self._owner.forget(self)

    def _send_one_way_commands(self) -> None:
        """Pass the waiting commands that get no response, such as cancellations, to the kernel."""
        commands = self._outbox.take_one_way_commands()
        if commands and self.is_connected and not self._is_write_closed:
            with suppress(OSError):
                self.stream.send_nowait(commands)
