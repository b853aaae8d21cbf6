"""The receiving side of one client connection: bytes into messages, and a bound on when they arrived."""

from __future__ import annotations

import select
from dataclasses import dataclass

from walnutpost.eventloop import Loop, Stream
from walnutpost.node import rpc
from walnutpost.node.client_context import MAX_OPEN_REQUESTS

READ_ALL_AFTER_US = 20_000  # bytes that may have waited for longer are all read before any is acted on
MAX_BATCH_BYTES = 1 << 20  # all that MAX_OPEN_REQUESTS requests can take
MAX_BATCH_MESSAGES = 8 * MAX_OPEN_REQUESTS


@dataclass(frozen=True, slots=True)
class Batch:
    """What one reading gave: complete messages, and what is wrong with the bytes behind them.

    None of it came before `came_after_us`.
    """

    came_after_us: int
    messages: list[rpc.Incoming]
    error: rpc.UnreadableMessageError | None


class ClientInput:
    """Reads and parses what a client sends. It never closes the stream; a broken one raises OSError."""

    def __init__(self, loop: Loop, stream: Stream, parser: rpc.MessageParser, came_after_us: int) -> None:
        """Nothing has come on the stream before `came_after_us`."""
        self._loop = loop
        self._stream = stream
        self._parser = parser
        self.is_discarding = False  # what comes can't be followed, or is too much: it is thrown away
        self.has_ended = False  # the end of the input has come, perhaps behind bytes that are still unread
        self.end_read_us: int | None = None  # when it was read
        self.partial_since_us: int | None = None  # since when a message has been incomplete
        # What is unread came after this. None while the socket is watched and was found empty.
        self._unread_since_us: int | None = came_after_us
        self._read_ahead: list[Batch] = []  # before their turn, and to be taken in order

    @property
    def is_closed(self) -> bool:
        """Whether the connection has been closed."""
        return self._stream.closed

    @property
    def has_partial(self) -> bool:
        """Whether a message has begun and not ended."""
        return self._parser.has_partial

    @property
    def unread_since_us(self) -> int:
        """A time before which nothing came of what is unread."""
        if self._unread_since_us is None:
            return self._loop.arrived_after()
        return self._unread_since_us

    def has_unread(self) -> bool:
        """Return whether bytes have come that are still unread."""
        return self._stream.is_stale() and not self._stream.has_ended()

    def has_unread_older_than(self, age_us: int) -> bool:
        """Return whether bytes or an end are unread that may have come longer ago than this."""
        return self._loop.now() - self.unread_since_us > age_us and self._stream.is_stale()

    def pause(self) -> None:
        """Note that what comes from now on may wait until it is read."""
        if self._unread_since_us is None:
            self._unread_since_us = self._loop.now()

    def discard(self) -> None:
        """Parse nothing from now on; the end of the input is still noticed."""
        self.is_discarding = True
        self.partial_since_us = None

    def update_partial(self) -> None:
        """Note since when a message has been incomplete, if one is."""
        if not self.has_partial:
            self.partial_since_us = None
        elif not self.partial_since_us:
            self.partial_since_us = self._loop.now()

    def receive_ahead(self) -> Batch:
        """Read what `receive_all` returns later. Raises OSError if the connection broke."""
        batch = self._receive()
        self._read_ahead.append(batch)
        return batch

    def receive_all(self) -> list[Batch]:
        """Return what was read ahead, and one more reading. Raises OSError if the connection broke."""
        batches = [*self._read_ahead, self._receive()]
        self._read_ahead.clear()
        return batches

    def _receive(self) -> Batch:
        """Read once, or, where the bytes may have waited, until there are no more.

        What cancels a request may lie far behind it.
        """
        came_after_us = self.unread_since_us
        must_read_all = self._loop.now() - came_after_us > READ_ALL_AFTER_US
        is_discarding = self.is_discarding or any(batch.error for batch in self._read_ahead)
        messages: list[rpc.Incoming] = []
        error: rpc.UnreadableMessageError | None = None
        size = 0
        may_have_more = True
        while may_have_more:
            data = self._stream.recv_now(rpc.MAX_READ_BYTES)
            if data and not is_discarding:
                parsed, error = self._parser.feed(data)
                messages += parsed
            may_have_more = data is not None and len(data) == rpc.MAX_READ_BYTES
            size += len(data or b"")
            is_full = size >= MAX_BATCH_BYTES or len(messages) >= MAX_BATCH_MESSAGES
            if not must_read_all or error or is_full:
                break
        self._unread_since_us = came_after_us if may_have_more else None
        self._note_end(data, may_have_more)
        return Batch(came_after_us, messages, error)

    def _note_end(self, last_read: bytes | None, may_have_more: bool) -> None:
        """Note whether the input has ended; `last_read` is None where nothing was there."""
        if may_have_more:
            self.has_ended = self.has_ended or _has_hung_up(self._stream)
        elif last_read == b"" or (last_read and self._stream.has_ended()):
            self.has_ended = True
            self.end_read_us = self.end_read_us or self._loop.now()


def _has_hung_up(stream: Stream) -> bool:
    """Return whether the other end has ended its sending side, also where that is behind unread bytes."""
    poller = select.poll()
    poller.register(stream.fd, select.POLLRDHUP)
    return bool(poller.poll(0))
