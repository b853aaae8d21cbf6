"""Simulated days of a Gateway with callers, repeats and workers, recorded as inputs and effects.

Run as a program, this module overwrites the golden files. Do so only if the decisions are meant to change:

    .venv/bin/python -m walnutpost.testsupport.gateway.golden_days

The first row of a recorded day is `["start", seed, settings, functions, tenants]`. Each further row is
`[microseconds since the previous row, input, [effects]]`. `walnutpost.testsupport.golden.neutral_values`
describes how values are written.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from walnutpost import gateway as gw
from walnutpost import interface as api
from walnutpost.testsupport.folders import golden_folder
from walnutpost.testsupport.golden.neutral_values import from_neutral, to_neutral, write_lines
from walnutpost.testsupport.policy.harness import KEYED_CLASS, SAFE_CLASS, SECOND_US, SETTINGS, UNSAFE_CLASS
from walnutpost.testsupport.policy.recorded_day import RecordedSimulation

GOLDEN = golden_folder("gateway") / "days"
START_US = 100 * SECOND_US
MILLISECOND = 1000
START_ROW = "start"
INPUTS_PER_DAY = 2500
OUTCOME_TTL_US, MAX_OUTCOME_BYTES = 2 * SECOND_US, 30_000
Outcome = api.Outcome
READY, DRAINING, GONE = api.WorkerState.READY, api.WorkerState.DRAINING, api.WorkerState.GONE

FUNCTIONS = tuple(
    gw.Function(
        f"f-{index}", index % 3, 300.0, float(1 + index % 2), index * 50 * MILLISECOND, version=f"v{index}"
    )
    for index in range(9)
)
SETTINGS_BY_SITE: dict[str, api.Settings] = {
    "plain": replace(SETTINGS, classes=(SAFE_CLASS, UNSAFE_CLASS, KEYED_CLASS), keep_alive_us=4 * SECOND_US),
    "rationed": replace(
        SETTINGS,
        classes=(SAFE_CLASS, UNSAFE_CLASS, replace(KEYED_CLASS, dedup_scope=api.DedupScope.ALL)),
        tenants=(api.Tenant(0.6, 0.0), api.Tenant(0.4, 0.0)),
        guards=replace(
            SETTINGS.guards,
            free_load_orders=4.0,
            load_orders_per_request=0.3,
            load_order_window_us=2 * SECOND_US,
        ),
        front_ends=3,
        may_miss_restarts=True,
    ),
}
TENANTS_BY_SITE = {"plain": (), "rationed": ("north", "south")}
RECORDED = [(site, seed) for site in SETTINGS_BY_SITE for seed in (1, 2)]


def path_of(site: str, seed: int) -> Path:
    """Return the golden file of a recorded day."""
    return GOLDEN / f"gateway-{site}-{seed}.jsonl.xz"


def start_row(site: str, seed: int) -> list[Any]:
    """Return the first row of a recorded day."""
    return [
        START_ROW,
        seed,
        to_neutral(SETTINGS_BY_SITE[site]),
        to_neutral(FUNCTIONS),
        to_neutral(TENANTS_BY_SITE[site]),
    ]


def make_gateway(row: list[Any]) -> gw.Gateway:
    """Return the Gateway that a start row describes."""
    _, seed, settings, functions, tenants = row
    catalogue = gw.Catalogue(
        {function.name: function for function in from_neutral(functions)},
        from_neutral(tenants),
        allows_no_tenant=True,
    )
    return gw.Gateway(from_neutral(settings), catalogue, seed, OUTCOME_TTL_US, MAX_OUTCOME_BYTES)


class GatewayDay(RecordedSimulation):
    """A Gateway with simulated callers and workers on virtual time; the seed determines every choice."""

    def __init__(self, site: str, seed: int) -> None:
        super().__init__(START_US)
        self.random = Random(seed * 104_729 + 5)
        self.rows.append(start_row(site, seed))
        self.gateway = make_gateway(self.rows[0])
        self.tenants = TENANTS_BY_SITE[site]
        self.caller_id, self.list_version = 0, 0
        self.states = {f"w-{index}": READY for index in range(6)}
        self.copies: set[tuple[str, str]] = set()
        self.silent_until: dict[str, int] = {}
        self.restarted_at: dict[str, int] = {}
        self.open_attempts: set[tuple[int, int]] = set()
        self.send_endpoint_list(api.ListKind.CACHED)
        self.schedule(0, self.send_calls)
        self.schedule(SECOND_US, self.disturb_worker)

    def feed(self, event: gw.Input) -> None:
        """Pass an input to the Gateway, record it with its effects, and carry out the effects."""
        effects = self.gateway.handle(self.now_us, event)
        self.record(event, effects)
        for effect in effects:
            self.carry_out(effect)

    def feed_later(self, delay: int, event: gw.Input) -> None:
        """Pass an input to the Gateway after `delay` microseconds."""
        self.schedule(delay, lambda: self.feed(event))

    def carry_out(self, effect: gw.Effect) -> None:
        """Carry out an effect as a front end does."""
        match effect:
            case gw.Send():
                self.run_attempt(effect)
            case gw.Cancel(call, attempt):
                self.schedule(
                    MILLISECOND,
                    lambda: self.end_attempt(gw.AttemptEnded(call, attempt, Outcome.CANCELLED, MILLISECOND)),
                )
            case gw.LoadOrder():
                self.run_load_order(effect)
            case gw.SetTimer(delay, token):
                self.feed_later(delay, gw.TimerDue(token))

    def end_attempt(self, ended: gw.AttemptEnded) -> None:
        """Report the end of an attempt that is still open; in 2% of cases, report it twice."""
        if (ended.call, ended.attempt) in self.open_attempts:
            self.open_attempts.discard((ended.call, ended.attempt))
            self.feed(ended)
            if self.random.random() < 0.02:
                self.feed(ended)  # the Gateway must ignore the second end

    def run_attempt(self, send: gw.Send) -> None:
        """Start an attempt, and schedule its end with a random outcome."""
        self.open_attempts.add((send.call, send.attempt))
        draw = self.random.random()
        ended = gw.AttemptEnded(send.call, send.attempt, Outcome.OK, 2 * MILLISECOND, crowd=int(draw * 4))
        copy, warmth = (send.worker, send.function), api.Warmth.WARM
        if self.silent_until.get(send.worker, 0) > self.now_us:
            ended = self.with_outcome(
                ended, Outcome.TIMEOUT if draw < 0.8 else Outcome.RESET, send.timeout_us
            )
        elif self.states.get(send.worker) is GONE:
            ended = self.with_outcome(ended, Outcome.CONNECT_FAILED, MILLISECOND)
        elif draw < 0.06:
            outcomes = [Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.EXPIRED, Outcome.TIMEOUT]
            ended = self.with_outcome(ended, self.random.choice(outcomes), int(draw * SECOND_US))
        elif copy not in self.copies:
            ended = self.with_outcome(ended, Outcome.MISS, 2 * MILLISECOND)
        elif draw < 0.1:
            ended = gw.AttemptEnded(
                send.call, send.attempt, Outcome.ERROR, 9 * MILLISECOND, b"raised", True, warmth
            )
        else:
            latency = int((20 + self.random.expovariate(1 / 80)) * MILLISECOND)
            payload = b"did " + send.payload
            ended = gw.AttemptEnded(send.call, send.attempt, Outcome.OK, latency, payload, False, warmth)
        self.schedule(ended.latency_us, lambda: self.end_attempt(ended))

    @staticmethod
    def with_outcome(ended: gw.AttemptEnded, outcome: Outcome, latency: int) -> gw.AttemptEnded:
        """Return a copy of the event with another outcome and latency."""
        return gw.AttemptEnded(ended.call, ended.attempt, outcome, latency, crowd=ended.crowd)

    def run_load_order(self, order: gw.LoadOrder) -> None:
        """Carry out a load order with a random outcome."""
        draw, copy = self.random.random(), (order.worker, order.function)
        outcome, latency, copies = Outcome.OK, 2 * MILLISECOND, int(copy in self.copies)
        if self.silent_until.get(order.worker, 0) > self.now_us:
            outcome, latency = Outcome.TIMEOUT, 3 * SECOND_US
        elif self.states.get(order.worker) is GONE:
            outcome = Outcome.CONNECT_FAILED
        elif order.copies and draw < 0.12:
            outcome = self.random.choice([Outcome.FULL, Outcome.ERROR, Outcome.RESET, Outcome.EXPIRED])
        elif order.copies:
            latency, copies = int((150 + 300 * draw) * MILLISECOND), order.copies
        ended = gw.LoadOrderEnded(order.worker, order.function, outcome, latency, copies, order.copies)

        def end() -> None:
            if outcome is Outcome.OK and order.copies:
                self.copies.add(copy)
            self.feed(ended)

        self.schedule(latency, end)

    def send_calls(self) -> None:
        """Send a call and schedule the next; in one of every eight seconds calls are more frequent."""
        burst = (self.now_us - START_US) // SECOND_US % 8 == 5
        self.send_call()
        self.schedule(int(self.random.expovariate((250 if burst else 35) / SECOND_US)) + 1, self.send_calls)

    def send_call(self) -> None:
        """Send a random call; at random, its caller leaves or stops it later."""
        rng = self.random
        self.caller_id += 1
        caller_id, function = self.caller_id, rng.choice(FUNCTIONS[:4] if rng.random() < 0.8 else FUNCTIONS)
        key = f"key-{rng.randrange(30)}" if rng.random() < 0.3 else ""
        definition = (
            gw.Function("g-1", 0, 200.0, 2.0, cost_hint_us=90 * MILLISECOND) if rng.random() < 0.1 else None
        )
        self.feed(
            gw.CallArrived(
                caller_id,
                function.name if definition is None else definition.name,
                b"%d" % rng.randrange(3) * (1 if rng.random() < 0.9 else 200),
                rng.choice([3 * SECOND_US, SECOND_US, 300 * MILLISECOND, 0]),
                rng.choice([*self.tenants, None]) if self.tenants else None,
                key,
                rng.random() < 0.1,
                rng.random() < 0.3,
                rng.random() < 0.2,
                gw.Rejected("over quota", 5) if rng.random() < 0.02 else None,
                definition,
                rng.choice([0, 700]),
            )
        )
        if rng.random() < 0.06:
            self.feed_later(rng.randrange(300 * MILLISECOND), gw.CallerLeft(caller_id))
        elif rng.random() < 0.03:
            self.feed_later(rng.randrange(300 * MILLISECOND), gw.CallStopped(caller_id))

    def send_endpoint_list(self, kind: api.ListKind, *names: str) -> None:
        """Send an endpoint list of the workers `names`, or of all that are not gone if no names are given."""
        self.list_version += 1
        listed = names or tuple(name for name, state in self.states.items() if state is not GONE)
        workers = tuple(
            gw.ListedWorker(name, len(name) % 2, 0, 0, self.states[name], 1.0, self.restarted_at.get(name, 0))
            for name in listed
        )
        self.feed(gw.WorkersListed(kind, self.list_version, workers))

    def disturb_worker(self) -> None:
        """Change the state, copies or connection of a random worker, and schedule the next change."""
        rng = self.random
        name = rng.choice(list(self.states))
        match rng.choice(("drain", "silent", "restart", "evict", "gone", "new", "ping")):
            case "drain":
                self.states[name] = DRAINING
                self.send_endpoint_list(api.ListKind.DELTA, name)
            case "silent":
                self.silent_until[name] = self.now_us + rng.randrange(2 * SECOND_US)
            case "restart":
                self.states[name], self.restarted_at[name] = READY, self.now_us
                self.copies = {copy for copy in self.copies if copy[0] != name}
                self.send_endpoint_list(api.ListKind.DELTA, name)
            case "evict":
                self.copies = {copy for copy in self.copies if copy[0] != name}
            case "gone" if sum(state is READY for state in self.states.values()) > 3:
                self.states[name] = GONE
                self.send_endpoint_list(api.ListKind.FULL)
            case "new" if len(self.states) < 10:
                self.states[f"w-{len(self.states)}"] = READY
                self.send_endpoint_list(api.ListKind.FULL)
            case "ping":
                self.feed(gw.ProbeEnded(name, rng.choice([Outcome.OK, Outcome.TIMEOUT]), MILLISECOND, ()))
        self.schedule(rng.randrange(SECOND_US // 2), self.disturb_worker)


def record_day(site: str, seed: int) -> list[Any]:
    """Simulate a day with a shutdown near its end, and return its rows."""
    day = GatewayDay(site, seed)
    day.run(INPUTS_PER_DAY * 9 // 10)
    day.feed(gw.ShuttingDown(2 * SECOND_US))
    day.run(INPUTS_PER_DAY // 10)
    return day.rows


if __name__ == "__main__":
    for recorded_site, recorded_seed in RECORDED:
        write_lines(path_of(recorded_site, recorded_seed), record_day(recorded_site, recorded_seed))
