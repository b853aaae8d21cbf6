"""Runs a node on sockets with injected faults."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from walnutpost.testsupport.eventloop.scripted_sockets import (
    SocketFaults,
    connected_to,
    is_datagram_socket,
    scripted_sockets,
)
from walnutpost.testsupport.node.harness import SECOND_US, NodeHarness, run_scenario

Scenario = Callable[[NodeHarness, SocketFaults], None]


def run_scenario_with_faults(scenario: Scenario, workers: int = 2) -> None:
    """Run `scenario` against a node on scripted sockets, with a time limit of 30 seconds."""

    def bounded(harness: NodeHarness) -> None:
        with harness.loop.timeout(30 * SECOND_US):
            scenario(harness, faults)

    with scripted_sockets() as faults:
        run_scenario(bounded, workers)


def errno_params(numbers: list[int]) -> list[Any]:
    """Return one test parameter for each error number, with its symbol as the test id."""
    return [pytest.param(number, id=errno.errorcode[number]) for number in numbers]


def count_open_calls(harness: NodeHarness) -> list[int]:
    """Return the number of open calls on each worker connection."""
    return [len(c.open) for connections in harness.node.pool._connections.values() for c in connections]


def to_any_worker(harness: NodeHarness) -> Callable[[Any], bool]:
    """Return a predicate that matches sockets connected to any of the workers."""
    predicates = [connected_to(worker._listener.address) for worker in harness.workers]
    return lambda sock: any(matches(sock) for matches in predicates)


def udp_or_new(sock: Any) -> bool:
    """Match UDP sockets and sockets that have no descriptor yet."""
    return sock.fileno() < 0 or is_datagram_socket(sock)
