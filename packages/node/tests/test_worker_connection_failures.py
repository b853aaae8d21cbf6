"""Failing worker connections: which calls count as executed, and which are sent again."""

from __future__ import annotations

import errno
from typing import Any

import msgpack
import pytest

from walnutpost.gateway import LoadOrder, LoadOrderEnded
from walnutpost.interface import Outcome
from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults
from walnutpost.testsupport.node.fault_injection import ids, open_calls, play_with_faults, to_any
from walnutpost.testsupport.node.harness import (
    FAILED,
    MS,
    SECOND,
    Words,
    Worker,
    World,
    after,
    play,
    reply,
    warm,
)
from walnutpost.testsupport.node.worker_fixtures import Throttle, call_without_answer, one_connection


def test_unexpected_write_error_closes_only_that_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        (connection,) = world.node.pool._connections[worker.name]
        monkeypatch.setattr(connection._outbox, "next_chunk", lambda now: 1 // 0)
        client.send(method="reservation")
        assert client.next()[2] is None
        assert connection.is_closed

    with pytest.raises(ZeroDivisionError):  # reported by the loop
        play(script, workers=1)


def test_response_received_before_a_call_is_sent_does_not_count_as_a_sign_of_life(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        throttle = Throttle(monkeypatch, connection, 0)
        message_id = other.send(method="reservation")
        world.loop.sleep(20 * MS)
        worker.streams[0].send_all(reply(call[1], b"OK"))
        assert client.next()[2] is None
        world.loop.sleep(20 * MS)
        throttle.open()
        world.until(lambda: len(worker.calls()) == 3)
        other.raw(msgpack.packb([2, "interrupt", [message_id]]))
        world.loop.sleep(100 * MS)
        assert worker.ends == ["reset"]

    play(script, workers=1)


@pytest.mark.parametrize("resets", [1, 2])
def test_copy_query_is_resent_on_a_new_connection_after_a_reset(resets: int) -> None:
    def script(world: World) -> None:
        client, remaining_resets = world.client(), [resets]

        def answer(words: Words) -> bytes | None:
            if words[0] == b"SPAWN" and words[2].endswith(b"=0") and remaining_resets[0]:
                remaining_resets[0] -= 1
                return b""
            return Worker.good(words)

        worker = warm(world, client)
        ended: list[LoadOrderEnded] = []
        worker.answer = answer
        for copies in (0, 1):
            world.node.workers.order_load(LoadOrder(worker.name, "7f3a9c21e0b4d655", copies), ended.append)
        world.until(lambda: len(ended) == 2)
        assert {result.outcome for result in ended} == {Outcome.OK}
        assert not remaining_resets[0]
        worker.answer = after(b"")
        client.send(method="reservation")
        assert client.next()[2] == FAILED  # but a call that may have run is not sent again

    play(script, workers=1)


def test_moved_copy_query_keeps_its_timeout() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        ended, answers = list[LoadOrderEnded](), [b""]
        worker.answer = lambda words: answers.pop() if answers else None
        world.node.workers.order_load(LoadOrder(worker.name, "7f3a9c21e0b4d655", 0), ended.append)
        world.until(lambda: ended, step=SECOND // 2)
        assert [result.outcome for result in ended] == [Outcome.TIMEOUT]

    play(script, workers=1)


@pytest.mark.parametrize("method", ["valuation", "reservation"])
@pytest.mark.parametrize(
    ("operation", "error_number", "expected"),
    [
        ("socket", errno.EMFILE, Outcome.MOOT),
        ("socket", errno.ENFILE, Outcome.MOOT),
        ("socket", errno.ENOBUFS, Outcome.MOOT),
        ("connect", errno.EADDRNOTAVAIL, Outcome.CONNECT_FAILED),
        ("connect", errno.EAGAIN, Outcome.CONNECT_FAILED),
        ("connect", errno.ENETUNREACH, Outcome.CONNECT_FAILED),
        ("connect", errno.EPERM, Outcome.CONNECT_FAILED),
        ("connect", errno.ENOBUFS, Outcome.CONNECT_FAILED),
    ],
)
def test_call_whose_connect_fails_counts_as_not_executed(
    operation: Any, error_number: int, expected: Outcome, method: str
) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        client = world.client()
        warm(world, client)
        world.until(lambda: not any(open_calls(world)))
        for worker in world.workers:
            world.node.workers.close_idle_connections(worker.name)
        calls_before = sum(len(worker.calls()) for worker in world.workers)
        world.node.workers.attempt_outcomes.clear()
        if operation == "socket":
            faults.fail(operation, error_number)
        else:
            faults.fail(operation, error_number, when=to_any(world))
        client.send(method=method)
        assert client.next()[2] is None
        assert sum(len(worker.calls()) for worker in world.workers) == calls_before + 1
        attempt_outcomes = {outcome for _, outcome in world.node.workers.attempt_outcomes}
        assert faults.failed[operation] == 1
        assert attempt_outcomes == {expected, Outcome.OK}

    play_with_faults(script)


@pytest.mark.parametrize(
    "error_number",
    ids([errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ECONNRESET, errno.ENOBUFS]),
)
def test_fully_sent_non_idempotent_call_is_not_retried_after_a_receive_error(error_number: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        client = world.client()
        warm(world, client)
        calls_before = sum(len(worker.calls()) for worker in world.workers)
        for worker in world.workers:
            worker.answer = lambda words: None
        client.send(method="reservation")
        world.until(lambda: sum(len(worker.calls()) for worker in world.workers) > calls_before)
        faults.fail("recv", error_number, when=to_any(world))
        for worker in world.workers:  # makes the node read
            for stream in worker.streams:
                if not stream.closed:
                    stream.send_all(b"*")
        error = client.next()
        assert error[2] == FAILED
        world.loop.sleep(2 * SECOND)
        assert sum(len(worker.calls()) for worker in world.workers) == calls_before + 1
        assert faults.failed["recv"] == 1

    play_with_faults(script)


@pytest.mark.parametrize("sent_bytes", [0, 20])
@pytest.mark.parametrize(
    "error_number", ids([errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS, errno.EPERM])
)
def test_non_idempotent_call_not_fully_sent_is_retried(error_number: int, sent_bytes: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        client = world.client()
        warm(world, client)
        calls_before = sum(len(worker.calls()) for worker in world.workers)
        if sent_bytes:
            faults.shorten("send", sent_bytes, when=to_any(world))
        faults.fail("send", error_number, after=sent_bytes > 0, when=to_any(world))
        client.send(method="reservation")
        world.until(lambda: faults.failed["send"])
        faults.heal()
        assert client.next()[2] is None
        assert sum(len(worker.calls()) for worker in world.workers) == calls_before + 1

    play_with_faults(script)
