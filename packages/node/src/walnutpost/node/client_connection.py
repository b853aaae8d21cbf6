"""One client's connection: when it is read, how fast, and how it ends.

A request counts from when its client wrote the last byte, and may have waited for the process since: each
read states a time before which none of its bytes came. A request that was read gets an answer before its
connection closes, unless its client cancelled it or reset the connection. Nothing begins for a client that
has left: unread bytes that may say so are read before a request is accepted, and again before a call leaves.
"""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.eventloop import Stream
from walnutpost.node import rpc
from walnutpost.node.client_context import ClientContext
from walnutpost.node.client_input import Batch, ClientInput
from walnutpost.node.client_output import ClientOutput
from walnutpost.node.client_requests import ClientRequests

MESSAGE_TIMEOUT_US = 2_000_000  # until a connection without a complete message is closed
MAX_REJECTED_BEFORE_PAUSE = 8  # messages on one connection, after which it is read more slowly
READ_PAUSE_US = 200_000
MAX_REJECTED = 256  # beside requests that are open: then nothing more is accepted there
LINGER_TIMEOUT_US = 500_000  # for a client to fetch its answers while what it sends is thrown away
HALF_CLOSED_TIMEOUT_US = 3_000_000  # for a client that has ended its sending side to fetch its answers
MAX_PRESENCE_AGE_US = 50_000  # for which a client's presence is assumed; at most 100 ms are allowed


class ClientConnection:
    """One client's connection: requests in, one answer each out.

    A client ends its sending side when it closes, and also when it only has nothing more to ask: TCP shows
    the difference once something is written. So an end of its input is taken as both: nothing begins any
    more for what is open, as for one that has gone, and each open request gets its answer, as for one that
    still reads.
    """

    def __init__(
        self,
        context: ClientContext,
        stream: Stream,
        came_after_us: int,
        on_close: Callable[[ClientConnection], None],
    ) -> None:
        """Nothing has come on the stream before `came_after_us`."""
        self._context = context
        self._loop = context.loop
        self._stream = stream
        self._on_close = on_close
        parser = rpc.MessageParser(context.class_deadlines_us, context.tenants)
        self._input = ClientInput(self._loop, stream, parser, came_after_us)
        self._output = ClientOutput(self._loop, stream, self._on_flushed, self.close)
        self._requests = ClientRequests(context, self._input, self._output, self.read_ahead, came_after_us)
        self._opened_us = self._loop.now()
        self._reads_when_flushed = False
        self.is_lingering = False  # its own side has ended, for the client to fetch what was answered

    @property
    def open(self) -> dict[int, int]:
        """Tickets of the requests that have no answer yet, by message id."""
        return self._requests.open

    @property
    def has_valid_message(self) -> bool:
        """Whether a message of the protocol has come."""
        return self._requests.has_valid_message

    @property
    def last_used_us(self) -> int:
        """When the last message was taken, or the connection itself."""
        return self._requests.last_used_us

    @property
    def is_idle(self) -> bool:
        """Whether no request is open here, and no answer waits to leave."""
        return not (self.open or self._output.has_pending)

    def write(self, data: bytes) -> None:
        """Send an answer."""
        self._output.write(data)

    def check_timeouts(self, now_us: int) -> None:
        """Close it where its client connects and sends nothing, or stops within a message."""
        if self._input.end_read_us is not None:
            if now_us - self._input.end_read_us >= HALF_CLOSED_TIMEOUT_US:
                self.close()
            return
        since_us = self._input.partial_since_us if self.has_valid_message else self._opened_us
        if since_us is not None and now_us - since_us >= MESSAGE_TIMEOUT_US and self.is_idle:
            self.close_if_idle()

    # Reading

    def read_ahead(self) -> None:
        """Read unread bytes that are too old to be passed over, for what cancels requests.

        All else in them waits for its turn. Where rounds are short, the last poll is recent enough. Called
        from within the gateway's effects: only marks what has gone.
        """
        if self._input.has_unread_older_than(MAX_PRESENCE_AGE_US):
            self._loop.call_soon(self.read)
            if not self._loop.run_guarded("client", self._withdraw_cancelled):
                self._input.discard()

    def _withdraw_cancelled(self) -> None:
        try:
            batch = self._input.receive_ahead()
        except OSError:
            self._input.has_ended = True
        else:
            for message in batch.messages:
                if isinstance(message, rpc.Interrupt):
                    self._requests.withdraw(message.message_ids)
        if self._input.has_ended:
            self._requests.withdraw(self.open)

    def read(self) -> None:
        """Take what has come, if anything has.

        An unexpected error is reported by the loop and costs this connection at the most; requests that came
        before it are still answered.
        """
        was_discarding = self._input.is_discarding
        if self._loop.run_guarded("client", self._read):
            return
        if was_discarding:
            self.close()
        else:
            self._input.discard()
            self._watch()
            self.close_if_done()

    def _read(self) -> None:
        if self._stream.closed:
            return
        rejected_before = self._requests.rejected
        try:
            batches = self._input.receive_all()
        except OSError:
            self.close()
            return
        if not self._input.is_discarding:
            self._take(batches)
        if self._input.has_ended:
            self._requests.answer_all()
        if self._input.end_read_us is not None:
            self.close_if_done()
        else:
            self._schedule_read(self._requests.rejected > rejected_before)

    def _take(self, batches: list[Batch]) -> None:
        self._requests.take(batches)
        if any(batch.error for batch in batches) and not self._input.is_discarding:
            self._context.malformed_connections += 1
            self._input.discard()
        self._input.update_partial()

    def _schedule_read(self, was_rejected: bool) -> None:
        """Decide when to read again; `was_rejected`: some of what was just read was rejected."""
        if self._pause(was_rejected):
            return
        if was_rejected and self._requests.rejected > MAX_REJECTED and not self._input.is_discarding:
            self._requests.answer_all()  # what cancels them is not read any more
            self._input.discard()
        self._watch()
        if self._input.is_discarding or self._context.is_draining:
            self.close_if_done()

    def _pause(self, was_rejected: bool) -> bool:
        """Stop reading for a while where the client asks too much; return whether it does.

        Never while something is open, as the client's leaving would be noticed late.
        """
        if self.open or self._input.is_discarding:
            return False
        if self._output.is_above_high_water:
            self._reads_when_flushed = True
            self._input.pause()
            return True
        if was_rejected and self._requests.rejected > MAX_REJECTED_BEFORE_PAUSE:
            self._input.pause()
            self._loop.call_later(READ_PAUSE_US, self.read)
            return True
        return False

    def _watch(self) -> None:
        if not self._stream.closed:
            self._stream.on_readable(self.read)

    def _on_flushed(self) -> None:
        """Go on once all answers have left."""
        self.close_if_done()
        if self._reads_when_flushed:
            self._reads_when_flushed = False
            self.read()

    # Ending

    def close_if_done(self) -> None:
        """End the connection if it is idle and nothing more is accepted."""
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
        """End the sending side first.

        A close on bytes that nobody reads would reset the connection, and take away answers that the client
        has not fetched yet.
        """
        if self.is_lingering:
            return
        self.is_lingering = True
        try:
            self._stream.end_writing()
        except OSError:
            self.close()
            return
        self._loop.call_later(LINGER_TIMEOUT_US, self.close)

    def close_if_idle(self) -> bool:
        """Close it unless something has come that is still unread; return whether it was closed.

        A request that the kernel has taken counts as accepted, and closing on it would lose it.
        """
        if not self._input.is_discarding and self._input.has_unread():
            self.read()
            return False
        self.close()
        return True

    def close(self) -> None:
        """Close it at once; what is open gets no answer: only for a client that can't fetch one any more."""
        if self._stream.closed:
            return
        self._stream.close()
        self._on_close(self)
        self._requests.cancel_all()
