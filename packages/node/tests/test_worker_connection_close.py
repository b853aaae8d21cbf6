"""When a connection to a worker is closed or reset, and which bytes are then not delivered."""

from __future__ import annotations

import socket
from contextlib import suppress
from dataclasses import replace

import pytest

from walnutpost.interface import Outcome
from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    FakeWorker,
    NodeHarness,
    reply,
    run_scenario,
    settings,
    warm_up_worker,
)
from walnutpost.testsupport.node.worker_fixtures import (
    ORDER_TIMEOUT_US,
    UNLIMITED_BYTES,
    limit_to_one_connection,
    list_outcomes,
    non_reading_worker,
    read_remaining_bytes,
    received_load_orders,
    send_load_order,
    send_unanswered_call,
    start_attempt,
)


@pytest.mark.parametrize("close_method", ["close", "reset"])
def test_idle_connection_with_an_unread_close_carries_no_call(close_method: str) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        client.send(method="reservation")  # the node reads this before it sees that the worker closed
        (connection,) = harness.node.clients.connections
        getattr(worker.streams[0], close_method)()
        connection.read()
        assert client.next_answer() == [1, 2, None, [b"did body 2", {}]]
        assert len(worker.calls()) == 2

    run_scenario(scenario, workers=1)


def test_connection_near_its_idle_timeout_carries_no_call() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        harness.loop.sleep(75 * MILLISECOND_US)
        client.send()
        assert client.next_answer()[2] is None
        assert len(worker.streams) == 2

    run_scenario(scenario, workers=1, settings=settings(PolicyLimits={"ConnIdle": 100_000}))


def test_abandoned_load_order_in_the_kernel_buffer_is_not_delivered() -> None:
    def scenario(harness: NodeHarness) -> None:
        with non_reading_worker(harness) as (name, listener):
            harness.node.pool.limits = replace(harness.node.pool.limits, order_timeout_us=ORDER_TIMEOUT_US)
            ended = send_load_order(harness, name)
            (connection,) = harness.node.pool._connections[name]
            # Fills the worker's receive buffer ahead of the order.
            connection._outbox._waiting.appendleft(bytes(64 << 10))
            harness.wait_until(lambda: ended)
            assert list_outcomes(ended) == [Outcome.TIMEOUT] and not connection._outbox, (
                "the kernel should have accepted the whole order"
            )
            assert b"SPAWN" not in read_remaining_bytes(listener)

    run_scenario(scenario)


def test_load_order_in_the_kernel_buffer_is_not_delivered_after_the_process_ends() -> None:
    """The kernel closes the sockets of a killed process; its successor starts with its own load limit."""

    def scenario(harness: NodeHarness) -> None:
        with non_reading_worker(harness) as (name, listener):
            send_load_order(harness, name)
            (connection,) = harness.node.pool._connections[name]
            connection._outbox._waiting.appendleft(bytes(64 << 10))
            harness.wait_until(lambda: connection.is_connected and not connection._outbox)
            connection.stream.on_readable(None)
            harness.loop.stop_watching(connection.stream.fd)
            connection._sock.close()  # as the kernel does
            assert b"SPAWN" not in read_remaining_bytes(listener)

    run_scenario(scenario)


def test_idle_connection_is_closed_without_a_reset() -> None:
    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        harness.node.workers.close_idle_connections(worker.name)
        harness.wait_until(lambda: worker.connection_ends)
        assert worker.connection_ends == ["closed"]

    run_scenario(scenario, workers=1)


def test_load_order_is_not_delivered_after_the_worker_closes_its_sending_side() -> None:
    """The worker closes only its sending side and could still read what the kernel holds."""

    def scenario(harness: NodeHarness) -> None:
        with non_reading_worker(harness) as (name, listener):
            ended = send_load_order(harness, name)
            (connection,) = harness.node.pool._connections[name]
            connection._outbox._waiting.appendleft(bytes(64 << 10))
            harness.wait_until(lambda: connection.is_connected and not connection._outbox)
            sock, _ = listener.accept()
            sock.shutdown(socket.SHUT_WR)
            harness.wait_until(lambda: ended)
            data = b""
            with sock, suppress(ConnectionResetError):
                while more := sock.recv(UNLIMITED_BYTES):
                    data += more
            assert list_outcomes(ended) == [Outcome.RESET]
            assert b"SPAWN" not in data

    run_scenario(scenario)


def test_connection_with_an_abandoned_load_order_is_not_reused_and_ends_by_reset() -> None:
    """This holds even if the worker has sent data since, and a concurrent call still gets its response."""

    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        connection = limit_to_one_connection(harness, worker)
        call = send_unanswered_call(harness, worker, client)
        ended = send_load_order(harness, worker.name)
        harness.wait_until(lambda: received_load_orders(worker))
        worker.streams[0].send_all(reply(b"0" * 16, b"OK"))
        harness.wait_until(lambda: ended)
        assert list_outcomes(ended) == [Outcome.TIMEOUT]
        assert not connection.is_closed
        harness.node.pool.limits = replace(harness.node.pool.limits, max_connections=2)
        worker.answer = FakeWorker.default_answer
        other.send()
        assert other.next_answer()[2] is None
        assert len(worker.streams) == 2
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))
        assert client.next_answer()[2:] == [None, [b"mine", {}]]
        harness.wait_until(lambda: worker.connection_ends)
        assert worker.connection_ends == ["reset"]

    run_scenario(scenario, workers=1)


def test_abandoned_call_in_the_kernel_buffer_is_not_delivered() -> None:
    def scenario(harness: NodeHarness) -> None:
        with non_reading_worker(harness) as (name, listener):
            worker = harness.workers[0]
            worker.name = name
            ended = start_attempt(harness, worker, 300 * MILLISECOND_US, 300 * MILLISECOND_US)
            (connection,) = harness.node.pool._connections[name]
            connection._outbox._waiting.appendleft(bytes(64 << 10))
            harness.wait_until(lambda: connection.is_connected and not connection._outbox)
            harness.loop.sleep(10 * MILLISECOND_US)
            harness.node.workers.cancel(1_000_000, 0)
            harness.wait_until(lambda: ended)
            assert [result.outcome for result in ended] == [Outcome.CANCELLED]
            assert b"FN" not in read_remaining_bytes(listener)

    run_scenario(scenario)


def test_reset_of_an_idle_connection_fails_no_call() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        for stream in worker.streams:
            stream.reset()
        number = client.send(method="reservation")
        assert client.next_answer() == [1, number, None, [b"did body 2", {}]]

    run_scenario(scenario, workers=1)


def test_connection_carries_at_most_its_limit_of_calls() -> None:
    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        harness.node.pool.limits = replace(harness.node.pool.limits, max_connections=1, max_streams=4)
        worker.answer = lambda command: None
        for sender in (client, other):
            for _ in range(5):
                sender.send()
        harness.wait_until(lambda: len(worker.calls()) == 11)
        assert len(worker.streams) == 3

    run_scenario(scenario, workers=1)
