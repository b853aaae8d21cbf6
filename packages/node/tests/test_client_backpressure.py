"""Clients that read their answers too slowly or send too many requests."""

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
from walnutpost.testsupport.node.harness import (
    INTERNAL_ERROR,
    MILLISECOND_US,
    FakeWorker,
    NodeHarness,
    reply,
    warm_up_worker,
)


def test_slow_reader_gets_an_error_instead_of_a_body_and_stays_connected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: None
        message_id = client.send()
        harness.wait_until(lambda: len(worker.calls()) == 2)
        connection = only_client_connection(harness)
        window = FullReceiveWindow(monkeypatch, connection)
        pending_body = bytes(MAX_PENDING_BYTES)
        connection.write(msgpack.packb(pending_body))
        harness.loop.sleep(10 * MILLISECOND_US)
        worker.streams[0].send_all(reply(worker.calls()[1][1], b"OK", b"-", b"body"))
        harness.wait_until(lambda: not connection.open)
        window.open()
        assert client.next_answer() == pending_body
        kind, answered_id, error, _ = client.next_answer()
        assert (kind, answered_id) == (1, message_id)
        assert error[1]["reason"].startswith("too many")
        next_id = client.send()
        worker.answer = FakeWorker.default_answer
        assert client.next_answer()[:3] == [1, next_id, None]

    run_scenario_with_timeout(scenario, workers=1)


def test_many_large_answers_at_once_are_sent_if_the_kernel_accepts_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        silence_workers(harness)
        for _ in range(12):
            client.send()
        harness.wait_until(lambda: len(worker.calls()) == 13)
        connection, sent = only_client_connection(harness), list[bytes]()

        def accept_all(data: bytes) -> bytes:
            sent.append(data)
            return b""

        monkeypatch.setattr(connection._stream, "send_nowait", accept_all)
        large = bytes(120_000)
        for caller_id in list(connection.open.values()):
            harness.node.dispatcher._on_final_by_caller[caller_id](Served(large, worker.name, ""))
        harness.wait_until(lambda: connection.is_idle)
        unpacker = msgpack.Unpacker()
        unpacker.feed(b"".join(sent))
        assert [answer[3][0] for answer in unpacker] == [large] * 12

    run_scenario_with_timeout(scenario, workers=1)


def test_reading_pauses_above_the_high_water_mark_until_the_answers_are_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        connection = only_client_connection(harness)
        window = FullReceiveWindow(monkeypatch, connection)
        connection.write(msgpack.packb(bytes(HIGH_WATER_BYTES)))
        checks = [msgpack.packb([0, message_id, "check", [{}]]) for message_id in range(2, 20_002)]
        send_task = harness.loop.spawn(client.send_raw, b"".join(checks))
        harness.loop.sleep(2_000 * MILLISECOND_US)
        pending_bytes = connection._output.pending_bytes
        assert pending_bytes < HIGH_WATER_BYTES + 3 * rpc.MAX_READ_BYTES
        window.open()
        started_us = harness.loop.now()
        assert len(client.next_answer()) == HIGH_WATER_BYTES
        assert [client.next_answer()[1] for _ in range(6_000)] == list(range(2, 6_002))
        assert harness.loop.now() - started_us < 100 * MILLISECOND_US
        assert [client.next_answer()[1] for _ in checks[6_000:]] == list(range(6_002, 20_002))
        send_task.join()

    run_scenario_with_timeout(scenario)


def test_flood_of_invalid_requests_fails_an_open_request_at_once() -> None:
    """The node stops reading such a client, and so would miss a cancellation of the open request."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        silence_workers(harness)
        message_id = client.send()
        harness.wait_until(lambda: len(worker.calls()) == 2)
        started_us = harness.loop.now()
        flood = [
            msgpack.packb([0, n, "no such class", [{}, b""]]) for n in range(message_id + 1, MAX_REJECTED + 9)
        ]
        client.send_raw(b"".join(flood))
        answers = []
        while (answer := client.next_answer()) is not None:
            answers.append(answer)
        assert [answer for answer in answers if answer[1] == message_id] == [
            [1, message_id, INTERNAL_ERROR, None]
        ]
        assert len(answers) == len(flood) + 1
        assert harness.loop.now() - started_us < 50 * MILLISECOND_US
        assert harness.node.dispatcher.open_calls == 0

    run_scenario_with_timeout(scenario, workers=1)
