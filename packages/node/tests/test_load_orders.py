"""Load orders on the wire: what each outcome says about whether the order reached the worker.

The tests delay connects, limit the number of bytes that the kernel accepts, and check what the fake worker
received.
"""

from __future__ import annotations

from contextlib import suppress

import pytest

from walnutpost.gateway import LoadOrder, LoadOrderEnded
from walnutpost.interface import Outcome
from walnutpost.testsupport.node.harness import (
    FUNCTION,
    MS,
    SECOND,
    HeldConnections,
    World,
    play,
    reply,
    warm,
)
from walnutpost.testsupport.node.worker_fixtures import (
    PART,
    Throttle,
    call_without_answer,
    one_connection,
    order,
    outcomes,
    silent,
    spawns,
)


def test_load_order_past_its_send_limit_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    delayed, ended = HeldConnections(monkeypatch), list[LoadOrderEnded]()

    def script(world: World) -> None:
        delayed.is_holding = True
        world.node.workers.order_load(LoadOrder(world.workers[0].name, FUNCTION, 1, 50 * MS), ended.append)
        world.loop.sleep(60 * MS)
        delayed.come_up()
        world.until(lambda: ended)
        assert [result.outcome for result in ended] == [Outcome.MOOT]
        assert not world.workers[0].got

    play(script, workers=1)


def test_load_order_with_no_byte_sent_before_its_timeout_never_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        throttle = Throttle(monkeypatch, one_connection(world, worker), 0)
        ended = order(world, worker.name)
        world.until(lambda: ended)
        throttle.open()
        world.loop.sleep(SECOND)
        assert outcomes(ended) == [Outcome.MOOT]
        assert not spawns(worker)

    play(script, workers=1)


def test_partly_sent_load_order_never_arrives_after_its_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        throttle = Throttle(monkeypatch, one_connection(world, worker), PART)
        ended = order(world, worker.name)
        world.until(lambda: ended)
        with suppress(OSError):  # already closed
            throttle.open()
        world.loop.sleep(SECOND)
        assert outcomes(ended) == [Outcome.MOOT]
        assert not spawns(worker)
        assert worker.ends == ["reset"]

    play(script, workers=1)


def test_abandoned_partly_sent_load_order_keeps_the_response_of_a_concurrent_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        throttle = Throttle(monkeypatch, connection, PART)
        ended = order(world, worker.name)
        world.until(lambda: ended)
        throttle.open()
        world.loop.sleep(10 * MS)
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))
        assert client.next()[2:] == [None, [b"mine", {}]]
        world.until(lambda: worker.ends)
        assert outcomes(ended) == [Outcome.MOOT]
        assert not spawns(worker)
        assert worker.ends == ["reset"]

    play(script, workers=1)


def test_command_queued_behind_a_partly_sent_load_order_moves_to_another_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        Throttle(monkeypatch, one_connection(world, worker), PART)
        ended = order(world, worker.name)
        client.send(method="reservation")
        world.until(lambda: ended)
        assert client.next()[2] is None
        assert outcomes(ended) == [Outcome.MOOT]
        assert not spawns(worker)

    play(script, workers=1)


def test_response_to_a_partly_sent_load_order_does_not_end_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        connection = one_connection(world, worker)
        throttle = Throttle(monkeypatch, connection, PART)
        ended = order(world, worker.name)
        world.until(lambda: not throttle.room)
        (message_id,) = connection.open
        worker.streams[0].send_all(reply(message_id, b"BUSY"))
        world.loop.sleep(10 * MS)
        assert not ended
        throttle.open()
        world.until(lambda: ended)
        assert outcomes(ended) == [Outcome.OK]
        assert len(spawns(worker)) == 1

    play(script, workers=1)


def test_partly_sent_load_order_arrives_once_after_its_connection_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        throttle = Throttle(monkeypatch, one_connection(world, worker), PART)
        ended = order(world, worker.name)
        world.until(lambda: not throttle.room)
        worker.streams[0].reset()
        world.until(lambda: ended)
        world.loop.sleep(SECOND)
        assert outcomes(ended) == [Outcome.OK]
        assert len(spawns(worker)) == 1
        assert len(worker.streams) == 2

    play(script, workers=1)


@pytest.mark.parametrize("close_method", ["close", "reset"])
def test_fully_sent_load_order_is_not_resent_after_its_connection_breaks(close_method: str) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        worker.answer = silent
        ended = order(world, worker.name)
        world.until(lambda: spawns(worker))
        getattr(worker.streams[0], close_method)()
        world.until(lambda: ended)
        world.loop.sleep(5 * SECOND)
        assert outcomes(ended) == [Outcome.RESET]
        assert len(spawns(worker)) == 1

    play(script, workers=1)


def test_malformed_response_ends_a_load_order_as_reset() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        worker.answer = lambda words: b"noise\r\n"
        ended = order(world, worker.name)
        world.until(lambda: ended)
        world.until(lambda: worker.ends)
        assert outcomes(ended) == [Outcome.RESET]
        assert worker.ends == ["reset"]

    play(script, workers=1)


def test_load_order_sent_before_its_worker_is_removed_ends_with_its_response() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        connection = one_connection(world, worker)
        worker.answer = silent
        sent = order(world, worker.name)
        world.until(lambda: spawns(worker))
        queued = order(world, worker.name)
        world.node.pool.update_addresses({})
        ordered_after_removal = order(world, worker.name)
        world.node.workers.close_idle_connections(worker.name)
        world.until(lambda: queued and ordered_after_removal)
        assert outcomes(queued) == [Outcome.MOOT]
        assert outcomes(ordered_after_removal) == [Outcome.CONNECT_FAILED]
        assert not sent
        assert not connection.is_closed
        worker.streams[0].send_all(reply(spawns(worker)[0][1], b"OK", b"slots_up=1"))
        world.until(lambda: sent)
        world.loop.sleep(SECOND)
        assert outcomes(sent) == [Outcome.OK]
        assert len(spawns(worker)) == 1
        assert connection.is_closed
        assert len(queued) == len(ordered_after_removal) == 1

    play(script, workers=1)


def test_unanswered_load_order_to_a_removed_worker_ends_at_its_timeout() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        one_connection(world, worker)
        worker.answer = silent
        ended = order(world, worker.name)
        world.until(lambda: spawns(worker))
        world.node.pool.update_addresses({})
        world.until(lambda: ended)
        world.until(lambda: worker.ends)
        assert outcomes(ended) == [Outcome.TIMEOUT]
        assert worker.ends == ["reset"]

    play(script, workers=1)
