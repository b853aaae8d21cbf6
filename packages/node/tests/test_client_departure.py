"""Clients that leave or cancel: no attempt begins for them, and a half-closed one gets its answers."""

from __future__ import annotations

from collections.abc import Callable

import msgpack
import pytest

from walnutpost.node import rpc
from walnutpost.node.client_connection import MAX_REJECTED_BEFORE_PAUSE, READ_PAUSE_US
from walnutpost.testsupport.node.client_fixtures import (
    LARGE,
    Unfetched,
    arrivals,
    calls,
    interrupt_second,
    only_connection,
    play_bounded,
    request,
    silence,
    stall,
)
from walnutpost.testsupport.node.harness import FAILED, LEAVE, MS, REFUSED, Client, World, after, play, warm


def test_half_closed_client_gets_an_answer_to_each_open_request() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        number = client.send()
        world.until(lambda: len(worker.calls()) == 2)
        client.stream.end_writing()
        assert client.next() == [1, number, FAILED, None]
        assert client.next() is None
        assert world.node.dispatcher.open_calls == 0
        assert not world.node.clients.connections

    play_bounded(script, workers=1)


def test_requests_followed_by_their_clients_end_are_rejected_and_not_begun() -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        client.raw(request(2) + request(3) + msgpack.packb([2, "interrupt", [3]]) + request(4))
        client.stream.end_writing()
        assert [client.next(), client.next()] == [[1, 2, REFUSED, None], [1, 4, REFUSED, None]]
        assert client.next() is None
        assert len(calls(world)) == 1

    play_bounded(script)


def test_request_queued_for_a_copy_when_its_client_half_closes_is_rejected() -> None:
    def script(world: World) -> None:
        client = world.client()
        number = client.send()
        world.until(lambda: only_connection(world).open)
        client.stream.end_writing()
        assert client.next() == [1, number, REFUSED, None]
        assert client.next() is None
        assert world.node.dispatcher.open_calls == 0

    play_bounded(script, workers=0)


def test_half_closed_client_that_fetches_nothing_is_closed_after_the_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        client.send()
        world.until(lambda: len(worker.calls()) == 2)
        Unfetched(monkeypatch, only_connection(world))
        client.stream.end_writing()
        world.until(lambda: not world.node.clients.requests.request_ids)
        assert world.node.clients.connections
        world.until(lambda: not world.node.clients.connections)

    play_bounded(script, workers=1)


def test_no_attempt_begins_for_a_client_whose_end_is_far_behind_its_requests() -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        client.raw(b"".join(request(number, LARGE) for number in (2, 3, 4)))
        client.stream.close()
        world.until(lambda: not world.node.clients.connections)
        world.loop.sleep(100 * MS)
        assert len(calls(world)) == 1

    play_bounded(script)


def test_requests_with_an_end_far_behind_them_are_all_answered() -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        client.raw(b"".join(request(number, LARGE) for number in (2, 3, 4)))
        client.stream.end_writing()
        assert [client.next() for _ in range(3)] == [[1, number, REFUSED, None] for number in (2, 3, 4)]
        assert client.next() is None
        assert len(calls(world)) == 1

    play_bounded(script)


def test_requests_with_an_end_behind_them_are_answered_without_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        monkeypatch.setattr(rpc, "MAX_READ_BYTES", 1024)
        numbers = range(2, 2 * MAX_REJECTED_BEFORE_PAUSE)
        client.raw(b"".join(request(number, bytes(900)) for number in numbers))
        client.stream.end_writing()
        began = world.loop.now()
        assert [client.next() for _ in numbers] == [[1, number, REFUSED, None] for number in numbers]
        assert world.loop.now() - began < READ_PAUSE_US

    play_bounded(script)


def test_end_of_a_discarded_client_behind_its_bytes_is_noticed() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        client.send()
        world.until(lambda: len(worker.calls()) == 2)
        connection = only_connection(world)
        connection._input.is_discarding = True
        client.raw(bytes(2 * rpc.MAX_READ_BYTES))
        client.stream.end_writing()
        connection.read()
        assert not connection.open
        assert client.next()[2] == FAILED

    play_bounded(script, workers=1)


def test_no_attempt_begins_for_a_request_cancelled_far_behind_it_during_a_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        arrived = arrivals(world, monkeypatch)
        client.raw(b"".join(request(number, LARGE) for number in (2, 3, 4)))
        client.raw(msgpack.packb([2, "interrupt", [2, 3, 4]]))
        stall(world, 150 * MS)
        world.loop.sleep(100 * MS)
        assert len(calls(world)) == 1
        assert not arrived

    play_bounded(script)


@pytest.mark.parametrize("leave", [*LEAVE[1:], interrupt_second])
def test_no_attempt_begins_for_a_client_that_left_in_a_stall_between_reading_and_sending(
    monkeypatch: pytest.MonkeyPatch, leave: Callable[[Client], None]
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)

        def meanwhile() -> None:
            leave(client)
            stall(world, 150 * MS)

        arrived = arrivals(world, monkeypatch, during=meanwhile)
        client.send()
        world.until(lambda: arrived and not world.node.clients.requests.request_ids)
        world.loop.sleep(100 * MS)
        assert len(calls(world)) == 1
        assert world.node.dispatcher.open_calls == 0

    play_bounded(script)


def test_attempted_request_whose_clients_end_was_read_ahead_fails_and_is_not_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        client.send(method="reservation")
        world.until(lambda: len(worker.calls()) == 2)

        def meanwhile() -> None:
            client.stream.end_writing()
            stall(world, 150 * MS)

        arrivals(world, monkeypatch, during=meanwhile)
        client.send(method="reservation")
        answers = {answer[1]: answer[2] for answer in (client.next(), client.next())}
        assert answers == {2: FAILED, 3: REFUSED}
        assert len(worker.calls()) == 2

    play_bounded(script, workers=1)


def test_messages_read_ahead_are_taken_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        more = [request(3) + request(4)[:20]]

        def meanwhile() -> None:
            if more:
                client.raw(more.pop())
                stall(world, 150 * MS)

        arrived = arrivals(world, monkeypatch, during=meanwhile)
        client.send()
        world.until(lambda: len(arrived) == 2)
        client.raw(request(4)[20:])
        assert sorted(client.next()[1] for _ in range(3)) == [2, 3, 4]
        assert [call.waited_us for call in arrived] == [0, 150 * MS, 0]

    play_bounded(script, workers=1)


def test_request_after_a_stall_alone_is_attempted(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        arrivals(world, monkeypatch, during=lambda: stall(world, 150 * MS))
        number = client.send(method="reservation")
        assert client.next()[:3] == [1, number, None]
        assert len(calls(world)) == 2

    play_bounded(script)


@pytest.mark.parametrize("end", ["close", "reset"])
def test_request_with_its_clients_end_behind_it_is_not_begun(end: str) -> None:
    def script(world: World) -> None:
        first, client = world.client(), world.client()
        warm(world, first)
        world.until(lambda: len(world.node.clients.connections) == 2)
        client.send()
        getattr(client.stream, end)()
        world.until(lambda: len(world.node.clients.connections) == 1)
        world.loop.sleep(100 * MS)
        assert sum(len(worker.calls()) for worker in world.workers) == 1

    play(script)


def test_interrupt_received_before_its_request_cancels_it() -> None:
    def script(world: World) -> None:
        first, client = world.client(), world.client()
        worker = warm(world, first)
        client.raw(msgpack.packb([2, "interrupt", [1]]))
        world.loop.sleep(10 * MS)
        client.send()
        world.loop.sleep(10 * MS)
        client.raw(msgpack.packb([2, "interrupt", [1, 1]]))
        client.raw(msgpack.packb([0, 2, "check", [{}]]))
        assert client.next() == [1, 2, None, [True, {}]]
        assert len(worker.calls()) == 1

    play(script, workers=1)


@pytest.mark.parametrize("leave", LEAVE)
def test_client_with_rejected_requests_that_leaves_is_noticed_at_once(
    leave: Callable[[Client], None],
) -> None:
    def script(world: World) -> None:
        for worker in world.workers:
            worker.answer = lambda words: None
        client = world.client()
        client.send(budget="1000")
        for _ in range(MAX_REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next()
        at = world.loop.now()
        leave(client)
        world.until(lambda: not world.node.clients.requests.request_ids, step=MS)
        assert world.loop.now() - at <= 5 * MS

    play(script)


def test_client_that_fetches_no_answers_and_leaves_is_noticed_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        (connection,) = world.node.clients.connections
        worker.answer = lambda words: None
        client.send()
        world.until(lambda: len(worker.calls()) == 2)
        monkeypatch.setattr(connection._stream, "send_now", lambda data: data)
        monkeypatch.setattr(connection._stream, "on_writable", lambda callback: None)
        connection.write(bytes(300 << 10))
        world.loop.sleep(10 * MS)
        client.raw(msgpack.packb([2, "interrupt", [2]]))
        world.until(lambda: not connection.open)

    play(script, workers=1)


def test_interrupt_of_an_open_call_cancels_it_at_its_worker() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = after(None)
        number = client.send(method="reservation")
        world.until(lambda: len(worker.calls()) == 2)
        client.raw(msgpack.packb([2, "interrupt", [number]]))
        world.until(lambda: worker.got[-1] == [b"KILL", worker.calls()[1][1]])
        assert world.node.dispatcher.open_calls == 0
        assert not world.node.clients.requests.request_ids

    play(script, workers=1)


def test_call_cancelled_in_the_bytes_it_came_with_never_reaches_the_gateway() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        fields = {"rid": "00000000000000aa", "budget": "1000", "obj": "7f3a9c21e0b4d655"}
        call = msgpack.packb([0, 7, "valuation", [fields, b""]])
        client.raw(call + msgpack.packb([2, "interrupt", [7]]) + msgpack.packb([0, 8, "check", [{}]]))
        assert client.next() == [1, 8, None, [True, {}]]
        assert len(worker.calls()) == 1
        assert world.node.dispatcher.answers.abandoned == 0

    play(script, workers=1)
