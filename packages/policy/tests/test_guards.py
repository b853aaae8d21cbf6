"""The five guards of the router, each at its limit."""

from __future__ import annotations

from dataclasses import replace

import pytest

from walnutpost import interface as api
from walnutpost.testsupport.policy.harness import KEYED, SECOND, SETTINGS, Rig, of, orders, worker
from walnutpost.testsupport.policy.order import first_in_order

Outcome = api.Outcome
MISS_LOADS = replace(SETTINGS, loads_on_miss=True)


def finals(actions: list[api.Action]) -> list[api.Action]:
    return of((api.Reject, api.Fail), actions)


def test_queued_request_is_answered_once_just_before_its_deadline() -> None:
    rig = Rig()
    rid = rig.ask(time_left_us=SECOND)  # far less than the class's deadline
    assert not finals(rig.pass_time(SECOND - 8_000, step=4_000))
    assert finals(rig.pass_time(8_000, step=4_000)) == [api.Reject(rid, SECOND // 4)]
    assert not of((api.Send, api.Reject, api.Fail), rig.pass_time(5 * SECOND))


def test_request_without_time_left_is_rejected_at_once() -> None:
    rig = Rig()
    rid = rig.ask(time_left_us=0)
    assert finals(rig.actions) == [api.Reject(rid, SECOND // 4)]


def test_no_retry_advice_where_settings_have_none() -> None:
    rig = Rig(settings=replace(SETTINGS, limits=replace(SETTINGS.limits, may_send_retry_after=False)))
    rid = rig.ask(time_left_us=0)
    assert finals(rig.actions) == [api.Reject(rid, 0)]


def test_nothing_is_sent_after_the_client_left_and_late_outcomes_are_ignored() -> None:
    rig = Rig()
    queued = rig.ask()
    rig.feed(api.RequestCancelled(queued))
    assert not of(api.Send, rig.load_ended(1))
    rig.feed(api.RequestCancelled(queued))
    rig.feed(api.RequestCancelled(999))
    assert not finals(rig.attempt_ended(999, 0, 1))
    assert not finals(rig.attempt_ended(queued, 3, 1))


def test_answered_request_cancels_its_other_attempts() -> None:
    rig = Rig()
    rig.warm(1)
    rid = rig.ask()
    rig.feed(api.RequestCancelled(rid))
    assert of(api.Cancel, rig.actions) == [api.Cancel(rid, 0)]
    assert not finals(rig.attempt_ended(rid, 0, 1, Outcome.CANCELLED))


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.CANCELLED, Outcome.TIMEOUT])
def test_unsafe_request_that_may_have_run_is_failed_and_never_retried(outcome: Outcome) -> None:
    rig = Rig()
    rig.warm(1, 2)
    rid = rig.ask(class_index=1)
    sent = of(api.Send, rig.actions)[0]
    actions = rig.attempt_ended(rid, 0, sent.worker, outcome)
    assert finals(actions) == [api.Fail(rid)]
    assert not of(api.Send, actions + rig.pass_time(3 * SECOND))


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MISS])
def test_unsafe_request_that_never_ran_is_retried_elsewhere(outcome: Outcome) -> None:
    rig = Rig()
    rig.warm(1, 2)
    rid = rig.ask(class_index=1)
    sent = of(api.Send, rig.actions)[0]
    again = of(api.Send, rig.attempt_ended(rid, 0, sent.worker, outcome, warmth=api.Warmth.UNREPORTED))
    assert [s.worker for s in again] == [3 - sent.worker]


def test_safe_request_is_retried_after_any_failure() -> None:
    rig = Rig()
    rig.warm(1, 2)
    rid = rig.ask()
    sent = of(api.Send, rig.actions)[0]
    assert of(api.Send, rig.attempt_ended(rid, 0, sent.worker, Outcome.ERROR))


def test_attempts_stay_within_the_limit() -> None:
    rig = Rig(settings=replace(SETTINGS, limits=replace(SETTINGS.limits, max_attempts=2)))
    rig.warm(1, 2, 3)
    rid = rig.ask()
    first = of(api.Send, rig.actions)[0].worker
    second = of(api.Send, rig.attempt_ended(rid, 0, first, Outcome.FULL))[0].worker
    actions = rig.attempt_ended(rid, 1, second, Outcome.FULL)
    assert not of(api.Send, actions)
    assert finals(actions)


def keyed_rig() -> tuple[Rig, int, int]:
    rig = Rig(workers=0)
    rig.list_workers(api.ListKind.FULL, worker(1, zone=0), worker(2, zone=0), worker(3, zone=1))
    rig.warm(1, 2, 3)
    while True:
        rid = rig.ask(class_index=2)
        sent = of(api.Send, rig.actions)[0]
        if sent.worker != 3:
            return rig, rid, sent.worker


def test_keyed_request_is_repeated_only_in_its_group() -> None:
    rig, rid, first = keyed_rig()
    again = of(api.Send, rig.attempt_ended(rid, 0, first, Outcome.ERROR))
    assert [s.worker for s in again if s.request == rid] == [3 - first]


@pytest.mark.parametrize(("late", "sends"), [(0, 1), (1, 0)])
def test_keyed_request_is_not_repeated_after_its_window(late: int, sends: int) -> None:
    rig, rid, first = keyed_rig()
    rig.now += KEYED.repeat_window_us + late
    again = of(api.Send, rig.attempt_ended(rid, 0, first, Outcome.ERROR))
    assert len([s for s in again if s.request == rid]) == sends


def test_no_two_attempts_at_once_where_settings_forbid_it() -> None:
    rig = Rig(settings=replace(SETTINGS, limits=replace(SETTINGS.limits, may_run_parallel_attempts=False)))
    rig.warm(1, 2)
    rid = rig.ask()
    assert not [s for s in of(api.Send, rig.pass_time(2_900_000)) if s.request == rid]


@pytest.mark.parametrize("state", [api.WorkerState.DRAINING, api.WorkerState.GONE])
def test_draining_worker_gets_neither_call_nor_order(state: api.WorkerState) -> None:
    rig = Rig(workers=1)
    rig.warm(1)
    rig.list_workers(api.ListKind.DELTA, worker(1, state))
    rig.ask()
    assert not of(api.Send, rig.actions)
    assert not orders(rig.actions + rig.pass_time(SECOND))


def test_worker_missing_from_a_full_list_is_gone_and_one_missing_from_a_delta_stays() -> None:
    rig = Rig(workers=2)
    rig.warm(1, 2)
    rig.list_workers(api.ListKind.DELTA, worker(1))
    assert {of(api.Send, [a])[0].worker for a in _sends(rig, 4)} == {1, 2}
    rig.list_workers(api.ListKind.FULL, worker(1))
    assert {of(api.Send, [a])[0].worker for a in _sends(rig, 4)} == {1}
    rig.list_workers(api.ListKind.FAILED)
    assert {of(api.Send, [a])[0].worker for a in _sends(rig, 4)} == {1}


def _sends(rig: Rig, count: int) -> list[api.Send]:
    found: list[api.Send] = []
    for _ in range(count):
        rig.ask(time_left_us=SECOND // 2)
        found += of(api.Send, rig.actions)
    return found


def test_restart_voids_belief_and_limits_sends_while_warming_up() -> None:
    rig = Rig(workers=1, settings=replace(MISS_LOADS, may_order_loads=False))
    rig.warm(1)
    for n in range(40):  # ten answers a second are what this worker is seen to bear
        rig.now += SECOND // 10
        rid = rig.ask()
        sent = of(api.Send, rig.actions)
        assert sent, n
        rig.attempt_ended(rid, 0, 1)
    rig.list_workers(api.ListKind.DELTA, worker(1, started=rig.now))
    assert not _sends(rig, 5), "what was sent just before the restart counts too"
    rig.now += SECOND
    sent = _sends(rig, 60)
    # start share 0.2 x multiple 4 x 10 a second x 1 s window bounds the sum of all front ends' parts
    assert 1 <= len(sent) <= 8
    rig.now += SECOND // 2
    assert len(sent) + len(_sends(rig, 60)) <= 8
    rig.now += 16 * SECOND
    rig.feed(api.TimerDue(1))
    assert rig.router.slow_start.has_budget(rig.router.endpoints.workers[1])


RATIONED = replace(
    SETTINGS,
    guards=replace(
        SETTINGS.guards, free_load_orders=3.0, load_orders_per_request=0.5, load_order_window_us=10 * SECOND
    ),
)


@pytest.mark.parametrize("ideal", [True, False])
def test_load_orders_stay_within_the_limit_of_the_sliding_window(ideal: bool) -> None:
    rig = Rig(workers=8, settings=replace(RATIONED, is_ideal_network=ideal))
    given: list[int] = []
    request_times: list[int] = []
    tries: dict[int, int] = {}
    for n in range(200):
        rig.now += 37_000
        request_times.append(rig.now)
        rig.ask(function=n)
        fresh = list(rig.actions)
        while fresh:
            action = fresh.pop()
            if isinstance(action, api.Send):  # a miss proves the request genuine, as an answer does
                fresh += rig.attempt_ended(
                    action.request, tries.get(action.request, 0), action.worker, Outcome.MISS
                )
                tries[action.request] = tries.get(action.request, 0) + 1
            elif isinstance(action, api.LoadOrder) and action.copies:
                given.append(rig.now)
                since = rig.now - 10 * SECOND
                assert len([t for t in given if t >= since]) <= 3 + 0.5 * len(
                    [t for t in request_times if t > since]
                )
                fresh += rig.load_ended(action.worker, function=action.function, wanted=1)
    assert len(given) > 30


def test_orders_that_may_have_arrived_late_still_count_when_the_next_leaves() -> None:
    """An order counts as it arrives: three were answered late, and count for a window from then."""
    spare = replace(RATIONED, guards=replace(RATIONED.guards, load_orders_per_request=0.0))
    rig = Rig(workers=8, settings=spare)
    rig.now += 10 * SECOND + 20_000  # an earlier life's orders count no more
    sent = [orders(rig.feed_request(function))[0] for function in range(3)]
    rig.now += 5 * SECOND
    for order in sent:
        rig.load_ended(order.worker, function=order.function, wanted=1)
    rig.now += 5 * SECOND + 20_000
    assert not orders(rig.feed_request(9)), "one window after they were decided"
    rig.now += 5 * SECOND - 20_000
    assert not orders(rig.feed_request(10)), "one window after they arrived at the latest"
    rig.now += 20_000
    assert orders(rig.feed_request(11))


def test_with_the_load_order_limit_used_up_a_load_on_miss_site_sends_along_the_hash_order() -> None:
    spent = replace(RATIONED, loads_on_miss=True)
    spent = replace(spent, guards=replace(spent.guards, free_load_orders=0.0, load_orders_per_request=0.0))
    rig = Rig(settings=spent)
    rig.ask()
    assert len(of(api.Send, rig.actions)) == 1
    assert not orders(rig.actions)


def test_with_the_load_order_limit_used_up_queued_calls_go_where_copies_should_be_without_probes() -> None:
    """Sixty front ends asked three workers anew all the time: 30,000 questions in half a minute."""
    spent = replace(
        RATIONED, guards=replace(RATIONED.guards, free_load_orders=0.0, load_orders_per_request=0.0)
    )
    rig = Rig(settings=spent)
    rid = rig.ask()
    tried: list[int] = []
    while rig.now < 102 * SECOND:
        if sent := of(api.Send, rig.actions):
            tried.append(sent[0].worker)
            rig.attempt_ended(rid, len(tried) - 1, tried[-1], Outcome.MISS, warmth=api.Warmth.UNREPORTED)
        else:
            rig.pass_time(20_000)
    assert tried == [*first_in_order()[:2], first_in_order()[0]], "two attempts are reserved for a copy"
    assert not of(api.LoadOrder, rig.all)
    assert of(api.Send, rig.load_ended(4))


def test_among_many_front_ends_a_call_goes_where_others_copies_should_be_before_it_orders_one() -> None:
    rig = Rig(settings=replace(SETTINGS, front_ends=200))
    rid = rig.ask(class_index=1)
    for number, wid in enumerate(first_in_order()[:2]):
        assert [s.worker for s in of(api.Send, rig.actions)] == [wid]
        assert not of(api.LoadOrder, rig.all)
        rig.attempt_ended(rid, number, wid, Outcome.MISS, warmth=api.Warmth.UNREPORTED)
    assert orders(rig.actions) == [api.LoadOrder(first_in_order()[0], 7, 1, SETTINGS.guards.drain_grace_us)]
    rig.ask()
    assert not of(api.Send, rig.actions), "the request waits for a load that is under way"
    loading = Rig(settings=replace(SETTINGS, front_ends=200, loads_on_miss=True))
    loading.ask()
    assert orders(loading.actions) and not of(api.Send, loading.actions), "a request there would start a load"


def test_absurd_settings_and_requests_get_a_sane_decision() -> None:
    rig = Rig(workers=0)
    rid = rig.ask(concurrency=0)
    assert not of(api.Send, rig.actions)
    assert of(api.Reject, rig.pass_time(3 * SECOND)) == [api.Reject(rid, SECOND // 4)]
    rig.list_workers(api.ListKind.FULL, worker(1, api.WorkerState.DRAINING))
    rig.ask()
    assert not of((api.Send, api.LoadOrder), rig.actions)
    bare = replace(
        SETTINGS,
        guards=api.Guards(0, 0, 0, 0.0, 0.0, 0, 0, 0.0, 0.0, 0),
        keep_alive_us=0,
        load_order_timeout_us=0,
        tick_us=0,
        classes=SETTINGS.classes[:1],
    )
    odd = Rig(settings=bare)
    odd.ask(class_index=200)
    assert orders(odd.actions)


def test_started_stream_has_no_deadline_and_gets_no_other_answer() -> None:
    rig = Rig(settings=replace(SETTINGS, classes=(replace(SETTINGS.classes[0], is_stream=True),)))
    rig.warm(1)
    rid = rig.ask()
    where = of(api.Send, rig.actions)[0].worker
    rig.feed(api.AnswerStarted(rid, 0, where, 50_000))
    done = rig.pass_time(5 * SECOND)
    assert not finals(done)
    assert not [s for s in of(api.Send, done) if s.request == rid]
    assert not of(
        (api.Send, api.Reject, api.Fail, api.Cancel), rig.attempt_ended(rid, 0, where, Outcome.RESET)
    )


def test_list_that_must_be_asked_for_is_watched_and_asked_for_again_after_a_failure() -> None:
    asked = replace(
        SETTINGS, must_watch_endpoints=True, guards=replace(SETTINGS.guards, watch_within_us=8 * SECOND)
    )
    rig = Rig(settings=asked)
    assert of(api.WatchEndpoints, rig.pass_time(SECOND)) == [api.WatchEndpoints(True)]
    rig.list_workers(api.ListKind.FAILED)
    assert not of(api.WatchEndpoints, rig.pass_time(SECOND // 2))
    assert of(api.WatchEndpoints, rig.pass_time(SECOND)) == [api.WatchEndpoints(True)]
    rig.ask()
    assert orders(rig.actions), "a failed list must not void the old one"


@pytest.mark.parametrize("front_ends", [0, 1, 70, 1_000_000])
def test_any_configured_number_of_front_ends_leaves_warm_workers_served(front_ends: int) -> None:
    rig = Rig(6, replace(SETTINGS, front_ends=front_ends, index=max(0, front_ends - 1)))
    rig.warm(1, 2)
    rig.list_workers(
        api.ListKind.DELTA, worker(6, started=rig.now)
    )  # a cold one is spared, the warm ones serve
    for _ in range(20):
        rig.now += SECOND // 5
        rid = rig.ask()
        sent = of(api.Send, rig.actions)
        assert len(sent) == 1
        assert sent[0].worker in (1, 2)
        rig.attempt_ended(rid, 0, sent[0].worker)


def test_list_of_many_workers_that_drains_most_at_once() -> None:
    """Far more workers than the settings' figures foretold, then all but three leave in one update."""
    rig = Rig(600, replace(SETTINGS, front_ends=70))
    rids = [rig.ask(function=100 + n) for n in range(40)]
    leaving = [worker(i, api.WorkerState.DRAINING) for i in range(1, 598)]
    done = rig.list_workers(api.ListKind.DELTA, *leaving)
    done += rig.pass_time(4 * SECOND)
    assert {o.worker for o in orders(done)} | {s.worker for s in of(api.Send, done)} <= {598, 599, 600}
    assert {a.request for a in done if isinstance(a, api.Reject | api.Fail)} == set(rids)


def test_list_that_becomes_empty_queues_requests_until_their_deadlines() -> None:
    rig = Rig(3)
    rig.warm(1)
    rig.list_workers(api.ListKind.FULL)
    rid = rig.ask()
    assert not of(api.Send, rig.actions)
    assert not orders(rig.actions)
    assert [a.request for a in of(api.Reject, rig.pass_time(4 * SECOND))] == [rid]


def test_a_worker_listed_as_draining_with_a_new_start_gets_nothing_that_is_rescued_from_it() -> None:
    """Guards rule 3: its copies are forgotten, its safe requests move, and none of that may name it again."""
    rig = Rig(workers=1)
    for _ in range(9):
        rig.ask()
    rig.feed(api.LoadOrderEnded(1, 7, api.Outcome.OK, 1000, 1))
    rig.list_workers(api.ListKind.DELTA, worker(1, api.WorkerState.DRAINING, rig.now))
    assert not [a for a in rig.actions if isinstance(a, api.Send | api.LoadOrder) and a.worker == 1]


def test_cancelled_requests_do_not_raise_the_load_order_limit() -> None:
    """Clients may ask and take back by the hundreds, and the rule need not count those."""
    rig = Rig(workers=8, settings=RATIONED)
    for function in range(100, 200):
        rig.feed(api.RequestCancelled(rig.ask(function=function)))
    given = len(orders(rig.all))
    for function in range(200, 220):
        rig.ask(function=function)
    allowed = RATIONED.guards.free_load_orders + RATIONED.guards.load_orders_per_request * 20
    assert given <= RATIONED.guards.free_load_orders + 1
    assert len(orders(rig.all)) <= allowed
