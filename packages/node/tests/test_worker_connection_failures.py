"""Connections to workers that fail: what counts as run, what is sent again."""

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


def test_unexpected_error_in_writing_costs_that_connection_alone(
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

    with pytest.raises(ZeroDivisionError):  # told by the loop
        play(script, workers=1)


def test_worker_last_heard_before_a_call_was_sent_does_not_count_as_alive_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        throttle = Throttle(monkeypatch, connection, 0)
        number = other.send(method="reservation")
        world.loop.sleep(20 * MS)
        worker.streams[0].send_all(reply(call[1], b"OK"))
        assert client.next()[2] is None
        world.loop.sleep(20 * MS)
        throttle.open()
        world.until(lambda: len(worker.calls()) == 3)
        other.raw(msgpack.packb([2, "interrupt", [number]]))
        world.loop.sleep(100 * MS)
        assert worker.ends == ["reset"]

    play(script, workers=1)


@pytest.mark.parametrize("resets", [1, 2])
def test_copy_query_whose_connection_breaks_is_sent_again_on_a_new_one(resets: int) -> None:
    def script(world: World) -> None:
        client, left = world.client(), [resets]

        def answer(words: Words) -> bytes | None:
            if words[0] == b"SPAWN" and words[2].endswith(b"=0") and left[0]:
                left[0] -= 1
                return b""
            return Worker.good(words)

        worker = warm(world, client)
        told: list[LoadOrderEnded] = []
        worker.answer = answer
        for copies in (0, 1):
            world.node.workers.order_load(LoadOrder(worker.name, "7f3a9c21e0b4d655", copies), told.append)
        world.until(lambda: len(told) == 2)
        assert {t.outcome for t in told} == {Outcome.OK}
        assert not left[0]
        worker.answer = after(b"")
        client.send(method="reservation")
        assert client.next()[2] == FAILED  # but a call that may have run is not sent again

    play(script, workers=1)


def test_moved_copy_query_keeps_its_timeout() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        told, answers = list[LoadOrderEnded](), [b""]
        worker.answer = lambda words: answers.pop() if answers else None
        world.node.workers.order_load(LoadOrder(worker.name, "7f3a9c21e0b4d655", 0), told.append)
        world.until(lambda: told, step=SECOND // 2)
        assert [t.outcome for t in told] == [Outcome.TIMEOUT]

    play(script, workers=1)


@pytest.mark.parametrize("method", ["valuation", "reservation"])
@pytest.mark.parametrize(
    ("operation", "number", "wanted"),
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
def test_connection_that_cannot_be_made_counts_as_nothing_ran(
    operation: Any, number: int, wanted: Outcome, method: str
) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        client = world.client()
        warm(world, client)
        world.until(lambda: not any(open_calls(world)))
        for worker in world.workers:
            world.node.workers.close_idle_connections(worker.name)
        began = sum(len(worker.calls()) for worker in world.workers)
        world.node.workers.attempt_outcomes.clear()
        if operation == "socket":
            faults.fail(operation, number)
        else:
            faults.fail(operation, number, when=to_any(world))
        client.send(method=method)
        assert client.next()[2] is None
        assert sum(len(worker.calls()) for worker in world.workers) == began + 1
        ends = {outcome for _, outcome in world.node.workers.attempt_outcomes}
        assert faults.failed[operation] == 1
        assert ends == {wanted, Outcome.OK}

    play_with_faults(script)


@pytest.mark.parametrize(
    "number", ids([errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ECONNRESET, errno.ENOBUFS])
)
def test_non_idempotent_call_sent_completely_may_have_run_whatever_ends_its_connection(number: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        client = world.client()
        warm(world, client)
        began = sum(len(w.calls()) for w in world.workers)
        for w in world.workers:
            w.answer = lambda words: None
        client.send(method="reservation")
        world.until(lambda: sum(len(w.calls()) for w in world.workers) > began)
        faults.fail("recv", number, when=to_any(world))
        for w in world.workers:  # what makes the node read
            for stream in w.streams:
                if not stream.closed:
                    stream.send_all(b"*")
        error = client.next()
        assert error[2] == FAILED
        world.loop.sleep(2 * SECOND)
        assert sum(len(w.calls()) for w in world.workers) == began + 1
        assert faults.failed["recv"] == 1

    play_with_faults(script)


@pytest.mark.parametrize("part", [0, 20])
@pytest.mark.parametrize("number", ids([errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS, errno.EPERM]))
def test_non_idempotent_call_not_sent_completely_is_sent_again(number: int, part: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        client = world.client()
        warm(world, client)
        began = sum(len(w.calls()) for w in world.workers)
        if part:
            faults.shorten("send", part, when=to_any(world))
        faults.fail("send", number, after=part > 0, when=to_any(world))
        client.send(method="reservation")
        world.until(lambda: faults.failed["send"])
        faults.heal()
        assert client.next()[2] is None
        assert sum(len(w.calls()) for w in world.workers) == began + 1

    play_with_faults(script)
