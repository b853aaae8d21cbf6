"""Tests of slow start with a simulated fleet: the calls that reach a cold worker within any window."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from math import sqrt
from random import Random

import pytest

from walnutpost import interface as api
from walnutpost.policy import slow_start
from walnutpost.testsupport.policy.harness import (
    SECOND_US,
    SETTINGS,
    RouterHarness,
    actions_of_type,
    listed_worker,
)

WARM_WORKERS = 10
COLD_WORKER = WARM_WORKERS + 1
GUARDS = replace(SETTINGS.guards, overload_window_us=SECOND_US * 3 // 2)
START_US = 100 * SECOND_US
LEARNING_TIME_US = (
    5 * SECOND_US
)  # before the worker restarts, so that the routers can measure the answer rate
OBSERVED_TIME_US = 6 * SECOND_US
MAX_NETWORK_DELAY_S = 0.002  # between the first byte of a call and its last
SLOW_CONNECT_SHARE, MAX_CONNECT_TIME_S = 0.05, 1.0  # share of the sends that wait for a connection
OFFERED_LOAD = 0.88  # calls, as a share of the capacity of all workers
MEAN_ANSWER_TIME_S = 0.1  # without the wait for a core


def capacity_share(age_us: int) -> float:
    """Return the share of its full capacity that a worker of this age has."""
    return GUARDS.start_capacity + (1 - GUARDS.start_capacity) * min(1.0, age_us / GUARDS.warm_up_us)


def allowed_calls(age_us: int, capacity: float) -> float:
    """Return N: the calls of mean cost within one window that the settings allow a worker of this age."""
    return GUARDS.overload_factor * capacity_share(age_us) * capacity * GUARDS.overload_window_us / SECOND_US


def overload_threshold(allowed: float) -> float:
    """Return the calls within one window above which a worker fails: N and a margin for random variation."""
    return allowed + 2 * sqrt(allowed) + 2 if allowed >= 30 else allowed + 3 * sqrt(allowed) + 3


def peak_load(arrivals: list[int], started_us: int, capacity: float) -> float:
    """Return the most calls within any window, as a share of the overload threshold at that time.

    This check is independent of the router: it knows only the arrivals and the true capacity.
    """
    arrivals_us, peak = sorted(arrivals), 0.0
    for index, end_us in enumerate(arrivals_us):
        calls = index + 1 - bisect_right(arrivals_us, end_us - GUARDS.overload_window_us)
        peak = max(peak, calls / overload_threshold(allowed_calls(end_us - started_us, capacity)))
    return peak


def mean_utilization(
    arrivals: list[int], since_us: int, until_us: int, started_us: int, capacity: float
) -> float:
    """Return the calls that arrived, as a share of those that N allows over the whole time."""
    mean_age_us = (since_us + until_us) // 2 - started_us  # N grows linearly
    allowed = allowed_calls(mean_age_us, capacity) * (until_us - since_us) / GUARDS.overload_window_us
    return sum(since_us <= arrival_us < until_us for arrival_us in arrivals) / allowed


@dataclass
class Scenario:
    """Size, load and faults of the fleet. Times count from the start of the cold worker."""

    front_ends: int
    capacity: float  # calls per second that a warm worker serves
    seed: int = 1
    listed_at_us: int = SECOND_US // 2  # when the worker list reports the restart
    bursts_at_us: tuple[int, ...] = ()  # when all front ends get calls at the same time
    killed_share: float = 0.0  # share of the front ends that are killed and replaced immediately
    killed_at_us: int = SECOND_US
    is_uneven: bool = True  # some front ends get several times the mean rate of calls


@dataclass
class Fleet:
    """A simulated fleet of routers that all prefer the cold worker and have more calls than it may get.

    The warm workers are saturated, so the rate that each of them serves is its capacity.
    """

    scenario: Scenario
    now_us: int = START_US
    arrivals: list[int] = field(default_factory=list)
    harnesses: list[RouterHarness] = field(default_factory=list)
    _events: list[tuple[int, int, str, tuple[int, ...]]] = field(default_factory=list)
    free_at_us: dict[int, int] = field(default_factory=dict)
    _event_count: int = 0

    def __post_init__(self) -> None:
        scenario = self.scenario
        self.rng = Random(scenario.seed)
        weights = [
            self.rng.lognormvariate(0, 0.7) if scenario.is_uneven else 1.0 for _ in range(scenario.front_ends)
        ]
        total_rate = OFFERED_LOAD * scenario.capacity * (WARM_WORKERS + 1)
        self.rates = [total_rate * weight / sum(weights) for weight in weights]
        self.started_us = START_US + LEARNING_TIME_US
        self.incarnations = [0] * scenario.front_ends
        self.harnesses = [self._start_router(index) for index in range(scenario.front_ends)]

    def _start_router(self, index: int) -> RouterHarness:
        scenario = self.scenario
        router_settings = replace(
            SETTINGS,
            guards=GUARDS,
            front_ends=scenario.front_ends,
            index=index,
            may_order_loads=False,
            loads_on_miss=True,
            has_endpoint_weights=True,
        )
        harness = RouterHarness(0, router_settings, seed=scenario.seed * 1000 + index, now_us=self.now_us)
        harness.send_worker_list(api.ListKind.CACHED, *(listed_worker(i + 1) for i in range(WARM_WORKERS)))
        if self.now_us >= self.started_us + scenario.listed_at_us:
            self._list_cold_worker(harness)
        return harness

    def _list_cold_worker(self, harness: RouterHarness) -> None:
        """List the cold worker with a copy of the function.

        Its weight exceeds that of all others together, so every router prefers it.
        """
        harness.send_worker_list(
            api.ListKind.DELTA, replace(listed_worker(COLD_WORKER, started_at_us=self.started_us), weight=1e6)
        )
        harness.end_load_order(COLD_WORKER)

    def _schedule(self, at_us: float, event: str, *arguments: int) -> None:
        self._event_count += 1
        heappush(self._events, (int(at_us), self._event_count, event, arguments))

    def run(self) -> Fleet:
        scenario = self.scenario
        end_us = self.started_us + scenario.listed_at_us + OBSERVED_TIME_US
        for index in range(scenario.front_ends):
            self._schedule_next_call(index)
        self._schedule(self.started_us + scenario.listed_at_us, "listed")
        for burst_at_us in scenario.bursts_at_us:
            self._schedule(self.started_us + burst_at_us, "burst")
        if scenario.killed_share:
            self._schedule(self.started_us + scenario.killed_at_us, "killed")
        while self._events[0][0] < end_us:
            self.now_us, _, event, arguments = heappop(self._events)
            getattr(self, f"_{event}")(*arguments)
        return self

    def _schedule_next_call(self, index: int) -> None:
        self._schedule(self.now_us + self.rng.expovariate(self.rates[index]) * SECOND_US, "call", index)

    def _call(self, index: int) -> None:
        self._schedule_next_call(index)
        self._feed_call(index)

    def _feed_call(self, index: int) -> None:
        harness = self.harnesses[index]
        harness.now_us = self.now_us
        harness.send_request(concurrency=1000)
        self._apply_actions(index)
        for worker_id in (
            harness.router.endpoints.workers.keys() - harness.router.functions.by_key[7].copies.keys()
        ):
            harness.end_load_order(worker_id)  # every worker has a copy
            self._apply_actions(index)

    def _apply_actions(self, index: int) -> None:
        harness, rng = self.harnesses[index], self.rng
        for send in actions_of_type(api.Send, harness.last_actions):
            attempt = len(harness.router.requests.by_id[send.request].attempts) - 1
            is_slow = rng.random() < SLOW_CONNECT_SHARE
            connected_us = self.now_us + int(rng.random() * MAX_CONNECT_TIME_S * SECOND_US * is_slow)
            arguments = (index, self.incarnations[index], send.request, attempt, send.worker)
            if connected_us > self.now_us + send.begin_within_us:
                self._schedule(self.now_us + send.begin_within_us, "ended", *arguments, 0)
                continue
            arrived_us = connected_us + int(rng.random() * MAX_NETWORK_DELAY_S * SECOND_US)
            if send.worker == COLD_WORKER:
                self.arrivals.append(arrived_us)
            self._schedule(self._answer_us(send.worker, arrived_us), "ended", *arguments, 1)

    def _answer_us(self, worker_id: int, arrived_us: int) -> float:
        """Return the time at which a worker answers a call.

        A warm worker processes its calls one after the other, so it never serves more than its capacity. The
        cold one starts all calls at once, so that none queue up there and no other limit applies first.
        """
        if worker_id != COLD_WORKER:
            arrived_us = max(arrived_us, self.free_at_us.get(worker_id, 0)) + int(
                SECOND_US / self.scenario.capacity
            )
            self.free_at_us[worker_id] = arrived_us
        return arrived_us + self.rng.expovariate(1 / MEAN_ANSWER_TIME_S) * SECOND_US

    def _ended(
        self, index: int, incarnation: int, request: int, attempt: int, worker_id: int, was_sent: int
    ) -> None:
        if incarnation != self.incarnations[index]:
            return
        harness = self.harnesses[index]
        harness.now_us = self.now_us
        harness.end_attempt(request, attempt, worker_id, api.Outcome.OK if was_sent else api.Outcome.EXPIRED)
        self._apply_actions(index)

    def _listed(self) -> None:
        for index, harness in enumerate(self.harnesses):
            harness.now_us = self.now_us
            self._list_cold_worker(harness)
            self._apply_actions(index)

    def _burst(self) -> None:
        for index in range(self.scenario.front_ends):
            for _ in range(max(1, 60 // self.scenario.front_ends)):
                self._feed_call(index)

    def _killed(self) -> None:
        for index in range(int(self.scenario.killed_share * self.scenario.front_ends + 0.5)):
            self.incarnations[index] += 1
            self.harnesses[index] = self._start_router(index)


def peak_load_and_utilization(scenario: Scenario) -> tuple[float, float]:
    fleet = Fleet(scenario).run()
    listed_us = fleet.started_us + scenario.listed_at_us
    return (
        peak_load(fleet.arrivals, fleet.started_us, scenario.capacity),
        mean_utilization(
            fleet.arrivals, listed_us, listed_us + OBSERVED_TIME_US, fleet.started_us, scenario.capacity
        ),
    )


# The worker starts at a multiple of the window on the virtual clock, so one window later is a multiple, too.
WINDOW_BOUNDARY_US = GUARDS.overload_window_us
BURSTS_AROUND_A_BOUNDARY_US = (WINDOW_BOUNDARY_US - SECOND_US // 12, WINDOW_BOUNDARY_US + SECOND_US // 50)


@pytest.mark.parametrize("capacity", [12.5, 40.0])
@pytest.mark.parametrize("front_ends", [1, 2, 30, 200])
def test_a_fleet_stays_within_and_uses_the_slow_start_budget(front_ends: int, capacity: float) -> None:
    """In the observed time, N is 15 to 39 calls per window at the first capacity, 48 to 125 at the second."""
    peaks, utilizations = zip(
        *(peak_load_and_utilization(Scenario(front_ends, capacity, seed)) for seed in range(2)),
        peak_load_and_utilization(
            Scenario(
                front_ends, capacity, 3, WINDOW_BOUNDARY_US - SECOND_US // 10, BURSTS_AROUND_A_BOUNDARY_US
            )
        ),
        strict=True,
    )
    assert max(peaks) <= 1
    assert min(utilizations) > 0.2, "too much of the budget is unused"


@pytest.mark.parametrize("killed_share", [0.1, 0.7, 1.0])
@pytest.mark.parametrize("front_ends", [1, 30, 200])
def test_a_fleet_stays_within_the_slow_start_budget_while_front_ends_are_killed(
    front_ends: int, killed_share: float
) -> None:
    """They are killed just after all have used up their budgets, when N is more than 100."""
    listed_at_us = 6 * WINDOW_BOUNDARY_US - SECOND_US // 10
    bursts_at_us = (
        listed_at_us + SECOND_US // 60,
        listed_at_us + SECOND_US,
        listed_at_us + SECOND_US * 3 // 2,
    )
    scenario = Scenario(
        front_ends,
        40.0,
        5,
        listed_at_us,
        bursts_at_us,
        killed_share,
        killed_at_us=listed_at_us + SECOND_US // 10,
    )
    assert peak_load_and_utilization(scenario)[0] <= 1


def test_the_checker_detects_one_call_too_many() -> None:
    """At an age of one second, N is 31.5 and the overload threshold 44.7. A window may begin at any time."""
    started_us, capacity = START_US, allowed_calls(SECOND_US, 1.0) ** -1 * 31.5
    arrivals_us = [started_us + SECOND_US + n * 10 for n in range(44)]
    assert peak_load(arrivals_us, started_us, capacity) <= 1
    assert peak_load([*arrivals_us, started_us + SECOND_US + 5], started_us, capacity) > 1
    in_two_windows = [
        arrival_us + (GUARDS.overload_window_us if n % 2 else 0) for n, arrival_us in enumerate(arrivals_us)
    ]
    assert peak_load(sorted(in_two_windows), started_us, capacity) < 0.6


@pytest.mark.parametrize("front_ends", [1, 2, 30, 200])
def test_the_checker_detects_budgets_that_are_too_large(
    front_ends: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(slow_start, "SLOW_START_SAFETY_FACTOR", 4 * slow_start.SLOW_START_SAFETY_FACTOR)
    assert (
        peak_load_and_utilization(
            Scenario(front_ends, 40.0, 3, WINDOW_BOUNDARY_US - SECOND_US // 10, BURSTS_AROUND_A_BOUNDARY_US)
        )[0]
        > 1
    )


def load_in_one_window(front_ends: int, allowed: float, seed: int) -> float:
    """Return the calls that a cold worker gets within one window, as a share of N.

    The window begins at a random time. Every front end has calls for the worker throughout the window, but
    none before. It measures the answer rate over the ten seconds before the window.
    """
    rng, age_us, steps = Random(seed), SECOND_US, 12
    capacity = allowed / allowed_calls(age_us, 1.0)
    begin_us = 1000 * SECOND_US + int(rng.random() * GUARDS.overload_window_us)
    sends = 0
    for index in range(front_ends):
        router_settings = replace(SETTINGS, guards=GUARDS, front_ends=front_ends, index=index)
        harness = RouterHarness(WARM_WORKERS, router_settings, now_us=begin_us - 100 * SECOND_US)
        answered_us = begin_us - 10.0 * SECOND_US
        while (
            answered_us := answered_us + rng.expovariate(capacity * WARM_WORKERS / front_ends) * SECOND_US
        ) < begin_us:
            harness.router.traffic.answers.add(int(answered_us))
        harness.now_us = begin_us
        harness.send_worker_list(
            api.ListKind.DELTA, listed_worker(WARM_WORKERS, started_at_us=begin_us - age_us)
        )
        cold_worker = harness.router.endpoints.workers[WARM_WORKERS]
        for step in range(steps):
            harness.router.context.now_us = begin_us + GUARDS.overload_window_us * step // steps
            while harness.router.slow_start.has_budget(cold_worker):
                cold_worker.recent_sends_us.append(harness.router.context.now_us)
                sends += 1
    return sends / allowed


@pytest.mark.parametrize("allowed", [35, 50])
def test_staggered_rounding_thresholds_keep_one_window_within_the_budget(allowed: int) -> None:
    """When the thresholds of all front ends changed at the same time, one window got 1.2 N on average.

    With staggered changes, a window sees half as many extra sends again as are allowed at one time, which
    gives 0.93 N.
    """
    loads = [load_in_one_window(200, allowed, seed) for seed in range(24)]
    assert max(loads) * allowed <= overload_threshold(allowed)
    assert (
        sum(loads) / len(loads)
        <= (1 + 1 / slow_start.ROUNDING_THRESHOLD_WINDOWS) * slow_start.SLOW_START_SAFETY_FACTOR
        <= 0.95
    )


def test_earlier_sends_still_count_when_an_unresponsive_worker_answers_again() -> None:
    """They may have arrived since the worker started, or may arrive with new ones when a partition heals."""
    harness = RouterHarness(2, replace(SETTINGS, guards=replace(GUARDS, overload_window_us=3 * SECOND_US)))
    harness.make_warm(1)
    for _ in range(100):
        harness.now_us += SECOND_US // 10
        harness.end_attempt(harness.send_request(), 0, 1)
    unresponsive_worker = harness.router.endpoints.workers[2]
    harness.router.context.now_us = harness.now_us
    unresponsive_worker.unresponsive_since_us = harness.now_us
    unresponsive_worker.recent_sends_us.extend([harness.now_us] * 60)
    harness.now_us += SECOND_US + 1
    harness.end_load_order(2)
    assert harness.router.slow_start.is_warming_up(unresponsive_worker)
    assert not harness.router.slow_start.has_budget(unresponsive_worker)


def test_a_budget_of_more_than_512_sends_is_limited() -> None:
    """When only the last 512 sends were counted, a budget above 512 was unlimited."""
    harness = RouterHarness(2, replace(SETTINGS, guards=GUARDS))
    for answered_us in range(harness.now_us, harness.now_us + 10 * SECOND_US, 500):
        harness.router.traffic.answers.add(answered_us)
    harness.now_us += 10 * SECOND_US
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(2, started_at_us=harness.now_us - SECOND_US))
    cold_worker, sent = harness.router.endpoints.workers[2], 0
    while harness.router.slow_start.has_budget(cold_worker) and sent < 3000:
        cold_worker.recent_sends_us.append(harness.now_us)
        sent += 1
    assert 512 < sent <= allowed_calls(SECOND_US, 1000.0)
