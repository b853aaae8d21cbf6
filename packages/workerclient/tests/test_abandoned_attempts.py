"""Requests that are cancelled or time out: nothing more is sent, and the worker sees a reset."""

from __future__ import annotations

import ssl

import pytest

from walnutpost.eventloop import Event
from walnutpost.interface import Outcome
from walnutpost.testsupport.workerclient.exchanges import never_respond
from walnutpost.testsupport.workerclient.harness import (
    US_PER_MS,
    US_PER_S,
    RespondingWorkerHarness,
    WorkerClientHarness,
    delay_connects,
)
from walnutpost.workerclient import WorkerClient, WorkerClientSettings

SETTINGS = WorkerClientSettings("p")


def test_a_cancelled_attempt_ends_as_moot_before_its_first_byte_and_as_cancelled_after() -> None:
    harness = WorkerClientHarness()

    def script() -> None:
        send = harness.start_call()
        harness.client.cancel(send.call, send.attempt)  # before its task has started
        assert harness.wait_for_attempt_end().outcome is Outcome.EXPIRED
        send = harness.start_call()
        harness.wait_until(lambda: bool(harness.worker_streams))
        harness.client.cancel(send.call, send.attempt)
        assert harness.wait_for_attempt_end().outcome is Outcome.CANCELLED

    harness.run(never_respond, script)


def test_an_attempt_cancelled_before_its_first_byte_sends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = RespondingWorkerHarness()
    delay_connects(monkeypatch, harness, 100 * US_PER_MS)

    def script() -> None:
        # The attempt is cancelled while it waits for the disk, then while it waits for the connection.
        for before_send in (lambda: harness.loop.sleep(100 * US_PER_MS), None):
            send = harness.start_call(before_send=before_send)
            harness.loop.sleep(50 * US_PER_MS)
            harness.client.cancel(send.call, send.attempt)
            assert harness.wait_for_attempt_end().outcome is Outcome.EXPIRED
        harness.loop.sleep(US_PER_S)
        assert not harness.received

    harness.run_script(script)


def test_an_attempt_cancelled_while_its_task_is_ready_to_run_sends_nothing() -> None:
    harness = RespondingWorkerHarness()

    def script() -> None:
        # This call leaves an idle connection, so that the next attempt need not wait for one.
        assert harness.call().outcome is Outcome.OK
        persisted = Event(harness.loop)
        send = harness.start_call(before_send=persisted.wait)
        harness.loop.sleep(US_PER_MS)
        persisted.set()
        harness.client.cancel(send.call, send.attempt)
        assert harness.wait_for_attempt_end().outcome is Outcome.EXPIRED
        harness.loop.sleep(US_PER_S)
        assert len(harness.received) == 1

    harness.run_script(script)


def test_an_attempt_cancelled_while_it_waits_for_a_handshake_opens_no_connection() -> None:
    harness = RespondingWorkerHarness()
    harness.client = WorkerClient(harness.loop, SETTINGS, tls_context=ssl.create_default_context())
    handshake_limiter = harness.client._connector.handshake_limiter

    def script() -> None:
        while handshake_limiter.try_begin(harness.loop.now(), "w"):
            pass
        send = harness.start_call()
        harness.loop.sleep(50 * US_PER_MS)
        harness.client.cancel(send.call, send.attempt)
        assert harness.wait_for_attempt_end().outcome is Outcome.EXPIRED
        handshake_limiter.record_success("w")
        harness.loop.sleep(US_PER_S)
        assert not harness.worker_streams

    harness.run_script(script)


def test_a_handshake_ended_by_the_call_timeout_is_not_a_failure_of_the_worker() -> None:
    harness = RespondingWorkerHarness(response=b"")
    harness.client = WorkerClient(harness.loop, SETTINGS, tls_context=ssl.create_default_context())

    def script() -> None:
        assert harness.call(timeout_us=20 * US_PER_MS).outcome is Outcome.EXPIRED
        assert len(harness.worker_streams) == 1
        assert harness.client._connector.handshake_limiter.try_begin(harness.loop.now(), "w")

    harness.run_script(script)


@pytest.mark.parametrize("ending", ["call timed out", "call cancelled", "order timed out"])
def test_the_connection_is_reset_if_a_request_ends_without_a_response(ending: str) -> None:
    harness = RespondingWorkerHarness(response=b"")
    harness.client = WorkerClient(harness.loop, WorkerClientSettings("p", order_timeout_us=US_PER_S))

    def script() -> None:
        if ending == "order timed out":
            assert harness.order_load().outcome is Outcome.TIMEOUT
        elif ending == "call timed out":
            assert harness.call().outcome is Outcome.TIMEOUT
        else:
            send = harness.start_call()
            harness.wait_until(lambda: bool(harness.received))
            harness.client.cancel(send.call, send.attempt)
            assert harness.wait_for_attempt_end().outcome is Outcome.CANCELLED
        harness.loop.sleep(US_PER_S)
        assert harness.resets == 1

    harness.run_script(script)
