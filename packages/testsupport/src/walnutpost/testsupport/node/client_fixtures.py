"""Clients of a node under test: requests in bytes, stalls, clients that fetch nothing."""

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
from walnutpost.testsupport.node.harness import FUNCTION, SECOND, Client, Words, World, play

LARGE = bytes(rpc.MAX_BODY_BYTES)  # two such requests are more than one read


def play_bounded(script: Callable[[World], None], workers: int = 2) -> None:
    """Plays it for a minute at the most: what never comes is a failure, not a wait without end."""

    def bounded(world: World) -> None:
        with world.loop.timeout(60 * SECOND):
            script(world)

    play(bounded, workers)


def request(number: int, body: bytes = b"", rid: str | None = None, budget: str = "1000") -> bytes:
    """Return a call of a client as the bytes of its wire form."""
    fields = {"rid": rid or f"{number:016x}", "budget": budget, "obj": FUNCTION}
    return msgpack.packb([0, number, "valuation", [fields, body]])  # type: ignore[no-any-return]


def stall(world: World, time: int) -> None:
    """Stop the process for so long: no round of the loop passes meanwhile."""
    assert isinstance(world.loop.clock, VirtualClock)
    world.loop.clock.advance_to(world.loop.now() + time)


def arrivals(
    world: World, patch: pytest.MonkeyPatch, during: Callable[[], None] = lambda: None
) -> list[CallArrived]:
    """Collect the calls that arrive at the gateway from now on; `during` runs just before each of them."""
    dispatcher, arrived = world.node.dispatcher, list[CallArrived]()
    arrive = dispatcher.submit

    def noting(call: CallArrived, done: Any) -> None:
        arrived.append(call)
        during()
        arrive(call, done)

    patch.setattr(dispatcher, "submit", noting)
    return arrived


def crowd(world: World, count: int) -> list[socket.socket]:
    """Connect clients with a request each, into the listener's queue: the loop has no turn meanwhile."""
    callers = [socket.create_connection(world.node.listener.address) for _ in range(count)]
    for position, caller in enumerate(callers):
        caller.sendall(request(1, rid=f"{position + 1000:016x}"))
    return callers


def silence(world: World) -> None:
    """Let no worker answer from now on."""
    for worker in world.workers:
        worker.answer = lambda words: None


def calls(world: World) -> list[Words]:
    """Return the calls that have arrived at the workers."""
    return [words for worker in world.workers for words in worker.calls()]


def only_connection(world: World) -> ClientConnection:
    """Return the node's connection to its one client."""
    (connection,) = world.node.clients.connections
    return connection


class Unfetched:
    """A client whose receive window is full until `fetch`."""

    def __init__(self, patch: pytest.MonkeyPatch, connection: ClientConnection) -> None:
        self._connection = connection
        patch.setattr(connection._stream, "send_now", lambda data: data)
        patch.setattr(connection._stream, "on_writable", lambda callback: None)

    def fetch(self) -> None:
        """Let the client fetch what is held back, and all that follows."""
        del self._connection._stream.send_now, self._connection._stream.on_writable
        self._connection._output.flush()


class FailingSocket:
    """A listening socket whose `accept` raises `errors`, then goes on."""

    def __init__(self, sock: socket.socket, errors: list[OSError]) -> None:
        self._sock = sock
        self._errors = errors

    def accept(self) -> Any:
        """Raise the next error, or accept once all were raised."""
        if self._errors:
            raise self._errors.pop()
        return self._sock.accept()

    def __getattr__(self, name: str) -> Any:
        """Return the attribute of the real socket."""
        return getattr(self._sock, name)


def interrupt_second(client: Client) -> None:
    """Interrupt the client's second call."""
    client.raw(msgpack.packb([2, "interrupt", [2]]))
