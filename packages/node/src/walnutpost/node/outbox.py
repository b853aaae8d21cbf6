"""The commands that wait to leave on one connection, and how much of each the kernel has been given."""

from __future__ import annotations

from collections import deque

from walnutpost.node.exchange import Exchange, Progress

CHUNK_SIZE = 64 << 10  # bytes offered to the kernel at once: only what it may take is encoded


class Outbox:
    """A queue of exchanges and of commands that get no answer (bytes). `len` counts those that have not
    begun to leave; they are encoded when they are offered, and again if no byte of them was taken."""

    def __init__(self) -> None:
        self._waiting: deque[Exchange | bytes] = deque()
        self._unsent = b""  # what is left of the command that has begun to leave
        self._partial: Exchange | None = None  # whose command that is
        self._offered: list[tuple[Exchange | None, bytes]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def partial(self) -> bool:
        """Whether a command has begun to leave and not left whole."""
        return bool(self._unsent)

    @property
    def pending(self) -> bool:
        """Whether anything is still to leave."""
        return bool(self._unsent or self._waiting)

    @property
    def oldest(self) -> Exchange | None:
        """The exchange that has waited here for longest with no byte of it sent."""
        return next((command for command in self._waiting if isinstance(command, Exchange)), None)

    def add(self, command: Exchange | bytes) -> None:
        self._waiting.append(command)

    def exchanges(self) -> list[Exchange]:
        """Those no byte of which has left."""
        return [command for command in self._waiting if isinstance(command, Exchange)]

    def remove(self, exchange: Exchange) -> bool:
        """Takes back an exchange that has not begun to leave; False if it has, or isn't here."""
        for place, command in enumerate(self._waiting):
            if command is exchange:
                del self._waiting[place]
                return True
        return False

    def clear(self) -> None:
        """Drops everything, also the end of a command that has begun to leave."""
        self._waiting.clear()
        self._unsent = b""
        self._partial = None

    def chunk(self, now_us: int) -> bytes:
        """The next bytes to offer to the kernel; `taken` must be told how many it took."""
        self._offered = [(self._partial, self._unsent)] if self._unsent else []
        size = len(self._unsent)
        for command in self._waiting:
            if size >= CHUNK_SIZE:
                break
            if isinstance(command, Exchange):
                exchange, data = command, command.encode(now_us)
                self._offered.append((exchange, data))
            else:
                data = command
                self._offered.append((None, data))
            size += len(data)
        return b"".join(data for _, data in self._offered)

    def taken(self, count: int, now_us: int) -> None:
        """The kernel took the first `count` bytes of the last chunk."""
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
                exchange.progress = Progress.PARTIAL if self._unsent else Progress.SENT
                exchange.sent_us = now_us
            count -= len(data)
        self._offered = []
