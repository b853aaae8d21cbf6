"""Connections to workers under test: throttled sends, load orders, workers that read slowly."""

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


PART = 20  # bytes: some of any command, all of none


PLENTY = 1 << 20


ORDERED = "00000000000000ff"  # the function of the tests' own orders


LATE_US = 5 * MS  # within which the stand-in has read what has left


NEVER_ARRIVED = (Outcome.MOOT, Outcome.CONNECT_FAILED)


class Throttle:
    """The kernel takes `room` bytes on the connection, and more once `open` is called."""

    def __init__(self, patch: pytest.MonkeyPatch, connection: WorkerConnection, room: int) -> None:
        self.room = room
        self._connection = connection
        self._send = connection.stream.send_now
        patch.setattr(connection.stream, "send_now", self._take)
        patch.setattr(connection.stream, "on_writable", lambda callback: None)

    def _take(self, data: bytes) -> bytes:
        count = min(self.room, len(data))
        self.room -= count
        return (self._send(data[:count]) if count else b"") + data[count:]

    def open(self) -> None:
        """Make room for all that is to be sent."""
        self.room = PLENTY
        self._connection._flush()


def spawns(worker: Worker) -> list[Words]:
    """Return the tests' own orders that have arrived."""
    return [words for words in worker.got if words[0] == b"SPAWN" and ORDERED.encode() in words[2]]


def one_connection(world: World, worker: Worker, **limits: Any) -> WorkerConnection:
    """Return the connection to a warm worker, with no room for a second one."""
    ended = {"max_connections": 1, "order_timeout_us": ORDER_TIMEOUT_US, **limits}
    world.node.pool.limits = replace(world.node.pool.limits, **ended)
    (connection,) = world.node.pool._connections[worker.name]
    return connection


def order(world: World, worker: str, latest: int = 0) -> list[LoadOrderEnded]:
    """Orders one copy; where its outcomes will stand."""
    ended: list[LoadOrderEnded] = []
    world.node.workers.order_load(LoadOrder(worker, ORDERED, 1, latest), ended.append)
    return ended


def outcomes(ended: list[LoadOrderEnded]) -> list[Outcome]:
    """Return the outcomes of load orders that have ended."""
    return [done.outcome for done in ended]


def silent(words: Words) -> bytes | None:
    """Answer nothing."""
    return None


def call_without_answer(world: World, worker: Worker, client: Any) -> Words:
    """Return a call that has arrived at the worker and isn't answered."""
    worker.answer, before = silent, len(worker.calls())
    client.send(method="reservation")
    world.until(lambda: len(worker.calls()) > before)
    return worker.calls()[-1]


@contextmanager
def slow_reader(world: World) -> Iterator[tuple[str, socket.socket]]:
    """Return a worker that takes one connection and reads nothing: the kernel keeps what it is sent."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        world.node.pool.update_addresses({"slow": listener.getsockname()})
        yield "slow", listener


def received(listener: socket.socket) -> bytes:
    """All that still comes on the connection, from the kernel of either side."""
    sock, _ = listener.accept()
    data = b""
    with sock, suppress(ConnectionResetError):
        while more := sock.recv(PLENTY):
            data += more
    return data


def budget_of(call: Words) -> int:
    """Return the time budget of a call that has arrived."""
    fields = dict(pair.split(b"=") for pair in call[2].split(b","))
    return int(fields[b"budget"])


def attempt(
    world: World,
    worker: Worker,
    timeout: int,
    latest: int,
    call: int = 1_000_000,
    then: Callable[[], None] = lambda: None,
) -> list[AttemptEnded]:
    """Begin an attempt straight from the gateway, for a client that waits; `then` runs when it has ended."""
    ended: list[AttemptEnded] = []

    def done(attempt_done: AttemptEnded) -> None:
        ended.append(attempt_done)
        then()

    world.node.clients.requests.identities[call] = RequestIdentity(b"%016x" % call, "valuation", "")
    start = Send(call, 0, worker.name, FUNCTION, None, b"body", timeout, call, False, latest)
    world.node.workers.send(start, done)
    return ended
