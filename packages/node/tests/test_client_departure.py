"""Clients that disconnect or cancel: no attempt starts for them, but half-closed ones get their answers."""

from __future__ import annotations

from collections.abc import Callable

import msgpack
import pytest

from walnutpost.node import rpc
from walnutpost.node.client_connection import MAX_REJECTED_BEFORE_PAUSE, READ_PAUSE_US
from walnutpost.testsupport.node.client_fixtures import (
    LARGE_BODY,
    FullReceiveWindow,
    encode_request,
    interrupt_second_call,
    only_client_connection,
    received_calls,
    record_submitted_calls,
    run_scenario_with_timeout,
    silence_workers,
    stall_process,
)
from walnutpost.testsupport.node.harness import (
    CLIENT_DEPARTURES,
    INTERNAL_ERROR,
    MILLISECOND_US,
    OVERLOADED_ERROR,
    Client,
    NodeHarness,
    answer_first_call_with,
    run_scenario,
    warm_up_worker,
)


def test_half_closed_client_gets_an_answer_to_each_open_request() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        silence_workers(harness)
        message_id = client.send()
        harness.wait_until(lambda: len(worker.calls()) == 2)
        client.stream.shutdown_write()
        assert client.next_answer() == [1, message_id, INTERNAL_ERROR, None]
        assert client.next_answer() is None
        assert harness.node.dispatcher.open_calls == 0
        assert not harness.node.clients.connections

    run_scenario_with_timeout(scenario, workers=1)


def test_requests_followed_by_a_half_close_are_rejected_without_an_attempt() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        client.send_raw(
            encode_request(2) + encode_request(3) + msgpack.packb([2, "interrupt", [3]]) + encode_request(4)
        )
        client.stream.shutdown_write()
        assert [client.next_answer(), client.next_answer()] == [
            [1, 2, OVERLOADED_ERROR, None],
            [1, 4, OVERLOADED_ERROR, None],
        ]
        assert client.next_answer() is None
        assert len(received_calls(harness)) == 1

    run_scenario_with_timeout(scenario)


def test_queued_request_is_rejected_if_its_client_half_closes() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        message_id = client.send()
        harness.wait_until(lambda: only_client_connection(harness).open)
        client.stream.shutdown_write()
        assert client.next_answer() == [1, message_id, OVERLOADED_ERROR, None]
        assert client.next_answer() is None
        assert harness.node.dispatcher.open_calls == 0

    run_scenario_with_timeout(scenario, workers=0)


def test_half_closed_client_that_reads_nothing_is_closed_after_the_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        silence_workers(harness)
        client.send()
        harness.wait_until(lambda: len(worker.calls()) == 2)
        FullReceiveWindow(monkeypatch, only_client_connection(harness))
        client.stream.shutdown_write()
        harness.wait_until(lambda: not harness.node.clients.requests.request_ids)
        assert harness.node.clients.connections
        harness.wait_until(lambda: not harness.node.clients.connections)

    run_scenario_with_timeout(scenario, workers=1)


def test_close_several_reads_after_the_requests_prevents_their_attempts() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        client.send_raw(b"".join(encode_request(message_id, LARGE_BODY) for message_id in (2, 3, 4)))
        client.stream.close()
        harness.wait_until(lambda: not harness.node.clients.connections)
        harness.loop.sleep(100 * MILLISECOND_US)
        assert len(received_calls(harness)) == 1

    run_scenario_with_timeout(scenario)


def test_half_close_several_reads_after_the_requests_rejects_all_of_them() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        client.send_raw(b"".join(encode_request(message_id, LARGE_BODY) for message_id in (2, 3, 4)))
        client.stream.shutdown_write()
        assert [client.next_answer() for _ in range(3)] == [
            [1, message_id, OVERLOADED_ERROR, None] for message_id in (2, 3, 4)
        ]
        assert client.next_answer() is None
        assert len(received_calls(harness)) == 1

    run_scenario_with_timeout(scenario)


def test_many_requests_followed_by_a_half_close_are_rejected_without_a_read_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        monkeypatch.setattr(rpc, "MAX_READ_BYTES", 1024)
        message_ids = range(2, 2 * MAX_REJECTED_BEFORE_PAUSE)
        client.send_raw(b"".join(encode_request(message_id, bytes(900)) for message_id in message_ids))
        client.stream.shutdown_write()
        started_us = harness.loop.now()
        assert [client.next_answer() for _ in message_ids] == [
            [1, message_id, OVERLOADED_ERROR, None] for message_id in message_ids
        ]
        assert harness.loop.now() - started_us < READ_PAUSE_US

    run_scenario_with_timeout(scenario)


def test_half_close_after_discarded_input_is_noticed() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        silence_workers(harness)
        client.send()
        harness.wait_until(lambda: len(worker.calls()) == 2)
        connection = only_client_connection(harness)
        connection._input.is_discarding = True
        client.send_raw(bytes(2 * rpc.MAX_READ_BYTES))
        client.stream.shutdown_write()
        connection.read()
        assert not connection.open
        assert client.next_answer()[2] == INTERNAL_ERROR

    run_scenario_with_timeout(scenario, workers=1)


def test_interrupt_during_a_stall_cancels_requests_several_reads_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        submitted = record_submitted_calls(harness, monkeypatch)
        client.send_raw(b"".join(encode_request(message_id, LARGE_BODY) for message_id in (2, 3, 4)))
        client.send_raw(msgpack.packb([2, "interrupt", [2, 3, 4]]))
        stall_process(harness, 150 * MILLISECOND_US)
        harness.loop.sleep(100 * MILLISECOND_US)
        assert len(received_calls(harness)) == 1
        assert not submitted

    run_scenario_with_timeout(scenario)


@pytest.mark.parametrize("leave", [*CLIENT_DEPARTURES[1:], interrupt_second_call])
def test_no_attempt_starts_for_a_client_that_leaves_during_a_stall_before_the_send(
    monkeypatch: pytest.MonkeyPatch, leave: Callable[[Client], None]
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)

        def leave_and_stall() -> None:
            leave(client)
            stall_process(harness, 150 * MILLISECOND_US)

        submitted = record_submitted_calls(harness, monkeypatch, before_each=leave_and_stall)
        client.send()
        harness.wait_until(lambda: submitted and not harness.node.clients.requests.request_ids)
        harness.loop.sleep(100 * MILLISECOND_US)
        assert len(received_calls(harness)) == 1
        assert harness.node.dispatcher.open_calls == 0

    run_scenario_with_timeout(scenario)


def test_half_close_read_ahead_fails_attempted_requests_and_rejects_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        silence_workers(harness)
        client.send(method="reservation")
        harness.wait_until(lambda: len(worker.calls()) == 2)

        def half_close_and_stall() -> None:
            client.stream.shutdown_write()
            stall_process(harness, 150 * MILLISECOND_US)

        record_submitted_calls(harness, monkeypatch, before_each=half_close_and_stall)
        client.send(method="reservation")
        answers = {answer[1]: answer[2] for answer in (client.next_answer(), client.next_answer())}
        assert answers == {2: INTERNAL_ERROR, 3: OVERLOADED_ERROR}
        assert len(worker.calls()) == 2

    run_scenario_with_timeout(scenario, workers=1)


def test_messages_read_ahead_are_processed_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        unsent = [encode_request(3) + encode_request(4)[:20]]

        def send_more_and_stall() -> None:
            if unsent:
                client.send_raw(unsent.pop())
                stall_process(harness, 150 * MILLISECOND_US)

        submitted = record_submitted_calls(harness, monkeypatch, before_each=send_more_and_stall)
        client.send()
        harness.wait_until(lambda: len(submitted) == 2)
        client.send_raw(encode_request(4)[20:])
        assert sorted(client.next_answer()[1] for _ in range(3)) == [2, 3, 4]
        assert [call.waited_us for call in submitted] == [0, 150 * MILLISECOND_US, 0]

    run_scenario_with_timeout(scenario, workers=1)


def test_request_delayed_only_by_a_stall_is_attempted(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        record_submitted_calls(
            harness, monkeypatch, before_each=lambda: stall_process(harness, 150 * MILLISECOND_US)
        )
        message_id = client.send(method="reservation")
        assert client.next_answer()[:3] == [1, message_id, None]
        assert len(received_calls(harness)) == 2

    run_scenario_with_timeout(scenario)


@pytest.mark.parametrize("end", ["close", "reset"])
def test_request_followed_by_a_close_is_not_attempted(end: str) -> None:
    def scenario(harness: NodeHarness) -> None:
        first, client = harness.client(), harness.client()
        warm_up_worker(harness, first)
        harness.wait_until(lambda: len(harness.node.clients.connections) == 2)
        client.send()
        getattr(client.stream, end)()
        harness.wait_until(lambda: len(harness.node.clients.connections) == 1)
        harness.loop.sleep(100 * MILLISECOND_US)
        assert sum(len(worker.calls()) for worker in harness.workers) == 1

    run_scenario(scenario)


def test_interrupt_received_before_its_request_cancels_it() -> None:
    def scenario(harness: NodeHarness) -> None:
        first, client = harness.client(), harness.client()
        worker = warm_up_worker(harness, first)
        client.send_raw(msgpack.packb([2, "interrupt", [1]]))
        harness.loop.sleep(10 * MILLISECOND_US)
        client.send()
        harness.loop.sleep(10 * MILLISECOND_US)
        client.send_raw(msgpack.packb([2, "interrupt", [1, 1]]))
        client.send_raw(msgpack.packb([0, 2, "check", [{}]]))
        assert client.next_answer() == [1, 2, None, [True, {}]]
        assert len(worker.calls()) == 1

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize("leave", CLIENT_DEPARTURES)
def test_departure_of_a_client_with_rejected_requests_is_noticed_at_once(
    leave: Callable[[Client], None],
) -> None:
    def scenario(harness: NodeHarness) -> None:
        for worker in harness.workers:
            worker.answer = lambda command: None
        client = harness.client()
        client.send(budget="1000")
        for _ in range(MAX_REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next_answer()
        started_us = harness.loop.now()
        leave(client)
        harness.wait_until(lambda: not harness.node.clients.requests.request_ids, step=MILLISECOND_US)
        assert harness.loop.now() - started_us <= 5 * MILLISECOND_US

    run_scenario(scenario)


def test_interrupt_by_a_client_that_reads_no_answers_is_noticed_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        (connection,) = harness.node.clients.connections
        worker.answer = lambda command: None
        client.send()
        harness.wait_until(lambda: len(worker.calls()) == 2)
        monkeypatch.setattr(connection._stream, "send_nowait", lambda data: data)
        monkeypatch.setattr(connection._stream, "on_writable", lambda callback: None)
        connection.write(bytes(300 << 10))
        harness.loop.sleep(10 * MILLISECOND_US)
        client.send_raw(msgpack.packb([2, "interrupt", [2]]))
        harness.wait_until(lambda: not connection.open)

    run_scenario(scenario, workers=1)


def test_interrupt_cancels_an_open_call_at_its_worker() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = answer_first_call_with(None)
        message_id = client.send(method="reservation")
        harness.wait_until(lambda: len(worker.calls()) == 2)
        client.send_raw(msgpack.packb([2, "interrupt", [message_id]]))
        cancellation = [b"KILL", worker.calls()[1][1]]
        harness.wait_until(lambda: cancellation in worker.received_commands)
        commands_after = worker.received_commands[worker.received_commands.index(cancellation) + 1 :]
        assert [command[:2] for command in commands_after] in ([], [[b"SPAWN", b"d1"]]), "a delivery check"
        assert harness.node.dispatcher.open_calls == 0
        assert not harness.node.clients.requests.request_ids

    run_scenario(scenario, workers=1)


def test_call_cancelled_in_the_same_read_is_not_submitted() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        fields = {"rid": "00000000000000aa", "budget": "1000", "obj": "7f3a9c21e0b4d655"}
        call = msgpack.packb([0, 7, "valuation", [fields, b""]])
        client.send_raw(call + msgpack.packb([2, "interrupt", [7]]) + msgpack.packb([0, 8, "check", [{}]]))
        assert client.next_answer() == [1, 8, None, [True, {}]]
        assert len(worker.calls()) == 1
        assert harness.node.dispatcher.answers.abandoned == 0

    run_scenario(scenario, workers=1)
