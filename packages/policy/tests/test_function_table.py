"""Clients may name ever new functions: what is kept of idle ones is bounded."""

from __future__ import annotations

from walnutpost import interface as api
from walnutpost.policy.functions import MAX_IDLE_FUNCTIONS
from walnutpost.policy.router import Router
from walnutpost.policy.timers import MAX_CANCELLED
from walnutpost.testsupport.policy.harness import SECOND_US, SETTINGS

TIMERS_PER_FUNCTION = 2  # to refresh its copies, and to release queued requests
START_US = 100 * SECOND_US


def arrival(request: int, function: int) -> api.RequestArrived:
    return api.RequestArrived(
        request=request,
        class_index=0,
        tenant=0,
        function=function,
        time_left_us=2 * SECOND_US,
        cost_hint_us=None,
        memory_mb=1.0,
        concurrency=1.0,
        load_time_us=0,
        is_repeat=False,
    )


def test_functions_and_timers_of_cancelled_requests_for_new_names_are_bounded() -> None:
    router = Router(SETTINGS, 1)
    for number in range(20_000):
        router.handle(START_US + number, arrival(number, function=number))
        router.handle(START_US + number, api.RequestCancelled(number))
        assert len(router.functions.by_key) <= 2 * MAX_IDLE_FUNCTIONS
        assert (
            len(router.timers.queue) <= 2 * TIMERS_PER_FUNCTION * 2 * MAX_IDLE_FUNCTIONS + MAX_CANCELLED + 2
        )
    newest = range(20_000 - MAX_IDLE_FUNCTIONS, 20_000)
    assert all(key in router.functions.by_key for key in newest)


def test_functions_with_queued_requests_are_kept_however_many_there_are() -> None:
    router = Router(SETTINGS, 1)
    count = 4 * MAX_IDLE_FUNCTIONS
    for number in range(count):
        router.handle(START_US, arrival(number, function=number))
    assert len(router.functions.by_key) == count
