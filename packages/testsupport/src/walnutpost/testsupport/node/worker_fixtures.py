"""Helpers for tests of worker connections: throttled sends, load orders, workers that don't read."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace
from typing import Any

import pytest

from walnutpost.gateway import AttemptEnded, LoadOrder, LoadOrderEnded, Send
from walnutpost.interface import Outcome
from walnutpost.node.open_requests import RequestIdentity
from walnutpost.node.worker_connection import WorkerConnection
from walnutpost.testsupport.node.harness import FUNCTION, MS, Words, Worker, World

ORDER_TIMEOUT_US = 200 * MS


PART = 20  # less than any whole command


PLENTY = 1 << 20


ORDERED = "00000000000000ff"  # function id of the load orders that tests send


LATE_US = 5 * MS  # until the fake worker has read what the node has sent


NEVER_ARRIVED = (Outcome.MOOT, Outcome.CONNECT_FAILED)


class Throttle:
    """Simulates a send buffer with room for `available_bytes`, and for much more once `open` is called."""

    def __init__(self, patch: pytest.MonkeyPatch, connection: WorkerConnection, available_bytes: int) -> None:
        self.room = available_bytes
        self._connection = connection
        self._send = connection.stream.send_now
        patch.setattr(connection.stream, "send_now", self._take)
        patch.setattr(connection.stream, "on_writable", lambda callback: None)

    def _take(self, data: bytes) -> bytes:
        count = min(self.room, len(data))
        self.room -= count
        return (self._send(data[:count]) if count else b"") + data[count:]

    def open(self) -> None:
        """Make room for everything and flush the connection."""
        self.room = PLENTY
        self._connection._flush()


def spawns(worker: Worker) -> list[Words]:
    """Return the load orders sent by tests that the worker has received."""
    return [command for command in worker.got if command[0] == b"SPAWN" and ORDERED.encode() in command[2]]


def one_connection(harness: World, worker: Worker, **limits: Any) -> WorkerConnection:
    """Limit the pool to one connection per worker and return the one to `worker`."""
    changes = {"max_connections": 1, "order_timeout_us": ORDER_TIMEOUT_US, **limits}
    harness.node.pool.limits = replace(harness.node.pool.limits, **changes)
    (connection,) = harness.node.pool._connections[worker.name]
    return connection


def order(harness: World, worker: str, begin_within_us: int = 0) -> list[LoadOrderEnded]:
    """Order one copy; return the list to which the outcomes will be appended."""
    ended: list[LoadOrderEnded] = []
    harness.node.workers.order_load(LoadOrder(worker, ORDERED, 1, begin_within_us), ended.append)
    return ended


def outcomes(ended: list[LoadOrderEnded]) -> list[Outcome]:
    """Return the outcomes of load orders that have ended."""
    return [done.outcome for done in ended]


def silent(command: Words) -> bytes | None:
    """Send no response."""
    return None


def call_without_answer(harness: World, worker: Worker, client: Any) -> Words:
    """Send a call to a worker that does not answer; return it once the worker has received it."""
    worker.answer, count_before = silent, len(worker.calls())
    client.send(method="reservation")
    harness.until(lambda: len(worker.calls()) > count_before)
    return worker.calls()[-1]


@contextmanager
def slow_reader(harness: World) -> Iterator[tuple[str, socket.socket]]:
    """Provide a worker that accepts one connection and never reads: what it is sent stays in the kernel."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        harness.node.pool.update_addresses({"slow": listener.getsockname()})
        yield "slow", listener


def received(listener: socket.socket) -> bytes:
    """Return the bytes of the next connection that are still in the kernel of either side."""
    sock, _ = listener.accept()
    data = b""
    with sock, suppress(ConnectionResetError):
        while more := sock.recv(PLENTY):
            data += more
    return data


def call_budget_ms(call: Words) -> int:
    """Return the time budget of a received call."""
    fields = dict(pair.split(b"=") for pair in call[2].split(b","))
    return int(fields[b"budget"])


def attempt(
    harness: World,
    worker: Worker,
    timeout_us: int,
    begin_within_us: int,
    call_id: int = 1_000_000,
    on_end: Callable[[], None] = lambda: None,
) -> list[AttemptEnded]:
    """Start an attempt without the gateway, for a simulated client; call `on_end` when it has ended."""
    ended: list[AttemptEnded] = []

    def done(attempt_done: AttemptEnded) -> None:
        ended.append(attempt_done)
        on_end()

    harness.node.clients.requests.identities[call_id] = RequestIdentity(b"%016x" % call_id, "valuation", "")
    send = Send(call_id, 0, worker.name, FUNCTION, None, b"body", timeout_us, call_id, False, begin_within_us)
    harness.node.workers.send(send, done)
    return ended
