"""The decisions of the router without faults, as the design page describes them."""

from __future__ import annotations

from dataclasses import replace

from walnutpost import interface as api
from walnutpost.policy import hash_rank
from walnutpost.testsupport.policy.harness import KEEP_ALIVE_US, SECOND, SETTINGS, Rig, of, orders, worker
from walnutpost.testsupport.policy.order import workers_in_hash_order


def test_first_request_is_queued_and_orders_a_copy_at_the_first_worker_in_hash_order() -> None:
    harness = Rig()
    harness.ask()
    assert not of(api.Send, harness.actions)
    assert orders(harness.actions) == [
        api.LoadOrder(workers_in_hash_order()[0], 7, 1, SETTINGS.guards.drain_grace_us)
    ]


def test_hash_order_is_the_same_at_all_front_ends() -> None:
    first_workers = set()
    for seed in range(5):
        harness = Rig(seed=seed)
        harness.ask()
        first_workers.add(orders(harness.actions)[0].worker)
    assert len(first_workers) == 1


def preferred_worker(function: int, worker_1_weight: float = 1.0) -> int:
    """Return the worker, of 1 to 4, that is first in the hash order of the function."""
    return max(range(1, 5), key=lambda w: hash_rank(function, w, worker_1_weight if w == 1 else 1.0))


def test_hash_order_spreads_functions_in_proportion_to_worker_weights() -> None:
    preferred_workers = [preferred_worker(f) for f in range(400)]
    assert all(60 < preferred_workers.count(w) < 140 for w in range(1, 5))
    assert [preferred_worker(f, 3.0) for f in range(400)].count(1) > 1.6 * preferred_workers.count(1)


def test_hash_order_uses_worker_memory_as_weight_if_none_is_configured() -> None:
    harness = Rig(workers=0, settings=replace(SETTINGS, memory_mb_by_kind=(4_000.0, 36_000.0)))
    harness.list_workers(api.ListKind.FULL, *(replace(worker(i), kind=int(i == 1)) for i in range(1, 5)))
    for function in range(300):
        harness.ask(function)
    assert sum(1 for o in orders(harness.all) if o.worker == 1) > 120


def test_scale_up_is_sized_by_demand_and_only_one_runs_at_a_time() -> None:
    harness = Rig()
    harness.ask()  # 1 queued + 1 spare = 2 slots, which is 1 copy
    assert len(orders(harness.actions)) == 1
    for _ in range(4):
        harness.ask()
        assert not orders(harness.actions), "a second scale-up began before the first one ended"
    harness.load_ended(workers_in_hash_order()[0])
    # The copy got the five queued requests, and a sixth follows. With 1 spare they need 7 slots, which is
    # 4 copies of 2 slots, and 1 copy exists.
    harness.ask()
    assert len(orders(harness.actions)) == 3


def test_first_copy_gets_all_queued_requests() -> None:
    harness = Rig()
    requests = [harness.ask() for _ in range(5)]
    sent = of(api.Send, harness.load_ended(workers_in_hash_order()[0]))
    assert [s.request for s in sent] == requests
    assert {s.worker for s in sent} == {workers_in_hash_order()[0]}


def test_least_busy_warm_worker_gets_the_request() -> None:
    harness = Rig()
    harness.warm(1, 2)
    first = harness.ask()
    busy = of(api.Send, harness.actions)[0].worker
    harness.ask()
    assert of(api.Send, harness.actions)[0].worker == 3 - busy
    harness.attempt_ended(first, 0, busy)
    harness.ask()
    assert of(api.Send, harness.actions)[0].worker == busy


def test_ties_are_broken_at_random() -> None:
    chosen = set()
    for seed in range(20):
        harness = Rig(seed=seed)
        harness.warm(1, 2)
        harness.ask()
        chosen.add(of(api.Send, harness.actions)[0].worker)
    assert chosen == {1, 2}


def test_request_beyond_the_concurrency_is_sent_at_once_and_starts_a_scale_up() -> None:
    harness = Rig()
    harness.warm(1)
    for _ in range(2):
        harness.ask()
        assert of(api.Send, harness.actions)
        assert not orders(harness.actions)
    harness.ask()
    assert of(api.Send, harness.actions)[0].worker == 1
    scale_up = orders(harness.actions)
    assert len(scale_up) == 1
    assert scale_up[0].worker != 1


def test_copy_is_assumed_gone_after_the_keep_alive() -> None:
    harness = Rig(settings=replace(SETTINGS, keep_alive_us=KEEP_ALIVE_US))
    harness.warm(1)
    harness.now += KEEP_ALIVE_US + 1
    harness.ask()
    assert not of(api.Send, harness.actions)
    assert orders(harness.actions)


def test_only_a_copy_in_use_is_refreshed_before_it_expires() -> None:
    harness = Rig()
    harness.warm(1)
    harness.warm(1)
    refreshes = orders(harness.pass_time(KEEP_ALIVE_US))
    assert refreshes
    assert all(o.worker == 1 for o in refreshes)
    unused = Rig()
    unused.warm(1)  # one request only, so the copy is not in use
    assert not orders(unused.pass_time(KEEP_ALIVE_US))


def test_refreshes_stop_when_requests_stop() -> None:
    harness = Rig()
    harness.warm(1)
    harness.warm(1)
    for _ in range(6):
        for order in orders(harness.pass_time(KEEP_ALIVE_US // 2)):
            harness.load_ended(order.worker)
    assert not orders(harness.pass_time(3 * KEEP_ALIVE_US))


def test_same_events_give_the_same_actions() -> None:
    def run() -> list[api.Action]:
        harness = Rig(seed=9)
        for n in range(30):
            harness.now += SECOND // 50
            harness.ask(function=n % 4)
            for order in orders(harness.actions):
                harness.load_ended(order.worker, function=order.function)
        return harness.all

    assert run() == run()
