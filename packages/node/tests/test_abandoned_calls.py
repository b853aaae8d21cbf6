"""Calls that are cancelled while they may still be on their way to a worker: they must not begin later."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgpack
import pytest

from walnutpost.gateway import AttemptEnded, LoadOrder, LoadOrderEnded
from walnutpost.interface import Outcome
from walnutpost.testsupport.node.harness import (
    FUNCTION,
    INTERNAL_ERROR,
    MILLISECOND_US,
    SECOND_US,
    Client,
    Command,
    FakeWorker,
    NodeHarness,
    reply,
    run_scenario,
    settings,
    warm_up_worker,
)
from walnutpost.testsupport.node.worker_fixtures import (
    answer_nothing,
    answer_queries_only,
    limit_to_one_connection,
    non_reading_worker,
    read_remaining_bytes,
    start_attempt,
)

CANCELLED_CALL_LIMIT_US = 100 * MILLISECOND_US  # after which a cancelled call must not begin (STANDING)
KERNEL_BUFFER_BYTES = 64 << 10  # more than a worker's receive buffer holds in these tests
CALL_ID = 1_000_000


def answer_delivery_checks_only(command: Command) -> bytes | None:
    """Answer nothing that the policy asks, which would be another sign of life."""
    return answer_queries_only(command) if command[1].startswith(b"d") else None


def send_call(harness: NodeHarness, worker: FakeWorker, client: Client) -> tuple[int, Command]:
    """Send a non-idempotent call; return its message id and the command that the worker received."""
    count_before = len(worker.calls())
    message_id = client.send(method="reservation")
    harness.wait_until(lambda: len(worker.calls()) > count_before, step=MILLISECOND_US)
    return message_id, worker.calls()[-1]


def interrupt(client: Client, message_id: int) -> None:
    """Cancel a call of the client."""
    client.send_raw(msgpack.packb([2, "interrupt", [message_id]]))


def commands_after_calls(worker: FakeWorker) -> list[bytes]:
    """Return the words of the commands that the worker received after its last call."""
    words = [command[0] for command in worker.received_commands]
    last_call = len(words) - 1 - words[::-1].index(b"FN")
    return words[last_call + 1 :]


def start_undelivered_call(harness: NodeHarness, name: str) -> tuple[Any, list[AttemptEnded]]:
    """Start a call that stays in the kernel's send buffer; return its connection and its outcomes."""
    worker = harness.workers[0]
    worker.name = name
    ended = start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID)
    (connection,) = harness.node.pool._connections[name]
    connection._outbox._waiting.appendleft(bytes(KERNEL_BUFFER_BYTES))
    harness.wait_until(lambda: connection.is_connected and not connection._outbox)
    harness.loop.sleep(10 * MILLISECOND_US)
    return connection, ended


def test_call_cancelled_beside_a_copy_query_is_not_delivered_later() -> None:
    """Guards against review case 1: a keyed call ran a second time when the network was back."""

    def scenario(harness: NodeHarness) -> None:
        with non_reading_worker(harness) as (name, listener):
            harness.node.pool.limits = replace(harness.node.pool.limits, max_connections=1)
            queries: list[LoadOrderEnded] = []
            harness.node.workers.order_load(LoadOrder(name, FUNCTION, 0), queries.append)
            connection, ended = start_undelivered_call(harness, name)
            harness.node.workers.cancel(CALL_ID, 0)
            harness.loop.sleep(CANCELLED_CALL_LIMIT_US)
            assert [result.outcome for result in ended] == [Outcome.CANCELLED]
            assert connection.is_closed
            assert b"FN" not in read_remaining_bytes(listener)
            assert not queries, "the copy query moves to a new connection"
            assert harness.node.pool.connection_count == 1
            assert harness.node.pool.undelivered_resets == 1

    run_scenario(scenario)


def test_cancellation_reaches_a_stopped_worker_before_the_reset() -> None:
    """Guards against review case 1 where a reset does not help: the worker reads what its kernel holds."""

    def scenario(harness: NodeHarness) -> None:
        with non_reading_worker(harness) as (name, listener):
            worker = harness.workers[0]
            worker.name = name
            start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID)
            (connection,) = harness.node.pool._connections[name]
            harness.wait_until(lambda: connection.is_connected and not connection._outbox)
            harness.node.workers.cancel(CALL_ID, 0)
            assert connection.is_closed
            data = read_remaining_bytes(listener)
            assert 0 <= data.find(b"FN") < data.find(b"KILL")

    run_scenario(scenario)


def test_call_keeps_its_connection_when_another_one_there_is_cancelled() -> None:
    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        connection = limit_to_one_connection(harness, worker)
        worker.answer = answer_queries_only
        _, call = send_call(harness, worker, client)
        message_id, _ = send_call(harness, worker, other)
        interrupt(other, message_id)
        harness.loop.sleep(2 * CANCELLED_CALL_LIMIT_US)
        assert commands_after_calls(worker)[:2] == [b"KILL", b"SPAWN"]
        assert not worker.connection_ends
        assert connection.accepts_commands
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))
        assert client.next_answer()[2:] == [None, [b"mine", {}]]
        harness.loop.sleep(10 * MILLISECOND_US)
        assert not connection.open

    run_scenario(scenario, workers=1)


def test_no_command_is_sent_after_a_cancelled_call_until_its_delivery_is_proven() -> None:
    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        connection = limit_to_one_connection(harness, worker)
        worker.answer = answer_nothing
        send_call(harness, worker, client)
        message_id, cancelled = send_call(harness, worker, other)
        interrupt(other, message_id)
        harness.wait_until(lambda: commands_after_calls(worker), step=MILLISECOND_US)
        assert not connection.accepts_commands
        worker.streams[0].send_all(reply(cancelled[1], b"OK"))
        harness.wait_until(lambda: connection.accepts_commands, step=MILLISECOND_US)
        harness.loop.sleep(2 * CANCELLED_CALL_LIMIT_US)
        assert not worker.connection_ends

    run_scenario(scenario, workers=1)


def test_unanswered_check_resets_the_connection_and_its_calls_fail_without_a_second_run() -> None:
    """Guards against review case 3: a call began after its client had cancelled it."""

    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        limit_to_one_connection(harness, worker)
        worker.answer = answer_nothing
        send_call(harness, worker, client)
        message_id, _ = send_call(harness, worker, other)
        calls_before = len(worker.calls())
        interrupt(other, message_id)
        harness.loop.sleep(CANCELLED_CALL_LIMIT_US)
        assert worker.connection_ends == ["reset"]
        assert client.next_answer()[2] == INTERNAL_ERROR
        assert len(worker.calls()) == calls_before

    run_scenario(scenario, workers=1)


def test_response_to_an_earlier_call_does_not_prove_the_delivery_of_a_later_one() -> None:
    """Guards against the cause of review case 1 where something was received since the call was sent."""

    def scenario(harness: NodeHarness) -> None:
        client, other, third = harness.client(), harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        limit_to_one_connection(harness, worker)
        worker.answer = answer_nothing
        _, earlier = send_call(harness, worker, client)
        send_call(harness, worker, third)
        message_id, _ = send_call(harness, worker, other)
        worker.streams[0].send_all(reply(earlier[1], b"OK"))
        assert client.next_answer()[2] is None
        interrupt(other, message_id)
        harness.loop.sleep(CANCELLED_CALL_LIMIT_US)
        assert worker.connection_ends == ["reset"]

    run_scenario(scenario, workers=1)


def test_response_to_a_later_call_proves_the_delivery_of_an_earlier_one() -> None:
    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        limit_to_one_connection(harness, worker)
        worker.answer = answer_nothing
        message_id, _ = send_call(harness, worker, other)
        _, later = send_call(harness, worker, client)
        worker.streams[0].send_all(reply(later[1], b"OK"))
        assert client.next_answer()[2] is None
        interrupt(other, message_id)
        harness.loop.sleep(2 * CANCELLED_CALL_LIMIT_US)
        assert commands_after_calls(worker)[:1] == [b"KILL"]
        assert not worker.connection_ends
        assert not harness.node.pool.delivery_checks

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize(
    ("may_order_loads", "may_probe", "words"),
    [
        (True, True, [b"KILL", b"SPAWN"]),
        (True, False, [b"KILL", b"SPAWN"]),
        (False, True, [b"KILL", b"TOP"]),
        (False, False, [b"KILL"]),
    ],
)
def test_delivery_check_is_a_query_that_the_settings_allow(
    may_order_loads: bool, may_probe: bool, words: list[bytes]
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        limit_to_one_connection(harness, worker)
        worker.answer = answer_nothing
        send_call(harness, worker, client)
        message_id, _ = send_call(harness, worker, other)
        interrupt(other, message_id)
        harness.loop.sleep(CANCELLED_CALL_LIMIT_US)
        assert commands_after_calls(worker)[: len(words)] == words
        assert worker.connection_ends == ["reset"]

    changed = settings(
        Extra={"MayLoad": may_order_loads},
        PolicyLimits={"Probes": may_probe},
    )
    run_scenario(scenario, workers=1, settings=changed)


@pytest.mark.parametrize("leaves_early", [False, True])
def test_without_cancelling_a_delivered_call_is_given_up_by_a_reset_at_its_timeout(
    leaves_early: bool,
) -> None:
    """Guards against workers that go on with calls that nobody waits for, seen as less served."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = answer_delivery_checks_only
        harness.loop.sleep(10 * MILLISECOND_US)  # so that the earlier response is older than the call
        message_id, _ = send_call(harness, worker, client)
        if leaves_early:
            interrupt(client, message_id)
        harness.loop.sleep(2 * CANCELLED_CALL_LIMIT_US)
        assert not worker.connection_ends
        harness.loop.sleep(SECOND_US)
        assert b"KILL" not in commands_after_calls(worker)
        assert harness.node.pool.delivery_checks == leaves_early
        assert worker.connection_ends[:1] == ["reset"]

    run_scenario(scenario, workers=1, settings=settings(PolicyLimits={"Cancel": False}))
