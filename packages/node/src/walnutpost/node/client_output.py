"""The sending side of one client connection: a bounded buffer of answers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from walnutpost.eventloop import Loop, Stream
from walnutpost.node.memory_budget import MemoryShare

MAX_PENDING_BYTES = 1 << 20  # of unsent answers; above this, clients get errors instead of results
# Above this, further requests are rejected, or left unread if no request is open.
HIGH_WATER_BYTES = MAX_PENDING_BYTES // 4


class ClientOutput:
    """Buffers answers; all answers of one round of the loop are sent together at the end of the round."""

    def __init__(
        self,
        loop: Loop,
        stream: Stream,
        memory: MemoryShare,
        on_flushed: Callable[[], None],
        on_broken: Callable[[], None],
    ) -> None:
        """`on_flushed` is called when everything has been sent, `on_broken` when the connection breaks."""
        self._loop = loop
        self._stream = stream
        self._memory = memory
        self._on_flushed = on_flushed
        self._on_broken = on_broken
        self._written: list[bytes] = []  # not passed to the kernel yet
        self._unsent = b""  # passed to the kernel, which didn't accept it
        self._is_flush_due = False
        self.pending_bytes = 0  # size of the answers that have not been sent
        self.stalled_since_us: int | None = None  # when the kernel last accepted bytes, if some are unsent

    @property
    def has_pending(self) -> bool:
        """Whether any answer is still to be sent."""
        return bool(self._written or self._unsent)

    @property
    def is_above_high_water(self) -> bool:
        """Whether too many answers are unsent for more requests to be accepted."""
        return len(self._unsent) > HIGH_WATER_BYTES or (bool(self._unsent) and not self._memory.may_grow(0))

    def has_capacity(self, size: int) -> bool:
        """Return whether the buffer has room for `size` bytes more, after sending what the kernel accepts."""
        if not self._has_room(size) and self._is_flush_due:
            with suppress(OSError):  # the pending flush will hit the error again and handle it
                self._send()
        return self._has_room(size) or not self.has_pending

    def _has_room(self, size: int) -> bool:
        return self.pending_bytes + size <= MAX_PENDING_BYTES and self._memory.may_grow(size)

    def drop(self) -> None:
        """Drop all unsent answers; the connection has been closed."""
        self._written.clear()
        self._unsent = b""
        self._update_pending(0)

    def _update_pending(self, pending_bytes: int) -> None:
        self._memory.change(pending_bytes - self.pending_bytes)
        self.pending_bytes = pending_bytes

    def write(self, data: bytes) -> None:
        """Add an answer to the buffer, and send it at the end of this round."""
        if self._stream.closed:
            return
        self._written.append(data)
        self._update_pending(self.pending_bytes + len(data))
        if not self._is_flush_due and not self._unsent:
            self._is_flush_due = True
            self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Send as much as the kernel accepts, and the rest as soon as the socket is writable."""
        self._is_flush_due = False
        if self._stream.closed:
            return
        try:
            self._send()
        except OSError:
            self._on_broken()
            return
        if self._unsent:
            self._stream.on_writable(self.flush)
        else:
            self._on_flushed()

    def _send(self) -> None:
        """Send as much as the kernel accepts. Raises OSError if the connection broke."""
        self._unsent += b"".join(self._written)
        self._written.clear()
        size = len(self._unsent)
        if self._unsent:
            self._unsent = self._stream.send_nowait(self._unsent)
        if not self._unsent:
            self.stalled_since_us = None
        elif len(self._unsent) < size or self.stalled_since_us is None:
            self.stalled_since_us = self._loop.now()
        self._update_pending(len(self._unsent))
