"""The send queue of one worker connection, which tracks how much of each command the kernel has accepted."""

from __future__ import annotations

from collections import deque

from walnutpost.node.exchange import CommandKind, Exchange, SendProgress

MAX_CHUNK_BYTES = 64 << 10  # per send call; limits how much is encoded before the kernel accepts it


class Outbox:
    """A queue of exchanges, and of encoded commands that get no response (bytes).

    `len` counts the commands of which no byte has been sent. Exchanges are encoded when they are passed to
    the kernel, and encoded again later if it accepted no byte of them. Calls may be held: they stay in the
    queue, but other commands are sent ahead of them.
    """

    def __init__(self) -> None:
        self._waiting: deque[Exchange | bytes] = deque()
        self._held: list[Exchange] = []  # calls that must not be sent until they are released
        self._unsent = b""  # the rest of the partially sent command
        self._partial: Exchange | None = None  # the exchange of that command
        self._offered: list[tuple[Exchange | None, bytes]] = []
        self._sent_count = 0  # exchanges that were sent completely

    def __len__(self) -> int:
        """Return the number of commands of which no byte has been sent."""
        return len(self._waiting) + len(self._held)

    @property
    def has_held(self) -> bool:
        """Whether any calls are held."""
        return bool(self._held)

    @property
    def has_partial(self) -> bool:
        """Whether a command has been sent partially."""
        return bool(self._unsent)

    @property
    def has_pending(self) -> bool:
        """Whether any bytes are still to be sent, other than those of held calls."""
        return bool(self._unsent or self._waiting)

    @property
    def oldest(self) -> Exchange | None:
        """The unsent exchange that has waited longest, of those that are not held."""
        return next((command for command in self._waiting if isinstance(command, Exchange)), None)

    def add(self, command: Exchange | bytes) -> None:
        """Append a command to the queue."""
        self._waiting.append(command)

    def unsent_exchanges(self) -> list[Exchange]:
        """Return the exchanges of which no byte has been sent."""
        return [*self._held, *(command for command in self._waiting if isinstance(command, Exchange))]

    def sendable_calls(self) -> list[Exchange]:
        """Return the calls of which no byte has been sent and that are not held."""
        return [
            command
            for command in self._waiting
            if isinstance(command, Exchange) and command.kind is CommandKind.CALL
        ]

    def hold(self, call: Exchange) -> None:
        """Send no byte of this call until `release`."""
        self._waiting.remove(call)
        self._held.append(call)

    def release(self) -> None:
        """Queue the held calls again, behind the commands that wait to be sent."""
        for call in self._held:
            call.is_cleared = True
        self._waiting.extend(self._held)
        self._held.clear()

    def remove(self, exchange: Exchange) -> bool:
        """Remove an unsent exchange; return False if it is partly or fully sent, or isn't in the queue."""
        if exchange in self._held:
            self._held.remove(exchange)
            return True
        for index, command in enumerate(self._waiting):
            if command is exchange:
                del self._waiting[index]
                return True
        return False

    def clear(self) -> None:
        """Drop everything, including the rest of a partially sent command."""
        self._waiting.clear()
        self._held.clear()
        self._unsent = b""
        self._partial = None

    def next_chunk(self, now_us: int) -> bytes:
        """Return the next bytes to pass to the kernel; the caller must then call `mark_sent`."""
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
        """Record that the kernel accepted the first `count` bytes of the last chunk."""
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
                self._update_progress(exchange, now_us)
            count -= len(data)
        self._offered = []

    def take_one_way_commands(self) -> bytes:
        """Remove the encoded commands that wait to be sent, and return them.

        Returns nothing while a command is partially sent, because its rest would have to come first.
        """
        if self._unsent:
            return b""
        commands = [command for command in self._waiting if isinstance(command, bytes)]
        self._waiting = deque(command for command in self._waiting if isinstance(command, Exchange))
        return b"".join(commands)

    def _update_progress(self, exchange: Exchange, now_us: int) -> None:
        exchange.sent_us = now_us
        if self._unsent:
            exchange.progress = SendProgress.PARTIAL
            return
        exchange.progress = SendProgress.SENT
        self._sent_count += 1
        exchange.sequence_number = self._sent_count
