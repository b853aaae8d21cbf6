"""The time budget that workers get, and calls that expire before they are sent."""

from __future__ import annotations

from typing import Any

import pytest

from walnutpost.interface import Outcome
from walnutpost.node import resp
from walnutpost.node import worker_connection as connection_module
from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    SECOND_US,
    DelayedConnections,
    NodeHarness,
    run_scenario,
    start_call_waiting_for_connection,
    warm_up_worker,
)
from walnutpost.testsupport.node.worker_fixtures import (
    SendThrottle,
    call_budget_ms,
    limit_to_one_connection,
    start_attempt,
)


def test_slow_connect_reduces_the_budget_sent_to_the_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed = DelayedConnections(monkeypatch)

    def scenario(harness: NodeHarness) -> None:
        client = start_call_waiting_for_connection(harness, delayed)
        harness.loop.sleep(180 * MILLISECOND_US)
        delayed.release()
        assert client.next_answer()[2] is None
        assert 800 <= call_budget_ms(harness.workers[0].calls()[-1]) <= 820

    run_scenario(scenario, workers=1)


def test_wait_for_a_full_send_buffer_reduces_the_budget_sent_to_the_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        throttle = SendThrottle(monkeypatch, limit_to_one_connection(harness, worker), 0)
        client.send()
        harness.loop.sleep(300 * MILLISECOND_US)
        throttle.open()
        assert client.next_answer()[2] is None
        assert 680 <= call_budget_ms(worker.calls()[-1]) <= 700

    run_scenario(scenario, workers=1)


def test_call_sent_without_waiting_is_encoded_once(monkeypatch: pytest.MonkeyPatch) -> None:
    encoded_ids: list[bytes] = []
    encode = resp.encode_call

    def encode_and_record(id: bytes, *args: Any) -> bytes:
        encoded_ids.append(id)
        return encode(id, *args)

    monkeypatch.setattr(resp, "encode_call", encode_and_record)

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        for _ in range(5):
            client.send()
            assert client.next_answer()[2] is None
        assert len(encoded_ids) == sum(len(worker.calls()) for worker in harness.workers)

    run_scenario(scenario)


def test_call_that_expires_before_its_first_byte_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    delayed = DelayedConnections(monkeypatch)

    def scenario(harness: NodeHarness) -> None:
        delayed.is_delaying, worker = True, harness.workers[0]
        ended = start_attempt(harness, worker, 50 * MILLISECOND_US, 10 * SECOND_US)
        harness.wait_until(lambda: delayed.waiting)
        harness.loop.clock.advance_to(
            harness.loop.now() + 60 * MILLISECOND_US
        )  # its timer is due but has not run yet
        delayed.release()
        harness.wait_until(lambda: ended)
        harness.loop.sleep(SECOND_US)
        assert [done.outcome for done in ended] == [Outcome.EXPIRED]
        assert not worker.calls()

    monkeypatch.setattr(connection_module, "POLL_BEFORE_SEND_AFTER_US", SECOND_US)
    run_scenario(scenario, workers=1)


def test_call_not_sent_by_its_deadline_is_never_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    delayed = DelayedConnections(monkeypatch)

    def scenario(harness: NodeHarness) -> None:
        delayed.is_delaying, worker = True, harness.workers[0]
        ended = start_attempt(harness, worker, 50 * MILLISECOND_US, 10 * SECOND_US)
        harness.wait_until(lambda: ended)
        delayed.release()
        harness.loop.sleep(SECOND_US)
        assert [done.outcome for done in ended] == [Outcome.EXPIRED]
        assert not worker.calls()

    run_scenario(scenario, workers=1)


def test_call_without_a_start_limit_can_be_sent_until_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed = DelayedConnections(monkeypatch)

    def scenario(harness: NodeHarness) -> None:
        delayed.is_delaying, worker = True, harness.workers[0]
        ended = start_attempt(harness, worker, SECOND_US, 0)
        harness.loop.sleep(150 * MILLISECOND_US)
        delayed.release()
        harness.wait_until(lambda: ended)
        assert [done.outcome for done in ended] == [Outcome.OK]
        assert len(worker.calls()) == 1

    run_scenario(scenario, workers=1)
