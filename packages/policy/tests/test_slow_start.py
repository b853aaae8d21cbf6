"""The parts of a cold worker's budget: what all front ends take together, also while many are restarted."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import replace
from heapq import heappop, heappush
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st

from walnutpost import interface as api
from walnutpost.testsupport.policy.harness import SECOND, SETTINGS, Rig, of, worker

GUARDS = SETTINGS.guards
RESTART = 110 * SECOND
SPAN = 2 * SECOND  # over which answers are counted: two aims
FRONT_ENDS = 20
MOST = 400  # sends that a part is followed to


def front_end(index: int, front_ends: int, now: int, cold_since: int) -> Rig:
    site = replace(SETTINGS, front_ends=front_ends, index=index, may_order_loads=False, loads_on_miss=True)
    rig = Rig(2, site, now=now)
    if now > cold_since:
        rig.list_workers(api.ListKind.DELTA, worker(2, started=cold_since))
    return rig


def take(rig: Rig) -> int:
    """Sends to the cold worker all that there is room for."""
    cold, taken = rig.router.endpoints.workers[2], 0
    while rig.router.slow_start.has_budget(cold) and taken < MOST:
        cold.recent_sends_us.append(rig.now)
        taken += 1
    return taken


def serve(rig: Rig, until: int, rate: float, rng: Random, sends: list[int] | None = None) -> None:
    """Calls come at random and are answered a tenth of a second later. `sends` gets the times of all that the
    cold worker is allowed to be sent, taken as soon as there is room."""

    def next_call() -> int:
        return rig.now + 1 + int(rng.expovariate(rate) * SECOND)

    due = [(next_call(), 0)]
    while due[0][0] < until:
        rig.now, rid = heappop(due)
        if rid:
            rig.attempt_ended(rid, 0, rig.router.requests.by_id[rid].attempts[0].worker)
        else:
            rid = rig.ask()
            if of(api.Send, rig.actions):
                heappush(due, (rig.now + SECOND // 10, rid))
            heappush(due, (next_call(), 0))
        if sends is not None:
            sends += [rig.now for s in of(api.Send, rig.actions) if s.worker == 2]
            sends += [rig.now] * take(rig)
    rig.now = until


def allowed(age: int, rate: float) -> float:
    """N: what a cold worker of this age has borne within a window at the most, by what both workers serve."""
    strength = GUARDS.start_capacity + (1 - GUARDS.start_capacity) * age / GUARDS.warm_up_us
    return strength * GUARDS.overload_factor * rate / 2 * GUARDS.overload_window_us / SECOND


@settings(max_examples=4, deadline=None)
@given(st.integers(0, FRONT_ENDS), st.integers(0, GUARDS.overload_window_us), st.integers(0, 1 << 32))
@example(0, SECOND // 2, 1)
@example(FRONT_ENDS // 10, SECOND // 2, 1)  # as in a release
@example(FRONT_ENDS * 7 // 10, SECOND // 2, 1)  # killed at once
@example(FRONT_ENDS, SECOND // 2, 1)
def test_parts_add_up_to_the_budget_while_front_ends_are_restarted(
    restarted: int, age: int, seed: int
) -> None:
    """What predecessors sent within the window still counts: a whole part at once would double it."""
    rate, sends, cold_since = 10.0, list[int](), RESTART - age
    for index in range(FRONT_ENDS):
        rng = Random(seed * FRONT_ENDS + index)
        rig = front_end(index, FRONT_ENDS, RESTART - 3 * SPAN, cold_since)
        serve(rig, cold_since, rate, rng)
        rig.list_workers(api.ListKind.DELTA, worker(2, started=cold_since))
        serve(rig, RESTART, rate, rng, sends)
        if index < restarted:
            rig = front_end(index, FRONT_ENDS, RESTART, cold_since)
        serve(rig, RESTART + 2 * SPAN, rate, rng, sends)
    sends.sort()
    for n, end in enumerate(sends):
        within = n + 1 - bisect_left(sends, end - GUARDS.overload_window_us)
        assert within <= allowed(end - cold_since, FRONT_ENDS * rate), (end - RESTART) / SPAN
    windows = 2 * SPAN / GUARDS.overload_window_us
    assert len(sends) > 0.3 * windows * allowed(SPAN, FRONT_ENDS * rate), "no budget is left lying about"


def test_a_restarted_front_end_has_its_part_of_the_budget_back_within_a_window() -> None:
    """It took three spans to nine tenths of it: on a day of restarts, new workers stood idle meanwhile."""

    def part(began: int) -> int:
        taken = 0
        for seed in range(10):
            rig = front_end(0, 1, began, RESTART)
            serve(rig, RESTART + GUARDS.overload_window_us + SECOND // 10, 40.0, Random(seed))
            rig.list_workers(api.ListKind.DELTA, worker(2, started=RESTART))
            taken += take(rig)
        return taken

    assert part(RESTART) > 0.85 * part(RESTART - 4 * SPAN) > 50


def test_a_front_end_that_has_answered_nothing_has_no_part_of_the_budget() -> None:
    rig = front_end(0, 1, RESTART, RESTART - 1)
    rig.now += 3 * SPAN
    assert not rig.router.slow_start.has_budget(rig.router.endpoints.workers[2])
