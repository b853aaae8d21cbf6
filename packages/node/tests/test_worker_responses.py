"""Responses of workers: partial, malformed, duplicate, late; no other request gets or loses one."""

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
        (mine,) = world.node.clients.connections
        mine.read()  # chosen, to leave at the end of this round
        world.node.pool.on_malformed_response(connection)
        assert client.next()[2] is None
        assert len(worker.calls()) == 2

    play(script, workers=1)


def test_partial_response_to_an_abandoned_call_corrupts_no_later_call() -> None:
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


def test_partial_response_to_an_abandoned_call_beside_another_corrupts_no_later_call() -> None:
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


def test_partial_response_behind_a_complete_one_corrupts_no_later_call() -> None:
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


def test_connection_with_a_partial_response_is_shared_last() -> None:
    def script(world: World) -> None:
        first, second, third = world.client(), world.client(), world.client()
        worker = warm(world, first)
        world.node.pool.limits = replace(world.node.pool.limits, max_connections=2)
        one = call_without_answer(world, worker, first)
        two = call_without_answer(world, worker, second)
        assert len(worker.streams) == 2
        worker.streams[0].send_all(reply(one[1], b"OK")[:20])
        world.loop.sleep(10 * MS)
        worker.answer = Worker.good
        third.send(method="reservation")
        assert third.next()[2] is None, "taken for the rest of the half"
        worker.streams[1].send_all(reply(two[1], b"OK"))
        assert second.next()[2] is None

    play(script, workers=1)


def test_response_received_before_the_connection_broke_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))  # here, and not read yet

        def broken(data: bytes) -> bytes:
            raise ConnectionResetError

        monkeypatch.setattr(connection.stream, "send_now", broken)
        connection.send_one_way(b"*1\r\n$4\r\nNOOP\r\n")
        connection._flush()
        assert client.next()[2:] == [None, [b"mine", {}]]

    play(script, workers=1)


def test_request_under_an_abandoned_id_gets_no_late_response_of_the_former() -> None:
    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        world.until(lambda: len(world.node.clients.connections) == 2)
        worker.answer = silent
        number = client.send(rid="00000000000000aa")
        world.until(lambda: len(worker.calls()) == 2)
        client.raw(msgpack.packb([2, "interrupt", [number]]))
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
@pytest.mark.parametrize(("method", "again"), [("valuation", True), ("reservation", False)])
def test_call_after_a_malformed_or_broken_response_runs_again_only_if_idempotent(
    malformed: bytes, method: str, again: bool
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = after(malformed)
        number = client.send(method=method)
        answer = client.next()
        ran = [words for w in world.workers for words in w.calls() if words[3] == b"body 2"]
        if again:
            assert answer == [1, number, None, [b"did body 2", {}]]
            assert len(ran) == 2
        else:
            assert answer == [1, number, FAILED, None]
            assert len(ran) == 1

    play(script)


def test_worker_that_sends_a_malformed_response_does_not_count_as_dead() -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client).answer = after(b"noise\r\n")
        client.send(method="reservation")
        assert client.next()[2] == FAILED
        assert not [line for line in world.log.lines if "set aside" in line]
        client.send(method="reservation")
        assert client.next()[2] is None

    play(script, workers=1)


def test_duplicate_and_unrequested_responses_change_nothing() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        extra = reply(b"0" * 16, b"OK", b"-", b"somebody's")
        good = reply(b"ID", b"OK", b"-", b"mine").replace(b"$2\r\nID", b"$16\r\nID")
        worker.answer = after(extra + good + good)
        for _ in range(2):
            number = client.send()
            assert client.next()[1:3] == [number, None]

    play(script, workers=1)
