"""The sending side of one client connection: a bounded buffer of answers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from walnutpost.eventloop import Loop, Stream

OUT_MOST = 1 << 20  # bytes of answers that a client hasn't fetched: beyond, bodies give way to errors
OUT_HIGH_WATER = OUT_MOST // 4  # beyond, further requests are refused, or left unread where nothing is open


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
        self._flush_due = False

    @property
    def pending(self) -> bool:
        """Whether anything is still to leave."""
        return bool(self._written or self._unsent)

    @property
    def size(self) -> int:
        """Bytes of answers that have not left."""
        return len(self._unsent) + sum(map(len, self._written))

    @property
    def above_high_water(self) -> bool:
        """Whether the client fetches too little for more requests to be taken."""
        return len(self._unsent) > OUT_HIGH_WATER

    def has_room(self, size: int) -> bool:
        """Whether so much more may wait to leave. What the kernel would take does not count."""
        if self.size + size > OUT_MOST and self._flush_due:
            with suppress(OSError):  # met again by the flush that is due
                self._push()
        return self.size + size <= OUT_MOST

    def write(self, data: bytes) -> None:
        self._written.append(data)
        if not self._flush_due and not self._unsent:
            self._flush_due = True
            self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Sends what the kernel takes, and the rest once it takes more."""
        self._flush_due = False
        if self._stream.closed:
            return
        try:
            self._push()
        except OSError:
            self._on_broken()
            return
        if self._unsent:
            self._stream.on_writable(self.flush)
        else:
            self._on_flushed()

    def _push(self) -> None:
        """Hands to the kernel what it takes. OSError if the connection broke."""
        self._unsent += b"".join(self._written)
        self._written.clear()
        if self._unsent:
            self._unsent = self._stream.send_now(self._unsent)
