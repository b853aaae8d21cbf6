"""Failing worker connections: which calls count as executed, and which are sent again."""

from __future__ import annotations

import errno
from typing import Any

import msgpack
import pytest

from walnutpost.gateway import LoadOrder, LoadOrderEnded
from walnutpost.interface import Outcome
from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults
from walnutpost.testsupport.node.fault_injection import (
    count_open_calls,
    errno_params,
    run_scenario_with_faults,
    to_any_worker,
)
from walnutpost.testsupport.node.harness import (
    INTERNAL_ERROR,
    MILLISECOND_US,
    SECOND_US,
    Command,
    FakeWorker,
    NodeHarness,
    answer_first_call_with,
    reply,
    run_scenario,
    warm_up_worker,
)
from walnutpost.testsupport.node.worker_fixtures import (
    SendThrottle,
    limit_to_one_connection,
    send_unanswered_call,
)


def test_unexpected_write_error_closes_only_that_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        (connection,) = harness.node.pool._connections[worker.name]
        monkeypatch.setattr(connection._outbox, "next_chunk", lambda now: 1 // 0)
        client.send(method="reservation")
        assert client.next_answer()[2] is None
        assert connection.is_closed

    with pytest.raises(ZeroDivisionError):  # reported by the loop
        run_scenario(scenario, workers=1)


def test_response_received_before_a_call_is_sent_does_not_count_as_a_sign_of_life(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        connection = limit_to_one_connection(harness, worker)
        call = send_unanswered_call(harness, worker, client)
        throttle = SendThrottle(monkeypatch, connection, 0)
        message_id = other.send(method="reservation")
        harness.loop.sleep(20 * MILLISECOND_US)
        worker.streams[0].send_all(reply(call[1], b"OK"))
        assert client.next_answer()[2] is None
        harness.loop.sleep(20 * MILLISECOND_US)
        throttle.open()
        harness.wait_until(lambda: len(worker.calls()) == 3)
        other.send_raw(msgpack.packb([2, "interrupt", [message_id]]))
        harness.loop.sleep(100 * MILLISECOND_US)
        assert worker.connection_ends == ["reset"]

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize("resets", [1, 2])
def test_copy_query_is_resent_on_a_new_connection_after_a_reset(resets: int) -> None:
    def scenario(harness: NodeHarness) -> None:
        client, remaining_resets = harness.client(), [resets]

        def answer(command: Command) -> bytes | None:
            if command[0] == b"SPAWN" and command[2].endswith(b"=0") and remaining_resets[0]:
                remaining_resets[0] -= 1
                return b""
            return FakeWorker.default_answer(command)

        worker = warm_up_worker(harness, client)
        ended: list[LoadOrderEnded] = []
        worker.answer = answer
        for copies in (0, 1):
            harness.node.workers.order_load(LoadOrder(worker.name, "7f3a9c21e0b4d655", copies), ended.append)
        harness.wait_until(lambda: len(ended) == 2)
        assert {result.outcome for result in ended} == {Outcome.OK}
        assert not remaining_resets[0]
        worker.answer = answer_first_call_with(b"")
        client.send(method="reservation")
        assert client.next_answer()[2] == INTERNAL_ERROR  # but a call that may have run is not sent again

    run_scenario(scenario, workers=1)


def test_moved_copy_query_keeps_its_timeout() -> None:
    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        ended, answers = list[LoadOrderEnded](), [b""]
        worker.answer = lambda command: answers.pop() if answers else None
        harness.node.workers.order_load(LoadOrder(worker.name, "7f3a9c21e0b4d655", 0), ended.append)
        harness.wait_until(lambda: ended, step=SECOND_US // 2)
        assert [result.outcome for result in ended] == [Outcome.TIMEOUT]

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize("method", ["valuation", "reservation"])
@pytest.mark.parametrize(
    ("operation", "error_number", "expected"),
    [
        ("socket", errno.EMFILE, Outcome.EXPIRED),
        ("socket", errno.ENFILE, Outcome.EXPIRED),
        ("socket", errno.ENOBUFS, Outcome.EXPIRED),
        ("connect", errno.EADDRNOTAVAIL, Outcome.CONNECT_FAILED),
        ("connect", errno.EAGAIN, Outcome.CONNECT_FAILED),
        ("connect", errno.ENETUNREACH, Outcome.CONNECT_FAILED),
        ("connect", errno.EPERM, Outcome.CONNECT_FAILED),
        ("connect", errno.ENOBUFS, Outcome.CONNECT_FAILED),
    ],
)
def test_call_whose_connect_fails_counts_as_not_executed(
    operation: Any, error_number: int, expected: Outcome, method: str
) -> None:
    def scenario(harness: NodeHarness, faults: SocketFaults) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        harness.wait_until(lambda: not any(count_open_calls(harness)))
        for worker in harness.workers:
            harness.node.workers.close_idle_connections(worker.name)
        calls_before = sum(len(worker.calls()) for worker in harness.workers)
        harness.node.workers.attempt_outcomes.clear()
        if operation == "socket":
            faults.fail(operation, error_number)
        else:
            faults.fail(operation, error_number, when=to_any_worker(harness))
        client.send(method=method)
        assert client.next_answer()[2] is None
        assert sum(len(worker.calls()) for worker in harness.workers) == calls_before + 1
        attempt_outcomes = {outcome for _, outcome in harness.node.workers.attempt_outcomes}
        assert faults.failed[operation] == 1
        assert attempt_outcomes == {expected, Outcome.OK}

    run_scenario_with_faults(scenario)


@pytest.mark.parametrize(
    "error_number",
    errno_params([errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ECONNRESET, errno.ENOBUFS]),
)
def test_fully_sent_non_idempotent_call_is_not_retried_after_a_receive_error(error_number: int) -> None:
    def scenario(harness: NodeHarness, faults: SocketFaults) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        calls_before = sum(len(worker.calls()) for worker in harness.workers)
        for worker in harness.workers:
            worker.answer = lambda command: None
        client.send(method="reservation")
        harness.wait_until(lambda: sum(len(worker.calls()) for worker in harness.workers) > calls_before)
        faults.fail("recv", error_number, when=to_any_worker(harness))
        for worker in harness.workers:  # makes the node read
            for stream in worker.streams:
                if not stream.closed:
                    stream.send_all(b"*")
        error = client.next_answer()
        assert error[2] == INTERNAL_ERROR
        harness.loop.sleep(2 * SECOND_US)
        assert sum(len(worker.calls()) for worker in harness.workers) == calls_before + 1
        assert faults.failed["recv"] == 1

    run_scenario_with_faults(scenario)


@pytest.mark.parametrize("sent_bytes", [0, 20])
@pytest.mark.parametrize(
    "error_number", errno_params([errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS, errno.EPERM])
)
def test_non_idempotent_call_not_fully_sent_is_retried(error_number: int, sent_bytes: int) -> None:
    def scenario(harness: NodeHarness, faults: SocketFaults) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        calls_before = sum(len(worker.calls()) for worker in harness.workers)
        if sent_bytes:
            faults.shorten("send", sent_bytes, when=to_any_worker(harness))
        faults.fail("send", error_number, after=sent_bytes > 0, when=to_any_worker(harness))
        client.send(method="reservation")
        harness.wait_until(lambda: faults.failed["send"])
        faults.heal()
        assert client.next_answer()[2] is None
        assert sum(len(worker.calls()) for worker in harness.workers) == calls_before + 1

    run_scenario_with_faults(scenario)
