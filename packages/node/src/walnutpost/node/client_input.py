"""The receiving side of one client connection: parses messages and bounds their arrival times."""

from __future__ import annotations

import select
from collections import deque
from dataclasses import dataclass

from walnutpost.eventloop import Loop, Stream
from walnutpost.node import rpc
from walnutpost.node.client_context import MAX_OPEN_REQUESTS
from walnutpost.node.memory_budget import MemoryShare

READ_ALL_AFTER_US = 20_000  # input that may have waited longer is read completely before it is processed
MAX_QUEUED_BYTES = 1 << 20  # enough for MAX_OPEN_REQUESTS requests of the maximum size
MAX_QUEUED_MESSAGES = 8 * MAX_OPEN_REQUESTS
MIN_HELD_BYTES = rpc.MAX_BODY_BYTES  # that a connection may hold while others have used up the memory
MAX_PARSED_AT_ONCE = 2 * MAX_OPEN_REQUESTS  # all open requests of a connection, and their cancellations


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message that is still to be processed. None of its bytes arrived before `arrived_after_us`."""

    message: rpc.Incoming
    arrived_after_us: int


class ClientInput:
    """Reads and parses a client's input, and queues the messages until they are processed.

    The queue is bounded: `receive` reads nothing more while it is full. Never closes the stream; raises
    OSError if the stream is broken.
    """

    def __init__(
        self,
        loop: Loop,
        stream: Stream,
        parser: rpc.MessageParser,
        memory: MemoryShare,
        arrived_after_us: int,
    ) -> None:
        """No byte arrived on the stream before `arrived_after_us`."""
        self._loop = loop
        self._stream = stream
        self._parser = parser
        self._memory = memory
        self._held_bytes = 0  # the part of `memory` that the input holds
        self._queue_bytes = 0  # memory of the queued messages
        self.queue: deque[QueuedMessage] = deque()
        self._queued_bytes = 0  # read since the queue was last empty
        self.error: rpc.UnreadableMessageError | None = None  # in the bytes after the queued messages
        # Whether the last read found bytes. The end of the input may follow them: it is held back at the
        # sender while the receive buffer is full.
        self.is_unconfirmed = False
        self.is_discarding = False  # further input is unreadable or too much, and is not parsed
        self.has_ended = False  # the end of the input has arrived, possibly after unread bytes
        self.end_read_us: int | None = None  # when the end of the input was read
        # When the input first ended in an incomplete message; None if it doesn't.
        self.partial_since_us: int | None = None
        # Unread bytes arrived after this time; None while the socket is watched and was last found empty.
        self._unread_since_us: int | None = arrived_after_us

    @property
    def is_closed(self) -> bool:
        """Whether the connection has been closed."""
        return self._stream.closed

    @property
    def has_partial(self) -> bool:
        """Whether the last message is incomplete."""
        return self._parser.has_partial

    @property
    def has_unprocessed(self) -> bool:
        """Whether messages that were read, or may be in the bytes that were read, are to be processed."""
        return bool(self.queue) or self._parser.may_have_more

    @property
    def is_full(self) -> bool:
        """Whether the queue has no room, so that nothing more is read until messages are processed."""
        if self._queued_bytes >= MAX_QUEUED_BYTES or len(self.queue) >= MAX_QUEUED_MESSAGES:
            return True
        return self._held_bytes >= MIN_HELD_BYTES and not self._memory.may_grow(rpc.MAX_READ_BYTES)

    @property
    def unread_since_us(self) -> int:
        """A time before which none of the unread bytes arrived."""
        if self._unread_since_us is None:
            return self._loop.arrived_after()
        return self._unread_since_us

    def has_unread(self) -> bool:
        """Return whether bytes have arrived that are still unread."""
        return self._parser.may_have_more or (self._stream.is_stale() and not self._stream.has_ended())

    def has_unread_older_than(self, age_us: int) -> bool:
        """Return whether unread bytes, or an unread end, may have arrived more than `age_us` ago."""
        if self._loop.now() - self.unread_since_us <= age_us:
            return False
        return self._parser.may_have_more or self._stream.is_stale()

    def may_hide_departure(self, age_us: int) -> bool:
        """Return whether queued messages waited longer than `age_us`, and their client may have left since.

        This is not known until another read, in a later round of the event loop, finds no further bytes.
        """
        may_read = not (self.has_ended or self.is_full or self.error)
        if not (may_read and self.queue and self.is_unconfirmed):
            return False
        return self._loop.now() - self.queue[0].arrived_after_us > age_us

    def mark_paused(self) -> None:
        """Record that input arriving from now on may wait before it is read."""
        if self._unread_since_us is None:
            self._unread_since_us = self._loop.now()

    def mark_unread(self) -> None:
        """Record that input which this round's poll reported is left unread for now."""
        if self._unread_since_us is None:
            self._unread_since_us = self._loop.arrived_after()

    def discard(self) -> None:
        """Stop parsing, and drop what is queued; the end of the input is still detected."""
        self.is_discarding = True
        self.partial_since_us = None
        self.error = None
        self.queue.clear()
        self._queued_bytes = self._queue_bytes = 0
        self._parser.clear()
        self._update_memory()

    def update_partial_since(self) -> None:
        """Record when the input first ended in an incomplete message; None once it doesn't."""
        if not self.has_partial:
            self.partial_since_us = None
        elif not self.partial_since_us:
            self.partial_since_us = self._loop.now()

    def next_message(self) -> QueuedMessage:
        """Remove and return the first message of the queue."""
        queued = self.queue.popleft()
        if not self.queue:
            self._queued_bytes = 0
        self._queue_bytes -= rpc.memory_bytes(queued.message)
        self._update_memory()
        return queued

    def _update_memory(self) -> None:
        held_bytes = self._queue_bytes + self._parser.unparsed_bytes
        self._memory.change(held_bytes - self._held_bytes)
        self._held_bytes = held_bytes

    def receive(self) -> list[rpc.Incoming]:
        """Read once, and queue and return the new messages. Raises OSError if the connection broke.

        If the bytes may have waited longer than READ_ALL_AFTER_US, this reads until none are left or the
        queue is full: the input may contain the cancellation of a request long after the request itself.
        """
        arrived_after_us = self.unread_since_us
        must_read_all = self._loop.now() - arrived_after_us > READ_ALL_AFTER_US
        received: list[rpc.Incoming] = []
        while not self.is_full and self.error is None:
            may_have_more = self._receive_once(arrived_after_us, received)
            self._unread_since_us = arrived_after_us if may_have_more else None
            if not (must_read_all and may_have_more) or self.is_discarding:
                break
        return received

    def _receive_once(self, arrived_after_us: int, received: list[rpc.Incoming]) -> bool:
        """Parse what is left of the last read, or read again; return whether more may have arrived."""
        data: bytes | None = b""
        is_new = not self._parser.may_have_more
        if is_new:
            data = self._stream.recv_nowait(rpc.MAX_READ_BYTES)
            self.is_unconfirmed = bool(data) or bool(received)
        if (data or not is_new) and not self.is_discarding:
            self._queued_bytes += len(data or b"")
            messages, self.error = self._parser.feed(data or b"")
            self.queue.extend(QueuedMessage(message, arrived_after_us) for message in messages)
            received += messages
            self._queue_bytes += sum(map(rpc.memory_bytes, messages))
            self._update_memory()
        may_have_more = self._parser.may_have_more or (data is not None and len(data) == rpc.MAX_READ_BYTES)
        if is_new:
            self._record_end(data, may_have_more)
        return may_have_more

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
