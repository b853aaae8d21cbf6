"""Calls wait for a sign of life if their worker may be cut off: written bytes can't be taken back."""

from __future__ import annotations

from typing import Any

import pytest

from walnutpost.eventloop import Loop
from walnutpost.interface import Outcome
from walnutpost.node.liveness import LIVENESS_TIMEOUT_US, LIVENESS_WINDOW_US
from walnutpost.node.worker_connection import WorkerConnection
from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    SECOND_US,
    Client,
    DelayedConnections,
    FakeWorker,
    NodeHarness,
    interrupt_first_call,
    reply,
    run_scenario,
    settings,
    warm_up_worker,
)
from walnutpost.testsupport.node.witness import Relay
from walnutpost.testsupport.node.worker_fixtures import (
    answer_nothing,
    answer_queries_only,
    limit_to_one_connection,
    send_unanswered_call,
    start_attempt,
)

CALL_ID = 1_000_000


class RelayedWorker(FakeWorker):
    """A fake worker behind a relay that keeps the bytes of a reset connection, as a proxy may."""

    def __init__(self, loop: Loop, name: str) -> None:
        super().__init__(loop, name)
        self.relay = Relay(loop, self._listener.address)

    @property
    def target(self) -> dict[str, Any]:
        """Return the worker's entry in a list of endpoints, with the address of its relay."""
        return {**super().target, "endpoint": "{}:{}".format(*self.relay.address)}


def leave_connection_silent(harness: NodeHarness, worker: FakeWorker, client: Client) -> WorkerConnection:
    """Send a call that gets no answer on the worker's only connection, and let time pass."""
    connection = limit_to_one_connection(harness, worker, order_timeout_us=SECOND_US)
    send_unanswered_call(harness, worker, client)
    harness.loop.sleep(2 * LIVENESS_WINDOW_US)
    return connection


def words_after(worker: FakeWorker, count: int) -> list[bytes]:
    """Return the words of the commands that the worker received after the first `count`."""
    return [command[0] for command in worker.received_commands[count:]]


def test_cancelled_call_is_not_delivered_to_a_worker_that_was_cut_off_before_it_came() -> None:
    """Guards against review case 3: the network delivered the call although its connection had been reset."""

    def scenario(harness: NodeHarness) -> None:
        other = harness.client()
        worker = warm_up_worker(harness, other)
        assert isinstance(worker, RelayedWorker)
        leave_connection_silent(harness, worker, other)
        worker.relay.cut()
        calls_before = len(worker.calls())
        client = harness.client()
        client.send(method="reservation")
        harness.loop.sleep(LIVENESS_TIMEOUT_US // 2)
        interrupt_first_call(client)
        harness.loop.sleep(200 * MILLISECOND_US)
        worker.relay.heal()
        harness.loop.sleep(SECOND_US)
        assert len(worker.calls()) == calls_before

    run_scenario(scenario, 1, RelayedWorker)


def test_held_calls_follow_one_check_as_soon_as_it_is_answered() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        connection = leave_connection_silent(harness, worker, client)
        worker.answer = answer_queries_only
        count, sent_us = len(worker.received_commands), harness.loop.now()
        ended = [
            start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID + number) for number in range(3)
        ]
        harness.wait_until(lambda: len(words_after(worker, count)) >= 4, step=MILLISECOND_US)
        assert words_after(worker, count) == [b"SPAWN", b"FN", b"FN", b"FN"]
        assert harness.loop.now() - sent_us < LIVENESS_WINDOW_US
        assert harness.node.pool.liveness_checks == 1
        for call in worker.calls()[-3:]:
            worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"body"))
        harness.wait_until(lambda: all(ended), step=MILLISECOND_US)
        assert [result.outcome for results in ended for result in results] == [Outcome.OK] * 3
        assert harness.node.pool.liveness_timeouts == 0
        assert connection.accepts_commands

    run_scenario(scenario, workers=1)


def test_any_response_releases_held_calls() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        leave_connection_silent(harness, worker, client)
        open_call = worker.calls()[-1]
        start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID)
        harness.loop.sleep(20 * MILLISECOND_US)
        assert worker.calls()[-1] is open_call
        worker.streams[0].send_all(reply(open_call[1], b"OK"))
        harness.wait_until(lambda: worker.calls()[-1] is not open_call, step=MILLISECOND_US)
        harness.loop.sleep(SECOND_US // 2)
        assert harness.node.pool.liveness_timeouts == 1  # the check itself stays without an answer
        assert worker.connection_ends == []

    run_scenario(scenario, workers=1)


def test_call_is_not_held_on_an_idle_connection_or_right_after_a_response() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        limit_to_one_connection(harness, worker)
        harness.loop.sleep(SECOND_US)
        client.send()  # nothing is open
        client.next_answer()
        worker.answer = answer_nothing
        start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID)
        start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID + 1)
        harness.loop.sleep(MILLISECOND_US)
        assert len(worker.calls()) == 4
        assert harness.node.pool.liveness_checks == 0

    run_scenario(scenario, workers=1)


def test_worker_that_answers_checks_late_gets_the_call_over_a_new_connection() -> None:
    """A slow worker is not lost for the call: that it accepts a connection shows that it is reachable."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        leave_connection_silent(harness, worker, client)
        calls_before, sent_us = len(worker.calls()), harness.loop.now()
        ended = start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID)
        harness.wait_until(lambda: len(worker.calls()) > calls_before, step=MILLISECOND_US)
        assert harness.loop.now() - sent_us < LIVENESS_TIMEOUT_US + LIVENESS_WINDOW_US
        assert len(worker.streams) == 2
        worker.streams[1].send_all(reply(worker.calls()[-1][1], b"OK"))
        harness.wait_until(lambda: ended, step=MILLISECOND_US)
        assert [result.outcome for result in ended] == [Outcome.OK]
        assert harness.node.pool.liveness_timeouts == 1

    run_scenario(scenario, workers=1)


def test_held_call_that_is_cancelled_or_expires_is_never_sent() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        leave_connection_silent(harness, worker, client)
        calls_before = len(worker.calls())
        cancelled = start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID)
        expired = start_attempt(harness, worker, 30 * MILLISECOND_US, SECOND_US, CALL_ID + 1)
        harness.loop.sleep(10 * MILLISECOND_US)
        harness.node.workers.cancel(CALL_ID, 0)
        harness.loop.sleep(SECOND_US // 2)
        assert [result.outcome for result in cancelled + expired] == [Outcome.CANCELLED, Outcome.EXPIRED]
        assert len(worker.calls()) == calls_before

    run_scenario(scenario, workers=1)


def test_call_for_an_idle_connection_is_held_while_its_worker_is_silent_on_another_one() -> None:
    """Guards against review case 3: all connections to a worker that is cut off fall silent together."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = answer_nothing
        first = start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID)
        start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID + 1)
        harness.wait_until(lambda: len(worker.streams) == 2 and len(worker.calls()) == 3, step=MILLISECOND_US)
        worker.streams[0].send_all(reply(b"%016x" % CALL_ID, b"OK"))
        harness.wait_until(lambda: first, step=MILLISECOND_US)
        harness.loop.sleep(2 * LIVENESS_WINDOW_US)
        start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID + 2)
        harness.loop.sleep(LIVENESS_TIMEOUT_US // 2)
        assert len(worker.calls()) == 3
        assert harness.node.pool.liveness_checks == 1

    run_scenario(scenario, workers=1)


def test_held_call_of_a_worker_that_accepts_no_connection_counts_as_never_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The policy may then send it to another worker, in any class."""
    delayed = DelayedConnections(monkeypatch)

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        leave_connection_silent(harness, worker, client)
        delayed.is_delaying = True
        calls_before, sent_us = len(worker.calls()), harness.loop.now()
        ended = start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID)
        harness.wait_until(lambda: ended, step=MILLISECOND_US)
        assert [result.outcome for result in ended] == [Outcome.CONNECT_FAILED]
        connect_timeout_us = harness.node.pool.limits.connect_timeout_us
        assert harness.loop.now() - sent_us < LIVENESS_TIMEOUT_US + connect_timeout_us + LIVENESS_WINDOW_US
        assert len(worker.calls()) == calls_before

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize("may_probe", [False, True])
def test_without_copy_queries_a_probe_is_sent_ahead_or_else_the_call_itself(may_probe: bool) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        leave_connection_silent(harness, worker, client)
        count = len(worker.received_commands)
        start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID)
        harness.loop.sleep(10 * MILLISECOND_US)
        assert words_after(worker, count) == ([b"TOP"] if may_probe else [b"FN"])

    changed = settings(Extra={"MayLoad": False}, PolicyLimits={"Probes": may_probe})
    run_scenario(scenario, workers=1, settings=changed)


def test_response_that_waited_unread_is_no_sign_of_life(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bytes may have arrived long before they are read, if the process was stopped in between."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        leave_connection_silent(harness, worker, client)
        open_call = worker.calls()[-1]
        start_attempt(harness, worker, SECOND_US, SECOND_US, CALL_ID)
        harness.loop.sleep(10 * MILLISECOND_US)
        long_ago_us = harness.loop.now() - SECOND_US
        monkeypatch.setattr(harness.loop, "arrived_after", lambda: long_ago_us)
        worker.streams[0].send_all(reply(open_call[1], b"OK"))
        harness.loop.sleep(10 * MILLISECOND_US)
        assert worker.calls()[-1] is open_call

    run_scenario(scenario, workers=1)
