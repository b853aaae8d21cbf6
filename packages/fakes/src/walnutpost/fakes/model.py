"""What a stand-in worker does, as a state machine: copies, lanes, memory, loads, cores, cold start,
drain.

No I/O and no clock: times (microseconds) come in with each event, and reactions come out.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import ceil
from random import Random

from walnutpost.interface import Warmth
from walnutpost.metering import Book

REVIEW = 50_000  # how often, while it is cold and busy, a worker's growing strength is taken into account


@dataclass(frozen=True, slots=True)
class FunctionSpec:
    """Work in microseconds of a core of speed 1, then waiting on other systems; memory in MB."""

    name: str
    memory_mb: float
    lanes: int
    work: int
    wait: int
    spread: float
    load: int
    fetch_share: float
    effect: str = "safe"


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    name: str
    cores: int
    speed: float
    memory_mb: float
    loads_at_once: int
    queue: int
    keep_alive: int
    loads_on_absence: bool = False
    start_capacity: float = 1.0
    cold_for: int = 0
    overload_factor: float = 0.0
    overload_for: int = 0


@dataclass(slots=True)
class Faults:
    """What the worker is told to do wrong. Counts are of calls still to be treated so; -1 is all of them."""

    silent: bool = False
    reset_before: int = 0
    reset_while: int = 0
    reset_after: int = 0
    half_answer: int = 0
    garbage: int = 0
    errors: int = 0
    full: int = 0
    fail_loads: int = 0
    slow: float = 1.0
    heavy_share: float = 0.0  # of the calls, that cost heavy_factor times the usual work
    heavy_factor: float = 1.0
    reports: dict[str, float] | None = None  # said instead of the truth
    reports_by: int = 0  # microseconds that reports are late by
    report_form: str = "text"

    def take(self, name: str) -> bool:
        left: int = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left != 0


@dataclass(frozen=True, slots=True)
class Ran:
    """A call began to run: from here on it has had its effect."""

    ref: int
    run: int


@dataclass(frozen=True, slots=True)
class Answer:
    """`kind` is ok, full, miss, load_failed or error; `run` is 0 where it never ran."""

    ref: int
    kind: str
    run: int
    warmth: Warmth
    crowd: int


@dataclass(frozen=True, slots=True)
class Held:
    """The answer to an order; `kind` is ok, full or error."""

    ref: int
    kind: str
    copies: int


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask the store for the function's package, and say `fetched` when it has answered."""

    load: int
    function: str
    usual: int


@dataclass(frozen=True, slots=True)
class Lived:
    """What happened to a copy, for the worker's own record, which is no part of what it reports: begun,
    ready, ran, rested, gone, or died, which ends all copies."""

    at: int
    what: str
    copy: int = 0
    function: str = ""
    memory_mb: int = 0
    tenant: str = ""


Reaction = Ran | Answer | Held | Fetch


@dataclass(slots=True, eq=False)
class _Copy:
    number: int
    function: str
    ready: bool = False
    busy: int = 0
    idle_since: int = 0
    starts_at: int | None = None  # end of the start phase, once fetched


@dataclass(slots=True, eq=False)
class _Call:
    ref: int
    function: str
    warmth: Warmth
    crowd: int
    tenant: str = ""
    copy: _Copy | None = None
    run: int = 0
    work_left: float = 0.0
    until: int | None = None  # end of waiting on other systems
    wait: int = 0


@dataclass(slots=True)
class _Order:
    ref: int
    function: str
    copies: int


@dataclass(slots=True)
class _Place:
    copies: list[_Copy] = field(default_factory=list)
    queue: deque[_Call] = field(default_factory=deque)


class WorkerModel:
    def __init__(self, spec: WorkerSpec, functions: dict[str, FunctionSpec], seed: int, now: int) -> None:
        self.spec = spec
        self._functions = functions
        self._rng = Random(seed)
        self.faults = Faults()
        self.runs = 0
        self.loads = 0
        self.fallen = False
        self.draining = False
        self.lived: list[Lived] = []
        self._clear(now, 0)

    def _clear(self, now: int, started: int) -> None:
        self.started_at = started
        self._now = now
        self._places: dict[str, _Place] = {}
        self._calls: dict[int, _Call] = {}
        self._running: list[_Call] = []
        self._waiting: list[_Call] = []  # on other systems
        self._orders: list[_Order] = []
        self._loading: dict[int, _Copy] = {}
        self._load_queue: deque[_Copy] = deque()
        self._arrived: deque[tuple[int, float]] = deque()
        self._told: deque[tuple[int, dict[str, float]]] = deque()
        self._out: list[Reaction] = []
        self.book = Book(self.spec.name, now, ceil(self.spec.memory_mb))

    # Events

    def call(self, now: int, ref: int, function: str, tenant: str = "") -> list[Reaction]:
        self._advance(now)
        spec = self._functions.get(function)
        self._pressure(spec)
        if spec is None:
            return self._reply(_Call(ref, function, Warmth.UNREPORTED, 0), "miss")
        place = self._places.setdefault(function, _Place())
        crowd = len(place.queue) + sum(c.busy for c in place.copies)
        stood = any(c.ready for c in place.copies)
        call = _Call(ref, function, Warmth.WARM if stood else Warmth.JOINED_LOAD, crowd, tenant)
        if self.draining or self.faults.take("full") or len(self._queued()) >= self.spec.queue:
            return self._reply(call, "full")
        if not place.copies:
            if not self.spec.loads_on_absence:
                return self._reply(call, "miss")
            if not self._begin_load(function):
                return self._reply(call, "full")
            call.warmth = Warmth.STARTED_LOAD
        self._calls[ref] = call
        place.queue.append(call)
        self._dispatch(function)
        lanes = spec.lanes * len(place.copies)
        if len(place.queue) and crowd + 1 > lanes:
            self._begin_load(function)  # all lanes are taken: another copy, if there is room
        return self._take()

    def hold(self, now: int, ref: int, function: str, copies: int) -> list[Reaction]:
        self._advance(now)
        place = self._places.setdefault(function, _Place())
        if copies <= 0:
            self._out.append(Held(ref, "ok", sum(c.ready for c in place.copies)))
            return self._take()
        if self.draining or function not in self._functions:
            self._out.append(Held(ref, "full" if self.draining else "error", 0))
            return self._take()
        for copy in place.copies:
            copy.idle_since = now
        while len(place.copies) < copies:
            if not self._begin_load(function):
                self._out.append(Held(ref, "full", sum(c.ready for c in place.copies)))
                return self._take()
        self._orders.append(_Order(ref, function, copies))
        self._settle_orders()
        return self._take()

    def unload(self, now: int, function: str) -> list[Reaction]:
        self._advance(now)
        place = self._places.get(function)
        if place is not None:
            self._remove([c for c in place.copies if c.ready and not c.busy])
        return self._take()

    def fetched(self, now: int, load: int, came: bool) -> list[Reaction]:
        self._advance(now)
        copy = self._loading.get(load)
        if copy is not None:
            spec = self._functions[copy.function]
            if not came or self.faults.take("fail_loads"):
                self._load_failed(copy)
            else:
                copy.starts_at = now + round(spec.load * (1 - spec.fetch_share) * self.faults.slow)
        return self._take()

    def dropped(self, now: int, ref: int) -> list[Reaction]:
        """The caller has gone: waiting work is dropped, running work goes on."""
        self._advance(now)
        call = self._calls.get(ref)
        if call is not None and call.run == 0:
            del self._calls[ref]
            self._places[call.function].queue.remove(call)
        self._orders = [o for o in self._orders if o.ref != ref]
        return self._take()

    def void(self, now: int, functions: set[str]) -> list[Reaction]:
        """The functions are released anew: idle copies are worth nothing; busy ones end their work first."""
        self._advance(now)
        for name in functions & set(self._places):
            self._remove([c for c in self._places[name].copies if c.ready and not c.busy])
        return self._take()

    def restart(self, now: int) -> None:
        """Everything is lost, and the worker is cold."""
        self.fallen = self.draining = False
        self.faults = Faults()
        self.lived.append(Lived(now, "died"))
        self._clear(now, now)

    def due(self, now: int) -> list[Reaction]:
        self._advance(now)
        return self._take()

    def next_due(self) -> int | None:
        """When `due` is wanted next, if nothing comes before."""
        times = [c.until for c in self._waiting if c.until is not None]
        if self._running:
            rate = self._rate()
            soonest = min(c.work_left for c in self._running)
            times.append(self._now + max(1, round(soonest / rate)))
            if self._cold():
                times.append(self._now + REVIEW)
        times += [c.starts_at for c in self._loading.values() if c.starts_at is not None]
        times += [
            c.idle_since + self.spec.keep_alive
            for p in self._places.values()
            for c in p.copies
            if c.ready and not c.busy
        ]
        return max(self._now + 1, min(times)) if times else None

    def report(self) -> dict[str, float]:
        """Named as in ORCA."""
        if self.faults.reports is not None:
            return dict(self.faults.reports)
        truth = self._truth()
        self._told.append((self._now, truth))
        while len(self._told) > 1 and self._told[1][0] <= self._now - self.faults.reports_by:
            self._told.popleft()
        return dict(self._told[0][1])

    def _truth(self) -> dict[str, float]:
        busy = min(1.0, len(self._running) / self.spec.cores)
        tied = sum(
            self._functions[c.function].memory_mb
            for p in self._places.values()
            for c in p.copies
            if c.busy or not c.ready
        )
        return {
            "cpu_utilization": round(busy, 4),
            "mem_utilization": round(min(1.0, tied / self.spec.memory_mb), 4),
            "queue": float(len(self._queued())),
            "loads": float(len(self._loading) + len(self._load_queue)),
        }

    @property
    def running(self) -> int:
        return len(self._running) + len(self._waiting)

    def standing(self, function: str) -> int:
        place = self._places.get(function)
        return sum(c.ready for c in place.copies) if place else 0

    # Inside

    def _take(self) -> list[Reaction]:
        out, self._out = self._out, []
        return out

    def _reply(self, call: _Call, kind: str) -> list[Reaction]:
        self._calls.pop(call.ref, None)
        self._out.append(Answer(call.ref, kind, call.run, call.warmth, call.crowd))
        return self._take()

    def _queued(self) -> list[_Call]:
        return [c for c in self._calls.values() if c.run == 0]

    def _cold(self) -> bool:
        return bool(self.started_at) and self._now - self.started_at < self.spec.cold_for

    def strength(self) -> float:
        if not self._cold():
            return 1.0
        begun = (self._now - self.started_at) / self.spec.cold_for
        return self.spec.start_capacity + (1 - self.spec.start_capacity) * begun

    def _rate(self) -> float:
        """Of work done for one running call in a microsecond."""
        share = min(1.0, self.spec.cores / max(1, len(self._running)))
        return max(1e-6, share * self.spec.speed * self.strength() / self.faults.slow)

    def _pressure(self, spec: FunctionSpec | None) -> None:
        """All work that arrives weighs on a cold worker, refused work too; too much of it and it falls
        over."""
        s = self.spec
        if not self._cold() or s.overload_for <= 0 or s.overload_factor <= 0:
            return
        self._arrived.append((self._now, float(spec.work if spec else 0)))
        while self._arrived[0][0] < self._now - s.overload_for:
            self._arrived.popleft()
        bears = s.cores * s.speed * self.strength() * s.overload_for * s.overload_factor
        if sum(w for _, w in self._arrived) > bears:
            self.fallen = True

    def _advance(self, now: int) -> None:
        """Brings everything to `now`, each end at its own time."""
        while self._now < now:
            due = self.next_due()
            step = min(now, due) if due is not None else now
            self._step(step)
        self._step(now)

    def _step(self, now: int) -> None:
        done = (now - self._now) * self._rate()
        self._now = now
        for call in self._running:
            call.work_left -= done
        for call in [c for c in self._running if c.work_left <= 1e-6]:
            self._running.remove(call)
            call.until = now + call.wait
            self._waiting.append(call)
        for call in [c for c in self._waiting if c.until is not None and c.until <= now]:
            self._waiting.remove(call)
            self._finish(call)
        for copy in [c for c in self._loading.values() if c.starts_at is not None and c.starts_at <= now]:
            del self._loading[copy.number]
            copy.ready, copy.idle_since = True, now
            self.book.ready(now, copy.number)
            self._note("ready", copy)
            self._dispatch(copy.function)
            self._next_loads()
        for place in self._places.values():
            self._remove([c for c in place.copies if self._lapsed(c)])
        self._settle_orders()

    def _remove(self, copies: list[_Copy]) -> None:
        for copy in copies:
            self._places[copy.function].copies.remove(copy)
            self.book.gone(self._now, copy.number)
            self._note("gone", copy)

    def _note(self, what: str, copy: _Copy, tenant: str = "") -> None:
        memory = ceil(self._functions[copy.function].memory_mb)
        self.lived.append(Lived(self._now, what, copy.number, copy.function, memory, tenant))

    def _lapsed(self, c: _Copy) -> bool:
        return c.ready and not c.busy and self._now - c.idle_since >= self.spec.keep_alive

    def _finish(self, call: _Call) -> None:
        assert call.copy is not None
        call.copy.busy -= 1
        call.copy.idle_since = self._now
        self.book.rested(self._now, call.copy.number, call.tenant)
        self._note("rested", call.copy, call.tenant)
        self._calls.pop(call.ref, None)
        kind = "error" if self.faults.take("errors") else "ok"
        self._out.append(Answer(call.ref, kind, call.run, call.warmth, call.crowd))
        self._dispatch(call.function)

    def _dispatch(self, function: str) -> None:
        place, spec = self._places[function], self._functions[function]
        while place.queue:
            free = [c for c in place.copies if c.ready and c.busy < spec.lanes]
            if not free:
                return
            call = place.queue.popleft()
            call.copy = min(free, key=lambda c: c.busy)
            call.copy.busy += 1
            self.book.ran(self._now, call.copy.number, call.tenant)
            self._note("ran", call.copy, call.tenant)
            self.runs += 1
            call.run = self.runs
            factor = 1 + spec.spread * (2 * self._rng.random() - 1)
            if self.faults.heavy_share and self._rng.random() < self.faults.heavy_share:
                factor *= self.faults.heavy_factor
            call.work_left, call.wait = spec.work * factor, spec.wait
            self._running.append(call)
            self._out.append(Ran(call.ref, call.run))

    def _begin_load(self, function: str) -> bool:
        spec = self._functions[function]
        if len(self._load_queue) >= 2 * self.spec.loads_at_once or not self._make_room(spec):
            return False
        self.loads += 1
        copy = _Copy(self.loads, function)
        self.book.begin(self._now, copy.number, function, ceil(spec.memory_mb))
        self._note("begun", copy)
        self._places.setdefault(function, _Place()).copies.append(copy)
        self._load_queue.append(copy)
        self._next_loads()
        return True

    def _next_loads(self) -> None:
        while self._load_queue and len(self._loading) < self.spec.loads_at_once:
            copy = self._load_queue.popleft()
            self._loading[copy.number] = copy
            spec = self._functions[copy.function]
            usual = round(spec.load * spec.fetch_share * self.faults.slow)
            self._out.append(Fetch(copy.number, copy.function, usual))

    def _make_room(self, spec: FunctionSpec) -> bool:
        held = [c for p in self._places.values() for c in p.copies]
        used = sum(self._functions[c.function].memory_mb for c in held)
        idle = sorted(
            (c for c in held if c.ready and not c.busy and c.function != spec.name),
            key=lambda c: c.idle_since,
        )
        for copy in idle:
            if used + spec.memory_mb <= self.spec.memory_mb:
                break
            self._remove([copy])
            used -= self._functions[copy.function].memory_mb
        return used + spec.memory_mb <= self.spec.memory_mb

    def _load_failed(self, copy: _Copy) -> None:
        del self._loading[copy.number]
        place = self._places[copy.function]
        self._remove([copy])
        if not place.copies:
            while place.queue:
                call = place.queue.popleft()
                self._calls.pop(call.ref, None)
                self._out.append(Answer(call.ref, "load_failed", 0, Warmth.LOAD_FAILED, call.crowd))
        for order in [o for o in self._orders if o.function == copy.function]:
            self._orders.remove(order)
            self._out.append(Held(order.ref, "error", sum(c.ready for c in place.copies)))
        self._next_loads()

    def _settle_orders(self) -> None:
        for order in list(self._orders):
            ready = sum(c.ready for c in self._places[order.function].copies)
            if ready >= order.copies:
                self._orders.remove(order)
                self._out.append(Held(order.ref, "ok", ready))
