"""Partial, malformed, duplicate and late responses of workers leave other requests unaffected."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace

import msgpack
import pytest

from walnutpost.testsupport.node.harness import FAILED, MS, Worker, World, after, play, reply, warm
from walnutpost.testsupport.node.worker_fixtures import call_without_answer, one_connection, silent


def test_command_queued_when_a_response_is_malformed_moves_to_another_connection() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        (connection,) = world.node.pool._connections[worker.name]
        client.send(method="reservation")
        (node_side,) = world.node.clients.connections
        node_side.read()  # a worker is chosen; the call is sent at the end of this loop iteration
        world.node.pool.on_malformed_response(connection)
        assert client.next()[2] is None
        assert len(worker.calls()) == 2

    play(script, workers=1)


def test_partial_response_to_an_abandoned_call_does_not_corrupt_a_later_call() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: reply(words[1], b"OK", b"-", b"half")[:20]
        client.send(method="reservation", budget="100")
        assert client.next()[2] == FAILED
        worker.answer = Worker.good
        client.send(method="reservation")
        assert client.next()[2] is None

    play(script, workers=1)


def test_partial_response_on_a_shared_connection_does_not_corrupt_a_later_call() -> None:
    def script(world: World) -> None:
        first, second, third = world.client(), world.client(), world.client()
        worker = warm(world, first)
        one_connection(world, worker)
        first.send(method="reservation", budget="100")
        worker.answer = lambda words: reply(words[1], b"OK", b"-", b"half")[:20]
        world.until(lambda: len(worker.calls()) == 2)
        call_without_answer(world, worker, second)
        assert first.next()[2] == FAILED
        worker.answer = Worker.good
        third.send(method="reservation")
        assert third.next()[2] is None
        assert len(worker.streams) == 2

    play(script, workers=1)


def test_partial_response_after_a_complete_one_does_not_corrupt_a_later_call() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: reply(words[1], b"OK") + reply(words[1], b"OK")[:20]
        client.send(method="reservation")
        assert client.next()[2] is None
        worker.answer = Worker.good
        client.send(method="reservation")
        assert client.next()[2] is None

    play(script, workers=1)


def test_connection_with_a_partial_response_is_chosen_last() -> None:
    def script(world: World) -> None:
        first, second, third = world.client(), world.client(), world.client()
        worker = warm(world, first)
        world.node.pool.limits = replace(world.node.pool.limits, max_connections=2)
        first_call = call_without_answer(world, worker, first)
        second_call = call_without_answer(world, worker, second)
        assert len(worker.streams) == 2
        worker.streams[0].send_all(reply(first_call[1], b"OK")[:20])
        world.loop.sleep(10 * MS)
        worker.answer = Worker.good
        third.send(method="reservation")
        assert third.next()[2] is None, "the response was read as the rest of a partial one"
        worker.streams[1].send_all(reply(second_call[1], b"OK"))
        assert second.next()[2] is None

    play(script, workers=1)


def test_response_received_before_the_connection_breaks_is_delivered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))  # arrived but not read yet

        def raise_reset(data: bytes) -> bytes:
            raise ConnectionResetError

        monkeypatch.setattr(connection.stream, "send_now", raise_reset)
        connection.send_one_way(b"*1\r\n$4\r\nNOOP\r\n")
        connection._flush()
        assert client.next()[2:] == [None, [b"mine", {}]]

    play(script, workers=1)


def test_reused_request_id_does_not_get_the_response_of_an_abandoned_request() -> None:
    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        world.until(lambda: len(world.node.clients.connections) == 2)
        worker.answer = silent
        message_id = client.send(rid="00000000000000aa")
        world.until(lambda: len(worker.calls()) == 2)
        client.raw(msgpack.packb([2, "interrupt", [message_id]]))
        world.until(lambda: not world.node.clients.requests.request_ids)
        other.send(rid="00000000000000aa")
        world.until(lambda: len(worker.calls()) == 3)
        with suppress(OSError):
            worker.streams[0].send_all(reply(b"00000000000000aa", b"OK", b"-", b"the former's"))
        world.loop.sleep(10 * MS)
        worker.streams[-1].send_all(reply(b"00000000000000aa", b"OK", b"-", b"its own"))
        assert other.next()[2:] == [None, [b"its own", {}]]

    play(script, workers=1)


@pytest.mark.parametrize("malformed", [b"noise\r\n", b"*4\r\n$2\r\nID\r\n$3000000000\r\n", b""])
@pytest.mark.parametrize(("method", "is_retried"), [("valuation", True), ("reservation", False)])
def test_call_is_retried_after_a_malformed_response_or_reset_only_if_idempotent(
    malformed: bytes, method: str, is_retried: bool
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = after(malformed)
        message_id = client.send(method=method)
        answer = client.next()
        executions = [words for worker in world.workers for words in worker.calls() if words[3] == b"body 2"]
        if is_retried:
            assert answer == [1, message_id, None, [b"did body 2", {}]]
            assert len(executions) == 2
        else:
            assert answer == [1, message_id, FAILED, None]
            assert len(executions) == 1

    play(script)


def test_worker_that_sends_a_malformed_response_is_not_set_aside() -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client).answer = after(b"noise\r\n")
        client.send(method="reservation")
        assert client.next()[2] == FAILED
        assert not [line for line in world.log.lines if "set aside" in line]
        client.send(method="reservation")
        assert client.next()[2] is None

    play(script, workers=1)


def test_duplicate_and_unrequested_responses_are_ignored() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        unrequested = reply(b"0" * 16, b"OK", b"-", b"somebody's")
        valid = reply(b"ID", b"OK", b"-", b"mine").replace(b"$2\r\nID", b"$16\r\nID")
        worker.answer = after(unrequested + valid + valid)
        for _ in range(2):
            message_id = client.send()
            assert client.next()[1:3] == [message_id, None]

    play(script, workers=1)
