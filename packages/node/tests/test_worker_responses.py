"""Partial, malformed, duplicate and late responses of workers leave other requests unaffected."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace

import msgpack
import pytest

from walnutpost.testsupport.node.harness import (
    INTERNAL_ERROR,
    MILLISECOND_US,
    FakeWorker,
    NodeHarness,
    answer_first_call_with,
    reply,
    run_scenario,
    warm_up_worker,
)
from walnutpost.testsupport.node.worker_fixtures import (
    answer_nothing,
    limit_to_one_connection,
    send_unanswered_call,
)


def test_command_queued_when_a_response_is_malformed_moves_to_another_connection() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        (connection,) = harness.node.pool._connections[worker.name]
        client.send(method="reservation")
        (node_side,) = harness.node.clients.connections
        node_side.read()  # a worker is chosen; the call is sent at the end of this loop iteration
        harness.node.pool.on_malformed_response(connection)
        assert client.next_answer()[2] is None
        assert len(worker.calls()) == 2

    run_scenario(scenario, workers=1)


def test_partial_response_to_an_abandoned_call_does_not_corrupt_a_later_call() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: reply(command[1], b"OK", b"-", b"half")[:20]
        client.send(method="reservation", budget="100")
        assert client.next_answer()[2] == INTERNAL_ERROR
        worker.answer = FakeWorker.default_answer
        client.send(method="reservation")
        assert client.next_answer()[2] is None

    run_scenario(scenario, workers=1)


def test_partial_response_on_a_shared_connection_does_not_corrupt_a_later_call() -> None:
    def scenario(harness: NodeHarness) -> None:
        first, second, third = harness.client(), harness.client(), harness.client()
        worker = warm_up_worker(harness, first)
        limit_to_one_connection(harness, worker)
        first.send(method="reservation", budget="100")
        worker.answer = lambda command: reply(command[1], b"OK", b"-", b"half")[:20]
        harness.wait_until(lambda: len(worker.calls()) == 2)
        send_unanswered_call(harness, worker, second)
        assert first.next_answer()[2] == INTERNAL_ERROR
        worker.answer = FakeWorker.default_answer
        third.send(method="reservation")
        assert third.next_answer()[2] is None
        assert len(worker.streams) == 2

    run_scenario(scenario, workers=1)


def test_partial_response_after_a_complete_one_does_not_corrupt_a_later_call() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: reply(command[1], b"OK") + reply(command[1], b"OK")[:20]
        client.send(method="reservation")
        assert client.next_answer()[2] is None
        worker.answer = FakeWorker.default_answer
        client.send(method="reservation")
        assert client.next_answer()[2] is None

    run_scenario(scenario, workers=1)


def test_connection_with_a_partial_response_is_chosen_last() -> None:
    def scenario(harness: NodeHarness) -> None:
        first, second, third = harness.client(), harness.client(), harness.client()
        worker = warm_up_worker(harness, first)
        harness.node.pool.limits = replace(harness.node.pool.limits, max_connections=2)
        first_call = send_unanswered_call(harness, worker, first)
        second_call = send_unanswered_call(harness, worker, second)
        assert len(worker.streams) == 2
        worker.streams[0].send_all(reply(first_call[1], b"OK")[:20])
        harness.loop.sleep(10 * MILLISECOND_US)
        worker.answer = FakeWorker.default_answer
        third.send(method="reservation")
        assert third.next_answer()[2] is None, "the response was read as the rest of a partial one"
        worker.streams[1].send_all(reply(second_call[1], b"OK"))
        assert second.next_answer()[2] is None

    run_scenario(scenario, workers=1)


def test_response_received_before_the_connection_breaks_is_delivered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        connection = limit_to_one_connection(harness, worker)
        call = send_unanswered_call(harness, worker, client)
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))  # arrived but not read yet

        def raise_reset(data: bytes) -> bytes:
            raise ConnectionResetError

        monkeypatch.setattr(connection.stream, "send_nowait", raise_reset)
        connection.send_one_way(b"*1\r\n$4\r\nNOOP\r\n")
        connection._flush()
        assert client.next_answer()[2:] == [None, [b"mine", {}]]

    run_scenario(scenario, workers=1)


def test_reused_request_id_does_not_get_the_response_of_an_abandoned_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node refuses ids that it remembers; this one counts as forgotten."""

    def scenario(harness: NodeHarness) -> None:
        monkeypatch.setattr(harness.node.clients.requests, "was_attempted_before", lambda request_id: False)
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        harness.wait_until(lambda: len(harness.node.clients.connections) == 2)
        worker.answer = answer_nothing
        message_id = client.send(rid="00000000000000aa")
        harness.wait_until(lambda: len(worker.calls()) == 2)
        client.send_raw(msgpack.packb([2, "interrupt", [message_id]]))
        harness.wait_until(lambda: not harness.node.clients.requests.request_ids)
        other.send(rid="00000000000000aa")
        harness.wait_until(lambda: len(worker.calls()) == 3)
        with suppress(OSError):
            worker.streams[0].send_all(reply(b"00000000000000aa", b"OK", b"-", b"the former's"))
        harness.loop.sleep(10 * MILLISECOND_US)
        worker.streams[-1].send_all(reply(b"00000000000000aa", b"OK", b"-", b"its own"))
        assert other.next_answer()[2:] == [None, [b"its own", {}]]

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize("malformed", [b"noise\r\n", b"*4\r\n$2\r\nID\r\n$3000000000\r\n", b""])
@pytest.mark.parametrize(("method", "is_retried"), [("valuation", True), ("reservation", False)])
def test_call_is_retried_after_a_malformed_response_or_reset_only_if_idempotent(
    malformed: bytes, method: str, is_retried: bool
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = answer_first_call_with(malformed)
        message_id = client.send(method=method)
        answer = client.next_answer()
        executions = [
            command for worker in harness.workers for command in worker.calls() if command[3] == b"body 2"
        ]
        if is_retried:
            assert answer == [1, message_id, None, [b"did body 2", {}]]
            assert len(executions) == 2
        else:
            assert answer == [1, message_id, INTERNAL_ERROR, None]
            assert len(executions) == 1

    run_scenario(scenario)


def test_worker_that_sends_a_malformed_response_is_not_set_aside() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client).answer = answer_first_call_with(b"noise\r\n")
        client.send(method="reservation")
        assert client.next_answer()[2] == INTERNAL_ERROR
        assert not [line for line in harness.log.lines if "set aside" in line]
        client.send(method="reservation")
        assert client.next_answer()[2] is None

    run_scenario(scenario, workers=1)


def test_duplicate_and_unrequested_responses_are_ignored() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        unrequested = reply(b"0" * 16, b"OK", b"-", b"somebody's")
        valid = reply(b"ID", b"OK", b"-", b"mine").replace(b"$2\r\nID", b"$16\r\nID")
        worker.answer = answer_first_call_with(unrequested + valid + valid)
        for _ in range(2):
            message_id = client.send()
            assert client.next_answer()[1:3] == [message_id, None]

    run_scenario(scenario, workers=1)
