"""Load orders on the wire: what each outcome proves about whether the order arrived.

`HeldConnections` keeps a connection from coming up, `Throttle` says how many bytes the kernel takes, and the
fake worker's own record shows what has arrived.
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


def test_load_order_too_late_for_its_limit_does_not_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    held, ended = HeldConnections(monkeypatch), list[LoadOrderEnded]()

    def script(world: World) -> None:
        held.is_holding = True
        world.node.workers.order_load(LoadOrder(world.workers[0].name, FUNCTION, 1, 50 * MS), ended.append)
        world.loop.sleep(60 * MS)
        held.come_up()
        world.until(lambda: ended)
        assert [t.outcome for t in ended] == [Outcome.MOOT]
        assert not world.workers[0].got

    play(script, workers=1)


def test_load_order_of_which_no_byte_left_in_time_never_ran(
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


def test_load_order_sent_in_part_and_abandoned_never_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        throttle = Throttle(monkeypatch, one_connection(world, worker), PART)
        ended = order(world, worker.name)
        world.until(lambda: ended)
        with suppress(OSError):  # closed by now
            throttle.open()
        world.loop.sleep(SECOND)
        assert outcomes(ended) == [Outcome.MOOT]
        assert not spawns(worker)
        assert worker.ends == ["reset"]

    play(script, workers=1)


def test_load_order_sent_in_part_and_abandoned_takes_no_response_from_a_call_beside_it(
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


def test_command_queued_behind_a_load_order_sent_in_part_moves_to_another_connection(
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


def test_response_to_a_load_order_sent_in_part_does_not_end_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        connection = one_connection(world, worker)
        throttle = Throttle(monkeypatch, connection, PART)
        ended = order(world, worker.name)
        world.until(lambda: not throttle.room)
        (tag,) = connection.open
        worker.streams[0].send_all(reply(tag, b"BUSY"))
        world.loop.sleep(10 * MS)
        assert not ended
        throttle.open()
        world.until(lambda: ended)
        assert outcomes(ended) == [Outcome.OK]
        assert len(spawns(worker)) == 1

    play(script, workers=1)


def test_load_order_sent_in_part_when_its_connection_breaks_arrives_once(
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


@pytest.mark.parametrize("end", ["close", "reset"])
def test_load_order_sent_completely_when_its_connection_breaks_is_not_sent_again(end: str) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        worker.answer = silent
        ended = order(world, worker.name)
        world.until(lambda: spawns(worker))
        getattr(worker.streams[0], end)()
        world.until(lambda: ended)
        world.loop.sleep(5 * SECOND)
        assert outcomes(ended) == [Outcome.RESET]
        assert len(spawns(worker)) == 1

    play(script, workers=1)


def test_malformed_bytes_do_not_count_as_a_response_to_a_load_order() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        worker.answer = lambda words: b"noise\r\n"
        ended = order(world, worker.name)
        world.until(lambda: ended)
        world.until(lambda: worker.ends)
        assert outcomes(ended) == [Outcome.RESET]
        assert worker.ends == ["reset"]

    play(script, workers=1)


def test_load_order_to_a_worker_that_has_gone_ends_with_its_response() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        connection = one_connection(world, worker)
        worker.answer = silent
        sent = order(world, worker.name)
        world.until(lambda: spawns(worker))
        waiting = order(world, worker.name)
        world.node.pool.update_addresses({})
        late = order(world, worker.name)
        world.node.workers.close_idle_connections(worker.name)
        world.until(lambda: waiting and late)
        assert outcomes(waiting) == [Outcome.MOOT]
        assert outcomes(late) == [Outcome.CONNECT_FAILED]
        assert not sent
        assert not connection.is_closed
        worker.streams[0].send_all(reply(spawns(worker)[0][1], b"OK", b"slots_up=1"))
        world.until(lambda: sent)
        world.loop.sleep(SECOND)
        assert outcomes(sent) == [Outcome.OK]
        assert len(spawns(worker)) == 1
        assert connection.is_closed
        assert len(waiting) == len(late) == 1

    play(script, workers=1)


def test_load_order_to_a_gone_worker_that_does_not_answer_is_dropped_at_its_timeout() -> None:
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
