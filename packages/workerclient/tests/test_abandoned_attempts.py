"""Attempts and orders that are given up: nothing of them leaves any more, and the worker sees a reset."""

from __future__ import annotations

import ssl

import pytest

from walnutpost.eventloop import Event
from walnutpost.interface import Outcome
from walnutpost.testsupport.workerclient.exchanges import stay_silent
from walnutpost.testsupport.workerclient.harness import (
    US_PER_MS,
    US_PER_S,
    RespondingWorkerRig,
    WorkerRig,
    delay_connects,
)
from walnutpost.workerclient import WorkerClient, WorkerClientSettings

SETTINGS = WorkerClientSettings("p")


def test_an_abandoned_attempt_ends_whenever_it_is_abandoned() -> None:
    rig = WorkerRig()

    def script() -> None:
        send = rig.start_call()
        rig.client.cancel(send.call, send.attempt)  # before its task has begun
        assert rig.wait_for_attempt_end().outcome is Outcome.MOOT
        send = rig.start_call()
        rig.wait_for(lambda: bool(rig.streams))
        rig.client.cancel(send.call, send.attempt)
        assert rig.wait_for_attempt_end().outcome is Outcome.CANCELLED

    rig.run(stay_silent, script)


def test_an_attempt_abandoned_before_its_first_byte_never_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = RespondingWorkerRig()
    delay_connects(monkeypatch, rig, 100 * US_PER_MS)

    def script() -> None:
        # It waits for the disk, or for the connection.
        for before in (lambda: rig.loop.sleep(100 * US_PER_MS), None):
            send = rig.start_call(before=before)
            rig.loop.sleep(50 * US_PER_MS)
            rig.client.cancel(send.call, send.attempt)
            assert rig.wait_for_attempt_end().outcome is Outcome.MOOT
        rig.loop.sleep(US_PER_S)
        assert not rig.received

    rig.run_script(script)


def test_an_attempt_abandoned_while_it_is_ready_to_run_never_writes() -> None:
    rig = RespondingWorkerRig()

    def script() -> None:
        assert rig.call().outcome is Outcome.OK  # leaves a connection, so that nothing is waited for
        persisted = Event(rig.loop)
        send = rig.start_call(before=persisted.wait)
        rig.loop.sleep(US_PER_MS)
        persisted.set()
        rig.client.cancel(send.call, send.attempt)
        assert rig.wait_for_attempt_end().outcome is Outcome.MOOT
        rig.loop.sleep(US_PER_S)
        assert len(rig.received) == 1

    rig.run_script(script)


def test_an_attempt_abandoned_while_it_waits_for_its_handshake_makes_no_connection() -> None:
    rig = RespondingWorkerRig()
    rig.client = WorkerClient(rig.loop, SETTINGS, context=ssl.create_default_context())
    handshakes = rig.client._connector.handshakes

    def script() -> None:
        while handshakes.try_begin(rig.loop.now(), "w"):
            pass
        send = rig.start_call()
        rig.loop.sleep(50 * US_PER_MS)
        rig.client.cancel(send.call, send.attempt)
        assert rig.wait_for_attempt_end().outcome is Outcome.MOOT
        handshakes.record_success("w")
        rig.loop.sleep(US_PER_S)
        assert not rig.streams

    rig.run_script(script)


def test_a_handshake_cut_short_by_the_calls_timeout_is_no_failure_of_the_worker() -> None:
    rig = RespondingWorkerRig(response=b"")
    rig.client = WorkerClient(rig.loop, SETTINGS, context=ssl.create_default_context())

    def script() -> None:
        assert rig.call(timeout_us=20 * US_PER_MS).outcome is Outcome.MOOT
        assert len(rig.streams) == 1
        assert rig.client._connector.handshakes.try_begin(rig.loop.now(), "w")

    rig.run_script(script)


@pytest.mark.parametrize("how", ["call timed out", "call abandoned", "order timed out"])
def test_the_connection_of_a_request_given_up_unanswered_is_reset(how: str) -> None:
    rig = RespondingWorkerRig(response=b"")
    rig.client = WorkerClient(rig.loop, WorkerClientSettings("p", order_timeout_us=US_PER_S))

    def script() -> None:
        if how == "order timed out":
            assert rig.order().outcome is Outcome.TIMEOUT
        elif how == "call timed out":
            assert rig.call().outcome is Outcome.TIMEOUT
        else:
            send = rig.start_call()
            rig.wait_for(lambda: bool(rig.received))
            rig.client.cancel(send.call, send.attempt)
            assert rig.wait_for_attempt_end().outcome is Outcome.CANCELLED
        rig.loop.sleep(US_PER_S)
        assert rig.resets == 1

    rig.run_script(script)
