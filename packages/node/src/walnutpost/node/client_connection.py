"""One client connection: when and how fast it is read, and how it closes.

A request's budget starts when its client writes the last byte, but the bytes may then wait in the kernel.
Each read therefore states a time before which none of its bytes arrived. A request that was read gets an
answer before its connection closes, unless its client cancelled it or reset the connection. The node starts
nothing for a client that has left: before it accepts a request, and again before it sends a call, it reads
unread bytes that may contain a cancellation or the end of the connection.
"""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.eventloop import Stream
from walnutpost.node import rpc
from walnutpost.node.client_context import ClientContext
from walnutpost.node.client_input import MAX_PARSED_AT_ONCE, READ_ALL_AFTER_US, ClientInput
from walnutpost.node.client_output import ClientOutput
from walnutpost.node.client_requests import MAX_MESSAGES_PER_TURN, NOT_PROCESSED_REASON, ClientRequests
from walnutpost.node.memory_budget import MemoryShare
from walnutpost.node.processor_share import ProcessorShare

MESSAGE_TIMEOUT_US = 2_000_000  # an idle connection without a complete message is closed after this
MAX_REJECTED_BEFORE_PAUSE = 8  # rejected messages on one connection, after which it is read more slowly
READ_PAUSE_US = 200_000
MAX_REJECTED = 256  # rejected messages, after which a connection with open requests accepts no more
LINGER_TIMEOUT_US = 500_000  # for a client to read its answers while its further input is discarded
HALF_CLOSED_TIMEOUT_US = 3_000_000  # for a client that has shut down its sending side to read its answers
MAX_PRESENCE_AGE_US = 50_000  # how long a client is assumed to be still there; at most 100 ms are allowed
OVERFLOW_REASON = "more input is waiting than a connection may have"


class ClientConnection:
    """One client connection, which answers each request once.

    The end of a client's input has two possible meanings: the client has closed the connection, or it has no
    more requests but still reads answers. TCP shows the difference only after something is written. The end
    is therefore handled as both: no further attempts start for open requests, and each open request gets an
    answer.
    """

    def __init__(
        self,
        context: ClientContext,
        stream: Stream,
        arrived_after_us: int,
        on_close: Callable[[ClientConnection], None],
    ) -> None:
        """No byte arrived on the stream before `arrived_after_us`."""
        self._context = context
        self._loop = context.loop
        self._stream = stream
        self._on_close = on_close
        parser = rpc.MessageParser(context.class_deadlines_us, context.tenants, MAX_PARSED_AT_ONCE)
        self._buffer_memory = MemoryShare(context.buffer_memory)
        self._input = ClientInput(self._loop, stream, parser, self._buffer_memory, arrived_after_us)
        self._output = ClientOutput(self._loop, stream, self._buffer_memory, self._on_flushed, self.close)
        self._requests = ClientRequests(context, self._input, self._output, self.read_ahead, arrived_after_us)
        self._opened_us = self._loop.now()
        self._processor_share = ProcessorShare(self._opened_us)
        self._is_paused_until_flush = False
        self._is_waiting_for_turn = False
        self._is_confirming = False  # reads once more, to find out whether the client is still there
        self._has_overflowed = False  # too much input to find out whether the client is still there
        self.is_lingering = False  # the node has shut down its sending side, and the client may still read

    @property
    def open(self) -> dict[int, int]:
        """Caller ids of the requests that have no answer yet, by message id."""
        return self._requests.open

    @property
    def has_valid_message(self) -> bool:
        """Whether a valid protocol message has arrived."""
        return self._requests.has_valid_message

    @property
    def last_used_us(self) -> int:
        """When the last message was processed, or else when the connection was accepted."""
        return self._requests.last_used_us

    @property
    def is_idle(self) -> bool:
        """Whether no request is open or waits to be processed, and no answer waits to be sent."""
        has_work = self._is_waiting_for_turn or self._input.has_unprocessed
        return not (self.open or self._output.has_pending or has_work)

    @property
    def turn_due_us(self) -> int:
        """When the connection is due for a turn, if it has to wait for one."""
        return self._processor_share.repaid_at_us(self._loop.now())

    def write(self, data: bytes) -> None:
        """Send an answer."""
        self._output.write(data)

    def check_timeouts(self, now_us: int) -> None:
        """Close the connection if a timeout has passed.

        That is, if its client sends no message, stops in the middle of one, or leaves it half-closed.
        """
        if self._input.end_read_us is not None:
            if now_us - self._input.end_read_us >= HALF_CLOSED_TIMEOUT_US:
                self.close()
            return
        if self._is_waiting_for_turn:
            return
        since_us = self._input.partial_since_us if self.has_valid_message else self._opened_us
        if since_us is not None and now_us - since_us >= MESSAGE_TIMEOUT_US and self.is_idle:
            self.close_if_idle()

    # Reading

    def read_ahead(self) -> None:
        """Read unread bytes early if they may be older than MAX_PRESENCE_AGE_US, to find cancelled requests.

        Other messages in those bytes are processed later, in order. If the loop's rounds are short, the last
        poll is recent enough and nothing is read. This runs inside the gateway's effects, so it only prevents
        further attempts for cancelled requests, and leaves their cancellation to the later read.
        """
        if self._input.has_unread_older_than(MAX_PRESENCE_AGE_US):
            self._loop.call_soon(self.read_soon)
            if not self._run_charged(self._prevent_cancelled_attempts):
                self._input.discard()

    def _prevent_cancelled_attempts(self) -> None:
        try:
            received = self._input.receive()
        except OSError:
            self._input.has_ended = True
        else:
            self._requests.record_received(received)
            for message in received:
                if isinstance(message, rpc.Interrupt):
                    self._requests.prevent_attempts(message.message_ids)
            self._has_overflowed |= self._input.is_full and self._input.has_unread()
        if self._input.has_ended or self._has_overflowed:
            self._requests.prevent_attempts(self.open)

    def read(self) -> None:
        """Read and process the available input, if there is any.

        The loop reports an unexpected error, which affects at most this connection; requests that arrived
        before it are still answered.
        """
        was_discarding = self._input.is_discarding
        if self._run_charged(self._read):
            return
        if was_discarding:
            self.close()
        else:
            self._input.discard()
            self._watch_readable()
            self.close_if_done()

    def read_first(self) -> None:
        """Read for the first time: now if no connection waits, or else at its turn."""
        if len(self._context.turns):
            self._wait_for_turn()
        else:
            self.read()

    def read_soon(self) -> None:
        """Read now if no connection waits and this one is within its share, or else at its turn."""
        if len(self._context.turns) or self._processor_share.is_exceeded(self._loop.now()):
            self._wait_for_turn()
        else:
            self.read()

    def take_turn(self) -> None:
        """Process more of the input, after waiting for a turn."""
        self._is_waiting_for_turn = False
        self.read()

    def _run_charged(self, callback: Callable[[], object]) -> bool:
        """Run a callback at the cost of this connection; return False if it raised an unexpected error."""
        started_us = self._loop.processor_time()
        has_succeeded = self._loop.run_guarded("client", callback)
        self._processor_share.charge(self._loop.now(), self._loop.processor_time() - started_us)
        return has_succeeded

    def _read(self) -> None:
        if self._stream.closed:
            return
        rejected_before = self._requests.rejected
        self._is_confirming = False
        try:
            self._receive()
        except OSError:
            self.close()
            return
        if not self._input.is_discarding:
            self._process()
        if self._input.has_ended:
            self._requests.answer_all()
        if self._input.end_read_us is not None and not self._input.has_unprocessed:
            self.close_if_done()
        else:
            self._schedule_read(self._requests.rejected > rejected_before)

    def _receive(self) -> None:
        """Read more input if this turn could process it, or if it may have waited for long."""
        has_room = len(self._input.queue) < MAX_MESSAGES_PER_TURN or self._input.is_unconfirmed
        if has_room or self._input.has_unread_older_than(READ_ALL_AFTER_US):
            self._requests.record_received(self._input.receive())

    def _process(self) -> None:
        if self._has_overflowed:
            self._end_overflowed()
            return
        self._is_confirming = self._input.may_hide_departure(MAX_PRESENCE_AGE_US)
        if self._is_confirming:
            return
        self._requests.process_some()
        if self._input.error and not (self._input.queue or self._input.is_discarding):
            self._context.malformed_connections += 1
            self._input.discard()
        self._input.update_partial_since()
        if self._input.has_partial and not self._buffer_memory.may_grow(0):
            self._context.reclaim_memory()

    @property
    def unused_memory_since_us(self) -> int | None:
        """Since when the connection holds memory of which its client makes no use; None if it doesn't.

        That is the memory of an incomplete message, or of answers that the client doesn't read.
        """
        since_us = (self._input.partial_since_us, self._output.stalled_since_us)
        return min((each for each in since_us if each is not None), default=None)

    def reclaim_memory(self) -> None:
        """Close the connection if its client reads no answers; else discard its incomplete message."""
        if self._output.stalled_since_us is not None:
            self.close()
        else:
            self._input.discard()
            self._watch_readable()
            self.close_if_done()

    def _end_overflowed(self) -> None:
        """Answer all requests, and accept no more: their cancellations could wait too long to be read."""
        self._context.overflowed_connections += 1
        self._requests.answer_all()
        self._requests.stop_reading(OVERFLOW_REASON)

    def _schedule_read(self, was_rejected: bool) -> None:
        """Decide when to read again; `was_rejected` says whether the last read brought rejected messages."""
        if self._pause_if_overloaded(was_rejected):
            return
        if was_rejected and self._requests.rejected > MAX_REJECTED and not self._input.is_discarding:
            self._requests.answer_all()  # their cancellations would not be read any more
            self._requests.stop_reading(NOT_PROCESSED_REASON)
        if self._is_confirming:
            self._loop.call_soon(self.read)
        elif self._input.has_unprocessed:
            self._wait_for_turn()
        else:
            self._watch_readable()
        if self._input.is_discarding or self._context.is_draining:
            self.close_if_done()

    def _pause_if_overloaded(self, was_rejected: bool) -> bool:
        """Stop reading for a while if the client sends too much; return whether reading has stopped.

        Reading never stops while a request is open, because the node would then notice late that the client
        has left.
        """
        if self.open or self._input.is_discarding or self._is_confirming:
            return False
        if self._output.is_above_high_water:
            self._is_paused_until_flush = True
            self._input.mark_paused()
            return True
        if was_rejected and self._requests.rejected > MAX_REJECTED_BEFORE_PAUSE:
            self._input.mark_paused()
            self._loop.call_later(READ_PAUSE_US, self.read)
            return True
        return False

    def _wait_for_turn(self) -> None:
        self._input.mark_unread()
        if not self._is_waiting_for_turn:
            self._is_waiting_for_turn = True
            self._context.turns.add(self, self.turn_due_us)

    def _watch_readable(self) -> None:
        if not self._stream.closed:
            self._stream.on_readable(self.read_soon)

    def _on_flushed(self) -> None:
        """Continue after all answers have been sent."""
        self.close_if_done()
        if self._is_paused_until_flush:
            self._is_paused_until_flush = False
            self.read()

    # Closing

    def close_if_done(self) -> None:
        """Start to close the connection if it is idle and accepts no more requests."""
        if not self.is_idle:
            return
        if self._input.end_read_us is not None:
            self.close()
        elif self._input.is_discarding:
            self._linger()
        elif self._context.is_draining and not self._input.has_partial and not self._input.has_unread():
            self._input.discard()
            self._linger()

    def _linger(self) -> None:
        """Shut down the sending side, and close the connection after LINGER_TIMEOUT_US.

        Closing a socket with unread input resets the connection, and the client would lose answers that it
        hasn't read yet.
        """
        if self.is_lingering:
            return
        self.is_lingering = True
        try:
            self._stream.shutdown_write()
        except OSError:
            self.close()
            return
        self._loop.call_later(LINGER_TIMEOUT_US, self.close)

    def close_if_idle(self) -> bool:
        """Close the connection, unless it has unread input; return whether it was closed.

        A request that the kernel has received counts as accepted, and closing the connection would lose it.
        """
        if not self._input.is_discarding and self._input.has_unread():
            self.read_soon()
            return False
        self.close()
        return True

    def close(self) -> None:
        """Close the connection immediately, without answering open requests.

        With open requests, use this only if the client can't read an answer any more.
        """
        if self._stream.closed:
            return
        self._stream.close()
        self._on_close(self)
        self._requests.cancel_all()
        self._input.discard()
        self._output.drop()
