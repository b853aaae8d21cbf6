"""What the policy's parts speak of, and the lowest of them: the time, the timers, what is open."""

import math
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from walnutpost import interface as api
from walnutpost.policy.ration import OrderRation

NEVER_RAN = frozenset((api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.MOOT, api.Outcome.MISS))
HEARD_FROM = frozenset((api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.MISS))
SHARE_SPAN, SAMPLE_SPAN = 2.0, 0.5  # keep-alives: for a function's share of calls, for samples of a worker
RATE_SPAN, SHED_MEMORY = 2.0, 256  # aims over which rates are taken; requests that worth is ranked among
ECHO_TICKS, ECHO_LEAST = 16, 0.04  # ticks, and aims, until an unanswered question means silence
QUIET_PACE, QUIET_LEAST, QUIET_MOST = 2.0, 0.1, 0.5  # usual latencies of quiet until asked; bounds in aims
QUIET_PRICE = 0.01  # of a question, up to which that pace holds; at e times the price it is one latency more


class Rate:
    """Events per microsecond, lately; an older one weighs less."""

    def __init__(self, span: float) -> None:
        self.span, self.count, self.at, self.began = span, 0.0, 0, 0

    def add(self, now: int, amount: float = 1.0) -> None:
        self.began = self.began or now
        self.count, self.at = self.weighed(now) + amount, now

    def weighed(self, now: int) -> float:
        return self.count * math.exp((self.at - now) / self.span)

    def lately(self, now: int, age: int = 0) -> float:
        seen = 1 - math.exp(-max(age or now - self.began, 1) / self.span)  # else it looks small after a start
        return self.weighed(now) / self.span / seen


@dataclass(slots=True, eq=False)
class Worker:
    info: api.Worker
    started: int  # start time told, or the return from a long silence; 0 is long ago
    samples: Rate  # of how slow or busy it is against the fleet's usual: how many lately, and their sum
    strain: Rate
    ready: bool = True
    weight: float = 1.0
    out: int = 0
    heard: int = 0
    asked: int | None = None
    silent_since: int | None = None
    ordered: int = 0  # when the first order or question went there since it last answered; 0 is never
    late_orders: list[int] = field(default_factory=list)  # when those ended that may still arrive
    faults: float = 0.0  # share of errors among its last answers
    fault_at: int = 0
    sends: deque[int] = field(default_factory=deque)  # of the last span, for slow start


@dataclass(slots=True, eq=False)
class Copy:
    touched: int
    count: int = 1
    sure: bool = False  # seen to stand, not only sent to


@dataclass(slots=True, eq=False)
class Function:
    key: int
    calls: Rate
    lanes: int = 1
    load_time: int = 0
    copies: dict[int, Copy] = field(default_factory=dict)  # believed warm
    out: Counter[int] = field(default_factory=Counter)  # own requests in flight, by worker
    held: dict[int, None] = field(default_factory=dict)
    pending: dict[int, int] = field(default_factory=dict)  # orders of the scale-up in flight
    order: list[Worker] = field(default_factory=list)  # all workers by hash rank, as of list number order_of
    order_of: int = 0
    barred: dict[int, int] = field(default_factory=dict)  # worker -> no order before
    missed: dict[int, int] = field(default_factory=dict)  # worker -> held no copy and no load then
    failures: int = 0
    next_try: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    worker: int
    sent: int
    warm: bool
    outcome: api.Outcome | None = None


@dataclass(slots=True, eq=False)
class Request:
    id: int
    cls: api.RequestClass
    fn: Function
    expires: int
    came: int | None  # at the earliest; None once it is counted
    hint: int | None
    attempts: list[Attempt] = field(default_factory=list)
    avoid: list[int] = field(default_factory=list)
    done: bool = False


class RouterState:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._s = settings
        self._rng = Random(seed)
        self._now = 0
        self._actions: list[api.Action] = []
        self._functions: dict[int, Function] = {}
        self._requests: dict[int, Request] = {}
        self._queue: list[tuple[int, str, int]] = []
        self._timers: dict[tuple[str, int], int] = {}
        self._armed: int | None = None
        self._keep = settings.keep_alive or settings.order_timeout or 1
        self._aim = max(1, min((c.aim for c in settings.classes), default=1))
        self._began, self._ends = 0, 1 << 62  # of this front end
        self._others = 1 - 1 / max(1, settings.front_ends)  # part of all calls that others send
        self._workers: dict[int, Worker] = {}
        self._all_out, self._all_weight, self._ready, self._list_number = 0, 1.0, 0, 0  # kept, not summed
        self._asked_list = False
        self._latency, self._load = 0.25 * self._aim, 0.5 * self._aim  # usual, until seen
        self._fleet, self._strained = 1.0, 1.0  # mean pace and strain
        self._faults = 0.0  # share of errors among all answers
        self._came, self._served = Rate(SHARE_SPAN * self._keep), Rate(RATE_SPAN * self._aim)
        self._recent: deque[tuple[float, int]] = deque(maxlen=SHED_MEMORY)
        self._ration = OrderRation(settings)
        self._grace = int(max(ECHO_TICKS * self._s.tick, ECHO_LEAST * self._aim))
        self._quiet = QUIET_PACE + math.log(max(1.0, settings.prices.probe / QUIET_PRICE))

    def _later(self, when: float, what: str, ref: int) -> None:
        due = int(max(when, self._now + max(1, self._s.tick)))
        if due < self._timers.get((what, ref), due + 1):
            self._timers[what, ref] = due
            heappush(self._queue, (due, what, ref))

    def _ripe(self) -> Iterator[tuple[str, int]]:
        while self._queue and self._queue[0][0] <= self._now:
            due, what, ref = heappop(self._queue)
            if self._timers.get((what, ref)) == due:  # else an earlier one took its place
                del self._timers[what, ref]
                yield what, ref
        now = self._now
        if self._queue and (self._armed is None or self._armed <= now or self._queue[0][0] < self._armed):
            self._armed = self._queue[0][0]
            self._actions.append(api.SetTimer(self._armed - now, 1))
