"""The check, right before the first byte of a request, that the decision to send it is still valid."""

from __future__ import annotations

import pytest

from walnutpost.eventloop import Listener
from walnutpost.gateway import LoadOrder
from walnutpost.interface import Outcome
from walnutpost.testsupport.workerclient.harness import (
    LOCAL_ADDRESS,
    TWO_COPIES_LOADED,
    US_PER_MS,
    US_PER_S,
    RespondingWorkerHarness,
    delay_connects,
)


def test_a_call_is_not_sent_after_its_time_to_begin_has_passed() -> None:
    harness = RespondingWorkerHarness()

    def script() -> None:
        for begin_within_us, expected in (
            (100 * US_PER_MS, Outcome.EXPIRED),
            (0, Outcome.OK),
            (150 * US_PER_MS, Outcome.OK),
        ):
            received_before = len(harness.received)
            ended = harness.call(
                begin_within_us=begin_within_us, before_send=lambda: harness.loop.sleep(150 * US_PER_MS)
            )
            assert ended.outcome is expected
            assert (len(harness.received) > received_before) is (expected is Outcome.OK)

    harness.run_script(script)


def test_calls_and_load_orders_are_not_sent_if_connecting_takes_too_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = RespondingWorkerHarness(TWO_COPIES_LOADED)
    delay_connects(monkeypatch, harness, 150 * US_PER_MS)

    def script() -> None:
        assert harness.order_load(begin_within_us=100 * US_PER_MS).outcome is Outcome.EXPIRED
        harness.client.close_idle_connections("w")
        assert harness.call(begin_within_us=100 * US_PER_MS).outcome is Outcome.EXPIRED
        assert not harness.received
        harness.client.close_idle_connections("w")
        assert harness.order_load(begin_within_us=150 * US_PER_MS).outcome is Outcome.OK

    harness.run_script(script)


def test_the_time_to_begin_counts_from_the_effect_and_not_from_the_start_of_its_task() -> None:
    harness = RespondingWorkerHarness(TWO_COPIES_LOADED)

    def script() -> None:
        harness.client.order_load(LoadOrder("w", "f", 2, 100 * US_PER_MS), harness.reported_events.append)
        harness.loop.clock.advance_to(harness.loop.now() + 150 * US_PER_MS)  # other work keeps the loop busy
        harness.wait_until(lambda: bool(harness.reported_events))
        assert harness.reported_events.pop().outcome is Outcome.EXPIRED
        harness.start_call(begin_within_us=100 * US_PER_MS)
        harness.loop.clock.advance_to(harness.loop.now() + 150 * US_PER_MS)
        assert harness.wait_for_attempt_end().outcome is Outcome.EXPIRED
        assert not harness.received

    harness.run_script(script)


def test_a_call_is_not_sent_after_its_deadline() -> None:
    harness = RespondingWorkerHarness()

    def script() -> None:
        assert harness.call().outcome is Outcome.OK
        received_before = len(harness.received)
        ended = harness.call(
            before_send=lambda: harness.loop.clock.advance_to(harness.loop.now() + 2 * US_PER_S)
        )
        assert ended.outcome is Outcome.EXPIRED
        assert len(harness.received) == received_before

    harness.run_script(script)


@pytest.mark.parametrize("is_removed", [False, True])
def test_nothing_is_sent_to_the_old_address_of_a_worker_that_is_removed_or_has_a_new_address(
    is_removed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = RespondingWorkerHarness(TWO_COPIES_LOADED)
    delay_connects(monkeypatch, harness, 100 * US_PER_MS)

    def script() -> None:
        old_addresses = dict(harness.client.addresses)
        other_listener = Listener(harness.loop, LOCAL_ADDRESS)
        # The old address now belongs to another worker.
        new_addresses = (
            {"new": old_addresses["w"]}
            if is_removed
            else {"new": old_addresses["w"], "w": other_listener.address}
        )
        harness.start_call()
        harness.client.order_load(LoadOrder("w", "f", 2), harness.reported_events.append)
        harness.loop.sleep(50 * US_PER_MS)
        harness.client.update_workers(new_addresses, set())
        harness.wait_until(lambda: len(harness.reported_events) == 2)
        assert [ended.outcome for ended in harness.reported_events] == [Outcome.EXPIRED, Outcome.EXPIRED]
        assert len(harness.worker_streams) == 2
        assert not harness.received
        assert other_listener.accept_now() is None
        harness.reported_events.clear()

    harness.run_script(script)


def test_a_load_order_ends_as_moot_if_the_worker_starts_draining_during_the_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = RespondingWorkerHarness(TWO_COPIES_LOADED)
    delay_connects(monkeypatch, harness, 100 * US_PER_MS)

    def script() -> None:
        harness.client.order_load(LoadOrder("w", "f", 2), harness.reported_events.append)
        harness.loop.sleep(50 * US_PER_MS)
        harness.client.update_workers(dict(harness.client.addresses), {"w"})
        harness.wait_until(lambda: bool(harness.reported_events))
        assert harness.reported_events.pop().outcome is Outcome.EXPIRED
        assert not harness.received

    harness.run_script(script)


def test_a_failed_connect_to_an_old_address_ends_the_call_as_moot() -> None:
    harness = RespondingWorkerHarness()

    def script() -> None:
        current_addresses = dict(harness.client.addresses)
        closed_listener = Listener(harness.loop, LOCAL_ADDRESS)
        closed_listener.close()
        harness.client.update_workers({"w": closed_listener.address}, set())
        ended = harness.call(before_send=lambda: harness.client.update_workers(current_addresses, set()))
        assert ended.outcome is Outcome.EXPIRED

    harness.run_script(script)


def test_a_connection_in_use_when_the_address_of_its_worker_changed_is_not_reused() -> None:
    harness = RespondingWorkerHarness(delay_us=100 * US_PER_MS)

    def script() -> None:
        other_listener = Listener(harness.loop, LOCAL_ADDRESS)
        harness.start_call()
        harness.wait_until(lambda: bool(harness.received))
        harness.client.update_workers({"w": other_listener.address}, set())
        assert harness.wait_for_attempt_end().outcome is Outcome.OK
        harness.start_call()
        harness.wait_until(lambda: other_listener.accept_now() is not None)
        assert len(harness.received) == 1

    harness.run_script(script)
