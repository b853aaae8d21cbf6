"""Clients that fetch too little or ask too much."""

from __future__ import annotations

import msgpack
import pytest

from walnutpost.gateway import Served
from walnutpost.node import rpc
from walnutpost.node.client_connection import MAX_REJECTED
from walnutpost.node.client_output import HIGH_WATER_BYTES, MAX_PENDING_BYTES
from walnutpost.testsupport.node.client_fixtures import (
    FullReceiveWindow,
    only_client_connection,
    run_scenario_with_timeout,
    silence_workers,
)
from walnutpost.testsupport.node.harness import FAILED, MS, Worker, World, reply, warm


def test_client_that_fetches_too_little_gets_errors_for_bodies_and_no_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        worker.answer = lambda command: None
        number = client.send()
        harness.until(lambda: len(worker.calls()) == 2)
        connection = only_client_connection(harness)
        window = FullReceiveWindow(monkeypatch, connection)
        before = bytes(MAX_PENDING_BYTES)
        connection.write(msgpack.packb(before))
        harness.loop.sleep(10 * MS)
        worker.streams[0].send_all(reply(worker.calls()[1][1], b"OK", b"-", b"body"))
        harness.until(lambda: not connection.open)
        window.open()
        assert client.next() == before
        kind, answered, error, _ = client.next()
        assert (kind, answered) == (1, number)
        assert error[1]["reason"].startswith("too many")
        following = client.send()
        worker.answer = Worker.good
        assert client.next()[:3] == [1, following, None]

    run_scenario_with_timeout(scenario, workers=1)


def test_many_large_answers_at_once_are_sent_while_the_kernel_takes_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        silence_workers(harness)
        for _ in range(12):
            client.send()
        harness.until(lambda: len(worker.calls()) == 13)
        connection, left = only_client_connection(harness), list[bytes]()

        def leaves(data: bytes) -> bytes:
            left.append(data)
            return b""

        monkeypatch.setattr(connection._stream, "send_now", leaves)
        large = bytes(120_000)
        for caller_id in list(connection.open.values()):
            harness.node.dispatcher._on_final_by_caller[caller_id](Served(large, worker.name, ""))
        harness.until(lambda: connection.is_idle)
        unpacker = msgpack.Unpacker()
        unpacker.feed(b"".join(left))
        assert [answer[3][0] for answer in unpacker] == [large] * 12

    run_scenario_with_timeout(scenario, workers=1)


def test_requests_beyond_the_high_water_mark_are_read_once_answers_are_fetched(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        warm(harness, client)
        connection = only_client_connection(harness)
        window = FullReceiveWindow(monkeypatch, connection)
        connection.write(msgpack.packb(bytes(HIGH_WATER_BYTES)))
        checks = [msgpack.packb([0, number, "check", [{}]]) for number in range(2, 20_002)]
        sending = harness.loop.spawn(client.raw, b"".join(checks))
        harness.loop.sleep(2_000 * MS)
        kept = connection._output.pending_bytes
        assert kept < HIGH_WATER_BYTES + 3 * rpc.MAX_READ_BYTES
        window.open()
        began = harness.loop.now()
        assert len(client.next()) == HIGH_WATER_BYTES
        assert [client.next()[1] for _ in range(6_000)] == list(range(2, 6_002))
        assert harness.loop.now() - began < 100 * MS
        assert [client.next()[1] for _ in checks[6_000:]] == list(range(6_002, 20_002))
        sending.join()

    run_scenario_with_timeout(scenario)


def test_flood_beside_an_open_request_ends_it_with_an_answer_at_once() -> None:
    """What would take it back is not looked at any more."""

    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        silence_workers(harness)
        number = client.send()
        harness.until(lambda: len(worker.calls()) == 2)
        began = harness.loop.now()
        flood = [
            msgpack.packb([0, n, "no such class", [{}, b""]]) for n in range(number + 1, MAX_REJECTED + 9)
        ]
        client.raw(b"".join(flood))
        answers = []
        while (answer := client.next()) is not None:
            answers.append(answer)
        assert [answer for answer in answers if answer[1] == number] == [[1, number, FAILED, None]]
        assert len(answers) == len(flood) + 1
        assert harness.loop.now() - began < 50 * MS
        assert harness.node.dispatcher.open_calls == 0

    run_scenario_with_timeout(scenario, workers=1)
