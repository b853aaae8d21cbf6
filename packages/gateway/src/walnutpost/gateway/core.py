"""Gateway: names to numbers, payloads, repeats; every routing decision is the Router's."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from hashlib import blake2b

from walnutpost import interface as api
from walnutpost.gateway.catalogue import FUNCTION_BITS, WORKER_BITS, Catalogue, Function, Numbers
from walnutpost.gateway.messages import (
    Abandon,
    Answered,
    Arm,
    AskList,
    AttemptDone,
    CallArrived,
    CallerLeft,
    CallStopped,
    CloseIdle,
    Discard,
    Due,
    Effect,
    Failed,
    Failure,
    Final,
    HoldDone,
    Input,
    Note,
    Order,
    Ping,
    PingDone,
    Refused,
    Served,
    ShuttingDown,
    Start,
    WorkersTold,
)
from walnutpost.gateway.repeats import Repeats
from walnutpost.interface import Outcome
from walnutpost.policy import NEVER_RAN, Router

REMEMBER_FOR, REMEMBER_BYTES = 60_000_000, 64 << 20


@dataclass(slots=True, eq=False)
class _Call:
    number: int
    function: Function
    cls: api.RequestClass
    tenant: str | None
    payload: bytes
    expires: int
    key: Hashable
    durable: bool
    stays: bool
    tickets: list[int]
    workers: list[str] = field(default_factory=list)  # of each attempt
    outcomes: list[Outcome | None] = field(default_factory=list)
    last: str = "nothing was sent"  # how the latest attempt ended, for the message of a failure
    done: bool = False


class Gateway:
    """One front end's decisions. `settings.classes` is what `catalogue` functions point into."""

    def __init__(
        self,
        settings: api.Settings,
        catalogue: Catalogue,
        seed: int,
        remember_for: int = REMEMBER_FOR,
        remember_bytes: int = REMEMBER_BYTES,
    ) -> None:
        self._settings = settings
        self._catalogue = catalogue
        self._router = Router(settings, seed)
        self._functions = Numbers(FUNCTION_BITS, () if catalogue.changing else catalogue.functions)
        self._workers = Numbers(WORKER_BITS)
        self._calls: dict[int, _Call] = {}
        self._tickets: dict[int, _Call] = {}
        self._count = 0
        self._repeats = Repeats(remember_for, remember_bytes)
        self._now = 0
        self._effects: list[Effect] = []

    @property
    def open_calls(self) -> int:
        return sum(not call.done for call in self._calls.values())

    def handle(self, now: int, event: Input) -> list[Effect]:
        """Raises UnknownName for a function or tenant that the catalogue lacks; nothing has changed then."""
        self._now, self._effects = now, []
        match event:
            case CallArrived():
                self._arrive(event)
            case AttemptDone():
                self._attempt_done(event)
            case Due(token):
                self._route(api.TimerDue(token))
            case ShuttingDown(within):
                self._route(api.ShuttingDown(within))
            case CallerLeft(ticket):
                self._caller_left(ticket)
            case CallStopped(ticket) if ticket in self._tickets:
                self._stop(self._tickets[ticket])
            case HoldDone(worker, function, outcome, latency, copies, wanted):
                wid, key = self._workers.number(worker), self._functions.number(function)
                self._route(api.HoldEnded(wid, key, outcome, latency, copies, wanted))
            case PingDone(worker, outcome, latency, report):
                self._route(api.ProbeEnded(self._workers.number(worker), outcome, latency, report))
            case WorkersTold(kind, version, workers):
                listed = tuple(
                    api.Worker(
                        self._workers.number(w.name), w.zone, w.kind, w.cell, w.state, w.weight, w.started_at
                    )
                    for w in workers
                )
                self._route(api.WorkersListed(kind, version, listed))
        if self._functions.crowded or self._workers.crowded:
            self._forget_names()
        effects, self._effects = self._effects, []
        return effects

    # Calls

    def _arrive(self, e: CallArrived) -> None:
        function = e.of or self._catalogue.function(e.function)
        tenant = self._catalogue.tenant_index(e.tenant)
        cls = self._settings.classes[function.class_index]
        key: Hashable = None
        if e.repeat_key:
            key = (e.repeat_key, e.tenant, e.function, blake2b(e.payload, digest_size=16).digest())
            open_call = self._repeats.open_call(key)
            if open_call is not None:
                self._calls[open_call].tickets.append(e.ticket)
                self._tickets[e.ticket] = self._calls[open_call]
                return
            outcome = self._repeats.outcome(self._now, key)
            if outcome is not None:
                self._effects.append(Answered(e.ticket, outcome))
                return
            if not self._repeats.room(self._now, cls.effect):
                refusal = Refused("too many recent outcomes to remember", cls.aim // 4)
                self._effects.append(Answered(e.ticket, refusal))
                return
        if e.barred is not None:
            self._effects.append(Answered(e.ticket, e.barred))
            return
        self._count += 1
        call = _Call(
            self._count,
            function,
            cls,
            e.tenant if e.tenant is not None else self._catalogue.default_tenant,
            e.payload,
            self._now + e.time_left,
            key,
            e.durable,
            e.stays,
            [e.ticket],
        )
        self._calls[call.number] = call
        self._tickets[e.ticket] = call
        if key is not None:
            self._repeats.opened(key, call.number)
        self._route(
            api.RequestArrived(
                call.number,
                function.class_index,
                tenant,
                self._functions.number(function.name),
                e.time_left,
                function.cost,
                function.memory_mb,
                function.lanes,
                function.load_time,
                e.repeat,
                e.waited,
            )
        )

    def _caller_left(self, ticket: int) -> None:
        call = self._tickets.pop(ticket, None)
        if call is None or call.done:
            return
        call.tickets.remove(ticket)
        if call.tickets or call.stays:
            return
        bound = call.key is not None and call.cls.effect is not api.Effect.SAFE
        if bound and self._may_have_run(call):
            return  # its caller may ask again under the same id: then the one outcome must be known
        self._end(call, None)
        self._route(api.RequestGone(call.number))

    def _stop(self, call: _Call) -> None:
        self._end(call, Failed(Failure.STOPPED, "stopped by its owner"))
        self._route(api.RequestGone(call.number))

    def _may_have_run(self, call: _Call) -> bool:
        return any(outcome not in NEVER_RAN for outcome in call.outcomes)

    def _attempt_done(self, e: AttemptDone) -> None:
        call = self._calls.get(e.call)
        if call is None or e.attempt >= len(call.outcomes) or call.outcomes[e.attempt] is not None:
            return
        outcome, worker = e.outcome, call.workers[e.attempt]
        late = self._now > call.expires
        if outcome is Outcome.OK and late and not call.done:
            outcome = Outcome.TIMEOUT  # an answer after its caller's time is not served
        call.outcomes[e.attempt] = outcome
        call.last = f"{outcome.value} at {worker}"
        if not call.done and outcome is Outcome.OK:
            self._end(call, Served(e.payload, worker, call.function.version))
        elif not call.done and e.by_function and not late:
            # The function's own error is its answer: another worker would only run it again.
            self._end(call, Failed(Failure.FUNCTION, "the function raised an error", e.payload))
        self._route(
            api.AttemptEnded(
                call.number,
                e.attempt,
                self._workers.number(worker),
                outcome,
                e.latency,
                call.done,
                e.warmth,
                e.crowd,
                e.report,
            )
        )
        self._forget(call)

    def _end(self, call: _Call, final: Final | None) -> None:
        """The one place where a final answer becomes final; None where nobody is owed one."""
        if call.done:
            return
        call.done = True
        if call.key is not None:
            self._repeats.closed(self._now, call.key, call.cls.effect, final)
        for ticket in call.tickets:
            self._tickets.pop(ticket, None)
            if final is not None:
                self._effects.append(Answered(ticket, final))
        call.tickets.clear()
        call.payload = b""
        self._forget(call)

    def _forget(self, call: _Call) -> None:
        if call.done and None not in call.outcomes:
            self._calls.pop(call.number, None)

    def _forget_names(self) -> None:
        """Guards against memory that grows with each function and worker ever seen. An open call has its
        names by itself."""
        functions, workers = self._router.named()
        self._functions.keep(functions)
        self._workers.keep(workers)

    # The Router

    def _route(self, event: api.Event) -> None:
        for action in self._router.handle(self._now, event):
            self._act(action)

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send(request, worker, timeout, latest):
                call = self._calls[request]
                name = self._workers.name(worker)
                call.workers.append(name)
                call.outcomes.append(None)
                self._effects.append(
                    Start(
                        request,
                        len(call.outcomes) - 1,
                        name,
                        call.function.name,
                        call.tenant,
                        call.payload,
                        timeout,
                        call.tickets[0] if call.tickets else 0,
                        call.durable and call.cls.effect is not api.Effect.SAFE,
                        latest,
                    )
                )
            case api.Refuse(request, retry_after):
                call = self._calls[request]
                reason = f"no room: {call.last}" if self._now < call.expires else f"out of time: {call.last}"
                self._end(call, Refused(reason, retry_after))
            case api.Fail(request):
                call = self._calls[request]
                out = None in call.outcomes
                failure = Failure.DEADLINE if out else Failure.WORKER
                message = "no answer in time" if out else f"it may have run: {call.last}"
                self._end(call, Failed(failure, message))
            case api.Cancel(request, attempt):
                self._effects.append(Abandon(request, attempt))
            case api.SetTimer(delay, token):
                self._effects.append(Arm(delay, token))
            case api.Hold(worker, function, copies, latest):
                self._effects.append(
                    Order(self._workers.name(worker), self._functions.name(function), copies, latest)
                )
            case api.Unload(worker, function):
                self._effects.append(Discard(self._workers.name(worker), self._functions.name(function)))
            case api.Probe(worker):
                self._effects.append(Ping(self._workers.name(worker)))
            case api.CloseIdle(worker):
                self._effects.append(CloseIdle(self._workers.name(worker)))
            case api.FollowList(on):
                self._effects.append(AskList(on))
            case api.ReadList():
                self._effects.append(AskList())
            case api.Log(text):
                self._effects.append(Note(text))
