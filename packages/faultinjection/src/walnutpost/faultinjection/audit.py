"""The five rules, checked from captures alone.

What is read: both ends of the sockets (wire.py), the lists as a front end passed them on, and a worker's
own record of executions. A call is known by the `trial` member of its payload, which travels unchanged
from client to worker. No gateway code is used. Each rule tells how often it was looked at, what broke
it, and by what margin it held.
"""

from __future__ import annotations

import base64
import binascii
import json
import re
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from urllib.parse import unquote

from walnutpost.faultinjection.wire import Exchange, Process

SECOND = 1_000_000
INVOKE = re.compile(r"/2015-03-31/functions/([^/?]+)/invocations")
LOAD = re.compile(r"/v2/repository/models/([^/?]+)/load")
EXECUTION = re.compile(r"/2025-12-01/durable-executions/([^/?]+)")
NEVER_RAN = {
    (404, "ResourceNotFoundException"),
    (404, "ModelLoadException"),
    (503, "TooManyRequestsException"),
    (503, "ResourceNotReadyException"),
}
BREAKS_SHOWN = 20


@dataclass(frozen=True, slots=True)
class WorkerFacts:
    """Cores times speed: work in microseconds that it does in a microsecond when warm."""

    strength: float


@dataclass(frozen=True, slots=True)
class Facts:
    """What the rules' figures are. Times in microseconds."""

    effects: dict[str, str]  # by function
    deadlines: dict[str, int]  # by function, for a caller that tells none
    work: dict[str, int]  # by function, of a standard core
    workers: dict[str, WorkerFacts]
    answer_slack: int
    drain_grace: int
    cold_for: int
    start_capacity: float
    overload_factor: float
    overload_for: int
    load_window: int
    free_loads: float
    load_share: float


@dataclass(slots=True)
class Rule:
    name: str
    looked_at: int = 0
    breaks: list[str] = field(default_factory=list)
    margin: float | None = None  # the least; below zero is broken; its unit is in the name

    def hold(self, margin: float) -> None:
        self.margin = margin if self.margin is None else min(self.margin, margin)


@dataclass(slots=True)
class Verdict:
    rules: list[Rule]

    @property
    def kept(self) -> bool:
        return not any(rule.breaks for rule in self.rules)


@dataclass(slots=True)
class _Asked:
    """One asking at a front end."""

    call: str
    function: str
    exchange: Exchange
    deadline: int
    kind: str


@dataclass(slots=True)
class _Sent:
    """One send of a call by a front end to a worker."""

    call: str
    function: str
    exchange: Exchange

    @property
    def at(self) -> int:
        return self.exchange.request.began

    def never_ran_from(self) -> int | None:
        """When it was known that it never ran; None if it may have run."""
        r = self.exchange.response
        if r is None or not r.ended:
            return None
        return r.ended if (r.status, r.headers.get("x-amzn-errortype", "")) in NEVER_RAN else None


def call_sent(e: Exchange) -> str:
    """The call that a request to a worker is for: a client's by its payload, a timer's by its execution."""
    h = e.request.headers
    named = h.get("x-amz-durable-execution-name", "")
    return call_of(e.request.body) or named or h.get("lambda-runtime-aws-request-id", "")


def call_of(body: bytes) -> str:
    """The call a payload belongs to; empty where it names none."""
    try:
        told = json.loads(body)
    except ValueError:
        return ""
    return str(told.get("trial", "")) if isinstance(told, dict) else ""


def _own_deadline(text: str | None) -> int | None:
    try:
        custom = json.loads(base64.b64decode(text or "", validate=True)).get("custom", {})
        return int(float(custom["deadline-ms"]) * 1000)
    except (binascii.Error, ValueError, KeyError, AttributeError, TypeError):
        return None


class _Front:
    """What one life of a front end shows."""

    def __init__(self, process: Process, facts: Facts) -> None:
        self.process = process
        self.asked: list[_Asked] = []
        for e in process.exchanges.get("front", ()):
            found = INVOKE.match(e.request.target)
            if not (found and e.request.ended):
                continue
            function = unquote(found[1])
            usual = facts.deadlines.get(function)
            if usual is None:
                continue
            kind = e.request.headers.get("x-amz-invocation-type", "RequestResponse")
            own = _own_deadline(e.request.headers.get("x-amz-client-context"))
            left = (own or usual) if kind == "Event" else min(own or usual, usual)
            self.asked.append(_Asked(call_of(e.request.body), function, e, e.request.ended + left, kind))
        self.sent: list[_Sent] = []
        self.orders: list[Exchange] = []
        for e in process.exchanges.get("link", ()):
            found = INVOKE.match(e.request.target)
            if found:
                self.sent.append(_Sent(call_sent(e), unquote(found[1]), e))
            elif LOAD.match(e.request.target) and _copies(e) > 0:
                self.orders.append(e)
        self.sent_by_call: dict[str, list[_Sent]] = {}
        for sent in self.sent:
            self.sent_by_call.setdefault(sent.call, []).append(sent)

    def leaving_since(self) -> list[tuple[int, str, tuple[str, int], int]]:
        """Spans in which this front end knew a worker to drain or be gone: from, name, address, until."""
        spans = []
        since: dict[str, tuple[int, tuple[str, int]]] = {}
        addresses: dict[str, tuple[str, int]] = {}
        for told in self.process.told:
            ready = {n for n, _, state, _ in told.workers if state == "ready"}
            for name in list(since):
                if name in ready:
                    begun, address = since.pop(name)
                    spans.append((begun, name, address, told.at))
            for name, address in addresses.items():
                if name not in ready and name not in since:
                    since[name] = (told.at, address)
            for name, text, state, _ in told.workers:
                host, _, port = text.rpartition(":")
                addresses[name] = (host, int(port))
                if state != "ready" and name not in since:
                    since[name] = (told.at, addresses[name])
        spans += [(begun, name, address, self.process.ended + 1) for name, (begun, address) in since.items()]
        return spans

    def knows_start(self, name: str, at: int, started: int) -> bool:
        """Whether by `at` this front end had been told that the worker started then, or later."""
        for told in self.process.told:
            if told.at > at:
                return False
            if any(n == name and s * SECOND >= started - SECOND for n, _, _, s in told.workers):
                return True
        return False


def _copies(e: Exchange) -> int:
    try:
        return int(json.loads(e.request.body)["parameters"]["copies"])
    except (ValueError, KeyError, TypeError):
        return 0


def audit(processes: Iterable[Process], facts: Facts) -> Verdict:
    """Checks all that the captures show."""
    processes = list(processes)
    fronts = [_Front(p, facts) for p in processes if p.kind == "front"]
    workers = [p for p in processes if p.kind == "worker"]
    clients = [p for p in processes if p.kind == "client"]
    return Verdict(
        [
            _answers(fronts, facts),
            _fates(clients, facts),
            _effects(fronts, workers, facts),
            _drains(fronts, facts),
            _cold(fronts, workers, facts),
            _ration(fronts, facts),
        ]
    )


def _answers(fronts: list[_Front], facts: Facts) -> Rule:
    """Rule 1 at a front end's own sockets."""
    rule = Rule("1 one final answer, in time (ms)")
    for front in fronts:
        arrivals: dict[str, list[int]] = defaultdict(list)
        for asked in front.asked:
            arrivals[asked.call].append(asked.exchange.request.began)
        for asked in front.asked:
            e = asked.exchange
            rule.looked_at += 1
            due = asked.deadline + facts.answer_slack
            if e.response is None or not e.response.ended:
                if e.closed > due:  # else the front end was killed, or the caller left, before it was due
                    rule.breaks.append(f"{front.process.name}: call {asked.call}: no answer by its deadline")
                continue
            late = e.response.ended - due
            rule.hold(-late / 1000)
            if late > 0:
                rule.breaks.append(
                    f"{front.process.name}: call {asked.call}: answered {late / 1000:.1f} ms late"
                )
            if asked.kind == "Event":
                continue
            following = arrivals[asked.call]
            place = bisect_right(following, e.request.began)
            until = following[place] if place < len(following) else front.process.ended + 1
            for sent in front.sent_by_call.get(asked.call, ()):
                if e.response.ended < sent.at < until:
                    rule.breaks.append(
                        f"{front.process.name}: call {asked.call}: sent to a worker after its final answer"
                    )
    return rule


def _fates(clients: list[Process], facts: Facts) -> Rule:
    """Rule 1 for deferred calls, by what their owners were told."""
    rule = Rule("1 one fate for each deferred call")
    accepted: dict[str, str] = {}
    fates: dict[str, set[tuple[str, str]]] = defaultdict(set)
    for client in clients:
        for e in client.exchanges.get("client", ()):
            r = e.response
            if r is None or not r.ended:
                continue
            arn = r.headers.get("x-amz-durable-execution-arn")
            if r.status == 202 and arn:
                accepted[arn] = call_of(e.request.body)
            found = EXECUTION.match(e.request.target)
            if found and e.request.method == "GET" and r.status == 200:
                told = json.loads(r.body)
                if told["Status"] != "RUNNING":
                    fates[told["DurableExecutionArn"]].add((told["Status"], str(told.get("Result"))))
    for arn, call in accepted.items():
        rule.looked_at += 1
        if len(fates[arn]) != 1:
            what = "no fate" if not fates[arn] else f"{len(fates[arn])} different fates"
            rule.breaks.append(f"deferred call {call}: {what}")
    return rule


def _effects(fronts: list[_Front], workers: list[Process], facts: Facts) -> Rule:
    """Rule 2: executions by the workers' records; resends and refusals by the front ends' sockets."""
    rule = Rule("2 no effect twice")
    calls: dict[str, tuple[str, str]] = {}  # call id on the worker protocol -> trial's call, function
    for worker in workers:
        for e in worker.exchanges.get("worker", ()):
            found = INVOKE.match(e.request.target)
            if found:
                ident = e.request.headers.get("lambda-runtime-aws-request-id", "")
                calls[ident] = (call_sent(e), unquote(found[1]))
    runs: dict[str, int] = defaultdict(int)
    for worker in workers:
        for _, ident, _ in worker.ran:
            call, function = calls.get(ident, ("", ""))
            if facts.effects.get(function) == "unsafe":
                runs[call] += 1
    for call, count in runs.items():
        rule.looked_at += 1
        if count > 1:
            rule.breaks.append(f"unsafe call {call}: {count} executions")
    for front in fronts:
        for call, sends in front.sent_by_call.items():
            if facts.effects.get(sends[0].function) != "unsafe":
                continue
            for place, sent in enumerate(sends):
                known = sent.never_ran_from()
                later = sends[place + 1 :]
                if later and (known is None or known > later[0].at):
                    rule.breaks.append(
                        f"{front.process.name}: unsafe call {call}: sent again though it may have run"
                    )
        for asked in front.asked:
            r = asked.exchange.response
            if facts.effects.get(asked.function) != "unsafe" or r is None or r.status != 429:
                continue
            rule.looked_at += 1
            for sent in front.sent_by_call.get(asked.call, ()):
                known = sent.never_ran_from()
                if sent.at < r.ended and (known is None or known > r.ended):
                    rule.breaks.append(
                        f"{front.process.name}: unsafe call {asked.call}: refused though it may have run"
                    )
    return rule


def _drains(fronts: list[_Front], facts: Facts) -> Rule:
    rule = Rule("3 drains kept (ms)")
    for front in fronts:
        spans = front.leaving_since()
        for e in [*(s.exchange for s in front.sent), *front.orders]:
            rule.looked_at += 1
            for begun, name, address, until in spans:
                if e.remote == address and begun < e.request.began < until:
                    late = e.request.began - begun - facts.drain_grace
                    rule.hold(-late / 1000)
                    if late > 0:
                        rule.breaks.append(
                            f"{front.process.name}: new work to {name}, {late / 1000:.0f} ms past the grace"
                        )
    return rule


def _cold(fronts: list[_Front], workers: list[Process], facts: Facts) -> Rule:
    """Rule 4: work that reaches a cold worker within any span, over what it bears; where front ends that
    knew of its start sent two thirds of it."""
    rule = Rule("4 cold workers not pushed over (share of the budget left)")
    if facts.cold_for <= 0 or facts.overload_for <= 0 or facts.overload_factor <= 0:
        return rule
    sender: dict[tuple[str, str], _Front] = {}
    for front in fronts:
        for sent in front.sent:
            h = sent.exchange.request.headers
            sender[h.get("lambda-runtime-aws-request-id", ""), h.get("x-walnutpost-attempt", "")] = front
    most_work = max(facts.work.values(), default=0)
    for worker in workers:
        strength = facts.workers[worker.name].strength
        for started in [at for at, cold in worker.started if cold]:
            span: list[tuple[int, int, bool]] = []
            for e in worker.exchanges.get("worker", ()):
                found = INVOKE.match(e.request.target)
                at = e.request.ended
                if not found or not started <= at < started + facts.cold_for:
                    continue
                rule.looked_at += 1
                h = e.request.headers
                front_ = sender.get(
                    (h.get("lambda-runtime-aws-request-id", ""), h.get("x-walnutpost-attempt", ""))
                )
                knew = front_ is not None and front_.knows_start(worker.name, at, started)
                span.append((at, facts.work.get(unquote(found[1]), 0), knew))
                span = [s for s in span if s[0] > at - facts.overload_for]
                grown = facts.start_capacity + (1 - facts.start_capacity) * (at - started) / facts.cold_for
                # One call more than the budget is chance: the rule speaks of what is sent for a time.
                bears = facts.overload_factor * grown * strength * facts.overload_for + most_work
                total = sum(w for _, w, _ in span)
                informed = sum(w for _, w, knew in span if knew)
                if informed * 3 >= total * 2:
                    rule.hold(1 - total / bears)
                    if total > bears:
                        rule.breaks.append(
                            f"{worker.name}: {total / bears:.2f} times what it bears when cold"
                        )
    return rule


def _ration(fronts: list[_Front], facts: Facts) -> Rule:
    rule = Rule("5 load orders rationed (orders left)")
    if facts.load_window <= 0:
        return rule
    for front in fronts:
        taken = sorted(a.exchange.request.began for a in front.asked if a.kind != "DryRun")
        ordered = sorted(e.request.began for e in front.orders)
        for place, at in enumerate(ordered):
            rule.looked_at += 1
            since = at - facts.load_window
            orders = place + 1 - bisect_right(ordered, since)
            calls = bisect_right(taken, at) - bisect_right(taken, since)
            left = facts.free_loads + facts.load_share * calls - orders
            rule.hold(left)
            if left < 0:
                rule.breaks.append(
                    f"{front.process.name}: {orders} load orders for {calls} calls in the window"
                )
    return rule
