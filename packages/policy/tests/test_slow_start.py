"""Tests of slow start: the sends to a cold worker that the budgets of all front ends allow together.

Many front ends may restart meanwhile.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import replace
from heapq import heappop, heappush
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st

from walnutpost import interface as api
from walnutpost.testsupport.policy.harness import (
    SECOND_US,
    SETTINGS,
    RouterHarness,
    actions_of_type,
    listed_worker,
)

GUARDS = SETTINGS.guards
RESTART_US = 110 * SECOND_US  # when front ends restart
RATE_TIME_CONSTANT_US = 2 * SECOND_US  # of the answer rate: two latency objectives
FRONT_ENDS = 20
MAX_SENDS = 400  # ends the loop if the budget is unlimited


def start_front_end(index: int, front_end_count: int, started_us: int, cold_since_us: int) -> RouterHarness:
    """Start a front end with two workers; worker 2 is listed as cold if `cold_since_us` has passed."""
    router_settings = replace(
        SETTINGS, front_ends=front_end_count, index=index, may_order_loads=False, loads_on_miss=True
    )
    harness = RouterHarness(2, router_settings, now_us=started_us)
    if started_us > cold_since_us:
        harness.send_worker_list(api.ListKind.DELTA, listed_worker(2, started_at_us=cold_since_us))
    return harness


def use_up_budget(harness: RouterHarness) -> int:
    """Record as many sends to the cold worker as its budget allows; return their number."""
    cold_worker, sent = harness.router.endpoints.workers[2], 0
    while harness.router.slow_start.has_budget(cold_worker) and sent < MAX_SENDS:
        cold_worker.recent_sends_us.append(harness.now_us)
        sent += 1
    return sent


def serve_calls(
    harness: RouterHarness, until_us: int, rate: float, rng: Random, sends_us: list[int] | None = None
) -> None:
    """Feed calls at random times until `until_us`; each is answered a tenth of a second after its send.

    With `sends_us`, use up the budget of the cold worker after each event, and append the times of its sends.
    """

    def next_call_us() -> int:
        return harness.now_us + 1 + int(rng.expovariate(rate) * SECOND_US)

    events = [(next_call_us(), 0)]
    while events[0][0] < until_us:
        harness.now_us, request = heappop(events)
        if request:
            harness.end_attempt(request, 0, harness.router.requests.by_id[request].attempts[0].worker)
        else:
            request = harness.send_request()
            if actions_of_type(api.Send, harness.last_actions):
                heappush(events, (harness.now_us + SECOND_US // 10, request))
            heappush(events, (next_call_us(), 0))
        if sends_us is not None:
            sends_us += [
                harness.now_us for send in actions_of_type(api.Send, harness.last_actions) if send.worker == 2
            ]
            sends_us += [harness.now_us] * use_up_budget(harness)
    harness.now_us = until_us


def allowed_calls(age_us: int, rate: float) -> float:
    """Return N: the most calls within one window that a cold worker of this age can handle.

    `rate` is the rate of calls that both workers serve together.
    """
    capacity_share = GUARDS.start_capacity + (1 - GUARDS.start_capacity) * age_us / GUARDS.warm_up_us
    return capacity_share * GUARDS.overload_factor * rate / 2 * GUARDS.overload_window_us / SECOND_US


@settings(max_examples=4, deadline=None)
@given(st.integers(0, FRONT_ENDS), st.integers(0, GUARDS.overload_window_us), st.integers(0, 1 << 32))
@example(0, SECOND_US // 2, 1)
@example(FRONT_ENDS // 10, SECOND_US // 2, 1)  # as in a release
@example(FRONT_ENDS * 7 // 10, SECOND_US // 2, 1)  # many are killed at the same time
@example(FRONT_ENDS, SECOND_US // 2, 1)
def test_budgets_of_all_front_ends_stay_within_the_limit_while_some_restart(
    restarted_count: int, worker_age_us: int, seed: int
) -> None:
    """The budgets of all front ends together stay within N while some of them restart.

    Sends of the previous processes within the last window still count: a full budget right after the restart
    would double the load.
    """
    rate, sends_us, cold_since_us = 10.0, list[int](), RESTART_US - worker_age_us
    for index in range(FRONT_ENDS):
        rng = Random(seed * FRONT_ENDS + index)
        harness = start_front_end(index, FRONT_ENDS, RESTART_US - 3 * RATE_TIME_CONSTANT_US, cold_since_us)
        serve_calls(harness, cold_since_us, rate, rng)
        harness.send_worker_list(api.ListKind.DELTA, listed_worker(2, started_at_us=cold_since_us))
        serve_calls(harness, RESTART_US, rate, rng, sends_us)
        if index < restarted_count:
            harness = start_front_end(index, FRONT_ENDS, RESTART_US, cold_since_us)
        serve_calls(harness, RESTART_US + 2 * RATE_TIME_CONSTANT_US, rate, rng, sends_us)
    sends_us.sort()
    for earlier_sends, end_us in enumerate(sends_us):
        sends_in_window = earlier_sends + 1 - bisect_left(sends_us, end_us - GUARDS.overload_window_us)
        assert sends_in_window <= allowed_calls(end_us - cold_since_us, FRONT_ENDS * rate), (
            end_us - RESTART_US
        ) / RATE_TIME_CONSTANT_US
    windows = 2 * RATE_TIME_CONSTANT_US / GUARDS.overload_window_us
    assert len(sends_us) > 0.3 * windows * allowed_calls(RATE_TIME_CONSTANT_US, FRONT_ENDS * rate), (
        "too much of the budget is unused"
    )


def test_a_restarted_front_end_recovers_its_budget_within_one_window() -> None:
    """Front ends once needed three time constants of the answer rate to regain nine tenths of the budget.

    When front ends restarted often, new workers stayed idle meanwhile.
    """

    def budget(started_us: int) -> int:
        sent = 0
        for seed in range(10):
            harness = start_front_end(0, 1, started_us, RESTART_US)
            serve_calls(harness, RESTART_US + GUARDS.overload_window_us + SECOND_US // 10, 40.0, Random(seed))
            harness.send_worker_list(api.ListKind.DELTA, listed_worker(2, started_at_us=RESTART_US))
            sent += use_up_budget(harness)
        return sent

    assert budget(RESTART_US) > 0.85 * budget(RESTART_US - 4 * RATE_TIME_CONSTANT_US) > 50


def test_a_front_end_without_answered_calls_has_no_budget() -> None:
    harness = start_front_end(0, 1, RESTART_US, RESTART_US - 1)
    harness.now_us += 3 * RATE_TIME_CONSTANT_US
    assert not harness.router.slow_start.has_budget(harness.router.endpoints.workers[2])
