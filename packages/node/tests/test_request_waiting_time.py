"""How long a request has waited before it is read: counted from the last byte that its client wrote.

Stalls of the process are played by moving the clock while nothing else runs.
"""

from __future__ import annotations

import errno

import pytest

from walnutpost.eventloop import tasks
from walnutpost.eventloop.accept_errors import MAX_ACCEPT_ERRORS_IN_ROW, MIN_ACCEPT_BACKOFF_US
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
from walnutpost.testsupport.node.harness import MS, REFUSED, World, warm


def test_request_read_at_once_has_not_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: World) -> None:
        arrived = record_submitted_calls(harness, monkeypatch)
        client = harness.client()
        for pause in (0, 30 * MS, 1_500 * MS):
            harness.loop.sleep(pause)
            client.send()
            assert client.next()[2] is None
        whole = encode_request(4)
        client.raw(whole[:20])
        harness.loop.sleep(300 * MS)  # counts from its last byte
        client.raw(whole[20:])
        assert client.next()[2] is None
        assert [call.waited_us for call in arrived] == [0, 0, 0, 0]
        assert {call.time_left_us for call in arrived} == {1_000 * MS}

    run_scenario_with_timeout(scenario)


def test_request_received_during_a_stall_counts_from_its_last_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        arrived = record_submitted_calls(harness, monkeypatch)
        client.send()
        stall_process(harness, 300 * MS)
        assert client.next()[2] is None
        assert [(call.waited_us, call.time_left_us) for call in arrived] == [(300 * MS, 700 * MS)]
        fields = dict(part.split(b"=") for part in worker.calls()[-1][2].split(b","))
        assert int(fields[b"budget"]) <= 700

    run_scenario_with_timeout(scenario, workers=1)


def test_request_expired_before_it_is_read_is_answered_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        warm(harness, client)
        arrived = record_submitted_calls(harness, monkeypatch)
        late = client.send(budget="200")
        stall_process(harness, 500 * MS)
        assert client.next() == [1, late, REFUSED, None]
        assert [(call.waited_us, call.time_left_us) for call in arrived] == [(500 * MS, 0)]
        following = client.send()
        assert client.next()[:3] == [1, following, None]
        assert len(received_calls(harness)) == 2

    run_scenario_with_timeout(scenario)


def test_requests_in_the_backlog_after_accepting_yields_count_since_it_was_seen_empty(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        warm(harness, harness.client())
        arrived = record_submitted_calls(harness, monkeypatch)
        monkeypatch.setattr(tasks, "EXTRA_TURNS", 0)
        callers = connect_clients_with_requests(harness, 80)  # takes three turns, with a poll before each
        stall_process(harness, 400 * MS)
        harness.until(lambda: len(arrived) == 80)
        assert {call.waited_us for call in arrived} == {400 * MS}
        late = harness.client()
        late.send()
        harness.until(lambda: len(arrived) == 81)
        assert arrived[-1].waited_us == 0
        for caller in callers:
            caller.close()

    run_scenario_with_timeout(scenario)


def test_requests_that_wait_for_the_process_to_start_count_since_it_listens(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        arrived = record_submitted_calls(harness, monkeypatch)
        harness.node._accepting.cancel()  # before its first turn
        callers = connect_clients_with_requests(harness, 40)
        harness.loop.sleep(400 * MS)
        harness.loop.spawn(harness.node.clients.accept, harness.node.listener)
        harness.until(lambda: len(arrived) == 40)
        assert {call.waited_us for call in arrived} == {400 * MS}
        for caller in callers:
            caller.close()

    run_scenario_with_timeout(scenario)


def test_connection_queued_while_accept_fails_has_waited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        harness.loop.sleep(MS)
        listener = harness.node.listener
        failing, sock = [OSError(errno.EPROTO, "cut off")] * 3 * MAX_ACCEPT_ERRORS_IN_ROW, listener._sock
        monkeypatch.setattr(listener, "_sock", FailingListenSocket(sock, failing))
        arrived = record_submitted_calls(harness, monkeypatch)
        (caller,) = connect_clients_with_requests(harness, 1)
        harness.until(lambda: arrived)
        assert not failing
        assert arrived[0].waited_us == MIN_ACCEPT_BACKOFF_US * (1 + 2 + 4)
        caller.close()

    run_scenario_with_timeout(scenario)


def test_connection_queued_without_a_descriptor_has_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: World) -> None:
        harness.loop.sleep(MS)
        listener = harness.node.listener
        failing, sock = [OSError(errno.EMFILE, "no descriptor left")], listener._sock
        monkeypatch.setattr(listener, "_sock", FailingListenSocket(sock, failing))
        listener._spare.release()  # so it waits, and rejects nobody
        arrived = record_submitted_calls(harness, monkeypatch)
        (caller,) = connect_clients_with_requests(harness, 1)
        harness.until(lambda: arrived)
        assert not failing
        assert arrived[0].waited_us == 50 * MS
        caller.close()

    run_scenario_with_timeout(scenario)


def test_request_received_while_reading_is_paused_has_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: World) -> None:
        arrived = record_submitted_calls(harness, monkeypatch)
        client = harness.client()
        for _ in range(MAX_REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next()
        client.send()
        assert client.next()[2] is None
        assert arrived[0].waited_us == READ_PAUSE_US
        harness.loop.sleep(2 * READ_PAUSE_US)
        client.send()
        assert client.next()[2] is None
        assert arrived[1].waited_us == 0

    run_scenario_with_timeout(scenario)


def test_request_after_a_pause_and_an_idle_time_has_not_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: World) -> None:
        arrived = record_submitted_calls(harness, monkeypatch)
        client = harness.client()
        for _ in range(MAX_REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next()
        harness.loop.sleep(1_000 * MS)
        client.send()
        assert client.next()[2] is None
        assert arrived[0].waited_us == 0

    run_scenario_with_timeout(scenario)


def test_bytes_left_by_one_read_count_from_before_that_read(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        warm(harness, client)
        monkeypatch.setattr(rpc, "MAX_READ_BYTES", 1024)
        arrived = record_submitted_calls(
            harness, monkeypatch, before_each=lambda: stall_process(harness, 3 * MS)
        )  # each takes so long
        client.raw(b"".join(encode_request(number, bytes(900)) for number in range(2, 8)))
        harness.until(lambda: len(arrived) == 6)
        assert [call.waited_us for call in arrived] == [number * 3 * MS for number in range(6)]

    run_scenario_with_timeout(scenario, workers=1)
