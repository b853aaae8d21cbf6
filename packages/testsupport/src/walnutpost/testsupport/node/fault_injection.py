"""Runs a node on sockets with injected faults."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults, datagrams, scripted_sockets, to
from walnutpost.testsupport.node.harness import SECOND, World, play

Scenario = Callable[[World, SocketFaults], None]


def play_with_faults(scenario: Scenario, workers: int = 2) -> None:
    """Run `scenario` against a node on scripted sockets, with a time limit of 30 seconds."""

    def bounded(harness: World) -> None:
        with harness.loop.timeout(30 * SECOND):
            scenario(harness, faults)

    with scripted_sockets() as faults:
        play(bounded, workers)


def ids(numbers: list[int]) -> list[Any]:
    """Return one test parameter for each error number, with its symbol as the test id."""
    return [pytest.param(number, id=errno.errorcode[number]) for number in numbers]


def open_calls(harness: World) -> list[int]:
    """Return the number of open calls on each worker connection."""
    return [len(c.open) for connections in harness.node.pool._connections.values() for c in connections]


def to_any(harness: World) -> Callable[[Any], bool]:
    """Return a predicate that matches sockets connected to any of the workers."""
    predicates = [to(worker._listener.address) for worker in harness.workers]
    return lambda sock: any(matches(sock) for matches in predicates)


def datagrams_or_new(sock: Any) -> bool:
    """Match UDP sockets and sockets that have no descriptor yet."""
    return sock.fileno() < 0 or datagrams(sock)
