"""A cold worker under a whole fleet of routers on virtual time: what arrives there within any span."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from math import sqrt
from random import Random

import pytest

from walnutpost import interface as api
from walnutpost.policy import slow_start
from walnutpost.testsupport.policy.harness import SECOND, SETTINGS, Rig, of, worker

WARM_WORKERS = 10
COLD = WARM_WORKERS + 1
GUARDS = replace(SETTINGS.guards, overload_window_us=SECOND * 3 // 2)
BEGIN = 100 * SECOND
WARM_UP = 5 * SECOND  # until the worker restarts: the routers learn the rate of answers
FOLLOWED = 6 * SECOND
NETWORK_DELAY = 0.002  # seconds between the first byte and the whole call, at most
LATE_CONNECTIONS, CONNECT_TIME = 0.05, 1.0  # share of sends; at most, in seconds
LOAD = 0.88  # calls asked, as a share of what all workers serve
ANSWER_TIME = 0.1  # seconds, mean, besides the wait for a core


def strength(age: int) -> float:
    """The share of its capacity that a worker of this age has."""
    return GUARDS.start_capacity + (1 - GUARDS.start_capacity) * min(1.0, age / GUARDS.warm_up_us)


def calls_borne(age: int, capacity: float) -> float:
    """N: calls of mean work within a span that the settings allow a worker of this age."""
    return GUARDS.overload_factor * strength(age) * capacity * GUARDS.overload_window_us / SECOND


def falls_above(borne: float) -> float:
    return borne + 2 * sqrt(borne) + 2 if borne >= 30 else borne + 3 * sqrt(borne) + 3


def highest_share(arrivals: list[int], started: int, capacity: float) -> float:
    """The most that came within any span, as a share of what the worker falls at then. Independent of the
    router: it knows arrivals and the true capacity alone."""
    came, highest = sorted(arrivals), 0.0
    for number, end in enumerate(came):
        within = number + 1 - bisect_right(came, end - GUARDS.overload_window_us)
        highest = max(highest, within / falls_above(calls_borne(end - started, capacity)))
    return highest


def mean_use(arrivals: list[int], since: int, until: int, started: int, capacity: float) -> float:
    """What came, as a share of N over the whole time."""
    middle = (since + until) // 2 - started  # N grows evenly
    allowed = calls_borne(middle, capacity) * (until - since) / GUARDS.overload_window_us
    return sum(since <= at < until for at in arrivals) / allowed


@dataclass
class Day:
    """What happens to the fleet. Times in microseconds from the worker's start."""

    front_ends: int
    capacity: float  # calls a second that a warm worker serves
    seed: int = 1
    notice: int = SECOND // 2  # when the list tells of the restart
    crowds_at: tuple[int, ...] = ()  # when calls come to every front end at once
    killed: float = 0.0  # share of the front ends that are killed and replaced at once
    killed_at: int = SECOND
    uneven: bool = True  # some front ends see several times the mean


@dataclass
class Fleet:
    """Routers with calls in excess at the cold worker: all choose it first. The calls of the fleet take
    the whole capacity of all workers, warm ones, so that what each serves is its capacity."""

    day: Day
    now: int = BEGIN
    arrivals: list[int] = field(default_factory=list)
    rigs: list[Rig] = field(default_factory=list)
    _due: list[tuple[int, int, str, tuple[int, ...]]] = field(default_factory=list)
    free_at: dict[int, int] = field(default_factory=dict)
    _number: int = 0

    def __post_init__(self) -> None:
        day = self.day
        self.rng = Random(day.seed)
        slices = [self.rng.lognormvariate(0, 0.7) if day.uneven else 1.0 for _ in range(day.front_ends)]
        all_calls = LOAD * day.capacity * (WARM_WORKERS + 1)
        self.rates = [all_calls * part / sum(slices) for part in slices]
        self.started = BEGIN + WARM_UP
        self.lives = [0] * day.front_ends
        self.rigs = [self._router(index) for index in range(day.front_ends)]

    def _router(self, index: int) -> Rig:
        day = self.day
        site = replace(
            SETTINGS,
            guards=GUARDS,
            front_ends=day.front_ends,
            index=index,
            may_order_loads=False,
            loads_on_miss=True,
            has_weights=True,
        )
        rig = Rig(0, site, seed=day.seed * 1000 + index, now=self.now)
        rig.list_workers(api.ListKind.CACHED, *(worker(i + 1) for i in range(WARM_WORKERS)))
        if self.now >= self.started + day.notice:
            self._tell(rig)
        return rig

    def _tell(self, rig: Rig) -> None:
        """The list tells of the cold worker, and a copy is known there. Every router's first choice, as it
        weighs more than all others."""
        rig.list_workers(api.ListKind.DELTA, replace(worker(COLD, started=self.started), weight=1e6))
        rig.load_ended(COLD)

    def _later(self, at: float, what: str, *ref: int) -> None:
        self._number += 1
        heappush(self._due, (int(at), self._number, what, ref))

    def play(self) -> Fleet:
        day = self.day
        end = self.started + day.notice + FOLLOWED
        for index in range(day.front_ends):
            self._next_call(index)
        self._later(self.started + day.notice, "listed")
        for at in day.crowds_at:
            self._later(self.started + at, "crowd")
        if day.killed:
            self._later(self.started + day.killed_at, "killed")
        while self._due[0][0] < end:
            self.now, _, what, ref = heappop(self._due)
            getattr(self, f"_{what}")(*ref)
        return self

    def _next_call(self, index: int) -> None:
        self._later(self.now + self.rng.expovariate(self.rates[index]) * SECOND, "call", index)

    def _call(self, index: int) -> None:
        self._next_call(index)
        self._ask(index)

    def _ask(self, index: int) -> None:
        rig = self.rigs[index]
        rig.now = self.now
        rig.ask(concurrency=1000)
        self._carry_out(index)
        for wid in rig.router.endpoints.workers.keys() - rig.router.functions.by_key[7].copies.keys():
            rig.load_ended(wid)  # copies stand everywhere
            self._carry_out(index)

    def _carry_out(self, index: int) -> None:
        rig, rng = self.rigs[index], self.rng
        for sent in of(api.Send, rig.actions):
            attempt = len(rig.router.requests.by_id[sent.request].attempts) - 1
            late = rng.random() < LATE_CONNECTIONS
            connected = self.now + int(rng.random() * CONNECT_TIME * SECOND * late)
            ref = (index, self.lives[index], sent.request, attempt, sent.worker)
            if connected > self.now + sent.begin_within_us:
                self._later(self.now + sent.begin_within_us, "ended", *ref, 0)
                continue
            arrived = connected + int(rng.random() * NETWORK_DELAY * SECOND)
            if sent.worker == COLD:
                self.arrivals.append(arrived)
            self._later(self._answered(sent.worker, arrived), "ended", *ref, 1)

    def _answered(self, wid: int, arrived: int) -> float:
        """A warm worker works its calls off one after the other, so it never serves more than its capacity;
        the cold one answers at once, so that its calls don't pile up and no other limit is met first."""
        if wid != COLD:
            arrived = max(arrived, self.free_at.get(wid, 0)) + int(SECOND / self.day.capacity)
            self.free_at[wid] = arrived
        return arrived + self.rng.expovariate(1 / ANSWER_TIME) * SECOND

    def _ended(self, index: int, life: int, request: int, attempt: int, wid: int, begun: int) -> None:
        if life != self.lives[index]:
            return
        rig = self.rigs[index]
        rig.now = self.now
        rig.attempt_ended(request, attempt, wid, api.Outcome.OK if begun else api.Outcome.MOOT)
        self._carry_out(index)

    def _listed(self) -> None:
        for index, rig in enumerate(self.rigs):
            rig.now = self.now
            self._tell(rig)
            self._carry_out(index)

    def _crowd(self) -> None:
        for index in range(self.day.front_ends):
            for _ in range(max(1, 60 // self.day.front_ends)):
                self._ask(index)

    def _killed(self) -> None:
        for index in range(int(self.day.killed * self.day.front_ends + 0.5)):
            self.lives[index] += 1
            self.rigs[index] = self._router(index)


def share_and_use(day: Day) -> tuple[float, float]:
    fleet = Fleet(day).play()
    told = fleet.started + day.notice
    return (
        highest_share(fleet.arrivals, fleet.started, day.capacity),
        mean_use(fleet.arrivals, told, told + FOLLOWED, fleet.started, day.capacity),
    )


BORDER = GUARDS.overload_window_us  # the start is at a border between spans of the clock, and so is this
CROWD_AROUND_A_BORDER = (BORDER - SECOND // 12, BORDER + SECOND // 50)


@pytest.mark.parametrize("capacity", [12.5, 40.0])
@pytest.mark.parametrize("front_ends", [1, 2, 30, 200])
def test_a_fleet_stays_within_and_uses_the_slow_start_budget(front_ends: int, capacity: float) -> None:
    """While it is followed, N is 15 to 39 calls a span at the first capacity, 48 to 125 at the second."""
    shares, uses = zip(
        *(share_and_use(Day(front_ends, capacity, seed)) for seed in range(2)),
        share_and_use(Day(front_ends, capacity, 3, BORDER - SECOND // 10, CROWD_AROUND_A_BORDER)),
        strict=True,
    )
    assert max(shares) <= 1
    assert min(uses) > 0.2, "no budget is left lying about"


@pytest.mark.parametrize("killed", [0.1, 0.7, 1.0])
@pytest.mark.parametrize("front_ends", [1, 30, 200])
def test_a_fleet_stays_within_the_slow_start_budget_while_front_ends_are_killed(
    front_ends: int, killed: float
) -> None:
    """Just after all have sent what they may, and the worker has grown to more than N = 100."""
    notice = 6 * BORDER - SECOND // 10
    crowds = (notice + SECOND // 60, notice + SECOND, notice + SECOND * 3 // 2)
    day = Day(front_ends, 40.0, 5, notice, crowds, killed, killed_at=notice + SECOND // 10)
    assert share_and_use(day)[0] <= 1


def test_the_checker_finds_one_call_too_many() -> None:
    """N is 31.5 at a second's age, so 44.7 calls are borne; spans need not begin anywhere in particular."""
    started, capacity = BEGIN, calls_borne(SECOND, 1.0) ** -1 * 31.5
    within = [started + SECOND + n * 10 for n in range(44)]
    assert highest_share(within, started, capacity) <= 1
    assert highest_share([*within, started + SECOND + 5], started, capacity) > 1
    apart = [at + (GUARDS.overload_window_us if n % 2 else 0) for n, at in enumerate(within)]
    assert highest_share(sorted(apart), started, capacity) < 0.6


@pytest.mark.parametrize("front_ends", [1, 2, 30, 200])
def test_the_checker_finds_parts_that_are_too_large(front_ends: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "SLOW_START_SAFETY_FACTOR", 4 * slow_start.SLOW_START_SAFETY_FACTOR)
    assert share_and_use(Day(front_ends, 40.0, 3, BORDER - SECOND // 10, CROWD_AROUND_A_BORDER))[0] > 1


def most_in_any_span(front_ends: int, borne: float, seed: int) -> float:
    """What a cold worker gets within a span, against N, when every front end has calls for it at all times of
    one span that begins anywhere, and none before. Each knows its rate from the answers of ten seconds."""
    rng, age, spans = Random(seed), SECOND, 12
    capacity = borne / calls_borne(age, 1.0)
    begin = 1000 * SECOND + int(rng.random() * GUARDS.overload_window_us)
    sends = 0
    for index in range(front_ends):
        site = replace(SETTINGS, guards=GUARDS, front_ends=front_ends, index=index)
        rig = Rig(WARM_WORKERS, site, now=begin - 100 * SECOND)
        answered = begin - 10.0 * SECOND
        while (answered := answered + rng.expovariate(capacity * WARM_WORKERS / front_ends) * SECOND) < begin:
            rig.router.traffic.answers.add(int(answered))
        rig.now = begin
        rig.list_workers(api.ListKind.DELTA, worker(WARM_WORKERS, started=begin - age))
        cold = rig.router.endpoints.workers[WARM_WORKERS]
        for step in range(spans):
            rig.router.context.now_us = begin + GUARDS.overload_window_us * step // spans
            while rig.router.slow_start.has_budget(cold):
                cold.recent_sends_us.append(rig.router.context.now_us)
                sends += 1
    return sends / borne


@pytest.mark.parametrize("borne", [35, 50])
def test_turns_of_adjacent_windows_stay_within_the_budget(borne: int) -> None:
    """Turns of all front ends ended at once and the next ones began: 1.2 N within a span, besides chance.
    Half as many again as have a turn at one time are 0.93 N."""
    most = [most_in_any_span(200, borne, seed) for seed in range(24)]
    assert max(most) * borne <= falls_above(borne)
    assert (
        sum(most) / len(most)
        <= (1 + 1 / slow_start.TURN_WINDOWS) * slow_start.SLOW_START_SAFETY_FACTOR
        <= 0.95
    )


def test_a_return_from_silence_does_not_forget_what_was_sent_before() -> None:
    """It may have reached the worker since its start, or come with all else when a cut heals."""
    rig = Rig(2, replace(SETTINGS, guards=replace(GUARDS, overload_window_us=3 * SECOND)))
    rig.warm(1)
    for _ in range(100):
        rig.now += SECOND // 10
        rig.attempt_ended(rig.ask(), 0, 1)
    other = rig.router.endpoints.workers[2]
    rig.router.context.now_us = rig.now
    other.silent_since_us = rig.now
    other.recent_sends_us.extend([rig.now] * 60)
    rig.now += SECOND + 1
    rig.load_ended(2)
    assert rig.router.slow_start.is_warming_up(other)
    assert not rig.router.slow_start.has_budget(other)


def test_a_large_budget_is_bounded_too() -> None:
    """Only the last 512 sends were counted, so a part above that had no end."""
    rig = Rig(2, replace(SETTINGS, guards=GUARDS))
    for answered in range(rig.now, rig.now + 10 * SECOND, 500):
        rig.router.traffic.answers.add(answered)
    rig.now += 10 * SECOND
    rig.list_workers(api.ListKind.DELTA, worker(2, started=rig.now - SECOND))
    cold, taken = rig.router.endpoints.workers[2], 0
    while rig.router.slow_start.has_budget(cold) and taken < 3000:
        cold.recent_sends_us.append(rig.now)
        taken += 1
    assert 512 < taken <= calls_borne(SECOND, 1000.0)
