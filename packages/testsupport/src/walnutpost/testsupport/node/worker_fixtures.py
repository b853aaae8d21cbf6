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
from walnutpost.testsupport.node.harness import FUNCTION, MILLISECOND_US, Command, FakeWorker, NodeHarness

ORDER_TIMEOUT_US = 200 * MILLISECOND_US


PARTIAL_COMMAND_BYTES = 20  # less than any whole command


UNLIMITED_BYTES = 1 << 20


ORDERED_FUNCTION = "00000000000000ff"  # function id of the load orders that tests send


MAX_READ_DELAY_US = 5 * MILLISECOND_US  # until the fake worker has read what the node has sent


UNDELIVERED_OUTCOMES = (Outcome.EXPIRED, Outcome.CONNECT_FAILED)


class SendThrottle:
    """Simulates a send buffer with room for `available_bytes`, and for much more once `open` is called."""

    def __init__(self, patch: pytest.MonkeyPatch, connection: WorkerConnection, available_bytes: int) -> None:
        self.available_bytes = available_bytes
        self._connection = connection
        self._send = connection.stream.send_nowait
        patch.setattr(connection.stream, "send_nowait", self._take)
        patch.setattr(connection.stream, "on_writable", lambda callback: None)

    def _take(self, data: bytes) -> bytes:
        count = min(self.available_bytes, len(data))
        self.available_bytes -= count
        return (self._send(data[:count]) if count else b"") + data[count:]

    def open(self) -> None:
        """Make room for everything and flush the connection."""
        self.available_bytes = UNLIMITED_BYTES
        self._connection._flush()


def received_load_orders(worker: FakeWorker) -> list[Command]:
    """Return the load orders sent by tests that the worker has received."""
    return [
        command
        for command in worker.received_commands
        if command[0] == b"SPAWN" and ORDERED_FUNCTION.encode() in command[2]
    ]


def limit_to_one_connection(harness: NodeHarness, worker: FakeWorker, **limits: Any) -> WorkerConnection:
    """Limit the pool to one connection per worker and return the one to `worker`."""
    changes = {"max_connections": 1, "order_timeout_us": ORDER_TIMEOUT_US, **limits}
    harness.node.pool.limits = replace(harness.node.pool.limits, **changes)
    (connection,) = harness.node.pool._connections[worker.name]
    return connection


def send_load_order(harness: NodeHarness, worker: str, begin_within_us: int = 0) -> list[LoadOrderEnded]:
    """Order one copy; return the list to which the outcomes will be appended."""
    ended: list[LoadOrderEnded] = []
    harness.node.workers.order_load(LoadOrder(worker, ORDERED_FUNCTION, 1, begin_within_us), ended.append)
    return ended


def list_outcomes(ended: list[LoadOrderEnded]) -> list[Outcome]:
    """Return the outcomes of load orders that have ended."""
    return [done.outcome for done in ended]


def answer_nothing(command: Command) -> bytes | None:
    """Send no response."""
    return None


def answer_queries_only(command: Command) -> bytes | None:
    """Answer as a live worker that is still executing its calls."""
    return None if command[0] == b"FN" else FakeWorker.default_answer(command)


def send_unanswered_call(harness: NodeHarness, worker: FakeWorker, client: Any) -> Command:
    """Send a call to a worker that does not answer; return it once the worker has received it."""
    worker.answer, count_before = answer_nothing, len(worker.calls())
    client.send(method="reservation")
    harness.wait_until(lambda: len(worker.calls()) > count_before)
    return worker.calls()[-1]


@contextmanager
def non_reading_worker(harness: NodeHarness) -> Iterator[tuple[str, socket.socket]]:
    """Provide a worker that accepts one connection and never reads: what it is sent stays in the kernel."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        harness.node.pool.update_addresses({"slow": listener.getsockname()})
        yield "slow", listener


def read_remaining_bytes(listener: socket.socket) -> bytes:
    """Return the bytes of the next connection that are still in the kernel of either side."""
    sock, _ = listener.accept()
    data = b""
    with sock, suppress(ConnectionResetError):
        while more := sock.recv(UNLIMITED_BYTES):
            data += more
    return data


def call_budget_ms(call: Command) -> int:
    """Return the time budget of a received call."""
    fields = dict(pair.split(b"=") for pair in call[2].split(b","))
    return int(fields[b"budget"])


def start_attempt(
    harness: NodeHarness,
    worker: FakeWorker,
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
