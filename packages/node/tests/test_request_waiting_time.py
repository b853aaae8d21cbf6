"""The waiting time of a request before it is read, counted from the last byte that its client wrote.

A stall of the process is simulated by advancing the clock while nothing else runs.
"""

from __future__ import annotations

import errno

import pytest

from walnutpost.eventloop import tasks
from walnutpost.eventloop.accept_errors import MAX_CONSECUTIVE_ACCEPT_ERRORS, MIN_ACCEPT_BACKOFF_US
from walnutpost.node import rpc
from walnutpost.node.client_connection import MAX_REJECTED_BEFORE_PAUSE, READ_PAUSE_US
from walnutpost.testsupport.node.client_fixtures import (
    FailingListenSocket,
    connect_clients_with_requests,
    encode_request,
    received_calls,
    record_submitted_calls,
    run_scenario_with_timeout,
    stall_process,
)
from walnutpost.testsupport.node.harness import MILLISECOND_US, OVERLOADED_ERROR, NodeHarness, warm_up_worker


def test_request_read_at_once_has_no_waiting_time(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: NodeHarness) -> None:
        submitted = record_submitted_calls(harness, monkeypatch)
        client = harness.client()
        for pause in (0, 30 * MILLISECOND_US, 1_500 * MILLISECOND_US):
            harness.loop.sleep(pause)
            client.send()
            assert client.next_answer()[2] is None
        message = encode_request(4)
        client.send_raw(message[:20])
        harness.loop.sleep(300 * MILLISECOND_US)  # doesn't count: the waiting time starts at the last byte
        client.send_raw(message[20:])
        assert client.next_answer()[2] is None
        assert [call.waited_us for call in submitted] == [0, 0, 0, 0]
        assert {call.time_left_us for call in submitted} == {1_000 * MILLISECOND_US}

    run_scenario_with_timeout(scenario)


def test_waiting_time_during_a_stall_counts_from_the_last_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        submitted = record_submitted_calls(harness, monkeypatch)
        client.send()
        stall_process(harness, 300 * MILLISECOND_US)
        assert client.next_answer()[2] is None
        assert [(call.waited_us, call.time_left_us) for call in submitted] == [
            (300 * MILLISECOND_US, 700 * MILLISECOND_US)
        ]
        fields = dict(part.split(b"=") for part in worker.calls()[-1][2].split(b","))
        assert int(fields[b"budget"]) <= 700

    run_scenario_with_timeout(scenario, workers=1)


def test_request_that_expires_before_it_is_read_is_rejected_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        submitted = record_submitted_calls(harness, monkeypatch)
        late_id = client.send(budget="200")
        stall_process(harness, 500 * MILLISECOND_US)
        assert client.next_answer() == [1, late_id, OVERLOADED_ERROR, None]
        assert [(call.waited_us, call.time_left_us) for call in submitted] == [(500 * MILLISECOND_US, 0)]
        next_id = client.send()
        assert client.next_answer()[:3] == [1, next_id, None]
        assert len(received_calls(harness)) == 2

    run_scenario_with_timeout(scenario)


def test_waiting_time_in_the_backlog_counts_from_when_it_was_last_seen_empty(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        warm_up_worker(harness, harness.client())
        submitted = record_submitted_calls(harness, monkeypatch)
        monkeypatch.setattr(tasks, "EXTRA_TURNS", 0)
        # Accepting them takes three turns of the event loop, each after a poll.
        clients = connect_clients_with_requests(harness, 80)
        stall_process(harness, 400 * MILLISECOND_US)
        harness.wait_until(lambda: len(submitted) == 80)
        assert {call.waited_us for call in submitted} == {400 * MILLISECOND_US}
        new_client = harness.client()
        new_client.send()
        harness.wait_until(lambda: len(submitted) == 81)
        assert submitted[-1].waited_us == 0
        for client in clients:
            client.close()

    run_scenario_with_timeout(scenario)


def test_waiting_time_during_startup_counts_from_when_the_node_listens(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        submitted = record_submitted_calls(harness, monkeypatch)
        harness.node._accepting.cancel()  # before it has run
        clients = connect_clients_with_requests(harness, 40)
        harness.loop.sleep(400 * MILLISECOND_US)
        harness.loop.spawn(harness.node.clients.accept, harness.node.listener)
        harness.wait_until(lambda: len(submitted) == 40)
        assert {call.waited_us for call in submitted} == {400 * MILLISECOND_US}
        for client in clients:
            client.close()

    run_scenario_with_timeout(scenario)


def test_waiting_time_includes_the_backoff_after_accept_errors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        harness.loop.sleep(MILLISECOND_US)
        listener = harness.node.listener
        errors, sock = [OSError(errno.EPROTO, "cut off")] * 3 * MAX_CONSECUTIVE_ACCEPT_ERRORS, listener._sock
        monkeypatch.setattr(listener, "_sock", FailingListenSocket(sock, errors))
        submitted = record_submitted_calls(harness, monkeypatch)
        (client,) = connect_clients_with_requests(harness, 1)
        harness.wait_until(lambda: submitted)
        assert not errors
        assert submitted[0].waited_us == MIN_ACCEPT_BACKOFF_US * (1 + 2 + 4)
        client.close()

    run_scenario_with_timeout(scenario)


def test_waiting_time_includes_the_wait_for_a_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: NodeHarness) -> None:
        harness.loop.sleep(MILLISECOND_US)
        listener = harness.node.listener
        errors, sock = [OSError(errno.EMFILE, "no descriptor left")], listener._sock
        monkeypatch.setattr(listener, "_sock", FailingListenSocket(sock, errors))
        listener._spare.release()  # so the listener waits instead of rejecting the connection
        submitted = record_submitted_calls(harness, monkeypatch)
        (client,) = connect_clients_with_requests(harness, 1)
        harness.wait_until(lambda: submitted)
        assert not errors
        assert submitted[0].waited_us == 50 * MILLISECOND_US
        client.close()

    run_scenario_with_timeout(scenario)


def test_waiting_time_includes_a_read_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: NodeHarness) -> None:
        submitted = record_submitted_calls(harness, monkeypatch)
        client = harness.client()
        for _ in range(MAX_REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next_answer()
        client.send()
        assert client.next_answer()[2] is None
        assert submitted[0].waited_us == READ_PAUSE_US
        harness.loop.sleep(2 * READ_PAUSE_US)
        client.send()
        assert client.next_answer()[2] is None
        assert submitted[1].waited_us == 0

    run_scenario_with_timeout(scenario)


def test_read_pause_that_ended_before_the_request_does_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: NodeHarness) -> None:
        submitted = record_submitted_calls(harness, monkeypatch)
        client = harness.client()
        for _ in range(MAX_REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next_answer()
        harness.loop.sleep(1_000 * MILLISECOND_US)
        client.send()
        assert client.next_answer()[2] is None
        assert submitted[0].waited_us == 0

    run_scenario_with_timeout(scenario)


def test_bytes_left_in_the_kernel_by_a_read_count_from_before_that_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        monkeypatch.setattr(rpc, "MAX_READ_BYTES", 1024)
        # Each submission takes 3 ms.
        submitted = record_submitted_calls(
            harness, monkeypatch, before_each=lambda: stall_process(harness, 3 * MILLISECOND_US)
        )
        client.send_raw(b"".join(encode_request(message_id, bytes(900)) for message_id in range(2, 8)))
        harness.wait_until(lambda: len(submitted) == 6)
        assert [call.waited_us for call in submitted] == [index * 3 * MILLISECOND_US for index in range(6)]

    run_scenario_with_timeout(scenario, workers=1)
