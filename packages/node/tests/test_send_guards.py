"""No byte of a call is sent once its client has left or the choice of its worker is out of date."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgpack
import pytest

from walnutpost.interface import Outcome
from walnutpost.testsupport.node.harness import (
    CLIENT_DEPARTURES,
    MILLISECOND_US,
    OVERLOADED_ERROR,
    SECOND_US,
    Client,
    DelayedConnections,
    NodeHarness,
    reply,
    run_scenario,
    settings,
    start_call_waiting_for_connection,
    warm_up_worker,
)
from walnutpost.testsupport.node.worker_fixtures import (
    PARTIAL_COMMAND_BYTES,
    SendThrottle,
    answer_nothing,
    limit_to_one_connection,
    send_unanswered_call,
    start_attempt,
)


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("leave", CLIENT_DEPARTURES)
def test_no_attempt_starts_for_a_client_that_left_during_the_connect(
    monkeypatch: pytest.MonkeyPatch, leave: Callable[[Client], None], cancel: bool
) -> None:
    delayed = DelayedConnections(monkeypatch)

    def scenario(harness: NodeHarness) -> None:
        client = start_call_waiting_for_connection(harness, delayed)
        leave(client)
        harness.wait_until(lambda: not harness.node.clients.requests.request_ids)
        delayed.release()
        harness.loop.sleep(SECOND_US)
        assert len(harness.workers[0].calls()) == 1
        assert harness.node.dispatcher.open_calls == 0
        assert not [command for command in harness.workers[0].received_commands if command[0] == b"KILL"]

    run_scenario(scenario, workers=1, settings=settings(PolicyLimits={"Cancel": cancel}))


def test_request_rejected_during_the_connect_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed = DelayedConnections(monkeypatch)

    def scenario(harness: NodeHarness) -> None:
        client = start_call_waiting_for_connection(harness, delayed, budget="100")
        assert client.next_answer()[2] == OVERLOADED_ERROR
        delayed.release()
        harness.loop.sleep(SECOND_US)
        assert len(harness.workers[0].calls()) == 1

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize(("connect_delay_ms", "is_sent"), [(80, True), (120, False)])
def test_call_delayed_past_the_drain_grace_is_not_sent_to_that_worker(
    monkeypatch: pytest.MonkeyPatch, connect_delay_ms: int, is_sent: bool
) -> None:
    """The worker may have been told to drain right after it was chosen."""
    delayed = DelayedConnections(monkeypatch)

    def scenario(harness: NodeHarness) -> None:
        client = start_call_waiting_for_connection(harness, delayed, method="reservation")
        harness.loop.sleep(connect_delay_ms * MILLISECOND_US)
        delayed.release()
        harness.loop.sleep(10 * MILLISECOND_US)
        assert len(harness.workers[0].calls()) == 1 + is_sent
        assert client.next_answer()[2] == (None if is_sent else OVERLOADED_ERROR)

    run_scenario(scenario, workers=1, settings=settings(Guarantees={"DrainGrace": 100_000}))


def test_call_to_a_removed_worker_is_not_sent_to_its_successor_at_the_same_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed = DelayedConnections(monkeypatch)

    def scenario(harness: NodeHarness) -> None:
        client, node = start_call_waiting_for_connection(harness, delayed, method="reservation"), harness.node
        successor = {**harness.workers[0].target, "uid": "s-new"}
        event = {"offset": 2, "topology": {"all": True, "targets": [successor]}}
        node._apply_endpoints(node.directory.apply_known_events({"offset": 2, "batch": [event]}))
        delayed.waiting.pop(0)()
        harness.loop.sleep(10 * MILLISECOND_US)
        assert len(harness.workers[0].calls()) == 1
        delayed.release()  # the successor's connection, for the load order that the call now waits for
        assert client.next_answer()[2] is None
        assert len(harness.workers[0].calls()) == 2

    run_scenario(scenario, workers=1)


def test_call_queued_behind_a_full_send_buffer_is_not_sent_after_its_client_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel accepts part of the first command; the second is queued whole and is withdrawn."""

    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        harness.node.pool.limits = replace(harness.node.pool.limits, max_connections=1)
        (connection,) = harness.node.pool._connections[worker.name]
        send_now, capacity = connection.stream.send_nowait, [20]

        def send_throttled(data: bytes) -> bytes:
            accepted = min(capacity[0], len(data))
            capacity[0] -= accepted
            return (send_now(data[:accepted]) if accepted else b"") + data[accepted:]

        writable_callbacks: list[Callable[[], object] | None] = []
        monkeypatch.setattr(connection.stream, "send_nowait", send_throttled)
        monkeypatch.setattr(connection.stream, "on_writable", writable_callbacks.append)
        client.send()
        other.send()  # read in the same loop iteration, so that both are offered to the kernel at once
        harness.wait_until(lambda: not capacity[0])
        assert len(connection._outbox) == 1
        other.stream.close()
        harness.wait_until(lambda: len(harness.node.clients.requests.request_ids) == 1)
        assert not connection._outbox
        capacity[0] = 1 << 20
        connection._flush()
        assert client.next_answer()[2] is None
        harness.loop.sleep(100 * MILLISECOND_US)
        assert [command[3] for command in worker.calls()] == [b"body 1", b"body 2"]
        assert len(worker.streams) == 1

    run_scenario(scenario, workers=1)


def test_abandoned_call_is_not_cancelled_at_its_worker_if_cancel_is_off() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: None
        client.send(budget="100")
        assert client.next_answer()[2] == OVERLOADED_ERROR
        harness.loop.sleep(SECOND_US)
        assert len(worker.calls()) == 2
        assert not [command for command in worker.received_commands if command[0] == b"KILL"]

    run_scenario(scenario, workers=1, settings=settings(PolicyLimits={"Cancel": False}))


@pytest.mark.parametrize("departure", ["close", "reset", "interrupt"])
def test_no_attempt_starts_for_a_client_that_left_during_a_long_loop_iteration(departure: str) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        message_id = client.send(method="reservation")
        (connection,) = harness.node.clients.connections
        connection.read()  # a worker is chosen; the call is sent at the end of this loop iteration
        if departure == "interrupt":
            client.send_raw(msgpack.packb([2, "interrupt", [message_id]]))
        else:
            getattr(client.stream, departure)()
        harness.loop.clock.advance_to(
            harness.loop.now() + 150 * MILLISECOND_US
        )  # other work of this loop iteration
        harness.loop.sleep(SECOND_US)
        assert len(worker.calls()) == 1

    run_scenario(scenario, workers=1)


def test_rest_of_a_partly_sent_call_is_not_sent_after_its_client_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        worker = warm_up_worker(harness, client)
        connection = limit_to_one_connection(harness, worker)
        call = send_unanswered_call(harness, worker, client)
        throttle = SendThrottle(monkeypatch, connection, PARTIAL_COMMAND_BYTES)
        other.send()
        harness.wait_until(lambda: not throttle.available_bytes)
        other.stream.close()
        harness.wait_until(lambda: len(harness.node.clients.requests.request_ids) == 1)
        throttle.open()
        harness.loop.sleep(10 * MILLISECOND_US)
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))
        assert client.next_answer()[2:] == [None, [b"mine", {}]]
        harness.wait_until(lambda: worker.connection_ends)
        assert len(worker.calls()) == 2
        assert worker.connection_ends == ["reset"]

    run_scenario(scenario, workers=1)


def test_call_moved_to_another_connection_is_not_sent_after_its_client_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed = DelayedConnections(monkeypatch)

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        throttle = SendThrottle(monkeypatch, limit_to_one_connection(harness, worker), PARTIAL_COMMAND_BYTES)
        delayed.is_delaying = True
        client.send()
        harness.wait_until(lambda: not throttle.available_bytes)
        worker.streams[0].reset()
        harness.wait_until(lambda: delayed.waiting)
        client.stream.close()
        harness.wait_until(lambda: not harness.node.clients.requests.request_ids)
        delayed.release()
        harness.loop.sleep(SECOND_US)
        assert len(worker.calls()) == 1

    run_scenario(scenario, workers=1)


def test_attempt_cancelled_while_its_connection_breaks_is_not_moved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of the first attempt cancels the second one, as if the call could no longer succeed."""

    def scenario(harness: NodeHarness) -> None:
        worker = warm_up_worker(harness, harness.client())
        connection = limit_to_one_connection(harness, worker)
        worker.answer, pool, sent = answer_nothing, harness.node.workers, len(worker.calls())
        first = start_attempt(
            harness, worker, SECOND_US, SECOND_US, 1_000_000, lambda: pool.cancel(1_000_001, 0)
        )
        harness.wait_until(lambda: len(worker.calls()) > sent)
        SendThrottle(monkeypatch, connection, 0)
        second = start_attempt(harness, worker, SECOND_US, SECOND_US, 1_000_001)
        harness.wait_until(lambda: connection._outbox)
        worker.streams[0].reset()
        harness.wait_until(lambda: second)
        harness.loop.sleep(SECOND_US)
        assert [result.outcome for result in first + second] == [
            Outcome.RESET,
            Outcome.CANCELLED,
        ]
        assert len(worker.calls()) == sent + 1

    run_scenario(scenario, workers=1)
