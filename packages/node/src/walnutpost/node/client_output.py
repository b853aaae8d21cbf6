"""The sending side of one client connection: a bounded buffer of answers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from walnutpost.eventloop import Loop, Stream

MAX_PENDING_BYTES = 1 << 20  # of answers that a client hasn't fetched: beyond, bodies give way to errors
# Beyond, further requests are rejected, or left unread where nothing is open.
HIGH_WATER_BYTES = MAX_PENDING_BYTES // 4


class ClientOutput:
    """Answers that wait to leave; what is written in one round of the loop leaves together at its end."""

    def __init__(
        self,
        loop: Loop,
        stream: Stream,
        on_flushed: Callable[[], None],
        on_broken: Callable[[], None],
    ) -> None:
        """`on_flushed` is called when all has left, `on_broken` when the connection broke."""
        self._loop = loop
        self._stream = stream
        self._on_flushed = on_flushed
        self._on_broken = on_broken
        self._written: list[bytes] = []  # not offered to the kernel yet
        self._unsent = b""  # offered, and not taken
        self._is_flush_due = False

    @property
    def has_pending(self) -> bool:
        """Whether anything is still to leave."""
        return bool(self._written or self._unsent)

    @property
    def pending_bytes(self) -> int:
        """Size of the answers that have not left."""
        return len(self._unsent) + sum(map(len, self._written))

    @property
    def is_above_high_water(self) -> bool:
        """Whether the client fetches too little for more requests to be accepted."""
        return len(self._unsent) > HIGH_WATER_BYTES

    def has_capacity(self, size: int) -> bool:
        """Return whether so many more bytes may wait; what the kernel would take does not count."""
        if self.pending_bytes + size > MAX_PENDING_BYTES and self._is_flush_due:
            with suppress(OSError):  # met again by the flush that is due
                self._send()
        return self.pending_bytes + size <= MAX_PENDING_BYTES

    def write(self, data: bytes) -> None:
        """Append an answer."""
        self._written.append(data)
        if not self._is_flush_due and not self._unsent:
            self._is_flush_due = True
            self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Send what the kernel takes, and the rest once it takes more."""
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
        """Give the kernel what it takes. Raises OSError if the connection broke."""
        self._unsent += b"".join(self._written)
        self._written.clear()
        if self._unsent:
            self._unsent = self._stream.send_now(self._unsent)
