"""Synthetic days of a Gateway with callers, repeats and workers, and the record of its inputs and effects.

Run as a program, this module writes the golden files again, which is right only if decisions are meant to
change:

    .venv/bin/python -m walnutpost.testsupport.gateway.golden_days

A recorded row is `[start, seed, settings, functions, tenants]` at the start of a Gateway, otherwise
`[microseconds since the previous row, input, [effects]]`, in the form of
`walnutpost.testsupport.golden.neutral_values`.
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
from walnutpost.testsupport.policy.harness import KEYED, SAFE, SECOND, SETTINGS, UNSAFE
from walnutpost.testsupport.policy.recorded_day import RecordedDay

GOLDEN = golden_folder("gateway") / "days"
START = 100 * SECOND
MS = 1000
START_ROW = "start"
INPUTS_A_DAY = 2500
REMEMBER_FOR, REMEMBER_BYTES = 2 * SECOND, 30_000
Outcome = api.Outcome
READY, DRAINING, GONE = api.WorkerState.READY, api.WorkerState.DRAINING, api.WorkerState.GONE

FUNCTIONS = tuple(
    gw.Function(f"f-{place}", place % 3, 300.0, float(1 + place % 2), place * 50 * MS, version=f"v{place}")
    for place in range(9)
)
SITES: dict[str, api.Settings] = {
    "plain": replace(SETTINGS, classes=(SAFE, UNSAFE, KEYED), keep_alive_us=4 * SECOND),
    "rationed": replace(
        SETTINGS,
        classes=(SAFE, UNSAFE, replace(KEYED, group=api.Group.ALL)),
        tenants=(api.Tenant(0.6, 0.0), api.Tenant(0.4, 0.0)),
        guards=replace(
            SETTINGS.guards,
            free_load_orders=4.0,
            load_orders_per_request=0.3,
            load_order_window_us=2 * SECOND,
        ),
        front_ends=3,
        are_restarts_unseen=True,
    ),
}
TENANTS = {"plain": (), "rationed": ("north", "south")}
RECORDED = [(site, seed) for site in SITES for seed in (1, 2)]


def path_of(site: str, seed: int) -> Path:
    """Return the golden file of a recorded day."""
    return GOLDEN / f"gateway-{site}-{seed}.jsonl.xz"


def start_row(site: str, seed: int) -> list[Any]:
    """Return the row that a recorded day starts with."""
    return [START_ROW, seed, to_neutral(SITES[site]), to_neutral(FUNCTIONS), to_neutral(TENANTS[site])]


def make_gateway(row: list[Any]) -> gw.Gateway:
    """Return the Gateway that a start row describes."""
    _, seed, settings, functions, tenants = row
    catalogue = gw.Catalogue(
        {function.name: function for function in from_neutral(functions)},
        from_neutral(tenants),
        allows_no_tenant=True,
    )
    return gw.Gateway(from_neutral(settings), catalogue, seed, REMEMBER_FOR, REMEMBER_BYTES)


class Day(RecordedDay):
    """One Gateway with simulated callers and workers on virtual time; the seed determines each choice."""

    def __init__(self, site: str, seed: int) -> None:
        super().__init__(START)
        self.random = Random(seed * 104_729 + 5)
        self.rows.append(start_row(site, seed))
        self.gateway = make_gateway(self.rows[0])
        self.tenants = TENANTS[site]
        self.caller_id, self.version = 0, 0
        self.states = {f"w-{place}": READY for place in range(6)}
        self.copies: set[tuple[str, str]] = set()
        self.silent_until: dict[str, int] = {}
        self.restarted: dict[str, int] = {}
        self.out: set[tuple[int, int]] = set()
        self.send_list(api.ListKind.CACHED)
        self.at(0, self.arrivals)
        self.at(SECOND, self.trouble)

    def feed(self, event: gw.Input) -> None:
        """Give an input to the Gateway, record it with its effects, and carry these out."""
        effects = self.gateway.handle(self.now, event)
        self.record(event, effects)
        for effect in effects:
            self.carry_out(effect)

    def feed_later(self, delay: int, event: gw.Input) -> None:
        """Give an input to the Gateway after `delay` microseconds."""
        self.at(delay, lambda: self.feed(event))

    def carry_out(self, effect: gw.Effect) -> None:
        """Carry out an effect as the front end does."""
        match effect:
            case gw.Send():
                self.start(effect)
            case gw.Cancel(call, attempt):
                self.at(MS, lambda: self.end(gw.AttemptEnded(call, attempt, Outcome.CANCELLED, MS)))
            case gw.LoadOrder():
                self.order(effect)
            case gw.SetTimer(delay, token):
                self.feed_later(delay, gw.TimerDue(token))

    def end(self, done: gw.AttemptEnded) -> None:
        """End an attempt that is open; at random, report its end twice."""
        if (done.call, done.attempt) in self.out:
            self.out.discard((done.call, done.attempt))
            self.feed(done)
            if self.random.random() < 0.02:
                self.feed(done)  # the Gateway ignores the second end of an attempt

    def start(self, start: gw.Send) -> None:
        """Start an attempt, and schedule its end with a random outcome."""
        self.out.add((start.call, start.attempt))
        draw = self.random.random()
        done = gw.AttemptEnded(start.call, start.attempt, Outcome.OK, 2 * MS, crowd=int(draw * 4))
        place, warmth = (start.worker, start.function), api.Warmth.WARM
        if self.silent_until.get(start.worker, 0) > self.now:
            done = self.ended(done, Outcome.TIMEOUT if draw < 0.8 else Outcome.RESET, start.timeout_us)
        elif self.states.get(start.worker) is GONE:
            done = self.ended(done, Outcome.CONNECT_FAILED, MS)
        elif draw < 0.06:
            kinds = [Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.MOOT, Outcome.TIMEOUT]
            done = self.ended(done, self.random.choice(kinds), int(draw * SECOND))
        elif place not in self.copies:
            done = self.ended(done, Outcome.MISS, 2 * MS)
        elif draw < 0.1:
            done = gw.AttemptEnded(start.call, start.attempt, Outcome.ERROR, 9 * MS, b"raised", True, warmth)
        else:
            took = int((20 + self.random.expovariate(1 / 80)) * MS)
            payload = b"did " + start.payload
            done = gw.AttemptEnded(start.call, start.attempt, Outcome.OK, took, payload, False, warmth)
        self.at(done.latency_us, lambda: self.end(done))

    @staticmethod
    def ended(done: gw.AttemptEnded, outcome: Outcome, latency: int) -> gw.AttemptEnded:
        """Return the end of the same attempt with another outcome and latency."""
        return gw.AttemptEnded(done.call, done.attempt, outcome, latency, crowd=done.crowd)

    def order(self, order: gw.LoadOrder) -> None:
        """Carry out a load order with a random outcome."""
        draw, place = self.random.random(), (order.worker, order.function)
        outcome, took, copies = Outcome.OK, 2 * MS, int(place in self.copies)
        if self.silent_until.get(order.worker, 0) > self.now:
            outcome, took = Outcome.TIMEOUT, 3 * SECOND
        elif self.states.get(order.worker) is GONE:
            outcome = Outcome.CONNECT_FAILED
        elif order.copies and draw < 0.12:
            outcome = self.random.choice([Outcome.FULL, Outcome.ERROR, Outcome.RESET, Outcome.MOOT])
        elif order.copies:
            took, copies = int((150 + 300 * draw) * MS), order.copies
        done = gw.LoadOrderEnded(order.worker, order.function, outcome, took, copies, order.copies)

        def end() -> None:
            if outcome is Outcome.OK and order.copies:
                self.copies.add(place)
            self.feed(done)

        self.at(took, end)

    def arrivals(self) -> None:
        """Let a call arrive, and schedule the next; in one second of eight arrivals are more frequent."""
        burst = (self.now - START) // SECOND % 8 == 5
        self.call()
        self.at(int(self.random.expovariate((250 if burst else 35) / SECOND)) + 1, self.arrivals)

    def call(self) -> None:
        """Let a random call arrive, whose caller may leave or stop it later."""
        draw = self.random
        self.caller_id += 1
        caller_id, function = self.caller_id, draw.choice(FUNCTIONS[:4] if draw.random() < 0.8 else FUNCTIONS)
        key = f"key-{draw.randrange(30)}" if draw.random() < 0.3 else ""
        carried = gw.Function("g-1", 0, 200.0, 2.0, cost_hint_us=90 * MS) if draw.random() < 0.1 else None
        self.feed(
            gw.CallArrived(
                caller_id,
                function.name if carried is None else carried.name,
                b"%d" % draw.randrange(3) * (1 if draw.random() < 0.9 else 200),
                draw.choice([3 * SECOND, SECOND, 300 * MS, 0]),
                draw.choice([*self.tenants, None]) if self.tenants else None,
                key,
                draw.random() < 0.1,
                draw.random() < 0.3,
                draw.random() < 0.2,
                gw.Rejected("over quota", 5) if draw.random() < 0.02 else None,
                carried,
                draw.choice([0, 700]),
            )
        )
        if draw.random() < 0.06:
            self.feed_later(draw.randrange(300 * MS), gw.CallerLeft(caller_id))
        elif draw.random() < 0.03:
            self.feed_later(draw.randrange(300 * MS), gw.CallStopped(caller_id))

    def send_list(self, kind: api.ListKind, *names: str) -> None:
        """Send a list of workers; without names, of all that are not gone."""
        self.version += 1
        listed = names or tuple(name for name, state in self.states.items() if state is not GONE)
        lines = tuple(
            gw.ListedWorker(name, len(name) % 2, 0, 0, self.states[name], 1.0, self.restarted.get(name, 0))
            for name in listed
        )
        self.feed(gw.WorkersListed(kind, self.version, lines))

    def trouble(self) -> None:
        """Change a random worker's state or connection, and schedule the next change."""
        draw = self.random
        name = draw.choice(list(self.states))
        match draw.choice(("drain", "silent", "restart", "evict", "gone", "new", "ping")):
            case "drain":
                self.states[name] = DRAINING
                self.send_list(api.ListKind.DELTA, name)
            case "silent":
                self.silent_until[name] = self.now + draw.randrange(2 * SECOND)
            case "restart":
                self.states[name], self.restarted[name] = READY, self.now
                self.copies = {place for place in self.copies if place[0] != name}
                self.send_list(api.ListKind.DELTA, name)
            case "evict":
                self.copies = {place for place in self.copies if place[0] != name}
            case "gone" if sum(state is READY for state in self.states.values()) > 3:
                self.states[name] = GONE
                self.send_list(api.ListKind.FULL)
            case "new" if len(self.states) < 10:
                self.states[f"w-{len(self.states)}"] = READY
                self.send_list(api.ListKind.FULL)
            case "ping":
                self.feed(gw.ProbeEnded(name, draw.choice([Outcome.OK, Outcome.TIMEOUT]), MS, ()))
        self.at(draw.randrange(SECOND // 2), self.trouble)


def record(site: str, seed: int) -> list[Any]:
    """Return the rows of a new day, with a shutdown near its end."""
    day = Day(site, seed)
    day.run(INPUTS_A_DAY * 9 // 10)
    day.feed(gw.ShuttingDown(2 * SECOND))
    day.run(INPUTS_A_DAY // 10)
    return day.rows


if __name__ == "__main__":
    for recorded_site, recorded_seed in RECORDED:
        write_lines(path_of(recorded_site, recorded_seed), record(recorded_site, recorded_seed))
