"""The sending side of one client connection: a bounded buffer of answers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from walnutpost.eventloop import Loop, Stream

MAX_PENDING_BYTES = 1 << 20  # of unsent answers; above this, clients get errors instead of results
# Above this, further requests are rejected, or left unread if no request is open.
HIGH_WATER_BYTES = MAX_PENDING_BYTES // 4


class ClientOutput:
    """Buffers answers; all answers of one round of the loop are sent together at the end of the round."""

    def __init__(
        self,
        loop: Loop,
        stream: Stream,
        on_flushed: Callable[[], None],
        on_broken: Callable[[], None],
    ) -> None:
        """`on_flushed` is called when everything has been sent, `on_broken` when the connection breaks."""
        self._loop = loop
        self._stream = stream
        self._on_flushed = on_flushed
        self._on_broken = on_broken
        self._written: list[bytes] = []  # not passed to the kernel yet
        self._unsent = b""  # passed to the kernel, which didn't accept it
        self._is_flush_due = False

    @property
    def has_pending(self) -> bool:
        """Whether any answer is still to be sent."""
        return bool(self._written or self._unsent)

    @property
    def pending_bytes(self) -> int:
        """Size of the answers that have not been sent."""
        return len(self._unsent) + sum(map(len, self._written))

    @property
    def is_above_high_water(self) -> bool:
        """Whether too many answers are unsent for more requests to be accepted."""
        return len(self._unsent) > HIGH_WATER_BYTES

    def has_capacity(self, size: int) -> bool:
        """Return whether the buffer has room for `size` bytes more, after sending what the kernel accepts."""
        if self.pending_bytes + size > MAX_PENDING_BYTES and self._is_flush_due:
            with suppress(OSError):  # the pending flush will hit the error again and handle it
                self._send()
        return self.pending_bytes + size <= MAX_PENDING_BYTES

    def write(self, data: bytes) -> None:
        """Add an answer to the buffer, and send it at the end of this round."""
        self._written.append(data)
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
        if self._unsent:
            self._unsent = self._stream.send_nowait(self._unsent)
