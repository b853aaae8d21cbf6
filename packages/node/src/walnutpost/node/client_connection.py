"""One client's connection: when it is read, how fast, and how it ends.

A request counts from when its client wrote the last byte, and may have waited for the process since: each
read states a time before which none of its bytes came. A request that was read gets an answer before its
connection closes, unless its client cancelled it or reset the connection. Nothing begins for a client that
has left: what may tell of that is looked at before a request is taken, and again before a call leaves.
"""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.eventloop import Stream
from walnutpost.node import rpc
from walnutpost.node.client_context import ClientContext
from walnutpost.node.client_input import Batch, ClientInput
from walnutpost.node.client_output import ClientOutput
from walnutpost.node.client_requests import ClientRequests

MESSAGE_TIMEOUT_US = 2_000_000  # until a connection without a whole message is closed
REJECTED_BEFORE_PAUSE = 8  # messages of no use on one connection, after which it is read more slowly
READ_PAUSE_US = 200_000
REJECTED_MOST = 256  # beside requests that are open: then nothing more is taken there
LINGER_US = 500_000  # for a client to fetch its answers while what it sends is thrown away
HALF_CLOSED_TIMEOUT_US = 3_000_000  # for a client that has ended its sending side to fetch its answers
PRESENCE_AGE_MOST_US = 50_000  # for which a client's presence is taken as known; at most 100 ms are allowed


class Connection:
    """One client's connection: requests in, one answer each out.

    A client ends its sending side when it closes, and also when it only has nothing more to ask: TCP tells
    these apart once something is written. So an end of its input is both: nothing begins any more for what is
    open, as for one that has gone, and each open request gets its answer, as for one that still reads.
    """

    def __init__(
        self,
        context: ClientContext,
        stream: Stream,
        since_us: int,
        on_close: Callable[[Connection], None],
    ) -> None:
        """`since_us`: nothing has come on it before."""
        self._context = context
        self._loop = context.loop
        self._stream = stream
        self._on_close = on_close
        reader = rpc.Reader(context.class_deadlines_us, context.tenants)
        self._input = ClientInput(self._loop, stream, reader, since_us)
        self._output = ClientOutput(self._loop, stream, self._flushed, self.close)
        self._requests = ClientRequests(context, self._input, self._output, self.read_ahead, since_us)
        self._opened_us = self._loop.now()
        self._read_when_flushed = False
        self.lingers = False  # its own side has ended, for the client to fetch what was answered

    @property
    def open(self) -> dict[int, int]:
        """Tickets of the requests that have no answer yet, by message id."""
        return self._requests.open

    @property
    def known(self) -> bool:
        """Whether a message of the protocol has come."""
        return self._requests.known

    @property
    def used_us(self) -> int:
        """When the last message was taken, or the connection itself."""
        return self._requests.used_us

    @property
    def idle(self) -> bool:
        """Nothing is owed here, nor still to leave."""
        return not (self.open or self._output.pending)

    def write(self, data: bytes) -> None:
        self._output.write(data)

    def check_timeouts(self, now: int) -> None:
        """Guards against clients that connect and say nothing, or stop within a message."""
        if self._input.end_read_us is not None:
            if now - self._input.end_read_us >= HALF_CLOSED_TIMEOUT_US:
                self.close()
            return
        since = self._input.partial_since_us if self.known else self._opened_us
        if since is not None and now - since >= MESSAGE_TIMEOUT_US and self.idle:
            self.close_if_idle()

    # Reading

    def read_ahead(self) -> None:
        """Where something is unread that came too long ago to be passed over, reads it for what says that its
        client has left or cancels requests; all else waits for its turn. Where rounds are short, what the
        last poll told is enough. Called from within the gateway's effects: only marks what has gone."""
        if self._input.has_news_older_than(PRESENCE_AGE_MOST_US):
            self._loop.call_soon(self.read)
            if not self._loop.guarded("client", self._withdraw_cancelled):
                self._input.discard()

    def _withdraw_cancelled(self) -> None:
        try:
            batch = self._input.receive_ahead()
        except OSError:
            self._input.ended = True
        else:
            for message in batch.messages:
                if isinstance(message, rpc.Interrupt):
                    self._requests.withdraw(message.numbers)
        if self._input.ended:
            self._requests.withdraw(self.open)

    def read(self) -> None:
        """Takes what has come, if anything has. An error that nobody expected is told by the loop and costs
        this connection at the most; what was asked here before is still answered."""
        was_discarding = self._input.discarding
        if self._loop.guarded("client", self._read):
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
        if not self._input.discarding:
            self._take(batches)
        if self._input.ended:
            self._requests.answer_all()
        if self._input.end_read_us is not None:
            self.close_if_done()
        else:
            self._read_on(self._requests.rejected > rejected_before)

    def _take(self, batches: list[Batch]) -> None:
        self._requests.take(batches)
        if any(batch.error for batch in batches) and not self._input.discarding:
            self._context.unreadable += 1
            self._input.discard()
        self._input.update_partial()

    def _read_on(self, rejected: bool) -> None:
        """Decides when to read again; `rejected`: some of what was just read was of no use."""
        if self._pause(rejected):
            return
        if rejected and self._requests.rejected > REJECTED_MOST and not self._input.discarding:
            self._requests.answer_all()  # what cancels them is not looked at any more
            self._input.discard()
        self._watch()
        if self._input.discarding or self._context.ending:
            self.close_if_done()

    def _pause(self, rejected: bool) -> bool:
        """Stops reading for a while where the client asks too much; False where it doesn't, or where its
        leaving would be noticed late, as something is open."""
        if self.open or self._input.discarding:
            return False
        if self._output.above_high_water:
            self._read_when_flushed = True
            self._input.leave_unread()
            return True
        if rejected and self._requests.rejected > REJECTED_BEFORE_PAUSE:
            self._input.leave_unread()
            self._loop.call_later(READ_PAUSE_US, self.read)
            return True
        return False

    def _watch(self) -> None:
        if not self._stream.closed:
            self._stream.on_readable(self.read)

    def _flushed(self) -> None:
        """All answers have left."""
        self.close_if_done()
        if self._read_when_flushed:
            self._read_when_flushed = False
            self.read()

    # Ending

    def close_if_done(self) -> None:
        """Ends the connection if nothing is owed here and nothing more is taken."""
        if not self.idle:
            return
        if self._input.end_read_us is not None:
            self.close()
        elif self._input.discarding:
            self._linger()
        elif self._context.ending and not self._input.partial and not self._input.has_unread():
            self._input.discard()
            self._linger()

    def _linger(self) -> None:
        """Ends its own side first: a close on bytes that nobody reads would reset the connection, and take
        away answers that the client has not fetched yet."""
        if self.lingers:
            return
        self.lingers = True
        try:
            self._stream.end_writing()
        except OSError:
            self.close()
            return
        self._loop.call_later(LINGER_US, self.close)

    def close_if_idle(self) -> bool:
        """Closes it unless something has come that is still to be read: a request that the kernel has taken
        is taken, and closing on it would lose it."""
        if not self._input.discarding and self._input.has_unread():
            self.read()
            return False
        self.close()
        return True

    def close(self) -> None:
        """What is still open gets no answer: only for a client that can't fetch one any more."""
        if self._stream.closed:
            return
        self._stream.close()
        self._on_close(self)
        self._requests.leave_all()
