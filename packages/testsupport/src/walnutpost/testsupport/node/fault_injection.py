"""A node on sockets that fail by script."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults, datagrams, scripted_sockets, to
from walnutpost.testsupport.node.harness import SECOND, World, play

Script = Callable[[World, SocketFaults], None]


def play_with_faults(script: Script, workers: int = 2) -> None:
    """Run `script` beside a node on scripted sockets, within 30 seconds."""

    def bounded(world: World) -> None:
        with world.loop.timeout(30 * SECOND):
            script(world, faults)

    with scripted_sockets() as faults:
        play(bounded, workers)


def ids(numbers: list[int]) -> list[Any]:
    """Return error numbers as parameters named by their symbols."""
    return [pytest.param(number, id=errno.errorcode[number]) for number in numbers]


def open_calls(world: World) -> list[int]:
    """How much is out on each connection to a worker."""
    return [len(c.open) for those in world.node.pool._connections.values() for c in those]


def to_any(world: World) -> Callable[[Any], bool]:
    """Pick the sockets to any of the workers."""
    chosen = [to(worker._listener.address) for worker in world.workers]
    return lambda sock: any(choice(sock) for choice in chosen)


def datagrams_or_new(sock: Any) -> bool:
    """Pick the UDP sockets, and those that are not made yet."""
    return sock.fileno() < 0 or datagrams(sock)
