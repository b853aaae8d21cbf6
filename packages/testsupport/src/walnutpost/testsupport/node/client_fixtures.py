"""Helpers for tests of client connections: encoded requests, process stalls, clients that stop reading."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import msgpack
import pytest

from walnutpost.eventloop import VirtualClock
from walnutpost.gateway import CallArrived
from walnutpost.node import rpc
from walnutpost.node.client_connection import ClientConnection
from walnutpost.testsupport.node.harness import (
    FUNCTION,
    SECOND_US,
    Client,
    Command,
    NodeHarness,
    run_scenario,
)

LARGE_BODY = bytes(rpc.MAX_BODY_BYTES)  # two requests of this size don't fit into one read


def run_scenario_with_timeout(scenario: Callable[[NodeHarness], None], workers: int = 2) -> None:
    """Run `scenario` with a time limit of one minute, so that a missing event fails the test."""

    def bounded(harness: NodeHarness) -> None:
        with harness.loop.timeout(60 * SECOND_US):
            scenario(harness)

    run_scenario(bounded, workers)


def encode_request(message_id: int, body: bytes = b"", rid: str | None = None, budget: str = "1000") -> bytes:
    """Return a client's call in its wire form."""
    fields = {"rid": rid or f"{message_id:016x}", "budget": budget, "obj": FUNCTION}
    return msgpack.packb([0, message_id, "valuation", [fields, body]])  # type: ignore[no-any-return]


def stall_process(harness: NodeHarness, duration_us: int) -> None:
    """Simulate a suspended process: time passes, but the event loop does not turn."""
    assert isinstance(harness.loop.clock, VirtualClock)
    harness.loop.clock.advance_to(harness.loop.now() + duration_us)


def record_submitted_calls(
    harness: NodeHarness, patch: pytest.MonkeyPatch, before_each: Callable[[], None] = lambda: None
) -> list[CallArrived]:
    """Record all calls submitted to the dispatcher from now on; `before_each` runs before each submission."""
    dispatcher, submitted = harness.node.dispatcher, list[CallArrived]()
    submit = dispatcher.submit

    def record(call: CallArrived, done: Any) -> None:
        submitted.append(call)
        before_each()
        submit(call, done)

    patch.setattr(dispatcher, "submit", record)
    return submitted


def connect_clients_with_requests(harness: NodeHarness, count: int) -> list[socket.socket]:
    """Connect clients that send one request each.

    The event loop does not turn meanwhile, so all of them wait in the listener's backlog.
    """
    clients = [socket.create_connection(harness.node.listener.address) for _ in range(count)]
    for position, client in enumerate(clients):
        client.sendall(encode_request(1, rid=f"{position + 1000:016x}"))
    return clients


def silence_workers(harness: NodeHarness) -> None:
    """Make all workers stop answering."""
    for worker in harness.workers:
        worker.answer = lambda command: None


def received_calls(harness: NodeHarness) -> list[Command]:
    """Return the calls that all workers have received."""
    return [command for worker in harness.workers for command in worker.calls()]


def only_client_connection(harness: NodeHarness) -> ClientConnection:
    """Return the node's only client connection."""
    (connection,) = harness.node.clients.connections
    return connection


class FullReceiveWindow:
    """Simulates a client that does not read: the node can't write to `connection` until `open` is called."""

    def __init__(self, patch: pytest.MonkeyPatch, connection: ClientConnection) -> None:
        self._connection = connection
        patch.setattr(connection._stream, "send_nowait", lambda data: data)
        patch.setattr(connection._stream, "on_writable", lambda callback: None)

    def open(self) -> None:
        """Let the client read the pending output and everything after it."""
        del self._connection._stream.send_nowait, self._connection._stream.on_writable
        self._connection._output.flush()


class FailingListenSocket:
    """A listening socket whose `accept` raises each of `errors`, the last one first, and then works."""

    def __init__(self, sock: socket.socket, errors: list[OSError]) -> None:
        self._sock = sock
        self._errors = errors

    def accept(self) -> Any:
        """Raise the next error, or accept a connection if none is left."""
        if self._errors:
            raise self._errors.pop()
        return self._sock.accept()

    def __getattr__(self, name: str) -> Any:
        """Delegate to the real socket."""
        return getattr(self._sock, name)


def interrupt_second_call(client: Client) -> None:
    """Send an interrupt for the client's second call."""
    client.send_raw(msgpack.packb([2, "interrupt", [2]]))
