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
    def bounded(world: World) -> None:
        with world.loop.timeout(30 * SECOND):
            script(world, faults)

    with scripted_sockets() as faults:
        play(bounded, workers)


def ids(numbers: list[int]) -> list[Any]:
    return [pytest.param(number, id=errno.errorcode[number]) for number in numbers]


def open_calls(world: World) -> list[int]:
    """How much is out on each connection to a worker."""
    return [len(c.open) for those in world.node.pool._connections.values() for c in those]


def to_any(world: World) -> Callable[[Any], bool]:
    """Picks sockets to any of the workers."""
    chosen = [to(worker._listener.address) for worker in world.workers]
    return lambda sock: any(choice(sock) for choice in chosen)


def datagrams_or_new(sock: Any) -> bool:
    """Picks the sockets of UDP, and those that are not made yet."""
    return sock.fileno() < 0 or datagrams(sock)
