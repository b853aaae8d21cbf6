"""The decisions of the router without faults, as the design page describes them."""

from __future__ import annotations

from dataclasses import replace

from walnutpost import interface as api
from walnutpost.policy import hash_rank
from walnutpost.testsupport.policy.harness import (
    KEEP_ALIVE_US,
    SECOND_US,
    SETTINGS,
    RouterHarness,
    actions_of_type,
    listed_worker,
    load_orders,
)
from walnutpost.testsupport.policy.order import workers_in_hash_order


def test_first_request_is_queued_and_orders_a_copy_at_the_first_worker_in_hash_order() -> None:
    harness = RouterHarness()
    harness.send_request()
    assert not actions_of_type(api.Send, harness.last_actions)
    assert load_orders(harness.last_actions) == [
        api.LoadOrder(workers_in_hash_order()[0], 7, 1, SETTINGS.guards.drain_grace_us)
    ]


def test_hash_order_is_the_same_at_all_front_ends() -> None:
    first_workers = set()
    for seed in range(5):
        harness = RouterHarness(seed=seed)
        harness.send_request()
        first_workers.add(load_orders(harness.last_actions)[0].worker)
    assert len(first_workers) == 1


def preferred_worker(function: int, worker_1_weight: float = 1.0) -> int:
    """Return the worker, of 1 to 4, that is first in the hash order of the function."""
    return max(range(1, 5), key=lambda w: hash_rank(function, w, worker_1_weight if w == 1 else 1.0))


def test_hash_order_spreads_functions_in_proportion_to_worker_weights() -> None:
    preferred_workers = [preferred_worker(f) for f in range(400)]
    assert all(60 < preferred_workers.count(w) < 140 for w in range(1, 5))
    assert [preferred_worker(f, 3.0) for f in range(400)].count(1) > 1.6 * preferred_workers.count(1)


def test_hash_order_uses_worker_memory_as_weight_if_none_is_configured() -> None:
    harness = RouterHarness(workers=0, settings=replace(SETTINGS, memory_mb_by_kind=(4_000.0, 36_000.0)))
    harness.send_worker_list(
        api.ListKind.FULL, *(replace(listed_worker(i), kind=int(i == 1)) for i in range(1, 5))
    )
    for function in range(300):
        harness.send_request(function)
    assert sum(1 for o in load_orders(harness.all_actions) if o.worker == 1) > 120


def test_scale_up_is_sized_by_demand_and_only_one_runs_at_a_time() -> None:
    harness = RouterHarness()
    harness.send_request()  # 1 queued + 1 spare = 2 slots, which is 1 copy
    assert len(load_orders(harness.last_actions)) == 1
    for _ in range(4):
        harness.send_request()
        assert not load_orders(harness.last_actions), "a second scale-up began before the first one ended"
    harness.end_load_order(workers_in_hash_order()[0])
    # The copy got the five queued requests, and a sixth follows. With 1 spare they need 7 slots, which is
    # 4 copies of 2 slots, and 1 copy exists.
    harness.send_request()
    assert len(load_orders(harness.last_actions)) == 3


def test_first_copy_gets_all_queued_requests() -> None:
    harness = RouterHarness()
    requests = [harness.send_request() for _ in range(5)]
    sent = actions_of_type(api.Send, harness.end_load_order(workers_in_hash_order()[0]))
    assert [s.request for s in sent] == requests
    assert {s.worker for s in sent} == {workers_in_hash_order()[0]}


def test_least_busy_warm_worker_gets_the_request() -> None:
    harness = RouterHarness()
    harness.make_warm(1, 2)
    first = harness.send_request()
    busy = actions_of_type(api.Send, harness.last_actions)[0].worker
    harness.send_request()
    assert actions_of_type(api.Send, harness.last_actions)[0].worker == 3 - busy
    harness.end_attempt(first, 0, busy)
    harness.send_request()
    assert actions_of_type(api.Send, harness.last_actions)[0].worker == busy


def test_ties_are_broken_at_random() -> None:
    chosen = set()
    for seed in range(20):
        harness = RouterHarness(seed=seed)
        harness.make_warm(1, 2)
        harness.send_request()
        chosen.add(actions_of_type(api.Send, harness.last_actions)[0].worker)
    assert chosen == {1, 2}


def test_request_beyond_the_concurrency_is_sent_at_once_and_starts_a_scale_up() -> None:
    harness = RouterHarness()
    harness.make_warm(1)
    for _ in range(2):
        harness.send_request()
        assert actions_of_type(api.Send, harness.last_actions)
        assert not load_orders(harness.last_actions)
    harness.send_request()
    assert actions_of_type(api.Send, harness.last_actions)[0].worker == 1
    scale_up = load_orders(harness.last_actions)
    assert len(scale_up) == 1
    assert scale_up[0].worker != 1


def test_copy_is_assumed_gone_after_the_keep_alive() -> None:
    harness = RouterHarness(settings=replace(SETTINGS, keep_alive_us=KEEP_ALIVE_US))
    harness.make_warm(1)
    harness.now_us += KEEP_ALIVE_US + 1
    harness.send_request()
    assert not actions_of_type(api.Send, harness.last_actions)
    assert load_orders(harness.last_actions)


def test_only_a_copy_in_use_is_refreshed_before_it_expires() -> None:
    harness = RouterHarness()
    harness.make_warm(1)
    harness.make_warm(1)
    refreshes = load_orders(harness.advance_time(KEEP_ALIVE_US))
    assert refreshes
    assert all(o.worker == 1 for o in refreshes)
    unused = RouterHarness()
    unused.make_warm(1)  # one request only, so the copy is not in use
    assert not load_orders(unused.advance_time(KEEP_ALIVE_US))


def test_refreshes_stop_when_requests_stop() -> None:
    harness = RouterHarness()
    harness.make_warm(1)
    harness.make_warm(1)
    for _ in range(6):
        for order in load_orders(harness.advance_time(KEEP_ALIVE_US // 2)):
            harness.end_load_order(order.worker)
    assert not load_orders(harness.advance_time(3 * KEEP_ALIVE_US))


def test_same_events_give_the_same_actions() -> None:
    def run() -> list[api.Action]:
        harness = RouterHarness(seed=9)
        for n in range(30):
            harness.now_us += SECOND_US // 50
            harness.send_request(function=n % 4)
            for order in load_orders(harness.last_actions):
                harness.end_load_order(order.worker, function=order.function)
        return harness.all_actions

    assert run() == run()
