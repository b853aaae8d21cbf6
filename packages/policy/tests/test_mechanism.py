"""The router's mechanism as the design page describes it, without faults."""

from __future__ import annotations

from dataclasses import replace

from walnutpost import interface as api
from walnutpost.policy import hash_rank
from walnutpost.testsupport.policy.harness import KEEP_ALIVE_US, SECOND, SETTINGS, Rig, of, orders, worker
from walnutpost.testsupport.policy.order import first_in_order


def test_request_with_nothing_warm_is_queued_and_orders_a_load_at_the_first_of_the_hash_order() -> None:
    rig = Rig()
    rig.ask()
    assert not of(api.Send, rig.actions)
    assert orders(rig.actions) == [api.LoadOrder(first_in_order()[0], 7, 1, SETTINGS.guards.drain_grace_us)]


def test_hash_order_is_the_same_at_every_front_end() -> None:
    first_workers = set()
    for seed in range(5):
        rig = Rig(seed=seed)
        rig.ask()
        first_workers.add(orders(rig.actions)[0].worker)
    assert len(first_workers) == 1


def preferred_worker(function: int, heavy: float = 1.0) -> int:
    return max(range(1, 5), key=lambda w: hash_rank(function, w, heavy if w == 1 else 1.0))


def test_hash_order_spreads_functions_over_workers_and_follows_weight() -> None:
    preferred_workers = [preferred_worker(f) for f in range(400)]
    assert all(60 < preferred_workers.count(w) < 140 for w in range(1, 5))
    assert [preferred_worker(f, 3.0) for f in range(400)].count(1) > 1.6 * preferred_workers.count(1)


def test_without_configured_sizes_a_kinds_memory_is_the_weight_in_the_hash_order() -> None:
    rig = Rig(workers=0, settings=replace(SETTINGS, memory_mb_by_kind=(4_000.0, 36_000.0)))
    rig.list_workers(api.ListKind.FULL, *(replace(worker(i), kind=int(i == 1)) for i in range(1, 5)))
    for function in range(300):
        rig.ask(function)
    assert sum(1 for o in orders(rig.all) if o.worker == 1) > 120


def test_one_scale_up_in_flight_sized_from_demand() -> None:
    rig = Rig()
    rig.ask()  # 1 queued + 1 over 2 slots: one copy
    assert len(orders(rig.actions)) == 1
    for _ in range(4):
        rig.ask()
        assert not orders(rig.actions), "a second scale-up began before the first was over"
    rig.load_ended(first_in_order()[0])
    # Five were queued and sent to the copy: 5 in flight + 1 over 2 slots makes 3, one of which exists.
    rig.ask()
    assert len(orders(rig.actions)) == 3  # 6 in flight + 1 over 2 slots makes 4


def test_all_queued_requests_are_sent_to_the_first_copy() -> None:
    rig = Rig()
    requests = [rig.ask() for _ in range(5)]
    sent = of(api.Send, rig.load_ended(first_in_order()[0]))
    assert [s.request for s in sent] == requests
    assert {s.worker for s in sent} == {first_in_order()[0]}


def test_least_busy_warm_worker_gets_the_request() -> None:
    rig = Rig()
    rig.warm(1, 2)
    first = rig.ask()
    busy = of(api.Send, rig.actions)[0].worker
    rig.ask()
    assert of(api.Send, rig.actions)[0].worker == 3 - busy
    rig.attempt_ended(first, 0, busy)
    rig.ask()
    assert of(api.Send, rig.actions)[0].worker == busy


def test_ties_break_at_random() -> None:
    chosen = set()
    for seed in range(20):
        rig = Rig(seed=seed)
        rig.warm(1, 2)
        rig.ask()
        chosen.add(of(api.Send, rig.actions)[0].worker)
    assert chosen == {1, 2}


def test_send_past_the_concurrency_goes_out_at_once_and_starts_the_scale_up() -> None:
    rig = Rig()
    rig.warm(1)
    for _ in range(2):
        rig.ask()
        assert of(api.Send, rig.actions)
        assert not orders(rig.actions)
    rig.ask()
    assert of(api.Send, rig.actions)[0].worker == 1
    wanted = orders(rig.actions)
    assert len(wanted) == 1
    assert wanted[0].worker != 1


def test_belief_lapses_after_the_keep_alive() -> None:
    rig = Rig(settings=replace(SETTINGS, keep_alive_us=KEEP_ALIVE_US))
    rig.warm(1)
    rig.now += KEEP_ALIVE_US + 1
    rig.ask()
    assert not of(api.Send, rig.actions)
    assert orders(rig.actions)


def test_copy_in_use_is_refreshed_before_it_lapses_and_an_unused_one_is_not() -> None:
    rig = Rig()
    rig.warm(1)
    rig.warm(1)
    refreshes = orders(rig.pass_time(KEEP_ALIVE_US))
    assert refreshes
    assert all(o.worker == 1 for o in refreshes)
    later = Rig()
    later.warm(1)  # seen once only
    assert not orders(later.pass_time(KEEP_ALIVE_US))


def test_refreshes_end_when_no_requests_come_any_more() -> None:
    rig = Rig()
    rig.warm(1)
    rig.warm(1)
    for _ in range(6):
        for order in orders(rig.pass_time(KEEP_ALIVE_US // 2)):
            rig.load_ended(order.worker)
    assert not orders(rig.pass_time(3 * KEEP_ALIVE_US))


def test_same_events_give_the_same_actions() -> None:
    def run() -> list[api.Action]:
        rig = Rig(seed=9)
        for n in range(30):
            rig.now += SECOND // 50
            rig.ask(function=n % 4)
            for order in orders(rig.actions):
                rig.load_ended(order.worker, function=order.function)
        return rig.all

    assert run() == run()
