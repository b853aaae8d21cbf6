"""Polling the name server over UDP: socket failures, address changes, unexpected responses."""

from __future__ import annotations

import errno
import socket
from contextlib import suppress
from typing import Any

import pytest

from walnutpost.interface import WorkerState
from walnutpost.node.discovery import DiscoveryClient
from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults, is_datagram_socket
from walnutpost.testsupport.node.fault_injection import errno_params, run_scenario_with_faults, udp_or_new
from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    OVERLOADED_ERROR,
    SECOND_US,
    NodeHarness,
    encode_discovery_response,
    run_scenario,
    warm_up_worker,
)


def test_move_without_a_free_file_descriptor_polls_the_new_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        new_name_server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        new_name_server.setblocking(False)
        new_name_server.bind(("127.0.0.1", 0))

        def raise_emfile(*args: Any) -> socket.socket:
            raise OSError(errno.EMFILE, "no descriptor left")

        with monkeypatch.context() as patch:
            patch.setattr("walnutpost.node.discovery.socket.socket", raise_emfile)
            harness.node.discovery.set_address(new_name_server.getsockname())
        harness.loop.wait_readable(new_name_server.fileno())
        query, address = new_name_server.recvfrom(512)
        new_name_server.sendto(encode_discovery_response(query, 7, harness.workers), address)
        harness.wait_until(lambda: harness.node.directory.serial == 7)
        harness.loop.stop_watching(new_name_server.fileno())
        new_name_server.close()

    run_scenario(scenario)


def test_move_to_an_unreachable_address_keeps_polling_the_old_one() -> None:
    def scenario(harness: NodeHarness) -> None:
        with pytest.raises(OSError):
            harness.node.discovery.set_address(("255.255.255.255", 9))
        queries_before = harness.node.discovery.queries
        harness.wait_until(lambda: harness.node.discovery.queries > queries_before + 3)
        query, address = harness.name_server.recvfrom(512)
        harness.name_server.sendto(encode_discovery_response(query, 7, harness.workers), address)
        harness.wait_until(lambda: harness.node.directory.serial == 7)

    run_scenario(scenario)


def test_unexpected_error_in_a_response_does_not_block_later_responses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        apply_response = harness.node.directory.apply_response
        remaining_errors = [RuntimeError("unexpected error"), KeyError("unexpected key")]

        def raise_or_apply(data: bytes) -> Any:
            if remaining_errors:
                raise remaining_errors.pop()
            return apply_response(data)

        monkeypatch.setattr(harness.node.directory, "apply_response", raise_or_apply)
        for serial in (5, 6, 7):
            harness.loop.wait_readable(harness.name_server.fileno())
            query, address = harness.name_server.recvfrom(512)
            harness.name_server.sendto(encode_discovery_response(query, serial, harness.workers), address)
        harness.loop.stop_watching(harness.name_server.fileno())
        harness.wait_until(lambda: harness.node.directory.serial == 7)
        assert harness.node.discovery.rejected_responses == 2

    run_scenario(scenario)


def test_reloaded_configuration_moves_polling_to_another_name_server() -> None:
    def scenario(harness: NodeHarness) -> None:
        new_name_server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        new_name_server.setblocking(False)
        new_name_server.bind(("127.0.0.1", 0))
        harness.loop.wait_readable(harness.name_server.fileno())
        harness.node.discovery.set_address(new_name_server.getsockname())
        harness.loop.wait_readable(new_name_server.fileno())
        harness.loop.stop_watching(new_name_server.fileno())
        harness.loop.stop_watching(harness.name_server.fileno())
        new_name_server.close()

    run_scenario(scenario)


def test_drain_is_noticed_by_its_announcement_deadline_and_stops_new_commands() -> None:
    """A change counts as announced 1.5 s after it happens; from then on no call may start at the worker."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        (worker,) = harness.workers
        warm_up_worker(harness, client)
        with suppress(BlockingIOError):
            while harness.name_server.recv(512):
                pass  # discard queries sent before the change
        changed_at = harness.loop.now()
        while worker.state is WorkerState.READY:  # answer the first query sent after the change
            harness.loop.wait_readable(harness.name_server.fileno())
            query, address = harness.name_server.recvfrom(512)
            if len(query) >= 12:
                worker.state = WorkerState.DRAINING
                harness.name_server.sendto(encode_discovery_response(query, 2, harness.workers), address)
        harness.wait_until(lambda: any("draining" in line for line in harness.log.lines))
        assert harness.loop.now() - changed_at < 1_500_000
        commands_before = len(worker.received_commands)
        client.send(budget="400")
        assert client.next_answer()[2] == OVERLOADED_ERROR
        assert len(worker.received_commands) == commands_before

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize(
    "error_number",
    errno_params([errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM, errno.ECONNREFUSED, errno.EHOSTUNREACH]),
)
@pytest.mark.parametrize("operation", ["send", "recv"])
def test_failed_query_is_sent_again(operation: Any, error_number: int) -> None:
    def scenario(harness: NodeHarness, faults: SocketFaults) -> None:
        queries_before = harness.node.discovery.queries
        faults.fail(operation, error_number, times=20, when=is_datagram_socket)
        harness.wait_until(lambda: harness.node.discovery.queries > queries_before + 5)
        while harness.node.directory.serial != 7:
            harness.loop.wait_readable(harness.name_server.fileno())
            query, address = harness.name_server.recvfrom(512)
            harness.name_server.sendto(encode_discovery_response(query, 7, harness.workers), address)
            harness.loop.sleep(10 * MILLISECOND_US)
        assert faults.failed[operation] >= 1
        harness.loop.stop_watching(harness.name_server.fileno())

    run_scenario_with_faults(scenario)


@pytest.mark.parametrize("operation", ["socket", "connect"])
@pytest.mark.parametrize("error_number", errno_params([errno.ENETUNREACH, errno.ENOBUFS, errno.EMFILE]))
def test_discovery_client_started_without_a_route_polls_later(operation: Any, error_number: int) -> None:
    def scenario(harness: NodeHarness, faults: SocketFaults) -> None:
        old_node = harness.node
        old_node.discovery.close()
        faults.fail(operation, error_number, times=3, when=udp_or_new)
        discovery = DiscoveryClient(
            harness.loop,
            old_node.directory,
            harness.name_server.getsockname(),
            1,
            lambda endpoints: None,
            harness.log,
        )
        assert faults.failed[operation] == 1
        harness.wait_until(lambda: discovery.queries)
        assert faults.failed[operation] == 3
        queries_before_close = discovery.queries
        discovery.close()
        harness.loop.sleep(SECOND_US)
        assert discovery.queries == queries_before_close  # a closed client sends nothing

    run_scenario_with_faults(scenario)
