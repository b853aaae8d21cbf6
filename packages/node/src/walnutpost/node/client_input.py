"""The receiving side of one client connection: parses messages and bounds their arrival times."""

from __future__ import annotations

import select
from dataclasses import dataclass

from walnutpost.eventloop import Loop, Stream
from walnutpost.node import rpc
from walnutpost.node.client_context import MAX_OPEN_REQUESTS

READ_ALL_AFTER_US = 20_000  # input that may have waited longer is read completely before it is processed
MAX_BATCH_BYTES = 1 << 20  # enough for MAX_OPEN_REQUESTS requests of the maximum size
MAX_BATCH_MESSAGES = 8 * MAX_OPEN_REQUESTS


@dataclass(frozen=True, slots=True)
class Batch:
    """The result of one read: complete messages, and the error in the bytes that follow them, if any.

    None of the bytes arrived before `arrived_after_us`.
    """

    arrived_after_us: int
    messages: list[rpc.Incoming]
    error: rpc.UnreadableMessageError | None


class ClientInput:
    """Reads and parses a client's input. Never closes the stream; raises OSError if the stream is broken."""

    def __init__(self, loop: Loop, stream: Stream, parser: rpc.MessageParser, arrived_after_us: int) -> None:
        """No byte arrived on the stream before `arrived_after_us`."""
        self._loop = loop
        self._stream = stream
        self._parser = parser
        self.is_discarding = False  # further input is unreadable or too much, and is not parsed
        self.has_ended = False  # the end of the input has arrived, possibly after unread bytes
        self.end_read_us: int | None = None  # when the end of the input was read
        # When the input first ended in an incomplete message; None if it doesn't.
        self.partial_since_us: int | None = None
        # Unread bytes arrived after this time; None while the socket is watched and was last found empty.
        self._unread_since_us: int | None = arrived_after_us
        self._read_ahead_batches: list[Batch] = []  # read early, and to be processed in order

    @property
    def is_closed(self) -> bool:
        """Whether the connection has been closed."""
        return self._stream.closed

    @property
    def has_partial(self) -> bool:
        """Whether the last message is incomplete."""
        return self._parser.has_partial

    @property
    def unread_since_us(self) -> int:
        """A time before which none of the unread bytes arrived."""
        if self._unread_since_us is None:
            return self._loop.arrived_after()
        return self._unread_since_us

    def has_unread(self) -> bool:
        """Return whether bytes have arrived that are still unread."""
        return self._stream.is_stale() and not self._stream.has_ended()

    def has_unread_older_than(self, age_us: int) -> bool:
        """Return whether unread bytes, or an unread end, may have arrived more than `age_us` ago."""
        return self._loop.now() - self.unread_since_us > age_us and self._stream.is_stale()

    def mark_paused(self) -> None:
        """Record that input arriving from now on may wait before it is read."""
        if self._unread_since_us is None:
            self._unread_since_us = self._loop.now()

    def discard(self) -> None:
        """Stop parsing; the end of the input is still detected."""
        self.is_discarding = True
        self.partial_since_us = None

    def update_partial_since(self) -> None:
        """Record when the input first ended in an incomplete message; None once it doesn't."""
        if not self.has_partial:
            self.partial_since_us = None
        elif not self.partial_since_us:
            self.partial_since_us = self._loop.now()

    def receive_ahead(self) -> Batch:
        """Read a batch early; `receive_all` returns it again. Raises OSError if the connection broke."""
        batch = self._receive()
        self._read_ahead_batches.append(batch)
        return batch

    def receive_all(self) -> list[Batch]:
        """Return the batches that were read ahead, and a new one. Raises OSError if the connection broke."""
        batches = [*self._read_ahead_batches, self._receive()]
        self._read_ahead_batches.clear()
        return batches

    def _receive(self) -> Batch:
        """Read once; if the bytes may have waited longer than READ_ALL_AFTER_US, read until none are left.

        The input may contain the cancellation of a request long after the request itself.
        """
        arrived_after_us = self.unread_since_us
        must_read_all = self._loop.now() - arrived_after_us > READ_ALL_AFTER_US
        is_discarding = self.is_discarding or any(batch.error for batch in self._read_ahead_batches)
        messages: list[rpc.Incoming] = []
        error: rpc.UnreadableMessageError | None = None
        size = 0
        may_have_more = True
        while may_have_more:
            data = self._stream.recv_nowait(rpc.MAX_READ_BYTES)
            if data and not is_discarding:
                parsed, error = self._parser.feed(data)
                messages += parsed
            may_have_more = data is not None and len(data) == rpc.MAX_READ_BYTES
            size += len(data or b"")
            is_full = size >= MAX_BATCH_BYTES or len(messages) >= MAX_BATCH_MESSAGES
            if not must_read_all or error or is_full:
                break
        self._unread_since_us = arrived_after_us if may_have_more else None
        self._record_end(data, may_have_more)
        return Batch(arrived_after_us, messages, error)

    def _record_end(self, last_read: bytes | None, may_have_more: bool) -> None:
        """Record whether the input has ended; `last_read` is None if no bytes were available."""
        if may_have_more:
            self.has_ended = self.has_ended or _has_hung_up(self._stream)
        elif last_read == b"" or (last_read and self._stream.has_ended()):
            self.has_ended = True
            self.end_read_us = self.end_read_us or self._loop.now()


def _has_hung_up(stream: Stream) -> bool:
    """Return whether the other end has shut down its sending side, even if unread bytes precede the end."""
    poller = select.poll()
    poller.register(stream.fd, select.POLLRDHUP)
    return bool(poller.poll(0))
