"""A client process that misuses the node's protocol at full speed, for a limited time.

Arguments: a kind of `AbuseKind`, host, port, seconds and seed. All connections read what is sent to them,
except for those of `UNREAD_ANSWERS`. The process uses plain sockets, so that the node is the slower side.
"""

from __future__ import annotations

import json
import random
import select
import socket
import struct
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import msgpack

MAX_OPEN_REQUESTS = 32
LARGE_BODY = bytes(16 << 10)
CROWD_SIZE = 300  # connections of the kinds that use many
FLOOD_COUNT = 8  # connections of `MANY_FLOODS`
PIECE_BYTES = 120
PIECE_INTERVAL_S = 0.005
LONG_BUDGET_MS = "2500"
WRITE_BYTES = 64 << 10  # written at once by a flood
CONNECT_TIMEOUT_S = 5.0
IDLE_POLL_MS = 5
UNANSWERED_FUNCTION = "dead00000000beef"  # the workers of the tests never answer calls of it
LOADED_FUNCTION = f"{0x1000:016x}"  # one of the usual clients
UNLOADABLE_FUNCTION = "dead00000000cafe"  # no worker of the tests ever loads it, so its calls wait
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class AbuseKind(Enum):
    """What an abusive client does."""

    CANCELLED_FUNCTIONS = "cancelled_functions"  # each request names a new function and is cancelled at once
    CANCELLED_LATER = "cancelled_later"  # the same, cancelled after 16 more requests
    NEW_FUNCTIONS = "new_functions"  # requests for ever new functions
    MISSING_IDS = "missing_ids"
    UNSOUND_BUDGETS = "unsound_budgets"
    SKIPPED_MESSAGE_IDS = "skipped_message_ids"  # message ids from 10,000 on
    UNKNOWN_CANCELS = "unknown_cancels"
    LONG_CANCELS = "long_cancels"  # 4,000 message ids in each
    CHECKS = "checks"
    REPEATED_IDS = "repeated_ids"  # the same request id again and again
    MIXED_FLOOD = "mixed_flood"  # all of the above in turn, on one connection
    MANY_FLOODS = "many_floods"  # the same on several connections
    UNREAD_ANSWERS = "unread_answers"
    LARGE_BODIES = "large_bodies"  # a crowd with 32 open requests of the largest size on each connection
    HELD_BODIES = "held_bodies"  # the same, for a function of which there is no copy
    SHORT_ELEMENTS = "short_elements"  # a crowd that slowly sends heads of very many short elements
    HALF_REQUESTS = "half_requests"  # a crowd that stops in the middle of large requests
    SLOW_WRITERS = "slow_writers"  # a crowd that writes large requests slowly
    RESETS = "resets"  # 32 requests on a new connection, then a reset
    CLOSES = "closes"  # the same with an orderly close
    SILENT_CROWD = "silent_crowd"


@dataclass(slots=True)
class Connection:
    """A non-blocking connection with the bytes that are still to be written."""

    sock: socket.socket
    pending: bytes = b""
    next_write_at: float = 0.0
    has_ended: bool = False

    def write(self) -> None:
        """Write what the kernel accepts of the pending bytes."""
        try:
            self.pending = self.pending[self.sock.send(self.pending) :]
        except BlockingIOError:
            pass
        except OSError:
            self.has_ended = True

    def discard_input(self) -> None:
        """Read and discard what has arrived."""
        try:
            while data := self.sock.recv(1 << 16):
                if len(data) < 1 << 16:
                    return
            self.has_ended = True
        except BlockingIOError:
            pass
        except OSError:
            self.has_ended = True


class Departure(NamedTuple):
    """The requests of a client that has left, by the numbers in their ids, and the Unix time when it did."""

    first_id: int
    last_id: int
    left_at: float


class AbusiveClient:
    """Plays one kind of abuse until its time is up; replaces connections that the node ends."""

    def __init__(self, address: tuple[str, int], seconds: float, chance: random.Random) -> None:
        self._address = address
        self._ends_at = time.monotonic() + seconds
        self._chance = chance
        self._last_id = 0
        self.departures: list[Departure] = []
        self.connections_opened = 0
        self.messages_written = 0

    @property
    def is_over(self) -> bool:
        """Whether the time is up."""
        return time.monotonic() >= self._ends_at

    def connect(self) -> Connection | None:
        """Open a connection; return None if the node does not accept one in time."""
        try:
            sock = socket.create_connection(self._address, CONNECT_TIMEOUT_S)
        except OSError:
            return None
        sock.setblocking(False)
        self.connections_opened += 1
        return Connection(sock)

    def request(self, message_id: int, body: bytes = b"", function: str = "", **fields: str) -> bytes:
        """Return a sound request, for a new function unless one is given; `fields` replace fields of it."""
        self._last_id += 1
        self.messages_written += 1
        unique = f"f{self._chance.getrandbits(28):07x}{self._last_id:08x}"
        sound = {"rid": unique, "budget": "1000", "obj": function or unique}
        return msgpack.packb([0, message_id, "valuation", [{**sound, **fields}, body]])  # type: ignore[no-any-return]

    def cancel(self, *message_ids: int) -> bytes:
        """Return the cancellation of these requests."""
        self.messages_written += 1
        return msgpack.packb([2, "interrupt", list(message_ids)])  # type: ignore[no-any-return]

    def large_requests(self, function: str) -> bytes:
        """Return as many requests of the largest size as may be open on one connection."""
        numbers = range(1, MAX_OPEN_REQUESTS + 1)
        requests = [self.request(n, LARGE_BODY, function, budget=LONG_BUDGET_MS) for n in numbers]
        return b"".join(requests)

    # Floods

    def flood(self, next_messages: Callable[[int], bytes], count: int = 1, is_reading: bool = True) -> None:
        """Send `next_messages` at full speed on `count` connections; it gets a message id that counts up."""
        connections: dict[int, Connection] = {}
        message_ids: dict[int, int] = {}
        while not self.is_over:
            while len(connections) < count and (connection := self.connect()) is not None:
                connections[connection.sock.fileno()] = connection
                message_ids[connection.sock.fileno()] = 0
            for fd, connection in list(connections.items()):
                parts = []
                size = len(connection.pending)
                while size < WRITE_BYTES:
                    message_ids[fd] += 1
                    parts.append(next_messages(message_ids[fd]))
                    size += len(parts[-1])
                connection.pending += b"".join(parts)
                connection.write()
                if is_reading:
                    connection.discard_input()
                if connection.has_ended:
                    del connections[fd]
                    connection.sock.close()
            wait_for_progress(list(connections.values()))

    def mixed_message(self, message_id: int) -> bytes:
        """Return one message of each kind of flood in turn."""
        makers = list(FLOODS.values())
        return makers[message_id % len(makers)](self, message_id)

    # Crowds

    def crowd(self, content: Callable[[], bytes], piece_bytes: int = 0) -> None:
        """Send `content` on each of CROWD_SIZE connections, in slow pieces unless `piece_bytes` is 0.

        A connection stays open after that until the node ends it, and is then replaced.
        """
        connections: list[Connection] = []
        while not self.is_over:
            while len(connections) < CROWD_SIZE and not self.is_over:
                connection = self.connect()
                if connection is None:
                    break
                connection.pending = content()
                connections.append(connection)
            now = time.monotonic()
            for connection in connections:
                self._write_piece(connection, piece_bytes, now)
                connection.discard_input()
            for connection in connections:
                if connection.has_ended:
                    connection.sock.close()
            connections = [each for each in connections if not each.has_ended]
            time.sleep(IDLE_POLL_MS / 1000)

    @staticmethod
    def _write_piece(connection: Connection, piece_bytes: int, now: float) -> None:
        if not connection.pending or now < connection.next_write_at:
            return
        if not piece_bytes:
            connection.write()
            return
        rest = connection.pending[piece_bytes:]
        connection.pending = connection.pending[:piece_bytes]
        connection.write()
        connection.pending += rest
        connection.next_write_at = now + PIECE_INTERVAL_S

    def leave_repeatedly(self, is_reset: bool) -> None:
        """Send 32 requests on a new connection, leave, and start again."""
        while not self.is_over:
            connection = self.connect()
            if connection is None:
                continue
            first_id = self._last_id + 1
            connection.pending = self.large_requests(LOADED_FUNCTION)
            connection.write()
            if is_reset:
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.sock.close()
            self.departures.append(Departure(first_id, self._last_id, time.time()))


def wait_for_progress(connections: list[Connection]) -> None:
    """Wait until a connection can be read or written."""
    poller = select.poll()
    for connection in connections:
        poller.register(connection.sock, select.POLLIN | select.POLLOUT)
    poller.poll(IDLE_POLL_MS)


def short_elements() -> bytes:
    """Return the head of a message that never becomes complete, with very many short elements."""
    array_of_4000 = b"\xdc\x0f\xa0" + b"\x01" * 4000
    return b"\x94\x00\x01\xa9valuation\x9f" + array_of_4000 * 5


FLOODS: dict[AbuseKind, Callable[[AbusiveClient, int], bytes]] = {
    AbuseKind.CANCELLED_FUNCTIONS: lambda client, n: client.request(n) + client.cancel(n),
    AbuseKind.CANCELLED_LATER: lambda client, n: client.request(n) + client.cancel(n - 16),
    AbuseKind.NEW_FUNCTIONS: lambda client, n: client.request(n),
    AbuseKind.MISSING_IDS: lambda client, n: client.request(n, rid=""),
    AbuseKind.UNSOUND_BUDGETS: lambda client, n: client.request(n, budget="soon"),
    AbuseKind.SKIPPED_MESSAGE_IDS: lambda client, n: client.request(n + 10_000),
    AbuseKind.UNKNOWN_CANCELS: lambda client, n: client.cancel(n + 1_000_000),
    AbuseKind.LONG_CANCELS: lambda client, n: client.cancel(*range(1_000_000, 1_004_000)),
    AbuseKind.CHECKS: lambda client, n: msgpack.packb([0, n, "check", [{}]]),
    AbuseKind.REPEATED_IDS: lambda client, n: client.request(n, rid="abad1deaabad1dea") + client.cancel(n),
}


def play(kind: AbuseKind, client: AbusiveClient) -> None:
    """Play one kind of abuse until the client's time is up."""
    if kind in FLOODS:
        client.flood(lambda message_id: FLOODS[kind](client, message_id))
        return
    match kind:
        case AbuseKind.MIXED_FLOOD:
            client.flood(client.mixed_message)
        case AbuseKind.MANY_FLOODS:
            client.flood(client.mixed_message, FLOOD_COUNT)
        case AbuseKind.UNREAD_ANSWERS:
            client.flood(client.mixed_message, FLOOD_COUNT, is_reading=False)
        case AbuseKind.LARGE_BODIES:
            client.crowd(lambda: client.large_requests(UNANSWERED_FUNCTION))
        case AbuseKind.HELD_BODIES:
            client.crowd(lambda: client.large_requests(UNLOADABLE_FUNCTION))
        case AbuseKind.SHORT_ELEMENTS:
            client.crowd(short_elements, PIECE_BYTES)
        case AbuseKind.HALF_REQUESTS:
            client.crowd(lambda: client.large_requests(UNANSWERED_FUNCTION)[: -(8 << 10)])
        case AbuseKind.SLOW_WRITERS:
            client.crowd(lambda: client.request(1, LARGE_BODY, UNANSWERED_FUNCTION), PIECE_BYTES)
        case AbuseKind.RESETS | AbuseKind.CLOSES:
            client.leave_repeatedly(is_reset=kind is AbuseKind.RESETS)
        case AbuseKind.SILENT_CROWD:
            client.crowd(lambda: b"")


def main() -> None:
    """Play the kind of abuse that the arguments name, and print how much was written."""
    kind, host, port, seconds, seed = sys.argv[1:]
    client = AbusiveClient((host, int(port)), float(seconds), random.Random(int(seed)))
    play(AbuseKind(kind), client)
    print(f"connections={client.connections_opened} messages={client.messages_written}")
    print(json.dumps(client.departures))


if __name__ == "__main__":
    main()
