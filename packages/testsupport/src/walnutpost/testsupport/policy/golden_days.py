"""Records golden files of a Router: its events and actions in simulations of a fleet and its clients.

Run as a program, this module overwrites the golden files. Do that only if decisions are meant to change:

    .venv/bin/python -m walnutpost.testsupport.policy.golden_days

A row is `["start", seed, settings]` when a Router starts, and otherwise `[microseconds since the row before,
event, [actions]]`, encoded by `walnutpost.testsupport.golden.neutral_values`.
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
from walnutpost.testsupport.policy.harness import KEYED_CLASS, SAFE_CLASS, SECOND_US, SETTINGS, UNSAFE_CLASS
from walnutpost.testsupport.policy.recorded_day import RecordedSimulation

GOLDEN_DIR = golden_folder("policy")
START_US = 100 * SECOND_US
MILLISECOND_US = 1000
INPUTS_PER_RECORDING = 3000
START_MARKER = "start"
FLEET_EVENTS = (  # drawn at random; a repeated entry is drawn more often
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

STREAM_CLASS = replace(SAFE_CLASS, is_stream=True, priority_weight=0.5, latency_objective_us=SECOND_US // 2)
CELL_KEYED_CLASS = replace(KEYED_CLASS, dedup_scope=api.DedupScope.CELL, repeat_window_us=SECOND_US // 2)
CLASSES = (
    SAFE_CLASS,
    UNSAFE_CLASS,
    KEYED_CLASS,
    STREAM_CLASS,
    CELL_KEYED_CLASS,
    replace(KEYED_CLASS, dedup_scope=api.DedupScope.ALL, priority_weight=0.3),
)
LOAD_LIMIT_GUARDS = replace(
    SETTINGS.guards, free_load_orders=4.0, load_orders_per_request=0.25, load_order_window_us=2 * SECOND_US
)
BASE_SETTINGS = replace(
    SETTINGS, classes=CLASSES, keep_alive_us=4 * SECOND_US, load_order_timeout_us=3 * SECOND_US
)

SETTINGS_BY_SITE: dict[str, api.Settings] = {
    "plain": BASE_SETTINGS,
    "rationed": replace(
        BASE_SETTINGS,
        guards=LOAD_LIMIT_GUARDS,
        tenants=(api.Tenant(0.5, 0.0), api.Tenant(0.3, 0.0), api.Tenant(0.2, 0.0)),
        front_ends=4,
        index=2,
        reports_crowd=True,
        report_fields=("busy", "queue"),
    ),
    "ideal": replace(
        BASE_SETTINGS,
        guards=replace(LOAD_LIMIT_GUARDS, watch_within_us=SECOND_US),
        is_ideal_network=True,
        loads_on_miss=True,
        front_ends=3,
        index=1,
        has_endpoint_weights=True,
        must_watch_endpoints=True,
    ),
    "restarting": replace(
        BASE_SETTINGS,
        guards=replace(
            LOAD_LIMIT_GUARDS,
            free_load_orders=3.0,
            load_orders_per_request=0.4,
            watch_within_us=SECOND_US // 2,
        ),
        limits=api.Limits(False, True, False, False, 3, SECOND_US),
        prices=replace(BASE_SETTINGS.prices, probe=0.2),
        front_ends=2,
        memory_mb_by_kind=(512.0, 2048.0),
        must_watch_endpoints=True,
        may_miss_restarts=True,
        report_fields=("in_flight", "busy"),
    ),
    "calm": replace(
        BASE_SETTINGS,
        guards=replace(LOAD_LIMIT_GUARDS, free_load_orders=3.0, load_orders_per_request=0.5),
        tick_us=MILLISECOND_US,
        front_ends=6,
        index=3,
    ),
    "unloading": replace(
        BASE_SETTINGS, may_order_loads=False, reports_warmth=False, front_ends=12, index=5, keep_alive_us=0
    ),
}


@dataclass(slots=True, eq=False)
class SyntheticWorker:
    """A simulated worker: its copies, its load and its present faults."""

    info: api.Worker
    copies: set[int] = field(default_factory=set)  # functions that are loaded
    in_flight: int = 0
    latency_factor: float = 1.0
    error_ratio: float = 0.0
    silent_until_us: int = 0
    refuses_connections: bool = False


@dataclass(slots=True, eq=False)
class SyntheticRequest:
    """A simulated request and its attempts."""

    event: api.RequestArrived
    request_class: api.RequestClass
    attempts: list[int | None] = field(default_factory=list)  # the worker, or None once the attempt has ended
    is_closed: bool = False  # answered, rejected, failed or cancelled


class RouterSimulation(RecordedSimulation):
    """Simulates the clients and workers of one Router on virtual time; the seed determines each choice."""

    def __init__(self, settings: api.Settings, seed: int, is_low_traffic: bool = False) -> None:
        """With `is_low_traffic`, requests are few, answers fast, and sometimes most workers fall silent."""
        super().__init__(START_US)
        self.random = Random(seed * 7919 + 11)
        self.is_low_traffic = is_low_traffic
        self.last_request_id = 0
        self.last_worker_id = 0
        self.list_version = 0
        self.workers: dict[int, SyntheticWorker] = {}
        self.requests: dict[int, SyntheticRequest] = {}
        self.start_incarnation(settings, seed)
        for _ in range(8):
            self.add_worker(started=0)
        self.send_worker_list(api.ListKind.CACHED)
        self.schedule(0, self.generate_arrivals)
        self.schedule(SECOND_US, self.inject_fleet_event)

    # Events and virtual time

    def start_incarnation(self, settings: api.Settings, seed: int) -> None:
        """Start a new incarnation of the front end; the results of the previous one are lost."""
        self.settings, self.router = settings, Router(settings, seed)
        self.incarnation = len(self.rows)  # unique, as each incarnation adds rows
        self.requests.clear()
        self.rows.append([START_MARKER, seed, to_neutral(settings)])

    def feed(self, event: api.Event) -> None:
        """Pass an event to the router, record it, and carry out the actions."""
        actions = self.router.handle(self.now_us, event)
        self.record(event, actions)
        for action in actions:
            self.carry_out(action)

    def feed_later(self, delay_us: int, event: api.Event, incarnation: int | None = None) -> None:
        """Feed an event after a delay, unless the front end has restarted since."""
        incarnation = self.incarnation if incarnation is None else incarnation
        self.schedule(delay_us, lambda: self.feed(event) if self.incarnation == incarnation else None)

    # Actions of the router

    def carry_out(self, action: api.Action) -> None:
        """Carry out an action as the front end would."""
        match action:
            case api.Send():
                self.start_attempt(action)
            case api.Reject(request) | api.Fail(request):
                self.close_request(request)
                if self.random.random() < 0.3:
                    self.schedule(
                        action.retry_after_us if isinstance(action, api.Reject) else MILLISECOND_US,
                        self.send_repeat,
                    )
            case api.Cancel(request, attempt):
                incarnation = self.incarnation
                self.schedule(
                    MILLISECOND_US,
                    lambda: self.end_attempt(request, attempt, Outcome.CANCELLED, 0)
                    if incarnation == self.incarnation
                    else None,
                )
            case api.SetTimer(delay_us, token):
                self.feed_later(delay_us, api.TimerDue(token))
            case api.LoadOrder():
                self.start_load_order(action)
            case api.WatchEndpoints():
                kind = self.random.choices([api.ListKind.FULL, api.ListKind.FAILED], [4, 1])[0]
                self.schedule(20 * MILLISECOND_US, lambda: self.send_worker_list(kind))

    def close_request(self, request: int) -> None:
        """Mark a request as closed if it belongs to this incarnation."""
        if request in self.requests:
            self.requests[request].is_closed = True

    def start_attempt(self, send: api.Send) -> None:
        """Start an attempt and schedule its end; a streamed answer starts halfway."""
        request, worker = self.requests[send.request], self.workers[send.worker]
        attempt, incarnation = len(request.attempts), self.incarnation
        request.attempts.append(send.worker)
        worker.in_flight += 1
        outcome, latency_us, warmth = self.choose_attempt_result(request, worker, send)
        if request.request_class.is_stream and outcome is Outcome.OK and latency_us > 4 * MILLISECOND_US:
            started = api.AnswerStarted(send.request, attempt, send.worker, latency_us // 2)

            def start() -> None:
                if (
                    incarnation == self.incarnation
                    and request.attempts[attempt] is not None
                    and not request.is_closed
                ):
                    request.is_closed = True
                    self.feed(started)

            self.schedule(latency_us // 2, start)

        def end() -> None:
            worker.in_flight -= 1
            if incarnation == self.incarnation:
                self.end_attempt(send.request, attempt, outcome, latency_us, warmth)

        self.schedule(latency_us, end)

    def choose_attempt_result(
        self, request: SyntheticRequest, worker: SyntheticWorker, send: api.Send
    ) -> tuple[Outcome, int, api.Warmth]:
        """Choose the outcome and latency of an attempt, and the warmth that the worker reports."""
        draw, function = self.random.random(), request.event.function
        unreported = api.Warmth.UNREPORTED
        if worker.silent_until_us > self.now_us:
            if draw < 0.1:
                return Outcome.RESET, 50 * MILLISECOND_US, unreported
            return Outcome.TIMEOUT, send.timeout_us, unreported
        if worker.refuses_connections or worker.info.state is GONE:
            return Outcome.CONNECT_FAILED, MILLISECOND_US, unreported
        if send.begin_within_us and draw < 0.01:
            return Outcome.EXPIRED, min(send.begin_within_us, send.timeout_us), unreported
        if draw < worker.error_ratio:
            return Outcome.ERROR, 20 * MILLISECOND_US, unreported
        if draw > 0.995:
            return Outcome.RESET, 30 * MILLISECOND_US, unreported
        if worker.in_flight > 24:
            return Outcome.FULL, 2 * MILLISECOND_US, unreported
        base_ms = 5 if self.is_low_traffic else 40
        service_us = int(
            (base_ms + self.random.expovariate(1 / base_ms))
            * MILLISECOND_US
            * worker.latency_factor
            * (1 + worker.in_flight / 6)
        )
        if function in worker.copies:
            return Outcome.OK, min(service_us, send.timeout_us), api.Warmth.WARM
        if not self.settings.loads_on_miss and self.settings.may_order_loads:
            return Outcome.MISS, 2 * MILLISECOND_US, unreported
        if draw > 0.97:
            return Outcome.ERROR, 100 * MILLISECOND_US, api.Warmth.LOAD_FAILED
        worker.copies.add(function)
        warmth = api.Warmth.STARTED_LOAD if draw < 0.8 else api.Warmth.JOINED_LOAD
        return Outcome.OK, min(service_us + SECOND_US // 3, send.timeout_us), warmth

    def end_attempt(
        self,
        request_id: int,
        attempt: int,
        outcome: Outcome,
        latency_us: int,
        warmth: api.Warmth = api.Warmth.UNREPORTED,
    ) -> None:
        """Feed the end of an attempt, unless it has ended already."""
        request = self.requests[request_id]
        worker_id = request.attempts[attempt]
        if worker_id is None:
            return
        request.attempts[attempt] = None
        if outcome is Outcome.OK or (outcome is Outcome.ERROR and self.random.random() < 0.2):
            request.is_closed = True
        worker = self.workers[worker_id]
        load = worker.in_flight / 12
        report = tuple(round(load + place, 3) for place in range(len(self.settings.report_fields)))
        reported_warmth = warmth if self.settings.reports_warmth else api.Warmth.UNREPORTED
        crowd = worker.in_flight if self.settings.reports_crowd else 0
        self.feed(
            api.AttemptEnded(
                request_id,
                attempt,
                worker_id,
                outcome,
                latency_us,
                request.is_closed,
                reported_warmth,
                crowd,
                report,
            )
        )

    def start_load_order(self, order: api.LoadOrder) -> None:
        """Start a load order or a probe, and schedule its end."""
        worker, draw = self.workers[order.worker], self.random.random()
        latency_us, copies, outcome = 2 * MILLISECOND_US, int(order.function in worker.copies), Outcome.OK
        if worker.silent_until_us > self.now_us:
            outcome, latency_us = (
                (Outcome.TIMEOUT, self.settings.load_order_timeout_us)
                if draw < 0.7
                else (Outcome.RESET, 60 * MILLISECOND_US)
            )
        elif worker.refuses_connections or worker.info.state is GONE:
            outcome, latency_us = Outcome.CONNECT_FAILED, MILLISECOND_US
        elif order.copies:
            outcome = self.random.choices(
                [Outcome.OK, Outcome.FULL, Outcome.ERROR, Outcome.RESET, Outcome.EXPIRED, Outcome.MISS],
                [24, 2, 1, 1, 1, 1],
            )[0]
            latency_us = (
                int((200 + 300 * draw) * MILLISECOND_US) if outcome is Outcome.OK else 5 * MILLISECOND_US
            )
            copies = order.copies if outcome is Outcome.OK else 0
        incarnation = self.incarnation

        def end() -> None:
            if outcome is Outcome.OK and order.copies:
                worker.copies.add(order.function)
            if incarnation == self.incarnation:
                self.feed(
                    api.LoadOrderEnded(
                        order.worker, order.function, outcome, latency_us, copies, order.copies
                    )
                )

        self.schedule(latency_us, end)

    # Clients

    def generate_arrivals(self) -> None:
        """Send a request and schedule the next; the rate varies, with bursts that overload the fleet."""
        phase = (self.now_us - START_US) // SECOND_US % 12
        requests_per_s = 25.0 if self.is_low_traffic else {3: 120.0, 7: 400.0, 8: 400.0}.get(phase, 30.0)
        self.send_request()
        self.schedule(int(self.random.expovariate(requests_per_s / SECOND_US)) + 1, self.generate_arrivals)

    def send_request(self, is_repeat: bool = False) -> None:
        """Send a request of a random class and function; some are cancelled later."""
        random = self.random
        self.last_request_id += 1
        index = random.choices(range(len(CLASSES)), [8, 3, 3, 2, 1, 1])[0]
        function = min(int(random.paretovariate(0.8)), 24)
        request_class = self.settings.classes[index]
        time_left_us = random.choice(
            [
                request_class.deadline_us,
                request_class.deadline_us // 3,
                request_class.latency_objective_us // 2,
            ]
        )
        if random.random() < 0.01:
            time_left_us = 0
        event = api.RequestArrived(
            self.last_request_id,
            index,
            random.randrange(4),
            function,
            time_left_us,
            random.choice([None, 60 * MILLISECOND_US, 90 * MILLISECOND_US]),
            300.0,
            float(1 + function % 3),
            (function % 4) * 150 * MILLISECOND_US,
            is_repeat,
            random.choice([0, 0, 500, 4 * MILLISECOND_US]),
        )
        self.requests[event.request] = SyntheticRequest(event, request_class)
        self.feed(event)
        if random.random() < 0.03:
            incarnation = self.incarnation
            self.schedule(
                random.randrange(200 * MILLISECOND_US),
                lambda: self.cancel_request(event.request) if incarnation == self.incarnation else None,
            )

    def send_repeat(self) -> None:
        """Send a request that is marked as a repeat."""
        self.send_request(is_repeat=True)

    def cancel_request(self, request: int) -> None:
        """Cancel a request that is still open."""
        if not self.requests[request].is_closed:
            self.requests[request].is_closed = True
            self.feed(api.RequestCancelled(request))

    # The fleet

    def add_worker(self, started: int) -> None:
        """Add a ready worker with the given start time."""
        self.last_worker_id += 1
        worker_id = self.last_worker_id * 101
        weight = 1.0 + self.last_worker_id % 3 * 0.5
        info = api.Worker(worker_id, worker_id % 3, worker_id % 2, worker_id % 5, READY, weight, started)
        self.workers[worker_id] = SyntheticWorker(info)

    def send_worker_list(self, kind: api.ListKind, *changed: api.Worker) -> None:
        """Feed an endpoint list: all workers if the kind is full or cached, else the given ones."""
        self.list_version += 1
        listed = changed
        if kind in (api.ListKind.CACHED, api.ListKind.FULL):
            listed = tuple(w.info for w in self.workers.values() if w.info.state is not GONE)
        self.feed(api.WorkersListed(kind, self.list_version, listed))

    def update_worker(self, worker: SyntheticWorker, **changes: Any) -> None:
        """Change the list entry of a worker and feed the update."""
        worker.info = replace(worker.info, **changes)
        if self.random.random() < 0.7:
            self.send_worker_list(api.ListKind.DELTA, worker.info)
        else:
            self.send_worker_list(api.ListKind.FULL)

    def restart_worker(self, worker: SyntheticWorker) -> None:
        """Restart a worker: it is ready and reachable, and has no copies."""
        worker.copies, worker.refuses_connections, worker.silent_until_us = set(), False, 0
        self.update_worker(worker, state=READY, started_at=self.now_us)

    def inject_fleet_event(self) -> None:
        """Inject a random fault or an unusual event, and schedule the next."""
        random = self.random
        worker = random.choice(list(self.workers.values()))
        match random.choice(FLEET_EVENTS):
            case "drain":
                self.update_worker(worker, state=DRAINING)
                self.schedule(random.randrange(2 * SECOND_US), lambda: self.restart_worker(worker))
            case "silent" if self.is_low_traffic:
                for silent_worker in random.sample(list(self.workers.values()), len(self.workers) * 3 // 4):
                    silent_worker.silent_until_us = self.now_us + random.randrange(SECOND_US, 3 * SECOND_US)
            case "silent":
                worker.silent_until_us = self.now_us + random.randrange(3 * SECOND_US)
            case "slow":
                worker.latency_factor = random.choice([1.0, 2.0, 5.0])
            case "fail":
                worker.error_ratio = random.choice([0.0, 0.1, 0.6])
            case "evict":
                worker.copies.clear()
            case "restart":
                worker.refuses_connections = True
                self.schedule(SECOND_US // 2, lambda: self.restart_worker(worker))
            case "gone" if sum(w.info.state is READY for w in self.workers.values()) > 4:
                self.update_worker(worker, state=GONE)
            case "new" if len(self.workers) < 14:
                self.add_worker(started=self.now_us)
                self.send_worker_list(api.ListKind.FULL)
            case "probe":
                outcome = random.choice([Outcome.OK, Outcome.TIMEOUT, Outcome.CONNECT_FAILED])
                report = tuple(0.5 for _ in self.settings.report_fields)
                self.feed(api.ProbeEnded(worker.info.id, outcome, MILLISECOND_US, report))
            case "peer":
                self.feed(
                    api.PeerMessage(random.randrange(4), bytes(random.randrange(256) for _ in range(6)))
                )
            case "list":
                self.send_worker_list(random.choice([api.ListKind.FAILED, api.ListKind.FULL]))
            case "stray":  # events about a timer, an order and an attempt that the router doesn't know
                self.feed(api.TimerDue(random.randrange(3)))
                self.feed(api.LoadOrderEnded(worker.info.id, 99, Outcome.OK, MILLISECOND_US, 1, 0))
                self.feed(
                    api.AttemptEnded(
                        10**9, 0, worker.info.id, Outcome.OK, MILLISECOND_US, True, api.Warmth.WARM, 0, ()
                    )
                )
        self.schedule(
            random.randrange(4 * SECOND_US if self.is_low_traffic else SECOND_US // 2),
            self.inject_fleet_event,
        )


def simulate(site: str, seed: int) -> list[Any]:
    """Return the rows of a simulation: a run, a restart with changed settings, and a shutdown."""
    simulation = RouterSimulation(SETTINGS_BY_SITE[site], seed, is_low_traffic=site == "calm")
    simulation.run(INPUTS_PER_RECORDING * 2 // 3)
    changed = replace(
        SETTINGS_BY_SITE[site],
        limits=replace(SETTINGS_BY_SITE[site].limits, max_attempts=4),
        keep_alive_us=2 * SECOND_US,
        front_ends=SETTINGS_BY_SITE[site].front_ends + 1,
    )
    simulation.start_incarnation(changed, seed + 1)
    simulation.send_worker_list(api.ListKind.CACHED)
    simulation.run(INPUTS_PER_RECORDING // 4)
    simulation.feed(api.ShuttingDown(2 * SECOND_US))
    simulation.run(INPUTS_PER_RECORDING // 12)
    return simulation.rows


RECORDINGS = [(site, seed) for site in SETTINGS_BY_SITE for seed in (1, 2)]


def golden_path(site: str, seed: int) -> Path:
    """Return the path of a golden file."""
    return GOLDEN_DIR / f"router-{site}-{seed}.jsonl.xz"


if __name__ == "__main__":
    for recorded_site, recorded_seed in RECORDINGS:
        write_lines(golden_path(recorded_site, recorded_seed), simulate(recorded_site, recorded_seed))
