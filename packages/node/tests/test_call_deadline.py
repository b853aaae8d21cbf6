"""The budget that a worker is given, and calls that are late when they would leave."""

from __future__ import annotations

from typing import Any

import pytest

from walnutpost.interface import Outcome
from walnutpost.node import resp
from walnutpost.node import worker_connection as connection_module
from walnutpost.testsupport.node.harness import (
    MS,
    SECOND,
    HeldConnections,
    World,
    call_that_waits,
    play,
    warm,
)
from walnutpost.testsupport.node.worker_fixtures import Throttle, attempt, call_budget_ms, one_connection


def test_budget_after_a_slow_connect_is_what_is_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = HeldConnections(monkeypatch)

    def scenario(harness: World) -> None:
        client = call_that_waits(harness, held)
        harness.loop.sleep(180 * MS)
        held.come_up()
        assert client.next()[2] is None
        assert 800 <= call_budget_ms(harness.workers[0].calls()[-1]) <= 820

    play(scenario, workers=1)


def test_budget_after_a_full_send_buffer_is_what_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        throttle = Throttle(monkeypatch, one_connection(harness, worker), 0)
        client.send()
        harness.loop.sleep(300 * MS)
        throttle.open()
        assert client.next()[2] is None
        assert 680 <= call_budget_ms(worker.calls()[-1]) <= 700

    play(scenario, workers=1)


def test_call_that_the_kernel_takes_at_once_is_encoded_once(monkeypatch: pytest.MonkeyPatch) -> None:
    encoded: list[bytes] = []
    encode = resp.encode_call

    def counted(id: bytes, *args: Any) -> bytes:
        encoded.append(id)
        return encode(id, *args)

    monkeypatch.setattr(resp, "encode_call", counted)

    def scenario(harness: World) -> None:
        client = harness.client()
        for _ in range(5):
            client.send()
            assert client.next()[2] is None
        assert len(encoded) == sum(len(worker.calls()) for worker in harness.workers)

    play(scenario)


def test_call_expired_before_its_first_byte_is_not_begun(monkeypatch: pytest.MonkeyPatch) -> None:
    held = HeldConnections(monkeypatch)

    def scenario(harness: World) -> None:
        held.is_holding, worker = True, harness.workers[0]
        ended = attempt(harness, worker, 50 * MS, 10 * SECOND)
        harness.until(lambda: held.waiting)
        harness.loop.clock.advance_to(harness.loop.now() + 60 * MS)  # its timer is due, and has not run
        held.come_up()
        harness.until(lambda: ended)
        harness.loop.sleep(SECOND)
        assert [done.outcome for done in ended] == [Outcome.MOOT]
        assert not worker.calls()

    monkeypatch.setattr(connection_module, "POLL_BEFORE_SEND_AFTER_US", SECOND)
    play(scenario, workers=1)


def test_call_unsent_at_its_deadline_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    held = HeldConnections(monkeypatch)

    def scenario(harness: World) -> None:
        held.is_holding, worker = True, harness.workers[0]
        ended = attempt(harness, worker, 50 * MS, 10 * SECOND)
        harness.until(lambda: ended)
        held.come_up()
        harness.loop.sleep(SECOND)
        assert [done.outcome for done in ended] == [Outcome.MOOT]
        assert not worker.calls()

    play(scenario, workers=1)


def test_call_without_a_latest_start_may_begin_until_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = HeldConnections(monkeypatch)

    def scenario(harness: World) -> None:
        held.is_holding, worker = True, harness.workers[0]
        ended = attempt(harness, worker, SECOND, 0)
        harness.loop.sleep(150 * MS)
        held.come_up()
        harness.until(lambda: ended)
        assert [done.outcome for done in ended] == [Outcome.OK]
        assert len(worker.calls()) == 1

    play(scenario, workers=1)
