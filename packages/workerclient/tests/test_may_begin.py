"""Whether a request may begin: what was decided is checked again right before the first byte."""

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
    RespondingWorkerRig,
    delay_connects,
)


def test_a_call_whose_decision_has_lapsed_does_not_begin() -> None:
    rig = RespondingWorkerRig()

    def script() -> None:
        for begin_within_us, wanted in (
            (100 * US_PER_MS, Outcome.MOOT),
            (0, Outcome.OK),
            (150 * US_PER_MS, Outcome.OK),
        ):
            received = len(rig.received)
            ended = rig.call(begin_within_us=begin_within_us, before=lambda: rig.loop.sleep(150 * US_PER_MS))
            assert ended.outcome is wanted
            assert (len(rig.received) > received) is (wanted is Outcome.OK)

    rig.run_script(script)


def test_calls_and_orders_that_waited_too_long_for_a_connection_do_not_begin(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = RespondingWorkerRig(TWO_COPIES_LOADED)
    delay_connects(monkeypatch, rig, 150 * US_PER_MS)

    def script() -> None:
        assert rig.order(begin_within_us=100 * US_PER_MS).outcome is Outcome.MOOT
        rig.client.close_idle_connections("w")
        assert rig.call(begin_within_us=100 * US_PER_MS).outcome is Outcome.MOOT
        assert not rig.received
        rig.client.close_idle_connections("w")
        assert rig.order(begin_within_us=150 * US_PER_MS).outcome is Outcome.OK

    rig.run_script(script)


def test_the_time_to_begin_counts_from_the_effect_and_not_from_when_its_task_runs() -> None:
    rig = RespondingWorkerRig(TWO_COPIES_LOADED)

    def script() -> None:
        rig.client.order_load(LoadOrder("w", "f", 2, 100 * US_PER_MS), rig.ended.append)
        rig.loop.clock.advance_to(rig.loop.now() + 150 * US_PER_MS)  # other work keeps the loop busy
        rig.wait_for(lambda: bool(rig.ended))
        assert rig.ended.pop().outcome is Outcome.MOOT
        rig.start_call(begin_within_us=100 * US_PER_MS)
        rig.loop.clock.advance_to(rig.loop.now() + 150 * US_PER_MS)
        assert rig.wait_for_attempt_end().outcome is Outcome.MOOT
        assert not rig.received

    rig.run_script(script)


def test_a_call_whose_deadline_has_passed_does_not_begin() -> None:
    rig = RespondingWorkerRig()

    def script() -> None:
        assert rig.call().outcome is Outcome.OK
        received = len(rig.received)
        ended = rig.call(before=lambda: rig.loop.clock.advance_to(rig.loop.now() + 2 * US_PER_S))
        assert ended.outcome is Outcome.MOOT
        assert len(rig.received) == received

    rig.run_script(script)


@pytest.mark.parametrize("is_gone", [False, True])
def test_nothing_begins_at_the_former_address_of_a_worker_that_moved_meanwhile(
    is_gone: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = RespondingWorkerRig(TWO_COPIES_LOADED)
    delay_connects(monkeypatch, rig, 100 * US_PER_MS)

    def script() -> None:
        before = dict(rig.client.addresses)
        other = Listener(rig.loop, LOCAL_ADDRESS)
        # The former address is another worker's now.
        after = {"new": before["w"]} if is_gone else {"new": before["w"], "w": other.address}
        rig.start_call()
        rig.client.order_load(LoadOrder("w", "f", 2), rig.ended.append)
        rig.loop.sleep(50 * US_PER_MS)
        rig.client.update_workers(after, set())
        rig.wait_for(lambda: len(rig.ended) == 2)
        assert [ended.outcome for ended in rig.ended] == [Outcome.MOOT, Outcome.MOOT]
        assert len(rig.streams) == 2
        assert not rig.received
        assert other.accept_now() is None
        rig.ended.clear()

    rig.run_script(script)


def test_a_worker_that_drains_during_the_connect_makes_an_order_moot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = RespondingWorkerRig(TWO_COPIES_LOADED)
    delay_connects(monkeypatch, rig, 100 * US_PER_MS)

    def script() -> None:
        rig.client.order_load(LoadOrder("w", "f", 2), rig.ended.append)
        rig.loop.sleep(50 * US_PER_MS)
        rig.client.update_workers(dict(rig.client.addresses), {"w"})
        rig.wait_for(lambda: bool(rig.ended))
        assert rig.ended.pop().outcome is Outcome.MOOT
        assert not rig.received

    rig.run_script(script)


def test_a_failed_connect_to_a_former_address_says_nothing_of_the_worker() -> None:
    rig = RespondingWorkerRig()

    def script() -> None:
        present = dict(rig.client.addresses)
        closed = Listener(rig.loop, LOCAL_ADDRESS)
        closed.close()
        rig.client.update_workers({"w": closed.address}, set())
        ended = rig.call(before=lambda: rig.client.update_workers(present, set()))
        assert ended.outcome is Outcome.MOOT

    rig.run_script(script)


def test_a_connection_that_was_busy_when_its_worker_moved_is_not_used_again() -> None:
    rig = RespondingWorkerRig(delay_us=100 * US_PER_MS)

    def script() -> None:
        other = Listener(rig.loop, LOCAL_ADDRESS)
        rig.start_call()
        rig.wait_for(lambda: bool(rig.received))
        rig.client.update_workers({"w": other.address}, set())
        assert rig.wait_for_attempt_end().outcome is Outcome.OK
        rig.start_call()
        rig.wait_for(lambda: other.accept_now() is not None)
        assert len(rig.received) == 1

    rig.run_script(script)
