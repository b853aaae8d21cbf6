"""When a connection to a worker is closed or reset, and which bytes are then not delivered."""

from __future__ import annotations

import socket
from contextlib import suppress
from dataclasses import replace

import pytest

from walnutpost.interface import Outcome
from walnutpost.testsupport.node.harness import MS, Worker, World, play, reply, settings, warm
from walnutpost.testsupport.node.worker_fixtures import (
    ORDER_TIMEOUT_US,
    PLENTY,
    attempt,
    call_without_answer,
    one_connection,
    order,
    outcomes,
    received,
    slow_reader,
    spawns,
)


@pytest.mark.parametrize("close_method", ["close", "reset"])
def test_idle_connection_with_an_unread_close_carries_no_call(close_method: str) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        client.send(method="reservation")  # the node reads this before it sees that the worker closed
        (connection,) = world.node.clients.connections
        getattr(worker.streams[0], close_method)()
        connection.read()
        assert client.next() == [1, 2, None, [b"did body 2", {}]]
        assert len(worker.calls()) == 2

    play(script, workers=1)


def test_connection_near_its_idle_timeout_carries_no_call() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        world.loop.sleep(75 * MS)
        client.send()
        assert client.next()[2] is None
        assert len(worker.streams) == 2

    play(script, workers=1, settings=settings(PolicyLimits={"ConnIdle": 100_000}))


def test_abandoned_load_order_in_the_kernel_buffer_is_not_delivered() -> None:
    def script(world: World) -> None:
        with slow_reader(world) as (name, listener):
            world.node.pool.limits = replace(world.node.pool.limits, order_timeout_us=ORDER_TIMEOUT_US)
            ended = order(world, name)
            (connection,) = world.node.pool._connections[name]
            # Fills the worker's receive buffer ahead of the order.
            connection._outbox._waiting.appendleft(bytes(64 << 10))
            world.until(lambda: ended)
            assert outcomes(ended) == [Outcome.TIMEOUT] and not connection._outbox, (
                "the kernel should have accepted the whole order"
            )
            assert b"SPAWN" not in received(listener)

    play(script)


def test_load_order_in_the_kernel_buffer_is_not_delivered_after_the_process_ends() -> None:
    """The kernel closes the sockets of a killed process; its successor starts with its own load limit."""

    def script(world: World) -> None:
        with slow_reader(world) as (name, listener):
            order(world, name)
            (connection,) = world.node.pool._connections[name]
            connection._outbox._waiting.appendleft(bytes(64 << 10))
            world.until(lambda: connection.is_connected and not connection._outbox)
            connection.stream.on_readable(None)
            world.loop.forget(connection.stream.fd)
            connection._sock.close()  # as the kernel does
            assert b"SPAWN" not in received(listener)

    play(script)


def test_idle_connection_is_closed_without_a_reset() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        world.node.workers.close_idle_connections(worker.name)
        world.until(lambda: worker.ends)
        assert worker.ends == ["closed"]

    play(script, workers=1)


def test_load_order_is_not_delivered_after_the_worker_closes_its_sending_side() -> None:
    """The worker closes only its sending side and could still read what the kernel holds."""

    def script(world: World) -> None:
        with slow_reader(world) as (name, listener):
            ended = order(world, name)
            (connection,) = world.node.pool._connections[name]
            connection._outbox._waiting.appendleft(bytes(64 << 10))
            world.until(lambda: connection.is_connected and not connection._outbox)
            sock, _ = listener.accept()
            sock.shutdown(socket.SHUT_WR)
            world.until(lambda: ended)
            data = b""
            with sock, suppress(ConnectionResetError):
                while more := sock.recv(PLENTY):
                    data += more
            assert outcomes(ended) == [Outcome.RESET]
            assert b"SPAWN" not in data

    play(script)


def test_connection_with_an_abandoned_load_order_is_not_reused_and_ends_by_reset() -> None:
    """This holds even if the worker has sent data since, and a concurrent call still gets its response."""

    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        ended = order(world, worker.name)
        world.until(lambda: spawns(worker))
        worker.streams[0].send_all(reply(b"0" * 16, b"OK"))
        world.until(lambda: ended)
        assert outcomes(ended) == [Outcome.TIMEOUT]
        assert not connection.is_closed
        world.node.pool.limits = replace(world.node.pool.limits, max_connections=2)
        worker.answer = Worker.good
        other.send()
        assert other.next()[2] is None
        assert len(worker.streams) == 2
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))
        assert client.next()[2:] == [None, [b"mine", {}]]
        world.until(lambda: worker.ends)
        assert worker.ends == ["reset"]

    play(script, workers=1)


def test_abandoned_call_in_the_kernel_buffer_is_not_delivered() -> None:
    def script(world: World) -> None:
        with slow_reader(world) as (name, listener):
            worker = world.workers[0]
            worker.name = name
            ended = attempt(world, worker, 300 * MS, 300 * MS)
            (connection,) = world.node.pool._connections[name]
            connection._outbox._waiting.appendleft(bytes(64 << 10))
            world.until(lambda: connection.is_connected and not connection._outbox)
            world.loop.sleep(10 * MS)
            world.node.workers.cancel(1_000_000, 0)
            world.until(lambda: ended)
            assert [result.outcome for result in ended] == [Outcome.CANCELLED]
            assert b"FN" not in received(listener)

    play(script)


def test_reset_of_an_idle_connection_fails_no_call() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        for stream in worker.streams:
            stream.reset()
        number = client.send(method="reservation")
        assert client.next() == [1, number, None, [b"did body 2", {}]]

    play(script, workers=1)


def test_connection_carries_at_most_its_limit_of_calls() -> None:
    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        world.node.pool.limits = replace(world.node.pool.limits, max_connections=1, max_streams=4)
        worker.answer = lambda words: None
        for sender in (client, other):
            for _ in range(5):
                sender.send()
        world.until(lambda: len(worker.calls()) == 11)
        assert len(worker.streams) == 3

    play(script, workers=1)
