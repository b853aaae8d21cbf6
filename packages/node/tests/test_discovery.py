"""Polling the name server over UDP: socket failures, address changes, unexpected responses."""

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


def test_move_without_a_free_file_descriptor_polls_the_new_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        new_name_server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        new_name_server.setblocking(False)
        new_name_server.bind(("127.0.0.1", 0))

        def raise_emfile(*args: Any) -> socket.socket:
            raise OSError(errno.EMFILE, "no descriptor left")

        with monkeypatch.context() as patch:
            patch.setattr("walnutpost.node.discovery.socket.socket", raise_emfile)
            world.node.discovery.set_address(new_name_server.getsockname())
        world.loop.wait_readable(new_name_server.fileno())
        query, address = new_name_server.recvfrom(512)
        new_name_server.sendto(listing(query, 7, world.workers), address)
        world.until(lambda: world.node.directory.serial == 7)
        world.loop.forget(new_name_server.fileno())
        new_name_server.close()

    play(script)


def test_move_to_an_unreachable_address_keeps_polling_the_old_one() -> None:
    def script(world: World) -> None:
        with pytest.raises(OSError):
            world.node.discovery.set_address(("255.255.255.255", 9))
        queries_before = world.node.discovery.queries
        world.until(lambda: world.node.discovery.queries > queries_before + 3)
        query, address = world.name_server.recvfrom(512)
        world.name_server.sendto(listing(query, 7, world.workers), address)
        world.until(lambda: world.node.directory.serial == 7)

    play(script)


def test_unexpected_error_in_a_response_does_not_block_later_responses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        apply_response = world.node.directory.apply_response
        remaining_errors = [RuntimeError("unexpected error"), KeyError("unexpected key")]

        def raise_or_apply(data: bytes) -> Any:
            if remaining_errors:
                raise remaining_errors.pop()
            return apply_response(data)

        monkeypatch.setattr(world.node.directory, "apply_response", raise_or_apply)
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
        new_name_server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        new_name_server.setblocking(False)
        new_name_server.bind(("127.0.0.1", 0))
        world.loop.wait_readable(world.name_server.fileno())
        world.node.discovery.set_address(new_name_server.getsockname())
        world.loop.wait_readable(new_name_server.fileno())
        world.loop.forget(new_name_server.fileno())
        world.loop.forget(world.name_server.fileno())
        new_name_server.close()

    play(script)


def test_drain_is_noticed_by_its_announcement_deadline_and_stops_new_commands() -> None:
    """A change counts as announced 1.5 s after it happens; from then on no call may start at the worker."""

    def script(world: World) -> None:
        client = world.client()
        (worker,) = world.workers
        warm(world, client)
        with suppress(BlockingIOError):
            while world.name_server.recv(512):
                pass  # discard queries sent before the change
        changed_at = world.loop.now()
        while worker.state is WorkerState.READY:  # answer the first query sent after the change
            world.loop.wait_readable(world.name_server.fileno())
            query, address = world.name_server.recvfrom(512)
            if len(query) >= 12:
                worker.state = WorkerState.DRAINING
                world.name_server.sendto(listing(query, 2, world.workers), address)
        world.until(lambda: any("draining" in line for line in world.log.lines))
        assert world.loop.now() - changed_at < 1_500_000
        commands_before = len(worker.got)
        client.send(budget="400")
        assert client.next()[2] == REFUSED
        assert len(worker.got) == commands_before

    play(script, workers=1)


@pytest.mark.parametrize(
    "error_number",
    ids([errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM, errno.ECONNREFUSED, errno.EHOSTUNREACH]),
)
@pytest.mark.parametrize("operation", ["send", "recv"])
def test_failed_query_is_sent_again(operation: Any, error_number: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        queries_before = world.node.discovery.queries
        faults.fail(operation, error_number, times=20, when=datagrams)
        world.until(lambda: world.node.discovery.queries > queries_before + 5)
        while world.node.directory.serial != 7:
            world.loop.wait_readable(world.name_server.fileno())
            query, address = world.name_server.recvfrom(512)
            world.name_server.sendto(listing(query, 7, world.workers), address)
            world.loop.sleep(10 * MS)
        assert faults.failed[operation] >= 1
        world.loop.forget(world.name_server.fileno())

    play_with_faults(script)


@pytest.mark.parametrize("operation", ["socket", "connect"])
@pytest.mark.parametrize("error_number", ids([errno.ENETUNREACH, errno.ENOBUFS, errno.EMFILE]))
def test_discovery_client_started_without_a_route_polls_later(operation: Any, error_number: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        old_node = world.node
        old_node.discovery.close()
        faults.fail(operation, error_number, times=3, when=datagrams_or_new)
        discovery = DiscoveryClient(
            world.loop,
            old_node.directory,
            world.name_server.getsockname(),
            1,
            lambda endpoints: None,
            world.log,
        )
        assert faults.failed[operation] == 1
        world.until(lambda: discovery.queries)
        assert faults.failed[operation] == 3
        queries_before_close = discovery.queries
        discovery.close()
        world.loop.sleep(SECOND)
        assert discovery.queries == queries_before_close  # a closed client sends nothing

    play_with_faults(script)
