"""Synthetic days for a Router: a small fleet, its clients in a closed loop, and a record of both sides.

Run as a program it writes the golden files again, which is right only where decisions are meant to change:

    .venv/bin/python -m walnutpost.testsupport.policy.golden_days

A recorded row is `[start, seed, settings]` where a Router begins, else `[microseconds since the row before,
event, [actions]]`, all in the form of `walnutpost.testsupport.golden.neutral_values`.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from walnutpost import interface as api
from walnutpost.policy import Router
from walnutpost.testsupport.folders import golden_folder
from walnutpost.testsupport.golden.neutral_values import to_neutral, write_lines
from walnutpost.testsupport.policy.harness import KEYED, SAFE, SECOND, SETTINGS, UNSAFE
from walnutpost.testsupport.policy.recorded_day import RecordedDay

GOLDEN = golden_folder("policy")
START = 100 * SECOND
MS = 1000
INPUTS_A_DAY = 3000
START_ROW = "start"
TROUBLES = (
    "drain",
    "drain",
    "silent",
    "slow",
    "fail",
    "evict",
    "restart",
    "gone",
    "probe",
    "peer",
    "list",
    "stray",
    "new",
)
READY, DRAINING, GONE = api.WorkerState.READY, api.WorkerState.DRAINING, api.WorkerState.GONE
Outcome = api.Outcome

STREAM = replace(SAFE, is_stream=True, priority_weight=0.5, latency_objective_us=SECOND // 2)
CELL_KEYED = replace(KEYED, group=api.Group.CELL, repeat_window_us=SECOND // 2)
CLASSES = (SAFE, UNSAFE, KEYED, STREAM, CELL_KEYED, replace(KEYED, group=api.Group.ALL, priority_weight=0.3))
RATION = replace(
    SETTINGS.guards, free_load_orders=4.0, load_orders_per_request=0.25, load_order_window_us=2 * SECOND
)
BASE = replace(SETTINGS, classes=CLASSES, keep_alive_us=4 * SECOND, load_order_timeout_us=3 * SECOND)

SITES: dict[str, api.Settings] = {
    "plain": BASE,
    "rationed": replace(
        BASE,
        guards=RATION,
        tenants=(api.Tenant(0.5, 0.0), api.Tenant(0.3, 0.0), api.Tenant(0.2, 0.0)),
        front_ends=4,
        index=2,
        reports_crowd=True,
        report_fields=("busy", "queue"),
    ),
    "ideal": replace(
        BASE,
        guards=replace(RATION, watch_within_us=SECOND),
        is_ideal_network=True,
        loads_on_miss=True,
        front_ends=3,
        index=1,
        has_weights=True,
        must_watch_endpoints=True,
    ),
    "restarting": replace(
        BASE,
        guards=replace(
            RATION, free_load_orders=3.0, load_orders_per_request=0.4, watch_within_us=SECOND // 2
        ),
        limits=api.Limits(False, True, False, False, 3, SECOND),
        prices=replace(BASE.prices, probe=0.2),
        front_ends=2,
        memory_mb_by_kind=(512.0, 2048.0),
        must_watch_endpoints=True,
        are_restarts_unseen=True,
        report_fields=("in_flight", "busy"),
    ),
    "calm": replace(
        BASE,
        guards=replace(RATION, free_load_orders=3.0, load_orders_per_request=0.5),
        tick_us=MS,
        front_ends=6,
        index=3,
    ),
    "unloading": replace(
        BASE, may_order_loads=False, reports_warmth=False, front_ends=12, index=5, keep_alive_us=0
    ),
}


@dataclass(slots=True, eq=False)
class SyntheticWorker:
    """A worker of the day, with what it has loaded and how it fails at present."""

    info: api.Worker
    copies: set[int] = field(default_factory=set)
    busy: int = 0
    slowness: float = 1.0
    failing: float = 0.0
    silent_until: int = 0
    refuses: bool = False


@dataclass(slots=True, eq=False)
class SyntheticRequest:
    """A request of the day, with the workers of its attempts."""

    event: api.RequestArrived
    class_: api.RequestClass
    attempts: list[int | None] = field(default_factory=list)  # the worker of each that is still out
    closed: bool = False


class Day(RecordedDay):
    """One Router in its world on virtual time. Every choice is the seed's."""

    def __init__(self, site: api.Settings, seed: int, calm: bool = False) -> None:
        """`calm`: few requests, fast answers, and now and then most workers silent at once."""
        super().__init__(START)
        self.random = Random(seed * 7919 + 11)
        self.calm = calm
        self.next_request = 0
        self.next_worker = 0
        self.version = 0
        self.workers: dict[int, SyntheticWorker] = {}
        self.requests: dict[int, SyntheticRequest] = {}
        self.begin(site, seed)
        for _ in range(8):
            self.add_worker(started=0)
        self.tell_list(api.ListKind.CACHED)
        self.at(0, self.arrivals)
        self.at(SECOND, self.trouble)

    # Time and the record

    def begin(self, site: api.Settings, seed: int) -> None:
        """Begin a new life of the front end: nothing of the former one comes back to it."""
        self.site, self.router = site, Router(site, seed)
        self.life = len(self.rows)
        self.requests.clear()
        self.rows.append([START_ROW, seed, to_neutral(site)])

    def feed(self, event: api.Event) -> None:
        """Feed an event to the router, record it and carry out its actions."""
        actions = self.router.handle(self.now, event)
        self.record(event, actions)
        for action in actions:
            self.carry_out(action)

    def feed_later(self, delay: int, event: api.Event, life: int | None = None) -> None:
        """Feed an event after `delay`, unless the front end has begun another life by then."""
        life = self.life if life is None else life
        self.at(delay, lambda: self.feed(event) if self.life == life else None)

    # The front end's actions

    def carry_out(self, action: api.Action) -> None:
        """Do what the router has decided."""
        match action:
            case api.Send():
                self.attempt(action)
            case api.Reject(request) | api.Fail(request):
                self.close(request)
                if self.random.random() < 0.3:
                    self.at(action.retry_after_us if isinstance(action, api.Reject) else MS, self.repeat_one)
            case api.Cancel(request, number):
                life = self.life
                self.at(
                    MS,
                    lambda: self.end_attempt(request, number, Outcome.CANCELLED, 0)
                    if life == self.life
                    else None,
                )
            case api.SetTimer(delay, token):
                self.feed_later(delay, api.TimerDue(token))
            case api.LoadOrder():
                self.order(action)
            case api.WatchEndpoints():
                kind = self.random.choices([api.ListKind.FULL, api.ListKind.FAILED], [4, 1])[0]
                self.at(20 * MS, lambda: self.tell_list(kind))

    def close(self, request: int) -> None:
        """Note that a request has ended."""
        if request in self.requests:
            self.requests[request].closed = True

    def attempt(self, send: api.Send) -> None:
        """Carry out an attempt: choose how it ends, and when."""
        request, worker = self.requests[send.request], self.workers[send.worker]
        number, life = len(request.attempts), self.life
        request.attempts.append(send.worker)
        worker.busy += 1
        outcome, latency, warmth = self.fate_of_attempt(request, worker, send)
        if request.class_.is_stream and outcome is Outcome.OK and latency > 4 * MS:
            started = api.AnswerStarted(send.request, number, send.worker, latency // 2)

            def start() -> None:
                if life == self.life and request.attempts[number] is not None and not request.closed:
                    request.closed = True
                    self.feed(started)

            self.at(latency // 2, start)

        def end() -> None:
            worker.busy -= 1
            if life == self.life:
                self.end_attempt(send.request, number, outcome, latency, warmth)

        self.at(latency, end)

    def fate_of_attempt(
        self, request: SyntheticRequest, worker: SyntheticWorker, send: api.Send
    ) -> tuple[Outcome, int, api.Warmth]:
        """Return an attempt's outcome, its latency and how warm the worker was."""
        draw, function = self.random.random(), request.event.function
        untold = api.Warmth.UNREPORTED
        if worker.silent_until > self.now:
            if draw < 0.1:
                return Outcome.RESET, 50 * MS, untold
            return Outcome.TIMEOUT, send.timeout_us, untold
        if worker.refuses or worker.info.state is GONE:
            return Outcome.CONNECT_FAILED, MS, untold
        if send.begin_within_us and draw < 0.01:
            return Outcome.MOOT, min(send.begin_within_us, send.timeout_us), untold
        if draw < worker.failing:
            return Outcome.ERROR, 20 * MS, untold
        if draw > 0.995:
            return Outcome.RESET, 30 * MS, untold
        if worker.busy > 24:
            return Outcome.FULL, 2 * MS, untold
        base_ms = 5 if self.calm else 40
        service = int(
            (base_ms + self.random.expovariate(1 / base_ms)) * MS * worker.slowness * (1 + worker.busy / 6)
        )
        if function in worker.copies:
            return Outcome.OK, min(service, send.timeout_us), api.Warmth.WARM
        if not self.site.loads_on_miss and self.site.may_order_loads:
            return Outcome.MISS, 2 * MS, untold
        if draw > 0.97:
            return Outcome.ERROR, 100 * MS, api.Warmth.LOAD_FAILED
        worker.copies.add(function)
        warmth = api.Warmth.STARTED_LOAD if draw < 0.8 else api.Warmth.JOINED_LOAD
        return Outcome.OK, min(service + SECOND // 3, send.timeout_us), warmth

    def end_attempt(
        self,
        rid: int,
        number: int,
        outcome: Outcome,
        latency: int,
        warmth: api.Warmth = api.Warmth.UNREPORTED,
    ) -> None:
        """Feed the end of an attempt, unless it was cancelled."""
        request = self.requests[rid]
        wid = request.attempts[number]
        if wid is None:
            return
        request.attempts[number] = None
        if outcome is Outcome.OK or (outcome is Outcome.ERROR and self.random.random() < 0.2):
            request.closed = True
        worker = self.workers[wid]
        load = worker.busy / 12
        report = tuple(round(load + place, 3) for place in range(len(self.site.report_fields)))
        told = warmth if self.site.reports_warmth else api.Warmth.UNREPORTED
        crowd = worker.busy if self.site.reports_crowd else 0
        self.feed(api.AttemptEnded(rid, number, wid, outcome, latency, request.closed, told, crowd, report))

    def order(self, hold: api.LoadOrder) -> None:
        """Carry out a load order or a poll: choose how it ends, and when."""
        worker, draw = self.workers[hold.worker], self.random.random()
        took, copies, outcome = 2 * MS, int(hold.function in worker.copies), Outcome.OK
        if worker.silent_until > self.now:
            outcome, took = (
                (Outcome.TIMEOUT, self.site.load_order_timeout_us) if draw < 0.7 else (Outcome.RESET, 60 * MS)
            )
        elif worker.refuses or worker.info.state is GONE:
            outcome, took = Outcome.CONNECT_FAILED, MS
        elif hold.copies:
            outcome = self.random.choices(
                [Outcome.OK, Outcome.FULL, Outcome.ERROR, Outcome.RESET, Outcome.MOOT, Outcome.MISS],
                [24, 2, 1, 1, 1, 1],
            )[0]
            took = int((200 + 300 * draw) * MS) if outcome is Outcome.OK else 5 * MS
            copies = hold.copies if outcome is Outcome.OK else 0
        life = self.life

        def end() -> None:
            if outcome is Outcome.OK and hold.copies:
                worker.copies.add(hold.function)
            if life == self.life:
                self.feed(api.LoadOrderEnded(hold.worker, hold.function, outcome, took, copies, hold.copies))

        self.at(took, end)

    # Clients

    def arrivals(self) -> None:
        """Feed requests at a pace that rises and falls, with bursts above what the fleet can serve."""
        phase = (self.now - START) // SECOND % 12
        pace = 25.0 if self.calm else {3: 120.0, 7: 400.0, 8: 400.0}.get(phase, 30.0)
        self.ask()
        self.at(int(self.random.expovariate(pace / SECOND)) + 1, self.arrivals)

    def ask(self, repeat: bool = False) -> None:
        """Feed a request of a random class and function."""
        draw = self.random
        self.next_request += 1
        index = draw.choices(range(len(CLASSES)), [8, 3, 3, 2, 1, 1])[0]
        function = min(int(draw.paretovariate(0.8)), 24)
        class_ = self.site.classes[index]
        left = draw.choice([class_.deadline_us, class_.deadline_us // 3, class_.latency_objective_us // 2])
        if draw.random() < 0.01:
            left = 0
        event = api.RequestArrived(
            self.next_request,
            index,
            draw.randrange(4),
            function,
            left,
            draw.choice([None, 60 * MS, 90 * MS]),
            300.0,
            float(1 + function % 3),
            (function % 4) * 150 * MS,
            repeat,
            draw.choice([0, 0, 500, 4 * MS]),
        )
        self.requests[event.request] = SyntheticRequest(event, class_)
        self.feed(event)
        if draw.random() < 0.03:
            life = self.life
            self.at(
                draw.randrange(200 * MS), lambda: self.leave(event.request) if life == self.life else None
            )

    def repeat_one(self) -> None:
        """Feed a request that a client repeats."""
        self.ask(repeat=True)

    def leave(self, request: int) -> None:
        """Feed the departure of the client that waits for a request."""
        if not self.requests[request].closed:
            self.requests[request].closed = True
            self.feed(api.RequestCancelled(request))

    # The fleet

    def add_worker(self, started: int) -> None:
        """Add a worker that started at this time."""
        self.next_worker += 1
        wid = self.next_worker * 101
        weight = 1.0 + self.next_worker % 3 * 0.5
        info = api.Worker(wid, wid % 3, wid % 2, wid % 5, READY, weight, started)
        self.workers[wid] = SyntheticWorker(info)

    def tell_list(self, kind: api.ListKind, *changed: api.Worker) -> None:
        """Feed a list of workers, whole or of the changed ones."""
        self.version += 1
        listed = changed
        if kind in (api.ListKind.CACHED, api.ListKind.FULL):
            listed = tuple(w.info for w in self.workers.values() if w.info.state is not GONE)
        self.feed(api.WorkersListed(kind, self.version, listed))

    def change(self, worker: SyntheticWorker, **changes: Any) -> None:
        """Change what the lists say of a worker, and feed a list."""
        worker.info = replace(worker.info, **changes)
        if self.random.random() < 0.7:
            self.tell_list(api.ListKind.DELTA, worker.info)
        else:
            self.tell_list(api.ListKind.FULL)

    def restart(self, worker: SyntheticWorker) -> None:
        """Restart a worker: its copies are gone, and its failures."""
        worker.copies, worker.refuses, worker.silent_until = set(), False, 0
        self.change(worker, state=READY, started_at=self.now)

    def trouble(self) -> None:
        """Something befalls a worker, or comes that a front end may pass over."""
        draw = self.random
        worker = draw.choice(list(self.workers.values()))
        match draw.choice(TROUBLES):
            case "drain":
                self.change(worker, state=DRAINING)
                self.at(draw.randrange(2 * SECOND), lambda: self.restart(worker))
            case "silent" if self.calm:
                for one in draw.sample(list(self.workers.values()), len(self.workers) * 3 // 4):
                    one.silent_until = self.now + draw.randrange(SECOND, 3 * SECOND)
            case "silent":
                worker.silent_until = self.now + draw.randrange(3 * SECOND)
            case "slow":
                worker.slowness = draw.choice([1.0, 2.0, 5.0])
            case "fail":
                worker.failing = draw.choice([0.0, 0.1, 0.6])
            case "evict":
                worker.copies.clear()
            case "restart":
                worker.refuses = True
                self.at(SECOND // 2, lambda: self.restart(worker))
            case "gone" if sum(w.info.state is READY for w in self.workers.values()) > 4:
                self.change(worker, state=GONE)
            case "new" if len(self.workers) < 14:
                self.add_worker(started=self.now)
                self.tell_list(api.ListKind.FULL)
            case "probe":
                outcome = draw.choice([Outcome.OK, Outcome.TIMEOUT, Outcome.CONNECT_FAILED])
                report = tuple(0.5 for _ in self.site.report_fields)
                self.feed(api.ProbeEnded(worker.info.id, outcome, MS, report))
            case "peer":
                self.feed(api.PeerMessage(draw.randrange(4), bytes(draw.randrange(256) for _ in range(6))))
            case "list":
                self.tell_list(draw.choice([api.ListKind.FAILED, api.ListKind.FULL]))
            case "stray":  # of things that the Router knows nothing of, or no more
                self.feed(api.TimerDue(draw.randrange(3)))
                self.feed(api.LoadOrderEnded(worker.info.id, 99, Outcome.OK, MS, 1, 0))
                self.feed(
                    api.AttemptEnded(10**9, 0, worker.info.id, Outcome.OK, MS, True, api.Warmth.WARM, 0, ())
                )
        self.at(draw.randrange(4 * SECOND if self.calm else SECOND // 2), self.trouble)


def record(site: str, seed: int) -> list[Any]:
    """Return a day's rows: a life under the site's settings, one under changed settings, and its shutdown."""
    day = Day(SITES[site], seed, calm=site == "calm")
    day.run(INPUTS_A_DAY * 2 // 3)
    changed = replace(
        SITES[site],
        limits=replace(SITES[site].limits, max_attempts=4),
        keep_alive_us=2 * SECOND,
        front_ends=SITES[site].front_ends + 1,
    )
    day.begin(changed, seed + 1)
    day.tell_list(api.ListKind.CACHED)
    day.run(INPUTS_A_DAY // 4)
    day.feed(api.ShuttingDown(2 * SECOND))
    day.run(INPUTS_A_DAY // 12)
    return day.rows


RECORDED = [(site, seed) for site in SITES for seed in (1, 2)]


def path_of(site: str, seed: int) -> Path:
    """Return the golden file of a site's day."""
    return GOLDEN / f"router-{site}-{seed}.jsonl.xz"


if __name__ == "__main__":
    for recorded_site, recorded_seed in RECORDED:
        write_lines(path_of(recorded_site, recorded_seed), record(recorded_site, recorded_seed))
