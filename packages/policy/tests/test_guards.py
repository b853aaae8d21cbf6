"""The five rules that the router must never break, each at its limit."""

from __future__ import annotations

from dataclasses import replace

import pytest

from walnutpost import interface as api
from walnutpost.testsupport.policy.harness import (
    KEYED_CLASS,
    SECOND_US,
    SETTINGS,
    RouterHarness,
    actions_of_type,
    listed_worker,
    load_orders,
)
from walnutpost.testsupport.policy.order import workers_in_hash_order

Outcome = api.Outcome
LOADS_ON_MISS = replace(SETTINGS, loads_on_miss=True)


def final_answers(actions: list[api.Action]) -> list[api.Action]:
    """Return the rejections and failures."""
    return actions_of_type((api.Reject, api.Fail), actions)


def test_queued_request_is_answered_once_just_before_its_deadline() -> None:
    harness = RouterHarness()
    request_id = harness.send_request(time_left_us=SECOND_US)  # far less than the deadline of its class
    assert not final_answers(harness.advance_time(SECOND_US - 8_000, step_us=4_000))
    assert final_answers(harness.advance_time(8_000, step_us=4_000)) == [
        api.Reject(request_id, SECOND_US // 4)
    ]
    assert not actions_of_type((api.Send, api.Reject, api.Fail), harness.advance_time(5 * SECOND_US))


def test_request_without_time_left_is_rejected_at_once() -> None:
    harness = RouterHarness()
    request_id = harness.send_request(time_left_us=0)
    assert final_answers(harness.last_actions) == [api.Reject(request_id, SECOND_US // 4)]


def test_rejection_has_no_retry_after_if_settings_forbid_it() -> None:
    harness = RouterHarness(
        settings=replace(SETTINGS, limits=replace(SETTINGS.limits, may_send_retry_after=False))
    )
    request_id = harness.send_request(time_left_us=0)
    assert final_answers(harness.last_actions) == [api.Reject(request_id, 0)]


def test_cancelled_request_is_never_sent_and_late_results_are_ignored() -> None:
    harness = RouterHarness()
    queued = harness.send_request()
    harness.feed(api.RequestCancelled(queued))
    assert not actions_of_type(api.Send, harness.end_load_order(1))
    harness.feed(api.RequestCancelled(queued))
    harness.feed(api.RequestCancelled(999))
    assert not final_answers(harness.end_attempt(999, 0, 1))
    assert not final_answers(harness.end_attempt(queued, 3, 1))


def test_cancelled_request_cancels_its_attempt() -> None:
    harness = RouterHarness()
    harness.make_warm(1)
    request_id = harness.send_request()
    harness.feed(api.RequestCancelled(request_id))
    assert actions_of_type(api.Cancel, harness.last_actions) == [api.Cancel(request_id, 0)]
    assert not final_answers(harness.end_attempt(request_id, 0, 1, Outcome.CANCELLED))


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.CANCELLED, Outcome.TIMEOUT])
def test_unsafe_request_that_may_have_run_fails_and_is_never_retried(outcome: Outcome) -> None:
    harness = RouterHarness()
    harness.make_warm(1, 2)
    request_id = harness.send_request(class_index=1)
    sent = actions_of_type(api.Send, harness.last_actions)[0]
    actions = harness.end_attempt(request_id, 0, sent.worker, outcome)
    assert final_answers(actions) == [api.Fail(request_id)]
    assert not actions_of_type(api.Send, actions + harness.advance_time(3 * SECOND_US))


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MISS])
def test_unsafe_request_that_never_ran_is_retried_on_another_worker(outcome: Outcome) -> None:
    harness = RouterHarness()
    harness.make_warm(1, 2)
    request_id = harness.send_request(class_index=1)
    sent = actions_of_type(api.Send, harness.last_actions)[0]
    retries = actions_of_type(
        api.Send, harness.end_attempt(request_id, 0, sent.worker, outcome, warmth=api.Warmth.UNREPORTED)
    )
    assert [s.worker for s in retries] == [3 - sent.worker]


def test_safe_request_is_retried_after_any_failure() -> None:
    harness = RouterHarness()
    harness.make_warm(1, 2)
    request_id = harness.send_request()
    sent = actions_of_type(api.Send, harness.last_actions)[0]
    assert actions_of_type(api.Send, harness.end_attempt(request_id, 0, sent.worker, Outcome.ERROR))


def test_request_has_no_more_attempts_than_the_limit() -> None:
    harness = RouterHarness(settings=replace(SETTINGS, limits=replace(SETTINGS.limits, max_attempts=2)))
    harness.make_warm(1, 2, 3)
    request_id = harness.send_request()
    first = actions_of_type(api.Send, harness.last_actions)[0].worker
    second = actions_of_type(api.Send, harness.end_attempt(request_id, 0, first, Outcome.FULL))[0].worker
    actions = harness.end_attempt(request_id, 1, second, Outcome.FULL)
    assert not actions_of_type(api.Send, actions)
    assert final_answers(actions)


def harness_with_keyed_request() -> tuple[RouterHarness, int, int]:
    """Return a harness, a keyed request, and the worker of its first attempt.

    The attempt is in zone 0, where workers 1 and 2 are. Worker 3 is in zone 1, thus outside the group.
    """
    harness = RouterHarness(workers=0)
    harness.send_worker_list(
        api.ListKind.FULL, listed_worker(1, zone=0), listed_worker(2, zone=0), listed_worker(3, zone=1)
    )
    harness.make_warm(1, 2, 3)
    while True:
        request_id = harness.send_request(class_index=2)
        sent = actions_of_type(api.Send, harness.last_actions)[0]
        if sent.worker != 3:
            return harness, request_id, sent.worker


def test_keyed_request_is_retried_only_within_its_group() -> None:
    harness, request_id, first = harness_with_keyed_request()
    retries = actions_of_type(api.Send, harness.end_attempt(request_id, 0, first, Outcome.ERROR))
    assert [s.worker for s in retries if s.request == request_id] == [3 - first]


@pytest.mark.parametrize(("delay_us", "sends"), [(0, 1), (1, 0)])
def test_keyed_request_is_retried_only_within_its_repeat_window(delay_us: int, sends: int) -> None:
    harness, request_id, first = harness_with_keyed_request()
    harness.now_us += KEYED_CLASS.repeat_window_us + delay_us
    retries = actions_of_type(api.Send, harness.end_attempt(request_id, 0, first, Outcome.ERROR))
    assert len([s for s in retries if s.request == request_id]) == sends


def test_attempts_do_not_run_in_parallel_if_settings_forbid_it() -> None:
    harness = RouterHarness(
        settings=replace(SETTINGS, limits=replace(SETTINGS.limits, may_run_parallel_attempts=False))
    )
    harness.make_warm(1, 2)
    request_id = harness.send_request()
    assert not [
        s for s in actions_of_type(api.Send, harness.advance_time(2_900_000)) if s.request == request_id
    ]


@pytest.mark.parametrize("state", [api.WorkerState.DRAINING, api.WorkerState.GONE])
def test_draining_or_gone_worker_gets_no_request_and_no_load_order(state: api.WorkerState) -> None:
    harness = RouterHarness(workers=1)
    harness.make_warm(1)
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(1, state))
    harness.send_request()
    assert not actions_of_type(api.Send, harness.last_actions)
    assert not load_orders(harness.last_actions + harness.advance_time(SECOND_US))


def test_only_a_full_list_removes_the_workers_that_it_omits() -> None:
    harness = RouterHarness(workers=2)
    harness.make_warm(1, 2)
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(1))
    assert {actions_of_type(api.Send, [a])[0].worker for a in sends_for_requests(harness, 4)} == {1, 2}
    harness.send_worker_list(api.ListKind.FULL, listed_worker(1))
    assert {actions_of_type(api.Send, [a])[0].worker for a in sends_for_requests(harness, 4)} == {1}
    harness.send_worker_list(api.ListKind.FAILED)
    assert {actions_of_type(api.Send, [a])[0].worker for a in sends_for_requests(harness, 4)} == {1}


def sends_for_requests(harness: RouterHarness, count: int) -> list[api.Send]:
    """Send `count` requests to the router; return its sends."""
    found: list[api.Send] = []
    for _ in range(count):
        harness.send_request(time_left_us=SECOND_US // 2)
        found += actions_of_type(api.Send, harness.last_actions)
    return found


def test_restarted_worker_gets_few_sends_while_warming_up() -> None:
    harness = RouterHarness(workers=1, settings=replace(LOADS_ON_MISS, may_order_loads=False))
    harness.make_warm(1)
    for n in range(40):  # the router measures ten answers per second from this worker
        harness.now_us += SECOND_US // 10
        request_id = harness.send_request()
        sent = actions_of_type(api.Send, harness.last_actions)
        assert sent, n
        harness.end_attempt(request_id, 0, 1)
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(1, started_at_us=harness.now_us))
    assert not sends_for_requests(harness, 5), "requests sent just before the restart count too"
    harness.now_us += SECOND_US
    sent = sends_for_requests(harness, 60)
    # All front ends together may send start capacity 0.2 x overload factor 4 x 10 per s x window of 1 s.
    assert 1 <= len(sent) <= 8
    harness.now_us += SECOND_US // 2
    assert len(sent) + len(sends_for_requests(harness, 60)) <= 8
    harness.now_us += 16 * SECOND_US
    harness.feed(api.TimerDue(1))
    assert harness.router.slow_start.has_budget(harness.router.endpoints.workers[1])


LIMITED_LOAD_ORDERS = replace(
    SETTINGS,
    guards=replace(
        SETTINGS.guards,
        free_load_orders=3.0,
        load_orders_per_request=0.5,
        load_order_window_us=10 * SECOND_US,
    ),
)


@pytest.mark.parametrize("is_ideal_network", [True, False])
def test_load_orders_stay_within_the_limit_of_the_sliding_window(is_ideal_network: bool) -> None:
    harness = RouterHarness(
        workers=8, settings=replace(LIMITED_LOAD_ORDERS, is_ideal_network=is_ideal_network)
    )
    order_times_us: list[int] = []
    request_times_us: list[int] = []
    attempt_counts: dict[int, int] = {}
    for n in range(200):
        harness.now_us += 37_000
        request_times_us.append(harness.now_us)
        harness.send_request(function=n)
        pending = list(harness.last_actions)
        while pending:
            action = pending.pop()
            if isinstance(action, api.Send):  # like an answer, a miss proves that the request is genuine
                pending += harness.end_attempt(
                    action.request, attempt_counts.get(action.request, 0), action.worker, Outcome.MISS
                )
                attempt_counts[action.request] = attempt_counts.get(action.request, 0) + 1
            elif isinstance(action, api.LoadOrder) and action.copies:
                order_times_us.append(harness.now_us)
                window_start_us = harness.now_us - 10 * SECOND_US
                assert len([t for t in order_times_us if t >= window_start_us]) <= 3 + 0.5 * len(
                    [t for t in request_times_us if t > window_start_us]
                )
                pending += harness.end_load_order(action.worker, function=action.function, ordered_copies=1)
    assert len(order_times_us) > 30


def test_load_orders_count_for_a_window_from_their_latest_possible_arrival() -> None:
    """An order counts for one window from its arrival, which may be as late as its answer."""
    no_orders_per_request = replace(
        LIMITED_LOAD_ORDERS, guards=replace(LIMITED_LOAD_ORDERS.guards, load_orders_per_request=0.0)
    )
    harness = RouterHarness(workers=8, settings=no_orders_per_request)
    harness.now_us += 10 * SECOND_US + 20_000  # orders of a previous incarnation no longer count
    sent = [load_orders(harness.actions_for_request(function))[0] for function in range(3)]
    harness.now_us += 5 * SECOND_US
    for order in sent:
        harness.end_load_order(order.worker, function=order.function, ordered_copies=1)
    harness.now_us += 5 * SECOND_US + 20_000
    assert not load_orders(harness.actions_for_request(9)), "one window after the orders were sent"
    harness.now_us += 5 * SECOND_US - 20_000
    assert not load_orders(harness.actions_for_request(10)), "one window after their latest possible arrival"
    harness.now_us += 20_000
    assert load_orders(harness.actions_for_request(11))


def test_request_is_sent_without_a_copy_if_no_load_order_is_left_and_workers_load_on_miss() -> None:
    no_orders = replace(LIMITED_LOAD_ORDERS, loads_on_miss=True)
    no_orders = replace(
        no_orders, guards=replace(no_orders.guards, free_load_orders=0.0, load_orders_per_request=0.0)
    )
    harness = RouterHarness(settings=no_orders)
    harness.send_request()
    assert len(actions_of_type(api.Send, harness.last_actions)) == 1
    assert not load_orders(harness.last_actions)


def test_queued_request_tries_the_first_workers_in_hash_order_if_no_load_order_is_left() -> None:
    """60 front ends used to probe three workers repeatedly: 30,000 probes in half a minute."""
    no_orders = replace(
        LIMITED_LOAD_ORDERS,
        guards=replace(LIMITED_LOAD_ORDERS.guards, free_load_orders=0.0, load_orders_per_request=0.0),
    )
    harness = RouterHarness(settings=no_orders)
    request_id = harness.send_request()
    tried: list[int] = []
    while harness.now_us < 102 * SECOND_US:
        if sent := actions_of_type(api.Send, harness.last_actions):
            tried.append(sent[0].worker)
            harness.end_attempt(
                request_id, len(tried) - 1, tried[-1], Outcome.MISS, warmth=api.Warmth.UNREPORTED
            )
        else:
            harness.advance_time(20_000)
    assert tried == [*workers_in_hash_order()[:2], workers_in_hash_order()[0]], (
        "two attempts are reserved for workers with a copy"
    )
    assert not actions_of_type(api.LoadOrder, harness.all_actions)
    assert actions_of_type(api.Send, harness.end_load_order(4))


def test_request_tries_the_first_workers_in_hash_order_before_it_orders_a_copy() -> None:
    """Among many front ends, another one has probably ordered a copy there."""
    harness = RouterHarness(settings=replace(SETTINGS, front_ends=200))
    request_id = harness.send_request(class_index=1)
    for attempt, worker_id in enumerate(workers_in_hash_order()[:2]):
        assert [s.worker for s in actions_of_type(api.Send, harness.last_actions)] == [worker_id]
        assert not actions_of_type(api.LoadOrder, harness.all_actions)
        harness.end_attempt(request_id, attempt, worker_id, Outcome.MISS, warmth=api.Warmth.UNREPORTED)
    assert load_orders(harness.last_actions) == [
        api.LoadOrder(workers_in_hash_order()[0], 7, 1, SETTINGS.guards.drain_grace_us)
    ]
    harness.send_request()
    assert not actions_of_type(api.Send, harness.last_actions), "the request waits for the load in progress"
    load_on_miss_harness = RouterHarness(settings=replace(SETTINGS, front_ends=200, loads_on_miss=True))
    load_on_miss_harness.send_request()
    assert load_orders(load_on_miss_harness.last_actions) and not actions_of_type(
        api.Send, load_on_miss_harness.last_actions
    ), "a request would itself start a load"


def test_extreme_settings_and_requests_get_a_valid_decision() -> None:
    harness = RouterHarness(workers=0)
    request_id = harness.send_request(concurrency=0)
    assert not actions_of_type(api.Send, harness.last_actions)
    assert actions_of_type(api.Reject, harness.advance_time(3 * SECOND_US)) == [
        api.Reject(request_id, SECOND_US // 4)
    ]
    harness.send_worker_list(api.ListKind.FULL, listed_worker(1, api.WorkerState.DRAINING))
    harness.send_request()
    assert not actions_of_type((api.Send, api.LoadOrder), harness.last_actions)
    zero_settings = replace(
        SETTINGS,
        guards=api.Guards(0, 0, 0, 0.0, 0.0, 0, 0, 0.0, 0.0, 0),
        keep_alive_us=0,
        load_order_timeout_us=0,
        tick_us=0,
        classes=SETTINGS.classes[:1],
    )
    zero_harness = RouterHarness(settings=zero_settings)
    zero_harness.send_request(class_index=200)
    assert load_orders(zero_harness.last_actions)


def test_started_stream_has_no_deadline_and_no_other_answer() -> None:
    harness = RouterHarness(
        settings=replace(SETTINGS, classes=(replace(SETTINGS.classes[0], is_stream=True),))
    )
    harness.make_warm(1)
    request_id = harness.send_request()
    worker_id = actions_of_type(api.Send, harness.last_actions)[0].worker
    harness.feed(api.AnswerStarted(request_id, 0, worker_id, 50_000))
    actions = harness.advance_time(5 * SECOND_US)
    assert not final_answers(actions)
    assert not [s for s in actions_of_type(api.Send, actions) if s.request == request_id]
    assert not actions_of_type(
        (api.Send, api.Reject, api.Fail, api.Cancel),
        harness.end_attempt(request_id, 0, worker_id, Outcome.RESET),
    )


def test_endpoint_watch_is_started_and_repeated_after_a_failure() -> None:
    watch_settings = replace(
        SETTINGS, must_watch_endpoints=True, guards=replace(SETTINGS.guards, watch_within_us=8 * SECOND_US)
    )
    harness = RouterHarness(settings=watch_settings)
    assert actions_of_type(api.WatchEndpoints, harness.advance_time(SECOND_US)) == [api.WatchEndpoints(True)]
    harness.send_worker_list(api.ListKind.FAILED)
    assert not actions_of_type(api.WatchEndpoints, harness.advance_time(SECOND_US // 2))
    assert actions_of_type(api.WatchEndpoints, harness.advance_time(SECOND_US)) == [api.WatchEndpoints(True)]
    harness.send_request()
    assert load_orders(harness.last_actions), "a failed list must not invalidate the previous one"


@pytest.mark.parametrize("front_ends", [0, 1, 70, 1_000_000])
def test_warm_workers_serve_requests_with_any_number_of_front_ends(front_ends: int) -> None:
    harness = RouterHarness(6, replace(SETTINGS, front_ends=front_ends, index=max(0, front_ends - 1)))
    harness.make_warm(1, 2)
    # Worker 6 is warming up, so the warm workers 1 and 2 serve.
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(6, started_at_us=harness.now_us))
    for _ in range(20):
        harness.now_us += SECOND_US // 5
        request_id = harness.send_request()
        sent = actions_of_type(api.Send, harness.last_actions)
        assert len(sent) == 1
        assert sent[0].worker in (1, 2)
        harness.end_attempt(request_id, 0, sent[0].worker)


def test_requests_go_to_the_remaining_workers_if_most_drain_at_once() -> None:
    """The list has 600 workers, of which all but three drain in one update."""
    harness = RouterHarness(600, replace(SETTINGS, front_ends=70))
    request_ids = [harness.send_request(function=100 + n) for n in range(40)]
    draining = [listed_worker(i, api.WorkerState.DRAINING) for i in range(1, 598)]
    actions = harness.send_worker_list(api.ListKind.DELTA, *draining)
    actions += harness.advance_time(4 * SECOND_US)
    assert {o.worker for o in load_orders(actions)} | {
        s.worker for s in actions_of_type(api.Send, actions)
    } <= {598, 599, 600}
    assert {a.request for a in actions if isinstance(a, api.Reject | api.Fail)} == set(request_ids)


def test_empty_endpoint_list_queues_requests_until_their_deadlines() -> None:
    harness = RouterHarness(3)
    harness.make_warm(1)
    harness.send_worker_list(api.ListKind.FULL)
    request_id = harness.send_request()
    assert not actions_of_type(api.Send, harness.last_actions)
    assert not load_orders(harness.last_actions)
    assert [a.request for a in actions_of_type(api.Reject, harness.advance_time(4 * SECOND_US))] == [
        request_id
    ]


def test_worker_that_restarts_as_draining_gets_none_of_its_requests_again() -> None:
    """Rule 3: its copies are forgotten and its safe requests are retried, but not on this worker."""
    harness = RouterHarness(workers=1)
    for _ in range(9):
        harness.send_request()
    harness.feed(api.LoadOrderEnded(1, 7, api.Outcome.OK, 1000, 1))
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(1, api.WorkerState.DRAINING, harness.now_us))
    assert not [a for a in harness.last_actions if isinstance(a, api.Send | api.LoadOrder) and a.worker == 1]


def test_cancelled_requests_do_not_raise_the_load_order_limit() -> None:
    """Clients may send and cancel hundreds of requests, and the limit need not count those."""
    harness = RouterHarness(workers=8, settings=LIMITED_LOAD_ORDERS)
    for function in range(100, 200):
        harness.feed(api.RequestCancelled(harness.send_request(function=function)))
    first_orders = len(load_orders(harness.all_actions))
    for function in range(200, 220):
        harness.send_request(function=function)
    allowed = (
        LIMITED_LOAD_ORDERS.guards.free_load_orders + LIMITED_LOAD_ORDERS.guards.load_orders_per_request * 20
    )
    assert first_orders <= LIMITED_LOAD_ORDERS.guards.free_load_orders + 1
    assert len(load_orders(harness.all_actions)) <= allowed
