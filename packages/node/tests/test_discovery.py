"""Polling the name server on sockets: failures, other addresses, unexpected responses."""

from __future__ import annotations

import errno
import socket
from contextlib import suppress
from typing import Any

import pytest

from walnutpost.interface import WorkerState
from walnutpost.node.discovery import DiscoveryClient
from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults, datagrams
from walnutpost.testsupport.node.fault_injection import datagrams_or_new, ids, play_with_faults
from walnutpost.testsupport.node.harness import MS, REFUSED, SECOND, World, listing, play, warm


def test_move_without_a_descriptor_polls_the_new_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        other.setblocking(False)
        other.bind(("127.0.0.1", 0))

        def none_left(*args: Any) -> socket.socket:
            raise OSError(errno.EMFILE, "no descriptor left")

        with monkeypatch.context() as patch:
            patch.setattr("walnutpost.node.discovery.socket.socket", none_left)
            world.node.discovery.move(other.getsockname())
        world.loop.wait_readable(other.fileno())
        query, address = other.recvfrom(512)
        other.sendto(listing(query, 7, world.workers), address)
        world.until(lambda: world.node.directory.serial == 7)
        world.loop.forget(other.fileno())
        other.close()

    play(script)


def test_move_to_an_unreachable_address_keeps_polling_the_former_one() -> None:
    def script(world: World) -> None:
        with pytest.raises(OSError):
            world.node.discovery.move(("255.255.255.255", 9))
        seen = world.node.discovery.queries
        world.until(lambda: world.node.discovery.queries > seen + 3)
        query, address = world.name_server.recvfrom(512)
        world.name_server.sendto(listing(query, 7, world.workers), address)
        world.until(lambda: world.node.directory.serial == 7)

    play(script)


def test_response_that_raises_an_unexpected_error_leaves_the_next_one_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        apply_response = world.node.directory.apply_response
        left = [RuntimeError("no such case"), KeyError("nor this")]

        def odd(data: bytes) -> Any:
            if left:
                raise left.pop()
            return apply_response(data)

        monkeypatch.setattr(world.node.directory, "apply_response", odd)
        for serial in (5, 6, 7):
            world.loop.wait_readable(world.name_server.fileno())
            query, address = world.name_server.recvfrom(512)
            world.name_server.sendto(listing(query, serial, world.workers), address)
        world.loop.forget(world.name_server.fileno())
        world.until(lambda: world.node.directory.serial == 7)
        assert world.node.discovery.rejected_responses == 2

    play(script)


def test_reloaded_configuration_moves_polling_to_another_name_server() -> None:
    def script(world: World) -> None:
        other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        other.setblocking(False)
        other.bind(("127.0.0.1", 0))
        world.loop.wait_readable(world.name_server.fileno())
        world.node.discovery.move(other.getsockname())
        world.loop.wait_readable(other.fileno())
        world.loop.forget(other.fileno())
        world.loop.forget(world.name_server.fileno())
        other.close()

    play(script)


def test_draining_worker_gets_nothing_before_the_change_counts_as_announced() -> None:
    """A change counts as announced 1.5 s after it happened, and no call begins at the worker from then on."""

    def script(world: World) -> None:
        client = world.client()
        (worker,) = world.workers
        warm(world, client)
        with suppress(BlockingIOError):
            while world.name_server.recv(512):
                pass  # asked before the change
        changed = world.loop.now()
        while worker.state is WorkerState.READY:  # the server answers what it was asked after the change
            world.loop.wait_readable(world.name_server.fileno())
            query, address = world.name_server.recvfrom(512)
            if len(query) >= 12:
                worker.state = WorkerState.DRAINING
                world.name_server.sendto(listing(query, 2, world.workers), address)
        world.until(lambda: any("draining" in line for line in world.log.lines))
        assert world.loop.now() - changed < 1_500_000
        seen = len(worker.got)
        client.send(budget="400")
        assert client.next()[2] == REFUSED
        assert len(worker.got) == seen

    play(script, workers=1)


@pytest.mark.parametrize(
    "number", ids([errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM, errno.ECONNREFUSED, errno.EHOSTUNREACH])
)
@pytest.mark.parametrize("operation", ["send", "recv"])
def test_query_that_fails_is_sent_again(operation: Any, number: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        asked = world.node.discovery.queries
        faults.fail(operation, number, times=20, when=datagrams)
        world.until(lambda: world.node.discovery.queries > asked + 5)
        while world.node.directory.serial != 7:
            world.loop.wait_readable(world.name_server.fileno())
            query, address = world.name_server.recvfrom(512)
            world.name_server.sendto(listing(query, 7, world.workers), address)
            world.loop.sleep(10 * MS)
        assert faults.failed[operation] >= 1
        world.loop.forget(world.name_server.fileno())

    play_with_faults(script)


@pytest.mark.parametrize("operation", ["socket", "connect"])
@pytest.mark.parametrize("number", ids([errno.ENETUNREACH, errno.ENOBUFS, errno.EMFILE]))
def test_node_without_a_route_to_the_name_server_at_its_start_serves_and_polls_later(
    operation: Any, number: int
) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        former = world.node
        former.discovery.close()
        faults.fail(operation, number, times=3, when=datagrams_or_new)
        node = DiscoveryClient(
            world.loop,
            former.directory,
            world.name_server.getsockname(),
            1,
            lambda endpoints: None,
            world.log,
        )
        assert faults.failed[operation] == 1
        world.until(lambda: node.queries)
        assert faults.failed[operation] == 3
        asked = node.queries
        node.close()
        world.loop.sleep(SECOND)
        assert node.queries == asked  # what was closed stays so

    play_with_faults(script)
