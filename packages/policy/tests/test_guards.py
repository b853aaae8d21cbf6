"""The five rules that the router must never break, each at its limit."""

from __future__ import annotations

from dataclasses import replace

import pytest

from walnutpost import interface as api
from walnutpost.testsupport.policy.harness import KEYED, SECOND, SETTINGS, Rig, of, orders, worker
from walnutpost.testsupport.policy.order import workers_in_hash_order

Outcome = api.Outcome
LOADS_ON_MISS = replace(SETTINGS, loads_on_miss=True)


def final_answers(actions: list[api.Action]) -> list[api.Action]:
    """Return the rejections and failures."""
    return of((api.Reject, api.Fail), actions)


def test_queued_request_is_answered_once_just_before_its_deadline() -> None:
    harness = Rig()
    request_id = harness.ask(time_left_us=SECOND)  # far less than the deadline of its class
    assert not final_answers(harness.pass_time(SECOND - 8_000, step_us=4_000))
    assert final_answers(harness.pass_time(8_000, step_us=4_000)) == [api.Reject(request_id, SECOND // 4)]
    assert not of((api.Send, api.Reject, api.Fail), harness.pass_time(5 * SECOND))


def test_request_without_time_left_is_rejected_at_once() -> None:
    harness = Rig()
    request_id = harness.ask(time_left_us=0)
    assert final_answers(harness.actions) == [api.Reject(request_id, SECOND // 4)]


def test_rejection_has_no_retry_after_if_settings_forbid_it() -> None:
    harness = Rig(settings=replace(SETTINGS, limits=replace(SETTINGS.limits, may_send_retry_after=False)))
    request_id = harness.ask(time_left_us=0)
    assert final_answers(harness.actions) == [api.Reject(request_id, 0)]


def test_cancelled_request_is_never_sent_and_late_results_are_ignored() -> None:
    harness = Rig()
    queued = harness.ask()
    harness.feed(api.RequestCancelled(queued))
    assert not of(api.Send, harness.load_ended(1))
    harness.feed(api.RequestCancelled(queued))
    harness.feed(api.RequestCancelled(999))
    assert not final_answers(harness.attempt_ended(999, 0, 1))
    assert not final_answers(harness.attempt_ended(queued, 3, 1))


def test_cancelled_request_cancels_its_attempt() -> None:
    harness = Rig()
    harness.warm(1)
    request_id = harness.ask()
    harness.feed(api.RequestCancelled(request_id))
    assert of(api.Cancel, harness.actions) == [api.Cancel(request_id, 0)]
    assert not final_answers(harness.attempt_ended(request_id, 0, 1, Outcome.CANCELLED))


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.CANCELLED, Outcome.TIMEOUT])
def test_unsafe_request_that_may_have_run_fails_and_is_never_retried(outcome: Outcome) -> None:
    harness = Rig()
    harness.warm(1, 2)
    request_id = harness.ask(class_index=1)
    sent = of(api.Send, harness.actions)[0]
    actions = harness.attempt_ended(request_id, 0, sent.worker, outcome)
    assert final_answers(actions) == [api.Fail(request_id)]
    assert not of(api.Send, actions + harness.pass_time(3 * SECOND))


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MISS])
def test_unsafe_request_that_never_ran_is_retried_on_another_worker(outcome: Outcome) -> None:
    harness = Rig()
    harness.warm(1, 2)
    request_id = harness.ask(class_index=1)
    sent = of(api.Send, harness.actions)[0]
    retries = of(
        api.Send, harness.attempt_ended(request_id, 0, sent.worker, outcome, warmth=api.Warmth.UNREPORTED)
    )
    assert [s.worker for s in retries] == [3 - sent.worker]


def test_safe_request_is_retried_after_any_failure() -> None:
    harness = Rig()
    harness.warm(1, 2)
    request_id = harness.ask()
    sent = of(api.Send, harness.actions)[0]
    assert of(api.Send, harness.attempt_ended(request_id, 0, sent.worker, Outcome.ERROR))


def test_request_has_no_more_attempts_than_the_limit() -> None:
    harness = Rig(settings=replace(SETTINGS, limits=replace(SETTINGS.limits, max_attempts=2)))
    harness.warm(1, 2, 3)
    request_id = harness.ask()
    first = of(api.Send, harness.actions)[0].worker
    second = of(api.Send, harness.attempt_ended(request_id, 0, first, Outcome.FULL))[0].worker
    actions = harness.attempt_ended(request_id, 1, second, Outcome.FULL)
    assert not of(api.Send, actions)
    assert final_answers(actions)


def harness_with_keyed_request() -> tuple[Rig, int, int]:
    """Return a harness, a keyed request, and the worker of its first attempt.

    The attempt is in zone 0, where workers 1 and 2 are. Worker 3 is in zone 1, thus outside the group.
    """
    harness = Rig(workers=0)
    harness.list_workers(api.ListKind.FULL, worker(1, zone=0), worker(2, zone=0), worker(3, zone=1))
    harness.warm(1, 2, 3)
    while True:
        request_id = harness.ask(class_index=2)
        sent = of(api.Send, harness.actions)[0]
        if sent.worker != 3:
            return harness, request_id, sent.worker


def test_keyed_request_is_retried_only_within_its_group() -> None:
    harness, request_id, first = harness_with_keyed_request()
    retries = of(api.Send, harness.attempt_ended(request_id, 0, first, Outcome.ERROR))
    assert [s.worker for s in retries if s.request == request_id] == [3 - first]


@pytest.mark.parametrize(("delay_us", "sends"), [(0, 1), (1, 0)])
def test_keyed_request_is_retried_only_within_its_repeat_window(delay_us: int, sends: int) -> None:
    harness, request_id, first = harness_with_keyed_request()
    harness.now += KEYED.repeat_window_us + delay_us
    retries = of(api.Send, harness.attempt_ended(request_id, 0, first, Outcome.ERROR))
    assert len([s for s in retries if s.request == request_id]) == sends


def test_attempts_do_not_run_in_parallel_if_settings_forbid_it() -> None:
    harness = Rig(
        settings=replace(SETTINGS, limits=replace(SETTINGS.limits, may_run_parallel_attempts=False))
    )
    harness.warm(1, 2)
    request_id = harness.ask()
    assert not [s for s in of(api.Send, harness.pass_time(2_900_000)) if s.request == request_id]


@pytest.mark.parametrize("state", [api.WorkerState.DRAINING, api.WorkerState.GONE])
def test_draining_or_gone_worker_gets_no_request_and_no_load_order(state: api.WorkerState) -> None:
    harness = Rig(workers=1)
    harness.warm(1)
    harness.list_workers(api.ListKind.DELTA, worker(1, state))
    harness.ask()
    assert not of(api.Send, harness.actions)
    assert not orders(harness.actions + harness.pass_time(SECOND))


def test_only_a_full_list_removes_the_workers_that_it_omits() -> None:
    harness = Rig(workers=2)
    harness.warm(1, 2)
    harness.list_workers(api.ListKind.DELTA, worker(1))
    assert {of(api.Send, [a])[0].worker for a in sends_for_requests(harness, 4)} == {1, 2}
    harness.list_workers(api.ListKind.FULL, worker(1))
    assert {of(api.Send, [a])[0].worker for a in sends_for_requests(harness, 4)} == {1}
    harness.list_workers(api.ListKind.FAILED)
    assert {of(api.Send, [a])[0].worker for a in sends_for_requests(harness, 4)} == {1}


def sends_for_requests(harness: Rig, count: int) -> list[api.Send]:
    """Send `count` requests to the router; return its sends."""
    found: list[api.Send] = []
    for _ in range(count):
        harness.ask(time_left_us=SECOND // 2)
        found += of(api.Send, harness.actions)
    return found


def test_restarted_worker_gets_few_sends_while_warming_up() -> None:
    harness = Rig(workers=1, settings=replace(LOADS_ON_MISS, may_order_loads=False))
    harness.warm(1)
    for n in range(40):  # the router measures ten answers per second from this worker
        harness.now += SECOND // 10
        request_id = harness.ask()
        sent = of(api.Send, harness.actions)
        assert sent, n
        harness.attempt_ended(request_id, 0, 1)
    harness.list_workers(api.ListKind.DELTA, worker(1, started=harness.now))
    assert not sends_for_requests(harness, 5), "requests sent just before the restart count too"
    harness.now += SECOND
    sent = sends_for_requests(harness, 60)
    # All front ends together may send start capacity 0.2 x overload factor 4 x 10 per s x window of 1 s.
    assert 1 <= len(sent) <= 8
    harness.now += SECOND // 2
    assert len(sent) + len(sends_for_requests(harness, 60)) <= 8
    harness.now += 16 * SECOND
    harness.feed(api.TimerDue(1))
    assert harness.router.slow_start.has_budget(harness.router.endpoints.workers[1])


LIMITED_LOAD_ORDERS = replace(
    SETTINGS,
    guards=replace(
        SETTINGS.guards, free_load_orders=3.0, load_orders_per_request=0.5, load_order_window_us=10 * SECOND
    ),
)


@pytest.mark.parametrize("is_ideal_network", [True, False])
def test_load_orders_stay_within_the_limit_of_the_sliding_window(is_ideal_network: bool) -> None:
    harness = Rig(workers=8, settings=replace(LIMITED_LOAD_ORDERS, is_ideal_network=is_ideal_network))
    order_times_us: list[int] = []
    request_times_us: list[int] = []
    attempt_counts: dict[int, int] = {}
    for n in range(200):
        harness.now += 37_000
        request_times_us.append(harness.now)
        harness.ask(function=n)
        pending = list(harness.actions)
        while pending:
            action = pending.pop()
            if isinstance(action, api.Send):  # like an answer, a miss proves that the request is genuine
                pending += harness.attempt_ended(
                    action.request, attempt_counts.get(action.request, 0), action.worker, Outcome.MISS
                )
                attempt_counts[action.request] = attempt_counts.get(action.request, 0) + 1
            elif isinstance(action, api.LoadOrder) and action.copies:
                order_times_us.append(harness.now)
                window_start_us = harness.now - 10 * SECOND
                assert len([t for t in order_times_us if t >= window_start_us]) <= 3 + 0.5 * len(
                    [t for t in request_times_us if t > window_start_us]
                )
                pending += harness.load_ended(action.worker, function=action.function, ordered_copies=1)
    assert len(order_times_us) > 30


def test_load_orders_count_for_a_window_from_their_latest_possible_arrival() -> None:
    """An order counts for one window from its arrival, which may be as late as its answer."""
    no_orders_per_request = replace(
        LIMITED_LOAD_ORDERS, guards=replace(LIMITED_LOAD_ORDERS.guards, load_orders_per_request=0.0)
    )
    harness = Rig(workers=8, settings=no_orders_per_request)
    harness.now += 10 * SECOND + 20_000  # orders of a previous incarnation no longer count
    sent = [orders(harness.actions_for_request(function))[0] for function in range(3)]
    harness.now += 5 * SECOND
    for order in sent:
        harness.load_ended(order.worker, function=order.function, ordered_copies=1)
    harness.now += 5 * SECOND + 20_000
    assert not orders(harness.actions_for_request(9)), "one window after the orders were sent"
    harness.now += 5 * SECOND - 20_000
    assert not orders(harness.actions_for_request(10)), "one window after their latest possible arrival"
    harness.now += 20_000
    assert orders(harness.actions_for_request(11))


def test_request_is_sent_without_a_copy_if_no_load_order_is_left_and_workers_load_on_miss() -> None:
    no_orders = replace(LIMITED_LOAD_ORDERS, loads_on_miss=True)
    no_orders = replace(
        no_orders, guards=replace(no_orders.guards, free_load_orders=0.0, load_orders_per_request=0.0)
    )
    harness = Rig(settings=no_orders)
    harness.ask()
    assert len(of(api.Send, harness.actions)) == 1
    assert not orders(harness.actions)


def test_queued_request_tries_the_first_workers_in_hash_order_if_no_load_order_is_left() -> None:
    """60 front ends used to probe three workers again and again: 30,000 probes in half a minute."""
    no_orders = replace(
        LIMITED_LOAD_ORDERS,
        guards=replace(LIMITED_LOAD_ORDERS.guards, free_load_orders=0.0, load_orders_per_request=0.0),
    )
    harness = Rig(settings=no_orders)
    request_id = harness.ask()
    tried: list[int] = []
    while harness.now < 102 * SECOND:
        if sent := of(api.Send, harness.actions):
            tried.append(sent[0].worker)
            harness.attempt_ended(
                request_id, len(tried) - 1, tried[-1], Outcome.MISS, warmth=api.Warmth.UNREPORTED
            )
        else:
            harness.pass_time(20_000)
    assert tried == [*workers_in_hash_order()[:2], workers_in_hash_order()[0]], (
        "two attempts are reserved for workers with a copy"
    )
    assert not of(api.LoadOrder, harness.all)
    assert of(api.Send, harness.load_ended(4))


def test_request_tries_the_first_workers_in_hash_order_before_it_orders_a_copy() -> None:
    """Among many front ends, another one has probably ordered a copy there."""
    harness = Rig(settings=replace(SETTINGS, front_ends=200))
    request_id = harness.ask(class_index=1)
    for attempt, worker_id in enumerate(workers_in_hash_order()[:2]):
        assert [s.worker for s in of(api.Send, harness.actions)] == [worker_id]
        assert not of(api.LoadOrder, harness.all)
        harness.attempt_ended(request_id, attempt, worker_id, Outcome.MISS, warmth=api.Warmth.UNREPORTED)
    assert orders(harness.actions) == [
        api.LoadOrder(workers_in_hash_order()[0], 7, 1, SETTINGS.guards.drain_grace_us)
    ]
    harness.ask()
    assert not of(api.Send, harness.actions), "the request waits for the load in progress"
    loading = Rig(settings=replace(SETTINGS, front_ends=200, loads_on_miss=True))
    loading.ask()
    assert orders(loading.actions) and not of(api.Send, loading.actions), (
        "a request would itself start a load"
    )


def test_extreme_settings_and_requests_get_a_valid_decision() -> None:
    harness = Rig(workers=0)
    request_id = harness.ask(concurrency=0)
    assert not of(api.Send, harness.actions)
    assert of(api.Reject, harness.pass_time(3 * SECOND)) == [api.Reject(request_id, SECOND // 4)]
    harness.list_workers(api.ListKind.FULL, worker(1, api.WorkerState.DRAINING))
    harness.ask()
    assert not of((api.Send, api.LoadOrder), harness.actions)
    zero_settings = replace(
        SETTINGS,
        guards=api.Guards(0, 0, 0, 0.0, 0.0, 0, 0, 0.0, 0.0, 0),
        keep_alive_us=0,
        load_order_timeout_us=0,
        tick_us=0,
        classes=SETTINGS.classes[:1],
    )
    zero = Rig(settings=zero_settings)
    zero.ask(class_index=200)
    assert orders(zero.actions)


def test_started_stream_has_no_deadline_and_no_other_answer() -> None:
    harness = Rig(settings=replace(SETTINGS, classes=(replace(SETTINGS.classes[0], is_stream=True),)))
    harness.warm(1)
    request_id = harness.ask()
    worker_id = of(api.Send, harness.actions)[0].worker
    harness.feed(api.AnswerStarted(request_id, 0, worker_id, 50_000))
    actions = harness.pass_time(5 * SECOND)
    assert not final_answers(actions)
    assert not [s for s in of(api.Send, actions) if s.request == request_id]
    assert not of(
        (api.Send, api.Reject, api.Fail, api.Cancel),
        harness.attempt_ended(request_id, 0, worker_id, Outcome.RESET),
    )


def test_endpoint_watch_is_started_and_repeated_after_a_failure() -> None:
    watch_settings = replace(
        SETTINGS, must_watch_endpoints=True, guards=replace(SETTINGS.guards, watch_within_us=8 * SECOND)
    )
    harness = Rig(settings=watch_settings)
    assert of(api.WatchEndpoints, harness.pass_time(SECOND)) == [api.WatchEndpoints(True)]
    harness.list_workers(api.ListKind.FAILED)
    assert not of(api.WatchEndpoints, harness.pass_time(SECOND // 2))
    assert of(api.WatchEndpoints, harness.pass_time(SECOND)) == [api.WatchEndpoints(True)]
    harness.ask()
    assert orders(harness.actions), "a failed list must not invalidate the previous one"


@pytest.mark.parametrize("front_ends", [0, 1, 70, 1_000_000])
def test_warm_workers_serve_requests_with_any_number_of_front_ends(front_ends: int) -> None:
    harness = Rig(6, replace(SETTINGS, front_ends=front_ends, index=max(0, front_ends - 1)))
    harness.warm(1, 2)
    # Worker 6 is warming up, so the warm workers 1 and 2 serve.
    harness.list_workers(api.ListKind.DELTA, worker(6, started=harness.now))
    for _ in range(20):
        harness.now += SECOND // 5
        request_id = harness.ask()
        sent = of(api.Send, harness.actions)
        assert len(sent) == 1
        assert sent[0].worker in (1, 2)
        harness.attempt_ended(request_id, 0, sent[0].worker)


def test_requests_go_to_the_remaining_workers_if_most_drain_at_once() -> None:
    """The list has 600 workers, of which all but three drain in one update."""
    harness = Rig(600, replace(SETTINGS, front_ends=70))
    request_ids = [harness.ask(function=100 + n) for n in range(40)]
    draining = [worker(i, api.WorkerState.DRAINING) for i in range(1, 598)]
    actions = harness.list_workers(api.ListKind.DELTA, *draining)
    actions += harness.pass_time(4 * SECOND)
    assert {o.worker for o in orders(actions)} | {s.worker for s in of(api.Send, actions)} <= {598, 599, 600}
    assert {a.request for a in actions if isinstance(a, api.Reject | api.Fail)} == set(request_ids)


def test_empty_endpoint_list_queues_requests_until_their_deadlines() -> None:
    harness = Rig(3)
    harness.warm(1)
    harness.list_workers(api.ListKind.FULL)
    request_id = harness.ask()
    assert not of(api.Send, harness.actions)
    assert not orders(harness.actions)
    assert [a.request for a in of(api.Reject, harness.pass_time(4 * SECOND))] == [request_id]


def test_worker_that_restarts_as_draining_gets_none_of_its_requests_back() -> None:
    """Rule 3: its copies are forgotten and its safe requests are placed again, but not on this worker."""
    harness = Rig(workers=1)
    for _ in range(9):
        harness.ask()
    harness.feed(api.LoadOrderEnded(1, 7, api.Outcome.OK, 1000, 1))
    harness.list_workers(api.ListKind.DELTA, worker(1, api.WorkerState.DRAINING, harness.now))
    assert not [a for a in harness.actions if isinstance(a, api.Send | api.LoadOrder) and a.worker == 1]


def test_cancelled_requests_do_not_raise_the_load_order_limit() -> None:
    """Clients may send and cancel hundreds of requests, and the rule need not count those."""
    harness = Rig(workers=8, settings=LIMITED_LOAD_ORDERS)
    for function in range(100, 200):
        harness.feed(api.RequestCancelled(harness.ask(function=function)))
    first_orders = len(orders(harness.all))
    for function in range(200, 220):
        harness.ask(function=function)
    allowed = (
        LIMITED_LOAD_ORDERS.guards.free_load_orders + LIMITED_LOAD_ORDERS.guards.load_orders_per_request * 20
    )
    assert first_orders <= LIMITED_LOAD_ORDERS.guards.free_load_orders + 1
    assert len(orders(harness.all)) <= allowed
