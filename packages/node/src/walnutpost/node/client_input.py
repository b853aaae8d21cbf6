"""The receiving side of one client connection: bytes into messages, and a bound on when they arrived."""

from __future__ import annotations

import select
from dataclasses import dataclass

from walnutpost.eventloop import Loop, Stream
from walnutpost.node import rpc
from walnutpost.node.client_context import OPEN_MOST

DRAIN_AFTER_US = 20_000  # bytes that may have waited for longer are read to their end before any is acted on
DRAIN_MOST = 1 << 20  # bytes in one go: all that OPEN_MOST requests can take
DRAIN_MESSAGES_MOST = 8 * OPEN_MOST


@dataclass(frozen=True, slots=True)
class Batch:
    """What one reading gave: whole messages, and what is wrong with the bytes behind them. None of it came
    before `came_after_us`."""

    came_after_us: int
    messages: list[rpc.Incoming]
    error: rpc.Unreadable | None


class ClientInput:
    """Reads and parses what a client sends. It never closes the stream; a broken one raises OSError."""

    def __init__(self, loop: Loop, stream: Stream, reader: rpc.Reader, since_us: int) -> None:
        """`since_us`: nothing has come on the stream before."""
        self._loop = loop
        self._stream = stream
        self._reader = reader
        self.discarding = False  # what comes can't be followed, or is too much: it is thrown away
        self.ended = False  # the end of the input has come, perhaps behind bytes that are still to be read
        self.end_read_us: int | None = None  # when it was read
        self.partial_since_us: int | None = None  # since when a message has been incomplete
        # What is unread came after this. None while the socket is watched and was found empty.
        self._unread_since_us: int | None = since_us
        self._ahead: list[Batch] = []  # read before their turn, and to be taken in order

    @property
    def closed(self) -> bool:
        return self._stream.closed

    @property
    def partial(self) -> bool:
        """Whether a message has begun and not ended."""
        return self._reader.partial

    @property
    def unread_after_us(self) -> int:
        """A time before which nothing came of what is unread."""
        if self._unread_since_us is None:
            return self._loop.arrived_after()
        return self._unread_since_us

    def has_unread(self) -> bool:
        """Whether bytes have come that are still to be read."""
        return self._stream.stale() and not self._stream.ended()

    def has_news_older_than(self, age_us: int) -> bool:
        """Whether bytes or an end are unread that may have come longer ago than this."""
        return self._loop.now() - self.unread_after_us > age_us and self._stream.stale()

    def leave_unread(self) -> None:
        """What comes from now on may wait until it is read."""
        if self._unread_since_us is None:
            self._unread_since_us = self._loop.now()

    def discard(self) -> None:
        """From now on what comes is not parsed; its end is still noticed."""
        self.discarding = True
        self.partial_since_us = None

    def update_partial(self) -> None:
        """Notes since when a message has been incomplete, if one is."""
        if not self.partial:
            self.partial_since_us = None
        elif not self.partial_since_us:
            self.partial_since_us = self._loop.now()

    def receive_ahead(self) -> Batch:
        """Reads what `receive_all` gives later. OSError if the connection broke."""
        batch = self._receive()
        self._ahead.append(batch)
        return batch

    def receive_all(self) -> list[Batch]:
        """What was read ahead, and what one more reading gives. OSError if the connection broke."""
        batches = [*self._ahead, self._receive()]
        self._ahead.clear()
        return batches

    def _receive(self) -> Batch:
        """Reads once, or, where the bytes may have waited, until there are no more: what cancels a request
        may lie far behind it."""
        came_after_us = self.unread_after_us
        drain = self._loop.now() - came_after_us > DRAIN_AFTER_US
        discarding = self.discarding or any(batch.error for batch in self._ahead)
        messages: list[rpc.Incoming] = []
        error: rpc.Unreadable | None = None
        size = 0
        more = True
        while more:
            data = self._stream.recv_now(rpc.READ_MOST)
            if data and not discarding:
                found, error = self._reader.feed(data)
                messages += found
            more = data is not None and len(data) == rpc.READ_MOST
            size += len(data or b"")
            if not drain or error or size >= DRAIN_MOST or len(messages) >= DRAIN_MESSAGES_MOST:
                break
        self._unread_since_us = came_after_us if more else None
        self._note_end(data, more)
        return Batch(came_after_us, messages, error)

    def _note_end(self, data: bytes | None, more: bool) -> None:
        """`data` is what the last read gave, None where nothing was there; `more` may be unread behind it."""
        if more:
            self.ended = self.ended or _has_hung_up(self._stream)
        elif data == b"" or (data and self._stream.ended()):
            self.ended = True
            self.end_read_us = self.end_read_us or self._loop.now()


def _has_hung_up(stream: Stream) -> bool:
    """Whether the other end has ended its sending side, also where that lies behind unread bytes."""
    poller = select.poll()
    poller.register(stream.fd, select.POLLRDHUP)
    return bool(poller.poll(0))
