"""Every decision of walnutpost; the types it speaks are in interface.py."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import islice
from random import Random

from walnutpost import interface as api
from walnutpost.interface import Effect, Group, ListKind, Outcome, Warmth, WorkerState

# An attempt with one of these outcomes certainly had no effect.
NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MISS))
HEARD_FROM = frozenset((Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.MISS))
RATION_HELD, RATION_OVERFLOW, RATION_RENEWAL = 1.0, 0.8, 0.5  # shares of the load ration for each purpose
RENEW_AFTER = 0.6  # of the keep-alive: late enough that traffic mostly renews, early enough to be in time
RENEW_CALLS = 0.75  # in use: so many calls, older ones weighing less; one-offs have fewer by then
LOAD_OVERDUE = 3.0  # times the usual load after which a scale-up no longer bars the next
ORDER_BACKOFF, ORDER_DOUBLINGS = 0.5, 4  # of the usual load: wait after a failed order, doubled in a row
SPREAD, SHARE_SPAN = 8.0, 2.0  # copies a worker's worth of traffic is spread to; keep-alives it is seen over
LASTING, RENEWED = 4.0, 3.0  # keep-alives that belief lasts where others' calls renew a copy so often in one
ASK, EXPECT_WIDTH, EXPECT_KEPT = 0, 2, 2  # copies that only ask; places looked at; attempts kept for copies
MISS_TRUST = 0.5  # of the usual load: how long a miss is believed; others may order a load meanwhile
QUIET_PACE, QUIET_LEAST, QUIET_MOST = 2.0, 0.1, 0.5  # usual latencies of quiet until asked; bounds in aims
QUIET_PRICE = 0.01  # of a question, up to which that pace holds; at e times the price it is one latency more
RENEW_GRAIN = 0.03  # keep-alives that renewals are rounded up to: many functions share a timer
ECHO_TICKS, ECHO_LEAST = 16, 0.04  # ticks, and aims, until an unanswered question means silence
SET_ASIDE_MOST, TRIAL_AFTER = 0.5, 0.5  # of the ready workers; aims between questions to a silent one
COLD_CAUTION = 0.6  # of the derived budget: workers differ, and so do the front ends' slices
PACE_GAIN, FLEET_GAIN = 0.2, 0.02  # weight of one answer in a worker's and in the fleet's pace
SLOW_FROM = 1.5  # times the fleet's usual that leave no room; less weighs as far as others send calls unseen
SIGN_SPAN, SIGN_PRIOR = 0.5, 1.0  # keep-alives that a sign is news for; signs' worth of trust in the usual
BUSY_MOST, FULL_SIGN = 20.0, 4.0  # strain of wholly busy cores, before the mean; that of a full answer
FAIL_GAIN, FAIL_FROM = 0.2, 0.25  # weight of an error, twice an answer's; share of errors beyond the fleet's
FAULTY_FROM = 0.15  # share of errors that makes a worker worn, and second to others for unsafe calls
CROWD_FROM, CROWD_LEAST = 1.3, 1  # times the mean requests out, and so many more, make a worker crowded
SHED_FROM, SHED_FULL = 0.3, 0.7  # of the aim: time to answer at which refusals begin, and reach their most
SHED_CROWDED = 0.5  # weight of the worth of a request with no free lane, which would cost a load besides
SHED_MOST, SHED_CHANCE = 0.9, 1.0  # of the requests; deviations of the number in flight put down to chance
RATE_SPAN, SHED_MEMORY = 2.0, 256  # aims over which rates are taken; requests that worth is ranked among
TURN_STEP, TURN_SHIFT = 0.6180339887, 0.7548776662  # irrational, so turns fall evenly on front ends and spans
MASK = (1 << 64) - 1


def hash_rank(function: int, worker: int, weight: float) -> float:
    """Weighted rendezvous rank, the same at every front end; the highest comes first."""
    x = (function * 0x9E3779B97F4A7C15 + worker * 0xC2B2AE3D27D4EB4F) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    x ^= x >> 31
    return -weight / math.log((x + 1) / (MASK + 2))


class _Rate:
    """Events per microsecond, lately; an older one weighs less."""

    def __init__(self, span: float) -> None:
        self.span, self.count, self.at, self.began = span, 0.0, 0, 0

    def add(self, now: int) -> None:
        self.began = self.began or now
        self.count, self.at = self.weighed(now) + 1, now

    def weighed(self, now: int) -> float:
        return self.count * math.exp((self.at - now) / self.span)

    def lately(self, now: int) -> float:
        seen = 1 - math.exp(min(self.began - now, -1) / self.span)  # else it looks small after a start
        return self.weighed(now) / self.span / seen


@dataclass(slots=True, eq=False)
class _Worker:
    info: api.Worker
    started: int  # start time told, or the return from a long silence; 0 is long ago
    ready: bool = True
    weight: float = 1.0
    out: int = 0
    heard: int = 0
    asked: int | None = None
    silent_since: int | None = None
    signs: float = 0.0  # of how slow or busy it is against the fleet's usual: how many lately, their sum
    strain: float = 0.0
    signed_at: int = 0
    faults: float = 0.0  # share of errors among its last answers
    fault_at: int = 0
    sends: deque[int] = field(default_factory=lambda: deque(maxlen=512))  # for the cold budget


@dataclass(slots=True, eq=False)
class _Copy:
    touched: int
    count: int = 1
    sure: bool = False  # seen to stand, not only sent to


@dataclass(slots=True, eq=False)
class _Function:
    key: int
    calls: _Rate
    lanes: int = 1
    load_time: int = 0
    copies: dict[int, _Copy] = field(default_factory=dict)  # believed warm
    out: dict[int, int] = field(default_factory=dict)  # own requests in flight, by worker
    held: dict[int, None] = field(default_factory=dict)
    pending: dict[int, int] = field(default_factory=dict)  # orders of the scale-up in flight
    order: list[_Worker] = field(default_factory=list)  # all workers by hash rank, as of list number order_of
    order_of: int = 0
    barred: dict[int, int] = field(default_factory=dict)  # worker -> no order before
    missed: dict[int, int] = field(default_factory=dict)  # worker -> held no copy and no load then
    failures: int = 0
    next_try: int = 0


@dataclass(slots=True, eq=False)
class _Attempt:
    worker: int
    sent: int
    warm: bool
    outcome: Outcome | None = None


@dataclass(slots=True, eq=False)
class _Request:
    id: int
    cls: api.RequestClass
    fn: _Function
    expires: int
    hint: int | None
    attempts: list[_Attempt] = field(default_factory=list)
    avoid: list[int] = field(default_factory=list)
    done: bool = False


class Router:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._s = settings
        self._rng = Random(seed)
        self._now = 0
        self._actions: list[api.Action] = []
        self._workers: dict[int, _Worker] = {}
        self._all_out, self._all_weight, self._ready, self._list_number = 0, 1.0, 0, 0  # kept, not summed
        self._functions: dict[int, _Function] = {}
        self._requests: dict[int, _Request] = {}
        self._queue: list[tuple[int, str, int]] = []
        self._timers: dict[tuple[str, int], int] = {}
        self._armed: int | None = None
        self._orders: deque[int] = deque()
        self._taken: deque[int] = deque()
        self._keep = settings.keep_alive or settings.order_timeout or 1
        self._aim = max(1, min((c.aim for c in settings.classes), default=1))
        self._quiet = QUIET_PACE + math.log(max(1.0, settings.prices.probe / QUIET_PRICE))
        self._grace = int(max(ECHO_TICKS * settings.tick, ECHO_LEAST * self._aim))
        self._latency, self._load = 0.25 * self._aim, 0.5 * self._aim  # usual, until seen
        self._fleet, self._strained = 1.0, 1.0  # mean pace and strain
        self._faults = 0.0  # share of errors among all answers
        self._began, self._asked_list = 0, False
        self._others = 1 - 1 / max(1, settings.front_ends)  # part of all calls that others send
        self._came, self._served = _Rate(SHARE_SPAN * self._keep), _Rate(RATE_SPAN * self._aim)
        self._recent: deque[tuple[float, int]] = deque(maxlen=SHED_MEMORY)

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self._now, self._actions = now, []
        self._began = self._began or now
        match event:
            case api.RequestArrived():
                self._arrive(event)
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.HoldEnded():
                self._hold_ended(event)
            case api.WorkersListed():
                self._listed(event)
            case api.RequestGone(request) if request in self._requests:
                if self._taken:
                    self._taken.pop()  # clients may ask and take back by the hundreds: no ground for orders
                self._close(self._requests[request])
            case api.AnswerStarted(request) if request in self._requests:
                self._requests[request].done = True
        while self._queue and self._queue[0][0] <= now:
            due, what, ref = heappop(self._queue)
            if self._timers.get((what, ref)) == due:  # else an earlier one took its place
                del self._timers[what, ref]
                self._due(what, ref)
        if self._queue and (self._armed is None or self._armed <= now or self._queue[0][0] < self._armed):
            self._armed = self._queue[0][0]
            self._actions.append(api.SetTimer(self._armed - now, 1))
        return self._actions

    def named(self) -> tuple[Collection[int], Collection[int]]:
        """Functions and workers that actions to come may name; all others may be forgotten outside, too."""
        return self._functions.keys(), self._workers.keys()

    def _later(self, when: float, what: str, ref: int) -> None:
        """One timer for each purpose and its object; the earliest holds."""
        due = int(max(when, self._now + max(1, self._s.tick)))
        if due < self._timers.get((what, ref), due + 1):
            self._timers[what, ref] = due
            heappush(self._queue, (due, what, ref))

    def _due(self, what: str, ref: int) -> None:
        fn, req = self._functions.get(ref), self._requests.get(ref)
        if what == "watch" and ref in self._workers:
            self._watch(self._workers[ref])
        elif what == "list":
            self._actions.append(api.FollowList(True))
        elif what == "deadline" and req:
            self._answer(req)
        elif what == "renew" and fn:
            self._renew(fn)
        elif what == "wake" and fn:
            self._release(fn)

    # Arrivals and the ordinary path

    def _arrive(self, e: api.RequestArrived) -> None:
        now = self._now
        fn = self._functions.setdefault(e.function, _Function(e.function, _Rate(SHARE_SPAN * self._keep)))
        fn.lanes, fn.load_time = max(1, int(e.lanes)), e.load_time
        self._renew_later(fn)
        if self._s.guards.load_window > 0:
            self._taken.append(now)
        self._came.add(now)
        fn.calls.add(now)
        cls = self._s.classes[min(e.class_index, len(self._s.classes) - 1)]
        req = _Request(e.request, cls, fn, now + e.time_left, e.cost_hint)
        self._requests[e.request] = req
        if e.time_left <= 0 or self._sheds(req, e.tenant):
            return self._answer(req)
        self._later(req.expires - self._s.tick, "deadline", req.id)  # out before the client leaves
        self._place(req)

    def _place(self, req: _Request) -> None:
        """The design's path: least-busy warm worker, over target too; hold only while nothing is warm."""
        worker = self._choose(req)
        if worker is None and self._others and (expected := self._expected(req)) is not None:
            return self._send(req, expected)
        over = worker is None or self._over(req.fn, worker) or len(req.fn.copies) < self._spread(req.fn)
        if worker is None:
            req.fn.held[req.id] = None
        else:
            self._send(req, worker)
        self._scale_up(req.fn) if over else None

    def _over(self, fn: _Function, w: _Worker) -> bool:
        """No room: lanes taken, or a slow or crowded worker."""
        return fn.out.get(w.info.id, 0) >= fn.lanes * fn.copies[w.info.id].count or self._worn(w)

    def _warm(self, fn: _Function) -> list[_Worker]:
        """Workers believed to hold a copy; belief lapses after the keep-alive unless work is out there."""
        since = self._now - self._keep * (LASTING if self._kept(fn) else 1)
        for key in [k for k, c in fn.copies.items() if c.touched < since and k not in fn.out]:
            del fn.copies[key]
        return [w for w in map(self._workers.__getitem__, fn.copies) if w.ready and w.silent_since is None]

    def _choose(self, req: _Request) -> _Worker | None:
        unsafe = req.cls.effect is Effect.UNSAFE

        def busy(w: _Worker) -> tuple[bool, bool, float, float]:
            load = (w.out + 1) * self._slowness(w) / w.weight
            return unsafe and self._suspect(w), self._over(req.fn, w), load, self._rng.random()

        warm = (w for w in self._warm(req.fn) if self._may_send(req, w) and not (unsafe and self._fails(w)))
        return min(warm, key=busy, default=None)

    def _expected(self, req: _Request) -> _Worker | None:
        """Where others' copies should stand by the hash order: the call itself looks, as a miss proves it
        never ran; each front end's questions would cost as much as orders. Harm: a way there for nothing."""
        fn, unsafe = req.fn, req.cls.effect is Effect.UNSAFE
        left = self._s.limits.max_attempts - EXPECT_KEPT - len(req.attempts)
        if self._s.loads_on_miss or not self._s.may_load or fn.pending or left <= 0:
            return None
        told = self._now - MISS_TRUST * self._usual_load(fn)
        likely = islice((w for w in self._hash_order(fn) if w.silent_since is None), EXPECT_WIDTH)
        new = (w for w in likely if fn.missed.get(w.info.id, 0) <= told and not (unsafe and self._fails(w)))
        return next((w for w in new if self._may_send(req, w)), None)

    def _release(self, fn: _Function) -> None:
        """All held requests leave for the first copy that appears."""
        self._depart(fn, self._choose)
        if fn.held:
            self._scale_up(fn)

    def _depart(self, fn: _Function, pick: Callable[[_Request], _Worker | None]) -> None:
        for req in [self._requests[rid] for rid in fn.held]:
            worker = pick(req)
            if worker is not None:
                del fn.held[req.id]
                self._send(req, worker)

    # The scale-up and renewals

    def _usual_load(self, fn: _Function) -> float:
        return max(float(fn.load_time), self._load)

    def _target(self, fn: _Function, warm: list[_Worker]) -> int:
        demand = sum(fn.out.get(w.info.id, 0) for w in warm) + len(fn.held) + 1
        return max(1, math.ceil(demand / fn.lanes), self._spread(fn))

    def _kept(self, fn: _Function) -> bool:
        """The others' calls, foretold from this slice, renew each copy often."""
        return fn.calls.weighed(self._now) / SHARE_SPAN * (self._s.front_ends - 1) >= RENEWED * len(fn.copies)

    def _spread(self, fn: _Function) -> int:
        """A slice hides how busy a function is everywhere, but shows its share of all calls, less what chance
        explains: its copies go to that share of the workers, times over, so that none carries much of it.
        Guards against hot workers under many front ends. Harm: memory and fetches."""
        calls = fn.calls.weighed(self._now)
        share = (calls - math.sqrt(calls)) / (self._came.weighed(self._now) + 1)
        return math.ceil(min(SPREAD * share, 1.0) * self._ready * self._others)

    def _weight(self, info: api.Worker) -> float:
        """Told size; else the root of its kind's told memory, since more cores are often slower."""
        memory = self._s.memory_by_kind[info.kind : info.kind + 1]
        return info.weight if self._s.weighted else math.sqrt(sum(memory) or 1.0)

    def _hash_order(self, fn: _Function) -> list[_Worker]:
        if fn.order_of != self._list_number:
            fn.order_of = self._list_number
            fn.order = sorted(self._workers.values(), key=lambda w: -hash_rank(fn.key, w.info.id, w.weight))
        return [w for w in fn.order if w.ready]

    def _scale_up(self, fn: _Function) -> None:
        now = self._now
        overdue = LOAD_OVERDUE * self._usual_load(fn)
        barred_until = max(fn.next_try, max(fn.pending.values(), default=-overdue) + overdue)
        if now < barred_until:  # one scale-up at a time, and a back-off after a failed one
            return self._later(barred_until, "wake", fn.key)
        warm = self._warm(fn)
        lacking = self._target(fn, warm) - sum(fn.copies[w.info.id].count for w in warm)
        if warm and self._shortage() > 0:
            lacking = 0  # more copies add no cores, and their loads take some
        lacking = max(lacking, int(all(map(self._worn, warm))))  # one elsewhere if all are slow or crowded
        fit = [w for w in self._hash_order(fn) if w.silent_since is None]
        known = {**fn.copies, **fn.pending, **{k: t for k, t in fn.barred.items() if t > now}}
        for w in islice((w for w in fit if w.info.id not in known and not self._worn(w)), max(0, lacking)):
            if self._order(fn, w, 1, RATION_HELD if fn.held else RATION_OVERFLOW):
                fn.pending[w.info.id] = now
        if fn.held:
            if now not in fn.pending.values():
                free = (w for w in fit if fn.barred.get(w.info.id, 0) <= now and not self._worn(w))
                self._without_order(fn, list(islice(free, self._s.limits.max_attempts)) or fit)
            self._later(now + self._usual_load(fn) / 4, "wake", fn.key)
        return None

    def _without_order(self, fn: _Function, order: list[_Worker]) -> None:
        """Requests held, ration spent or orders barred: they go to the first of the hash order and load
        there, or where absence means a miss find what others have loaded. Harm: loads beyond the ration."""
        if self._s.loads_on_miss or not self._s.may_load:
            return self._depart(fn, lambda req: next((w for w in order if self._may_send(req, w)), None))
        self._depart(fn, self._expected)
        fn.next_try = int(self._now + self._usual_load(fn) / 4)

    def _renew(self, fn: _Function) -> None:
        """Copies in use, up to the target, that traffic has not renewed itself; others lapse."""
        now, warm = self._now, self._warm(fn)
        if fn.calls.weighed(now) >= RENEW_CALLS and not self._kept(fn):
            believed = [w for w in self._hash_order(fn) if w in warm]
            for w in believed[: self._target(fn, warm)]:
                if now - fn.copies[w.info.id].touched >= RENEW_AFTER * self._keep * 0.9:
                    self._order(fn, w, 1, RATION_RENEWAL)
        if fn.copies or fn.held or fn.out or fn.pending:
            self._renew_later(fn)
        else:
            del self._functions[fn.key]

    def _renew_later(self, fn: _Function) -> None:
        due = min((c.touched for c in fn.copies.values()), default=self._now) + RENEW_AFTER * self._keep
        grain = RENEW_GRAIN * self._keep
        self._later((max(due, self._now + self._keep / 8) // grain + 1) * grain, "renew", fn.key)

    # Choke points: the only places that emit sends, hold orders and final answers

    def _may_send(self, req: _Request, w: _Worker) -> bool:
        """Rules 1 to 4 for one send: unanswered, in time, repeat allowed, worker stays, cold budget kept."""
        if req.done or not w.ready or w.info.id in req.avoid or not self._may_try_again(req):
            return False
        for a in req.attempts:
            if req.cls.effect is Effect.KEYED and a.outcome not in NEVER_RAN:
                first, group = self._workers[a.worker].info, req.cls.group
                apart = {Group.ZONE: first.zone != w.info.zone, Group.CELL: first.cell != w.info.cell}
                if apart.get(group, False) or self._now - a.sent > req.cls.window:
                    return False
        return self._cold_room(w)

    def _may_try_again(self, req: _Request) -> bool:
        limits, safe = self._s.limits, req.cls.effect is not Effect.UNSAFE
        left = len(req.attempts) < limits.max_attempts and self._now < req.expires - self._s.tick
        alone = limits.parallel_tries or all(a.outcome for a in req.attempts)
        return left and alone and (safe or all(a.outcome in NEVER_RAN for a in req.attempts))

    def _cold_room(self, w: _Worker) -> bool:
        """Rule 4: this front end's part of what a cold worker bears within any span, by what warm ones serve:
        so all parts add up. A part below one send is a turn in so many spans; one each would be too much."""
        g, age = self._s.guards, self._now - w.started
        if not w.started or age >= g.cold_for or g.overload_for <= 0:
            return True
        while w.sends and w.sends[0] < self._now - g.overload_for:
            w.sends.popleft()
        strength = g.start_capacity + (1 - g.start_capacity) * max(0, age) / g.cold_for
        rate = self._served.lately(self._now) / (self._ready or 1)
        budget = COLD_CAUTION * g.overload_factor * strength * rate * g.overload_for
        turn = ((self._s.index + w.info.id) * TURN_STEP + self._now // g.overload_for * TURN_SHIFT) % 1
        return len(w.sends) < (budget if budget >= 1 else turn < budget)

    def _send(self, req: _Request, w: _Worker) -> None:
        if not self._may_send(req, w):
            return
        now, wid, fn = self._now, w.info.id, req.fn
        copy = fn.copies.setdefault(wid, _Copy(now))
        copy.touched = now
        req.attempts.append(_Attempt(wid, now, copy.sure))
        fn.out[wid] = fn.out.get(wid, 0) + 1
        w.out += 1
        self._all_out += 1
        w.heard = now if w.out == 1 else w.heard
        w.sends.append(now)
        self._actions.append(api.Send(req.id, wid, req.expires - now))
        self._later(now + self._quiet * self._latency, "watch", wid)

    def _order(self, fn: _Function, w: _Worker, copies: int, part: float) -> bool:
        """Rules 3 and 5: no order to a leaving worker; every counted order stays inside the ration, and
        lasts longer by its way: late ones of one scale-up would meet those ordered once they had run out."""
        if not self._s.may_load or (not w.ready and copies > ASK):
            return False
        g, now = self._s.guards, self._now
        if copies > ASK and g.load_window > 0:
            since = now - g.load_window
            for past, end in ((self._orders, since - self._grace), (self._taken, since)):
                while past and past[0] <= end:
                    past.popleft()
            if len(self._orders) + 1 > part * (g.free_loads + g.load_share * len(self._taken)):
                return False
            self._orders.append(now)
        self._actions.append(api.Hold(w.info.id, fn.key, copies))
        return True

    def _answer(self, req: _Request) -> None:
        """Rules 1 and 2: one final answer; a refusal only where trying again is harmless."""
        if req.done:
            return
        effect, ran = req.cls.effect, any(a.outcome not in NEVER_RAN for a in req.attempts)
        harmless = effect is Effect.SAFE or not ran or (effect, req.cls.group) == (Effect.KEYED, Group.ALL)
        after = min(self._s.limits.max_retry_after, req.cls.aim // 4) if self._s.limits.retry_after else 0
        self._actions.append(api.Refuse(req.id, after) if harmless else api.Fail(req.id))
        self._close(req)

    def _close(self, req: _Request) -> None:
        for number, a in enumerate(req.attempts):
            if not (a.outcome or req.done or req.cls.stream) and self._s.limits.cancel:
                self._actions.append(api.Cancel(req.id, number))
        req.done = True
        req.fn.held.pop(req.id, None)
        if all(a.outcome for a in req.attempts):
            del self._requests[req.id]

    # Outcomes

    def _attempt_ended(self, e: api.AttemptEnded) -> None:
        req = self._requests.get(e.request)
        if req is None or e.attempt >= len(req.attempts) or req.attempts[e.attempt].outcome:
            return
        a, fn, now = req.attempts[e.attempt], req.fn, self._now
        w, copy = self._workers[a.worker], fn.copies.get(a.worker)
        a.outcome = e.outcome
        w.out -= 1
        self._all_out -= 1
        fn.out[a.worker] -= 1
        if not fn.out[a.worker]:
            del fn.out[a.worker]
        if e.outcome in HEARD_FROM:
            self._hear(w)
            busy = dict(zip(self._s.report_fields, e.report, strict=False)).get("busy")
            if busy is not None:  # in a thin slice the best sight of the others' calls
                strain = 1 / (1 + 1 / BUSY_MOST - min(1.0, busy))
                self._strained += FLEET_GAIN * (strain - self._strained)
                self._sign(w, strain / self._strained, 2 * self._others**3)
            if e.outcome is Outcome.FULL:
                self._sign(w, FULL_SIGN, 1)
            elif e.outcome in (Outcome.OK, Outcome.ERROR):
                self._fault(w, req, e.outcome is Outcome.ERROR)
        refused_load = e.outcome is Outcome.FULL and copy is not None and not copy.sure
        if e.outcome is Outcome.OK:
            if copy is not None:
                copy.touched, copy.sure = now, True
            self._served.add(now)
            if a.warm and e.warmth not in (Warmth.BEGAN_LOAD, Warmth.AWAITED_LOAD):
                self._latency += FLEET_GAIN * (e.latency - self._latency)
                self._pace(req, w, e.latency)
        elif e.outcome is Outcome.MISS or e.warmth is Warmth.LOAD_FAILED or refused_load:
            fn.copies.pop(a.worker, None)
            if e.outcome is not Outcome.MISS or e.warmth is Warmth.LOAD_FAILED:
                self._bar(fn, a.worker)
            else:
                fn.missed[a.worker] = now
        elif e.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            self._broken(w, e.outcome)
        if e.finished or req.done:
            return self._close(req)
        if e.outcome is not Outcome.MISS or e.warmth is Warmth.LOAD_FAILED:
            req.avoid.append(a.worker)
        if all(o.outcome for o in req.attempts):
            self._place(req) if self._may_try_again(req) else self._answer(req)

    def _hold_ended(self, e: api.HoldEnded) -> None:
        w, fn = self._workers.get(e.worker), self._functions.get(e.function)
        if w is not None and e.outcome is not Outcome.TIMEOUT:
            self._hear(w) if e.outcome in HEARD_FROM else self._broken(w, e.outcome)
        if w is None or fn is None:
            return
        if e.outcome is Outcome.OK and not e.copies:
            fn.copies.pop(e.worker, None) if e.worker not in fn.out else None
            return
        ordered = fn.pending.pop(e.worker, None)
        if e.outcome is Outcome.OK and w.ready:
            if ordered is not None and e.latency > self._aim * ECHO_LEAST:
                self._load += PACE_GAIN * (e.latency - self._load)
            fn.copies[e.worker] = _Copy(self._now, e.copies, True)
            fn.failures = 0
        elif ordered is not None:
            self._bar(fn, e.worker)
        self._release(fn)

    def _bar(self, fn: _Function, worker: int) -> None:
        """A refused or failed load is not repeated there, nor after two at once: full workers, failing store.
        Harm: a function waits though a place has come free."""
        fn.failures = min(fn.failures + 1, ORDER_DOUBLINGS)
        step = ORDER_BACKOFF * self._usual_load(fn) * (0.5 + self._rng.random())
        fn.barred[worker] = int(self._now + step * 2**fn.failures * 2)
        fn.next_try = int(self._now + step * (2 ** (fn.failures - 1) - 1))

    # Health

    def _hear(self, w: _Worker) -> None:
        if w.silent_since is not None and self._now - w.silent_since > self._aim:
            w.started = self._now  # it may have restarted: cold until the list tells
            w.sends.clear()
        w.heard, w.asked, w.silent_since = self._now, None, None

    def _watch(self, w: _Worker) -> None:
        """A quiet worker with work out is asked for its copies; a live one answers at once, however busy.
        Each latency the calls still out are fewer by e, so the told price of a question sets the wait.
        Guards against machines that vanish without a reset. Harm: late echoes set a busy worker aside."""
        now, silent = self._now, w.silent_since is not None
        quiet = min(max(self._quiet * self._latency, QUIET_LEAST * self._aim), QUIET_MOST * self._aim)
        if silent or (w.out and now - w.heard >= quiet):
            if not silent and w.asked is not None and now - w.asked >= self._grace:
                return self._silence(w)
            if w.ready and (silent or w.asked is None):
                self._question(w)
            self._later(now + (TRIAL_AFTER * self._aim if silent else self._grace), "watch", w.info.id)
        elif w.out:
            self._later(w.heard + quiet, "watch", w.info.id)

    def _question(self, w: _Worker) -> None:
        fn = next(iter(self._functions.values()), None)
        if fn is not None and self._order(fn, w, ASK, RATION_HELD):
            w.asked = self._now if w.asked is None else w.asked

    def _broken(self, w: _Worker, outcome: Outcome) -> None:
        """A connection may break by itself, and a dead worker takes no new one: after a reset it is asked,
        and set aside if that breaks too. Guards against resets on the way. Harm: the dead get a call more."""
        if outcome is Outcome.RESET and w.asked is None and w.silent_since is None:
            self._question(w)
        else:
            self._silence(w)

    def _silence(self, w: _Worker) -> None:
        aside = sum(o.ready and o.silent_since is not None for o in self._workers.values())
        if w.silent_since is None and aside + 1 <= SET_ASIDE_MOST * self._ready:
            w.silent_since, w.asked = self._now, None
            self._actions.append(api.Log(f"worker {w.info.id} set aside as silent, {w.out} requests out"))
            self._void(w)
            self._later(self._now + TRIAL_AFTER * self._aim, "watch", w.info.id)

    def _void(self, w: _Worker, rescue: bool = True) -> None:
        """Belief in a worker's copies ends; safe requests out there get another attempt elsewhere."""
        for fn in self._functions.values():
            fn.copies.pop(w.info.id, None)
            fn.pending.pop(w.info.id, None)
        for req in list(self._requests.values()) if rescue else ():
            live = [a.worker for a in req.attempts if a.outcome is None]
            stuck = live and not req.done and req.id not in req.fn.held and set(live) == {w.info.id}
            if stuck and self._may_try_again(req):
                req.avoid.append(w.info.id)
                self._place(req)

    def _pace(self, req: _Request, w: _Worker, took: int) -> None:
        ratio = min(10.0, took / max(1.0, float(req.hint or self._latency)))
        self._fleet += FLEET_GAIN * (ratio - self._fleet)
        self._sign(w, ratio / self._fleet, 1)

    def _sign(self, w: _Worker, strain: float, weight: float) -> None:
        fade = math.exp((w.signed_at - self._now) / (SIGN_SPAN * self._keep))
        w.signs, w.strain, w.signed_at = w.signs * fade + weight, w.strain * fade + weight * strain, self._now

    def _fault(self, w: _Worker, req: _Request, error: bool) -> None:
        if error and sum(a.outcome is Outcome.ERROR for a in req.attempts) > 1:
            return  # it fails everywhere: the request's fault
        self._faults += FAIL_GAIN / 4 * (error - self._faults)  # soon: clients may send what fails everywhere
        gain = FAIL_GAIN if error else FAIL_GAIN / 2
        w.faults, w.fault_at = self._faulty(w) + gain * (error - self._faulty(w)), self._now

    def _faulty(self, w: _Worker) -> float:
        return w.faults * math.exp((w.fault_at - self._now) / (SIGN_SPAN * self._keep))

    def _fails(self, w: _Worker) -> bool:
        """Far more of its answers are errors than the fleet's. It has little out just because it fails fast,
        so the least-busy choice would feed it; an unsafe call lost there can't be tried again, and waits for
        a copy elsewhere. Fades, so that it is tried again. Harm: a good worker rests after chance errors."""
        return self._faulty(w) > FAIL_FROM + self._faults

    def _suspect(self, w: _Worker) -> bool:
        return self._faulty(w) > FAULTY_FROM + self._faults / 2

    def _slowness(self, w: _Worker) -> float:
        """How slow or busy against the fleet's usual, by times against the cost hint, told business and full
        answers; old signs fade, few weigh little. Guards against slow, shared and hot machines; few costly
        requests don't show. Harm: chance on few answers."""
        fade = math.exp((w.signed_at - self._now) / (SIGN_SPAN * self._keep))
        ratio = (SIGN_PRIOR + w.strain * fade) / (SIGN_PRIOR + w.signs * fade)
        return ratio if abs(ratio - 1) > (SLOW_FROM - 1) * (1 - self._others) else 1.0

    def _worn(self, w: _Worker) -> bool:
        """Slow, or far more of this front end's requests out there than elsewhere: lanes say how many a copy
        takes, not how many copies its worker's cores bear. Guards against hot workers. Harm: more copies."""
        usual = self._all_out * w.weight / self._all_weight
        return w.out > CROWD_FROM * usual + CROWD_LEAST or self._slowness(w) > SLOW_FROM or self._suspect(w)

    # Shortage

    def _shortage(self) -> float:
        """The share of requests to refuse. Requests in flight on warm copies over the rate of answers tell
        the time to answer at once; late answers would tell it too late and make refusals swing."""
        since = self._now - RATE_SPAN * self._aim  # longer out is stuck: it tells nothing of the next
        live = (a for r in self._requests.values() for a in r.attempts if a.warm and not a.outcome)
        count = Counter(a.worker for a in live if a.sent > since)
        each = sorted(n for wid, n in count.items() if self._workers[wid].silent_since is None)
        median = each[-(self._ready + 1) // 2] if 2 * len(each) > self._ready else 0
        busy = sum(min(b, 2 * median + 1) for b in each)  # a few slow workers are no shortage
        if self._now - self._began < self._aim or busy <= SHED_CHANCE**2:
            return 0.0
        rate = max(self._served.lately(self._now), 1 / self._aim)
        ahead = (busy - SHED_CHANCE * math.sqrt(busy)) / rate / self._aim
        return min(SHED_MOST, (ahead - SHED_FROM) / (SHED_FULL - SHED_FROM))

    def _sheds(self, req: _Request, tenant: int) -> bool:
        """While the foretold time to answer nears the aim, those worth least are refused at once, so that the
        rest are in time. What a tenant asks beyond its share of what is served counts as worth little.
        Guards against overload, bursts, lost capacity. Harm: refusals if all are slow, or a slice is odd."""
        worth, recent, shortage = req.cls.worth, self._recent, self._shortage()
        if tenant < len(self._s.tenants) and recent:
            asked = sum(1 for _, t in recent if t == tenant) / len(recent)
            asked *= self._came.lately(self._now)
            if self._rng.random() * asked > self._s.tenants[tenant].share * self._served.lately(self._now):
                worth *= self._s.over_share_worth
        worth *= SHED_CROWDED if all(self._over(req.fn, w) for w in self._warm(req.fn)) else 1
        recent.append((worth, tenant))
        if shortage <= 0:
            return False
        below, same = sum(x < worth for x, _ in recent), sum(x == worth for x, _ in recent)
        return (below + self._rng.random() * same) / len(recent) < shortage

    # The worker list

    def _listed(self, e: api.WorkersListed) -> None:
        if self._s.must_ask_list and (not self._asked_list or e.kind is ListKind.FAILED):
            self._later(self._now + self._asked_list * self._s.guards.ask_within / 8, "list", 0)
            self._asked_list = True
        named = {info.id: info for info in e.workers}
        weights = {wid: w.weight for wid, w in self._workers.items()}
        for wid, w in self._workers.items():
            if wid not in named and e.kind in (ListKind.CACHED, ListKind.FULL):
                w.info = replace(w.info, state=WorkerState.GONE)
                self._leave(w)
        for wid, info in named.items():
            w = self._workers.setdefault(wid, _Worker(info, info.started_at))
            restarted = info.started_at > w.info.started_at
            w.info, w.ready, w.weight = info, info.state is WorkerState.READY, self._weight(info)
            if restarted:  # after `ready`: what is rescued must not come back to one that drains again
                self._void(w)
                w.started, w.silent_since, w.asked, w.signs, w.strain = info.started_at, None, None, 0.0, 0.0
            if not w.ready:
                self._leave(w)
        self._forget_gone()
        self._list_number += weights != {i: w.weight for i, w in self._workers.items()}  # else orders stay
        self._ready = sum(w.ready for w in self._workers.values())
        self._all_weight = sum(w.weight for w in self._workers.values())
        for fn in list(self._functions.values()):
            if fn.held:
                self._release(fn)

    def _leave(self, w: _Worker) -> None:
        """From the moment it is told, a draining or gone worker gets neither call nor order."""
        w.ready = False
        self._void(w, rescue=w.info.state is WorkerState.GONE)

    def _forget_gone(self) -> None:
        """Guards against memory that grows with each worker replaced, and against gone ones that still weigh
        in the mean of requests out. One that an open request was sent to is kept: repeats look at it."""
        gone = {i for i, w in self._workers.items() if w.info.state is WorkerState.GONE}
        for wid in gone - {a.worker for req in self._requests.values() for a in req.attempts}:
            del self._workers[wid]
            for fn in self._functions.values():
                fn.barred.pop(wid, None)
                fn.missed.pop(wid, None)
