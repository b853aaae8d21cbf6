"""The commands that wait to leave on one connection, and how much of each the kernel has taken."""

from __future__ import annotations

from collections import deque

from walnutpost.node.exchange import Exchange, SendProgress

MAX_CHUNK_BYTES = 64 << 10  # offered to the kernel at once: only what it may take is encoded


class Outbox:
    """A queue of exchanges, and of commands that get no response (bytes).

    `len` counts those that have not begun to leave; they are encoded when they are offered, and again if no
    byte of them was taken.
    """

    def __init__(self) -> None:
        self._waiting: deque[Exchange | bytes] = deque()
        self._unsent = b""  # what is left of the command that has begun to leave
        self._partial: Exchange | None = None  # whose command that is
        self._offered: list[tuple[Exchange | None, bytes]] = []

    def __len__(self) -> int:
        """Return the number of commands that have not begun to leave."""
        return len(self._waiting)

    @property
    def has_partial(self) -> bool:
        """Whether a command has begun to leave and not left completely."""
        return bool(self._unsent)

    @property
    def has_pending(self) -> bool:
        """Whether anything is still to leave."""
        return bool(self._unsent or self._waiting)

    @property
    def oldest(self) -> Exchange | None:
        """The unsent exchange that has waited for longest."""
        return next((command for command in self._waiting if isinstance(command, Exchange)), None)

    def add(self, command: Exchange | bytes) -> None:
        """Append a command."""
        self._waiting.append(command)

    def unsent_exchanges(self) -> list[Exchange]:
        """Return the exchanges of which no byte has left."""
        return [command for command in self._waiting if isinstance(command, Exchange)]

    def remove(self, exchange: Exchange) -> bool:
        """Remove an exchange that has not begun to leave; return False if it has, or isn't here."""
        for index, command in enumerate(self._waiting):
            if command is exchange:
                del self._waiting[index]
                return True
        return False

    def clear(self) -> None:
        """Drop everything, also the rest of a command that has begun to leave."""
        self._waiting.clear()
        self._unsent = b""
        self._partial = None

    def next_chunk(self, now_us: int) -> bytes:
        """Return the next bytes to offer to the kernel; `mark_sent` must follow."""
        self._offered = [(self._partial, self._unsent)] if self._unsent else []
        size = len(self._unsent)
        for command in self._waiting:
            if size >= MAX_CHUNK_BYTES:
                break
            if isinstance(command, Exchange):
                data = command.encode(now_us)
                self._offered.append((command, data))
            else:
                data = command
                self._offered.append((None, data))
            size += len(data)
        return b"".join(data for _, data in self._offered)

    def mark_sent(self, count: int, now_us: int) -> None:
        """Note that the kernel took the first `count` bytes of the last chunk."""
        for exchange, data in self._offered:
            if count <= 0:
                break
            if self._unsent:
                self._unsent = b""
            else:
                self._waiting.popleft()
            self._unsent = data[count:]
            self._partial = exchange if self._unsent else None
            if exchange is not None:
                exchange.progress = SendProgress.PARTIAL if self._unsent else SendProgress.SENT
                exchange.sent_us = now_us
            count -= len(data)
        self._offered = []
