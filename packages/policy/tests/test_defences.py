"""One small test for each failure found; each was seen to fail without its defence."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from walnutpost import interface as api
from walnutpost.policy.timers import TimerKind
from walnutpost.testsupport.policy.harness import (
    KEEP_ALIVE_US,
    KEYED,
    SECOND,
    SETTINGS,
    Rig,
    of,
    orders,
    worker,
)
from walnutpost.testsupport.policy.order import first_in_order

Outcome = api.Outcome


def asks(actions: list[api.Action]) -> list[api.LoadOrder]:
    return [a for a in of(api.LoadOrder, actions) if a.copies == 0]


def test_replaced_timers_do_not_multiply() -> None:
    """Regression: each timer that fired left another one armed, and their number grew without limit."""
    spent = replace(SETTINGS.guards, load_order_window_us=SECOND)
    rig = Rig(settings=replace(SETTINGS, guards=spent))
    for _ in range(40):
        rig.now += 30_000
        rig.ask()
        for hold in asks(rig.actions):
            rig.feed(api.LoadOrderEnded(hold.worker, 7, Outcome.FULL, 1_000, 0))
    assert len([w for _, w, _ in rig.router.timers.queue if w is TimerKind.RELEASE_QUEUED]) <= 3


def test_silent_worker_is_probed_then_set_aside_and_safe_work_moves() -> None:
    rig = Rig()
    rig.warm(1, 2)
    safe, unsafe = rig.ask(), rig.ask(class_index=1)
    at = {s.request: s.worker for s in of(api.Send, rig.all)}
    rig.attempt_ended(unsafe, 0, at[unsafe])
    done = rig.pass_time(900_000, step=4_000)
    assert at[safe] in {a.worker for a in asks(done)}
    moved = [s for s in of(api.Send, done) if s.request == safe]
    assert [s.worker for s in moved] == [at[unsafe]]
    assert len(of(api.Log, done)) == 1
    rig.ask()
    assert {s.worker for s in of(api.Send, rig.actions)} <= {at[unsafe]}


def test_unsafe_work_on_a_silent_worker_is_not_retried() -> None:
    rig = Rig()
    rig.warm(1, 2)
    rid = rig.ask(class_index=1)
    done = rig.pass_time(3 * SECOND, step=4_000)
    assert not [s for s in of(api.Send, done) if s.request == rid]
    assert of(api.Fail, done) == [api.Fail(rid)]


def test_load_in_progress_is_not_silence() -> None:
    """A hold order is answered when the load ends; only a question must be answered at once."""
    rig = Rig(workers=2)
    rig.warm(1, 2)
    rig.ask()
    sent = of(api.Send, rig.actions)[0]
    rig.ask(function=8)
    for _ in range(300):
        rig.now += 4_000
        for ask in asks(rig.feed(api.TimerDue(1))):
            rig.feed(api.LoadOrderEnded(ask.worker, ask.function, Outcome.OK, 1_000, 1))
    rig.attempt_ended(1, 0, sent.worker)
    rig.ask()
    assert of(api.Send, rig.actions)


def test_an_expensive_probe_waits_until_fewer_calls_are_in_flight() -> None:
    """Eighty front ends put 5,200 questions for 9,400 served calls, and in 92 of 100 nothing was wrong."""
    waits = []
    for price in (0.01, 0.01 * math.e):
        rig = Rig(settings=replace(SETTINGS, prices=replace(SETTINGS.prices, probe=price)))
        rig.warm(1)
        rig.ask()
        began = rig.now
        while not asks(rig.actions):
            rig.pass_time(2_000, step=2_000)
        waits.append(rig.now - began)
    assert abs(waits[1] / waits[0] - 1.5) < 0.02, "two usual latencies, then three"


def test_no_more_than_half_of_the_workers_are_set_aside() -> None:
    rig = Rig(workers=4)
    rig.warm(1, 2, 3, 4)
    for _ in range(8):
        rig.ask(class_index=1)
    assert {a.worker for a in asks(rig.pass_time(SECOND, step=4_000))} == {1, 2, 3, 4}
    known = rig.router.endpoints.workers.values()
    assert len([w for w in known if w.silent_since_us is not None]) == 2


def test_worker_back_from_silence_serves_again() -> None:
    rig = Rig(workers=2)
    rig.warm(1, 2)
    rid = rig.ask()
    lost = of(api.Send, rig.actions)[0].worker
    rig.pass_time(SECOND, step=4_000)
    rig.attempt_ended(rid, 1, 3 - lost)
    rig.feed(api.LoadOrderEnded(lost, 7, Outcome.OK, 1_000, 1))
    for _ in range(10):  # answers enough that four at once are no shortage
        rid = rig.ask()
        rig.attempt_ended(rid, 0, of(api.Send, rig.actions)[0].worker)
    chosen = {s.worker for _ in range(4) for s in of(api.Send, _ask(rig))}
    assert chosen == {1, 2}


def _ask(rig: Rig, class_index: int = 0) -> list[api.Action]:
    rig.ask(class_index=class_index)
    return rig.actions


def test_failed_order_is_not_repeated_there_and_after_two_not_at_once() -> None:
    rig = Rig()
    rig.ask()
    first = orders(rig.actions)[0].worker
    second = orders(rig.load_ended(first, copies=0, outcome=Outcome.ERROR))
    assert [o.worker for o in second] == [first_in_order()[1]]
    assert not orders(rig.load_ended(second[0].worker, copies=0, outcome=Outcome.ERROR))
    third = orders(rig.pass_time(2 * SECOND, step=4_000))
    assert third
    assert third[0].worker == first_in_order()[2]


def test_full_answer_to_a_load_ends_the_belief_in_the_copy() -> None:
    """On scan days a copy only sent to was believed in, and drew full answers by the hundred."""
    rig = Rig(settings=replace(SETTINGS, loads_on_miss=True, may_order_loads=False))
    rid = rig.ask(class_index=1)
    where = of(api.Send, rig.actions)[0].worker
    again = of(api.Send, rig.attempt_ended(rid, 0, where, Outcome.FULL))
    assert again
    assert again[0].worker != where
    rig.attempt_ended(rid, 1, again[0].worker, Outcome.FULL)
    rig.ask()
    assert not of(api.Send, rig.actions)


def test_crowded_worker_is_passed_over_and_a_copy_is_ordered_elsewhere() -> None:
    """Functions with many slots piled up on one worker's cores without ever being over target."""
    home = first_in_order(7)[0]
    other = next(f for f in range(8, 99) if first_in_order(f)[0] == home)
    rig = Rig(workers=4)
    rig.warm(home, function=7)
    rig.warm(home, function=other)
    for _ in range(6):
        rig.ask(function=7, concurrency=8)
    rig.ask(function=other, concurrency=8)
    assert of(api.Send, rig.actions)[0].worker == home
    assert [(o.function, o.worker) for o in orders(rig.actions)] == [(other, first_in_order(other)[1])]


def test_miss_voids_the_belief_and_loads_again() -> None:
    rig = Rig()
    rig.warm(1)
    rid = rig.ask(class_index=1)
    actions = rig.attempt_ended(rid, 0, 1, Outcome.MISS, warmth=api.Warmth.UNREPORTED)
    assert not of(api.Send, actions)
    assert orders(actions)
    assert [s.request for s in of(api.Send, rig.load_ended(orders(actions)[0].worker))] == [rid]


def test_shedding_begins_with_the_backlog_and_takes_the_lowest_priority_first() -> None:
    """On overloaded days everything was late; then a loop on late answers swung with a ten second period."""
    rig = Rig(workers=2)
    rig.warm(1, 2)
    open_requests: list[tuple[int, int]] = []
    refused: list[int] = []
    for n in range(600):
        rig.now += 5_000
        rid = rig.ask(class_index=n % 2)
        if of(api.Reject, rig.actions):
            refused.append(n % 2)
        open_requests += [(s.request, s.worker) for s in of(api.Send, rig.actions)]
        if n % 4 and open_requests:
            done, where = open_requests.pop(0)
            rig.attempt_ended(done, 0, where, latency=SECOND)
        assert rid
    assert len(refused) > 60
    assert refused.count(0) > 4 * refused.count(1)


def test_in_shortage_a_tenant_beyond_its_share_is_shed_first() -> None:
    """One tenant's burst took the service of all the others."""
    tenants = (api.Tenant(0.5, 0.0), api.Tenant(0.5, 0.0))
    rig = Rig(workers=2, settings=replace(SETTINGS, tenants=tenants))
    rig.warm(1, 2)
    queue: list[tuple[int, int]] = []
    refused, asked = [0, 0], [0, 0]
    for n in range(1200):
        rig.now += 5_000
        tenant = int(n % 5 == 0)
        rig._next += 1
        event = api.RequestArrived(rig._next, 0, tenant, 7, 3 * SECOND, None, 300.0, 2, 0, False)
        actions = rig.feed(event)
        asked[tenant] += 1
        refused[tenant] += len(of(api.Reject, actions))
        queue += [(s.request, s.worker) for s in of(api.Send, actions)]
        if n % 2 and queue:
            done, where = queue.pop(0)
            rig.attempt_ended(done, 0, where, latency=SECOND)
    assert refused[0] / asked[0] > 3 * refused[1] / asked[1]


def test_in_shortage_requests_without_a_free_slot_are_shed_first() -> None:
    """Overloaded days spent a third of their answers' number on loads that calls past the slots had begun."""
    rig = Rig(workers=4)
    rig.warm(1, 2, function=7)
    rig.warm(3, 4, function=8)
    queue: list[tuple[int, int]] = []
    refused, asked = [0, 0], [0, 0]
    for n in range(1200):
        rig.now += 5_000
        tight = n % 2  # one function has a slot a copy, the other plenty
        rig.ask(function=7 + tight, concurrency=1 if tight else 64)
        asked[tight] += 1
        refused[tight] += len(of(api.Reject, rig.actions))
        queue += [(s.request, s.worker) for s in of(api.Send, rig.actions)]
        if n % 4 and queue:
            done, where = queue.pop(0)
            rig.attempt_ended(done, 0, where, latency=SECOND)
    assert refused[1] > 1.5 * refused[0]


def test_nothing_is_shed_in_the_first_seconds_of_a_front_end() -> None:
    """After a restart the rate of answers looked small, and ordinary traffic was refused."""
    rig = Rig(workers=4)
    rig.warm(1, 2, 3, 4)
    queue: list[tuple[int, int]] = []
    for _ in range(100):
        rig.now += 10_000
        rig.ask(time_left_us=3 * SECOND)
        assert not of(api.Reject, rig.actions)
        queue += [(s.request, s.worker) for s in of(api.Send, rig.actions)]
        if len(queue) > 20:
            done, where = queue.pop(0)
            rig.attempt_ended(done, 0, where, latency=200_000)


def test_slow_worker_loses_traffic_and_its_copy_is_replaced() -> None:
    rig = Rig(workers=3)
    rig.warm(1, 2)
    for _ in range(40):
        rig.now += 50_000
        rid = rig.ask()
        for s in of(api.Send, rig.actions):
            rig.attempt_ended(rid, 0, s.worker, latency=900_000 if s.worker == 1 else 100_000)
    chosen = [s.worker for _ in range(2) for s in of(api.Send, _ask(rig))]
    assert chosen == [2, 2]
    other = Rig(workers=3)
    other.warm(1, 2)
    for _ in range(40):
        other.now += 50_000
        rid = other.ask()
        for s in of(api.Send, other.actions):
            other.attempt_ended(rid, 0, s.worker, latency=900_000 if s.worker == 1 else 100_000)
    other.list_workers(api.ListKind.DELTA, replace(_worker(2), state=api.WorkerState.GONE))
    other.ask()
    assert of(api.Send, other.actions)[0].worker == 1
    assert [o.worker for o in orders(other.actions)] == [3]


def test_worker_that_fails_fast_loses_its_calls_and_gets_some_again_later() -> None:
    rig = Rig(workers=3)
    rig.warm(1, 2)
    for _ in range(2):
        first = [(rid, of(api.Send, rig.actions)[0].worker) for rid in (rig.ask() for _ in range(8))]
        for rid, wid in first:
            rig.now += 10_000
            rig.attempt_ended(rid, 0, wid, api.Outcome.ERROR if wid == 1 else api.Outcome.OK)
            for again in of(api.Send, rig.actions):
                rig.attempt_ended(rid, 1, again.worker)
    sent = [s.worker for _ in range(2) for s in of(api.Send, _ask(rig))]
    assert sent == [2, 2]
    rig.list_workers(api.ListKind.DELTA, replace(_worker(2), state=api.WorkerState.GONE))
    assert not of(api.Send, _ask(rig, class_index=1))  # unsafe: waits for a copy elsewhere, which is ordered
    assert [o.worker for o in orders(rig.all)][-1] == 3
    assert [s.worker for s in of(api.Send, _ask(rig))] == [1]  # safe: better than waiting
    rig.now += KEEP_ALIVE_US // 2
    assert [s.worker for s in of(api.Send, _ask(rig, class_index=1))] == [1]


def test_a_worker_with_some_errors_comes_second_for_unsafe_calls() -> None:
    rig = Rig(workers=3)
    rig.warm(1, 2)
    for number in range(32):
        rid = rig.ask()
        wid = of(api.Send, rig.actions)[0].worker
        rig.attempt_ended(rid, 0, wid, api.Outcome.ERROR if wid == 1 and number % 4 == 0 else api.Outcome.OK)
        for again in of(api.Send, rig.actions):
            rig.attempt_ended(rid, 1, again.worker)
        rig.now += 10_000
        if wid == 1 and number % 4 == 0:
            assert [s.worker for _ in range(5) for s in of(api.Send, _ask(rig, class_index=1))] == [2] * 5
            return
    raise AssertionError("worker 1 got no call")


def test_a_request_that_fails_everywhere_makes_no_worker_suspected() -> None:
    rig = Rig(workers=4)
    rig.warm(1, 2, 3, 4)
    for _ in range(30):
        rid, attempt = rig.ask(), 0
        while sends := of(api.Send, rig.actions):
            rig.attempt_ended(rid, attempt, sends[0].worker, api.Outcome.ERROR)
            attempt += 1
    assert of(api.Send, _ask(rig, class_index=1))


def test_a_worker_is_ejected_after_a_reset_only_if_the_probe_fails_too() -> None:
    for poll_outcome, is_ejected in ((api.Outcome.OK, False), (api.Outcome.CONNECT_FAILED, True)):
        rig = Rig(workers=4)
        rig.warm(1, 2)
        rid = rig.ask(class_index=1)
        worker = of(api.Send, rig.actions)[0].worker
        rig.attempt_ended(rid, 0, worker, api.Outcome.RESET)
        (poll,) = [h for h in of(api.LoadOrder, rig.actions) if not h.copies]
        assert poll.worker == worker
        assert not of(api.Log, rig.actions)
        rig.load_ended(worker, 1, outcome=poll_outcome)
        assert bool(of(api.Log, rig.actions)) is is_ejected


def _worker(wid: int) -> api.Worker:
    return api.Worker(wid, 0, 0, 0, api.WorkerState.READY, 1.0, 0)


def test_thin_slice_spreads_a_hot_function_by_its_share_of_calls() -> None:
    """With 70 front ends each had one request in flight, so all sent to the first of the hash order."""

    def standing(front_ends: int) -> int:
        rig = Rig(20, replace(SETTINGS, front_ends=front_ends, loads_on_miss=True))
        for n in range(60):
            function = 7 if n % 4 == 0 else 100 + n
            rid = rig.ask(function)
            for order in orders(rig.actions):
                rig.load_ended(order.worker, function=order.function)
            sent = next(s for s in of(api.Send, rig.all) if s.request == rid)
            rig.attempt_ended(rid, 0, sent.worker)
            rig.now += SECOND // 10
        return len(rig.router.functions.by_key[7].copies)

    assert standing(1) == 1
    assert 8 <= standing(70) <= 20
    assert standing(0) == 1
    assert standing(1_000_000) <= 20


def test_parts_of_the_slow_start_budget_below_one_send_add_up_to_it() -> None:
    """146 front ends with one send each pushed over a worker that bears a dozen."""
    sends, front_ends = 0, 100
    for index in range(front_ends):
        rig = Rig(2, replace(SETTINGS, front_ends=front_ends, index=index, keep_alive_us=100 * SECOND))
        rig.warm(1)
        for _ in range(30):  # half a call a second at each: a worker bears 25 a second for all
            rig.now += 2 * SECOND
            rig.attempt_ended(rid := rig.ask(), 0, rig.router.requests.by_id[rid].attempts[0].worker)
        rig.list_workers(api.ListKind.DELTA, worker(2, started=rig.now))
        sends += rig.router.slow_start.has_budget(rig.router.endpoints.workers[2])
    assert 0 < sends < 0.2 * 4 * 25  # start share x multiple x rate x the window of a second


def test_worker_that_reports_busy_cores_is_passed_over_where_others_send_most_calls() -> None:
    """Under many front ends own counts are near zero: only what a worker tells shows the others' calls."""

    def sends_to_the_busy_one(front_ends: int) -> int:
        site = replace(SETTINGS, front_ends=front_ends, report_fields=("memory_tied", "busy"))
        rig = Rig(2, site)
        rig.warm(1, 2)
        chosen = []
        for _ in range(40):
            rig.now += SECOND // 4
            rid = rig.ask()
            chosen.append(of(api.Send, rig.actions)[0].worker)
            report = (0.1, 0.95 if chosen[-1] == 1 else 0.4)
            rig.feed(
                api.AttemptEnded(rid, 0, chosen[-1], Outcome.OK, 100_000, True, api.Warmth.WARM, 0, report)
            )
        return chosen.count(1)

    assert sends_to_the_busy_one(70) < 8
    assert sends_to_the_busy_one(1) > 10


def test_old_samples_fade() -> None:
    rig = Rig(2)
    slow = rig.router.endpoints.workers[1]
    for _ in range(5):
        rig.router.context.now_us = rig.now
        rig.router.outliers.record_sample(slow, 4.0, 1)
    assert rig.router.outliers.slowness(slow) > 3
    rig.router.context.now_us += 3 * KEEP_ALIVE_US
    assert rig.router.outliers.slowness(slow) == 1.0


def test_copies_that_the_others_calls_refresh_are_not_refreshed_by_orders() -> None:
    """At 70 front ends four orders went out a request, nearly all for copies that other front ends used."""

    def renewals(front_ends: int) -> int:
        rig = Rig(1, replace(SETTINGS, front_ends=front_ends, keep_alive_us=KEEP_ALIVE_US))
        rig.warm(1)
        for _ in range(4):
            rig.now += SECOND // 10
            rid = rig.ask()
            rig.attempt_ended(rid, 0, of(api.Send, rig.actions)[0].worker)
        return len(orders(rig.pass_time(KEEP_ALIVE_US, step=100_000)))

    assert renewals(1) >= 1
    assert renewals(70) == 0


def test_stuck_requests_do_not_make_the_others_be_shed() -> None:
    """On i8cdbe4 what hung on dying workers counted as in flight for seconds, and up to 80% were refused."""
    site = replace(SETTINGS, limits=replace(SETTINGS.limits, max_attempts=1))
    rig = Rig(12, site)
    rig.warm(*range(1, 13))
    stuck_requests = [rig.ask(time_left_us=20 * SECOND) for _ in range(8)]
    refused = 0
    for n in range(60):
        rig.now += SECOND // 8
        for wid in range(1, 13):  # all answer questions, so none is silent
            rig.feed(api.LoadOrderEnded(wid, 7, Outcome.OK, 1_000, 1))
        rid = rig.ask()
        sent = of(api.Send, rig.actions)
        refused += not sent and n > 24
        if sent:
            rig.attempt_ended(rid, 0, sent[0].worker, latency=50_000)
    assert rig.router.endpoints.total_in_flight >= len(stuck_requests) // 2
    assert refused == 0


def test_parts_of_the_slow_start_budget_above_one_send_add_up_to_it_as_well() -> None:
    """Regression: each of twenty front ends rounded its share up to a whole send: 1.1 became 2."""
    sends, front_ends = 0, 20
    for index in range(front_ends):
        rig = Rig(2, replace(SETTINGS, front_ends=front_ends, index=index, keep_alive_us=100 * SECOND))
        rig.warm(1)
        for _ in range(100):  # 4.6 calls a second at each of two workers
            rig.now += SECOND * 10 // 46
            rig.attempt_ended(rid := rig.ask(), 0, rig.router.requests.by_id[rid].attempts[0].worker)
        rig.list_workers(api.ListKind.DELTA, worker(2, started=rig.now))
        cold = rig.router.endpoints.workers[2]
        while rig.router.slow_start.has_budget(cold):
            cold.recent_sends_us.append(rig.now)
            sends += 1
    budget = 0.2 * 4 * front_ends * 2.3  # start share x multiple x rate x the window of a second
    assert 0.4 * budget < sends <= 0.7 * budget


def test_a_front_end_that_has_just_started_takes_no_large_part_of_a_slow_start_budget() -> None:
    """Its first answer, a millisecond after it began to count, was a rate of a thousand a second."""
    rig = Rig(2)
    rig.warm(1)
    rig.list_workers(api.ListKind.DELTA, worker(2, started=rig.now))
    rig.attempt_ended(rig.ask(), 0, 1, latency=1000)
    rig.now += 1000
    rig.feed(api.TimerDue(1))
    cold, sends = rig.router.endpoints.workers[2], 0
    while rig.router.slow_start.has_budget(cold):
        cold.recent_sends_us.append(rig.now)
        sends += 1
    assert sends <= 1


def holds_for(rig: Rig) -> int:
    latest: int = of(api.Send, rig.actions)[0].begin_within_us
    return latest


def test_a_send_says_how_long_its_decision_is_valid() -> None:
    rig = Rig(2)
    rig.warm(1, 2)
    rig.ask(time_left_us=SECOND // 2)
    assert holds_for(rig) == SECOND // 2 - SETTINGS.tick_us, "no first byte once the answer is out"
    rig.ask()
    assert holds_for(rig) == SETTINGS.guards.drain_grace_us
    keyed = rig.ask(class_index=2)
    first = of(api.Send, rig.actions)[0].worker
    rig.now += SECOND // 4
    rig.attempt_ended(keyed, 0, first, Outcome.RESET)
    assert holds_for(rig) == KEYED.repeat_window_us - SECOND // 4, (
        "counted from the attempt that may have run"
    )
    for _ in range(40):
        rig.now += SECOND // 10
        rig.attempt_ended(rid := rig.ask(), 0, rig.router.requests.by_id[rid].attempts[0].worker)
    rig.list_workers(
        api.ListKind.DELTA, worker(1, started=rig.now - SECOND), worker(2, started=rig.now - SECOND)
    )
    rig.warm(1, 2)
    rig.ask()
    assert holds_for(rig) == rig.router.context.grace_us, (
        "so long it stays in the cold worker's count beyond the span"
    )


def test_an_order_that_was_never_sent_says_nothing_of_its_worker() -> None:
    rig = Rig(4)
    rig.ask()
    order = of(api.LoadOrder, rig.actions)[0]
    rig.feed(api.LoadOrderEnded(order.worker, 7, Outcome.MOOT, 100_000, 0))
    assert rig.router.endpoints.workers[order.worker].silent_since_us is None
    assert not of(api.Log, rig.all)


@pytest.mark.parametrize(("cls", "final"), [(0, api.Reject), (1, api.Fail)])
def test_open_and_new_requests_are_answered_within_the_time_of_a_shutdown(cls: int, final: Any) -> None:
    rig = Rig(1)
    rig.warm(1)
    early = rig.ask(class_index=cls, time_left_us=60 * SECOND)
    rig.feed(api.ShuttingDown(SECOND))
    late = rig.ask(class_index=cls, time_left_us=60 * SECOND)
    rig.now += SECOND - SETTINGS.tick_us
    rig.feed(api.TimerDue(1))
    assert [a.request for a in of(final, rig.actions)] == [early, late]
    rig.now += SECOND
    assert not of(api.Send, rig.feed(api.TimerDue(1)))
    assert rig.ask()
    assert len(of(api.Reject, rig.actions)) == 1, "what comes after it is refused at once"
