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
    MILLISECOND_US,
    SECOND_US,
    DelayedConnections,
    NodeHarness,
    reply,
    run_scenario,
    warm_up_worker,
)
from walnutpost.testsupport.node.worker_fixtures import (
    PARTIAL_COMMAND_BYTES,
    SendThrottle,
    answer_nothing,
    limit_to_one_connection,
    list_outcomes,
    received_load_orders,
    send_load_order,
    send_unanswered_call,
)


def test_load_order_past_its_send_limit_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    delayed, ended = DelayedConnections(monkeypatch), list[LoadOrderEnded]()

    def scenario(harness: NodeHarness) -> None:
        delayed.is_delaying = True
        harness.node.workers.order_load(
            LoadOrder(harness.workers[0].name, FUNCTION, 1, 50 * MILLISECOND_US), ended.append
        )
        harness.loop.sleep(60 * MILLISECOND_US)
        delayed.release()
        harness.wait_until(lambda: ended)
        assert [result.outcome for result in ended] == [Outcome.EXPIRED]
        assert not harness.workers[0].received_commands

    run_scenario(scenario, workers=1)


def test_load_order_with_no_byte_sent_before_its_timeout_never_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        throttle = SendThrottle(monkeypatch, limit_to_one_connection(harness, worker), 0)
        ended = send_load_order(harness, worker.name)
        harness.wait_until(lambda: ended)
        throttle.open()
        harness.loop.sleep(SECOND_US)
        assert list_outcomes(ended) == [Outcome.EXPIRED]
        assert not received_load_orders(worker)

    run_scenario(scenario, workers=1)


def test_partly_sent_load_order_never_arrives_after_its_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        throttle = SendThrottle(monkeypatch, limit_to_one_connection(harness, worker), PARTIAL_COMMAND_BYTES)
        ended = send_load_order(harness, worker.name)
        harness.wait_until(lambda: ended)
        with suppress(OSError):  # already closed
            throttle.open()
        harness.loop.sleep(SECOND_US)
        assert list_outcomes(ended) == [Outcome.EXPIRED]
        assert not received_load_orders(worker)
        assert worker.connection_ends == ["reset"]

    run_scenario(scenario, workers=1)


def test_abandoned_partly_sent_load_order_keeps_the_response_of_a_concurrent_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        connection = limit_to_one_connection(harness, worker)
        call = send_unanswered_call(harness, worker, client)
        throttle = SendThrottle(monkeypatch, connection, PARTIAL_COMMAND_BYTES)
        ended = send_load_order(harness, worker.name)
        harness.wait_until(lambda: ended)
        throttle.open()
        harness.loop.sleep(10 * MILLISECOND_US)
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))
        assert client.next_answer()[2:] == [None, [b"mine", {}]]
        harness.wait_until(lambda: worker.connection_ends)
        assert list_outcomes(ended) == [Outcome.EXPIRED]
        assert not received_load_orders(worker)
        assert worker.connection_ends == ["reset"]

    run_scenario(scenario, workers=1)


def test_command_queued_behind_a_partly_sent_load_order_moves_to_another_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        SendThrottle(monkeypatch, limit_to_one_connection(harness, worker), PARTIAL_COMMAND_BYTES)
        ended = send_load_order(harness, worker.name)
        client.send(method="reservation")
        harness.wait_until(lambda: ended)
        assert client.next_answer()[2] is None
        assert list_outcomes(ended) == [Outcome.EXPIRED]
        assert not received_load_orders(worker)

    run_scenario(scenario, workers=1)


def test_response_to_a_partly_sent_load_order_does_not_end_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        connection = limit_to_one_connection(harness, worker)
        throttle = SendThrottle(monkeypatch, connection, PARTIAL_COMMAND_BYTES)
        ended = send_load_order(harness, worker.name)
        harness.wait_until(lambda: not throttle.available_bytes)
        (message_id,) = connection.open
        worker.streams[0].send_all(reply(message_id, b"BUSY"))
        harness.loop.sleep(10 * MILLISECOND_US)
        assert not ended
        throttle.open()
        harness.wait_until(lambda: ended)
        assert list_outcomes(ended) == [Outcome.OK]
        assert len(received_load_orders(worker)) == 1

    run_scenario(scenario, workers=1)


def test_partly_sent_load_order_arrives_once_after_its_connection_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        throttle = SendThrottle(monkeypatch, limit_to_one_connection(harness, worker), PARTIAL_COMMAND_BYTES)
        ended = send_load_order(harness, worker.name)
        harness.wait_until(lambda: not throttle.available_bytes)
        worker.streams[0].reset()
        harness.wait_until(lambda: ended)
        harness.loop.sleep(SECOND_US)
        assert list_outcomes(ended) == [Outcome.OK]
        assert len(received_load_orders(worker)) == 1
        assert len(worker.streams) == 2

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize("close_method", ["close", "reset"])
def test_fully_sent_load_order_is_not_resent_after_its_connection_breaks(close_method: str) -> None:
    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        worker.answer = answer_nothing
        ended = send_load_order(harness, worker.name)
        harness.wait_until(lambda: received_load_orders(worker))
        getattr(worker.streams[0], close_method)()
        harness.wait_until(lambda: ended)
        harness.loop.sleep(5 * SECOND_US)
        assert list_outcomes(ended) == [Outcome.RESET]
        assert len(received_load_orders(worker)) == 1

    run_scenario(scenario, workers=1)


def test_malformed_response_ends_a_load_order_as_reset() -> None:
    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        worker.answer = lambda command: b"noise\r\n"
        ended = send_load_order(harness, worker.name)
        harness.wait_until(lambda: ended)
        harness.wait_until(lambda: worker.connection_ends)
        assert list_outcomes(ended) == [Outcome.RESET]
        assert worker.connection_ends == ["reset"]

    run_scenario(scenario, workers=1)


def test_load_order_sent_before_its_worker_is_removed_ends_with_its_response() -> None:
    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        connection = limit_to_one_connection(harness, worker)
        worker.answer = answer_nothing
        sent = send_load_order(harness, worker.name)
        harness.wait_until(lambda: received_load_orders(worker))
        queued = send_load_order(harness, worker.name)
        harness.node.pool.update_addresses({})
        ordered_after_removal = send_load_order(harness, worker.name)
        harness.node.workers.close_idle_connections(worker.name)
        harness.wait_until(lambda: queued and ordered_after_removal)
        assert list_outcomes(queued) == [Outcome.EXPIRED]
        assert list_outcomes(ordered_after_removal) == [Outcome.CONNECT_FAILED]
        assert not sent
        assert not connection.is_closed
        worker.streams[0].send_all(reply(received_load_orders(worker)[0][1], b"OK", b"slots_up=1"))
        harness.wait_until(lambda: sent)
        harness.loop.sleep(SECOND_US)
        assert list_outcomes(sent) == [Outcome.OK]
        assert len(received_load_orders(worker)) == 1
        assert connection.is_closed
        assert len(queued) == len(ordered_after_removal) == 1

    run_scenario(scenario, workers=1)


def test_unanswered_load_order_to_a_removed_worker_ends_at_its_timeout() -> None:
    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        limit_to_one_connection(harness, worker)
        worker.answer = answer_nothing
        ended = send_load_order(harness, worker.name)
        harness.wait_until(lambda: received_load_orders(worker))
        harness.node.pool.update_addresses({})
        harness.wait_until(lambda: ended)
        harness.wait_until(lambda: worker.connection_ends)
        assert list_outcomes(ended) == [Outcome.TIMEOUT]
        assert worker.connection_ends == ["reset"]

    run_scenario(scenario, workers=1)
