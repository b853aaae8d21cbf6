"""The Gateway keeps the state of calls and their callers; the Router makes every routing decision."""

from __future__ import annotations

from collections.abc import Hashable
from typing import assert_never

from walnutpost import interface as api
from walnutpost.gateway.calls import Call, CallTable, identity_of
from walnutpost.gateway.catalogue import Catalogue, Function
from walnutpost.gateway.effects import AnswerCaller, Effect, Send
from walnutpost.gateway.inputs import (
    AttemptEnded,
    CallArrived,
    CallerLeft,
    CallStopped,
    Input,
    LoadOrderEnded,
    ProbeEnded,
    WorkersListed,
)
from walnutpost.gateway.messages import Failed, Failure, FinalAnswer, Rejected, Served
from walnutpost.gateway.recent_outcomes import RecentOutcomes
from walnutpost.gateway.router_translator import RouterTranslator
from walnutpost.interface import Outcome
from walnutpost.policy import Router

OUTCOME_TTL_US = 60_000_000
MAX_OUTCOME_BYTES = 64 << 20
RETRY_AFTER_DIVISOR = 4  # of the latency objective: the delay before a retry if memory for outcomes is full


class Gateway:
    """The state machine of one front end, which turns inputs into effects.

    It starts without calls or workers, and is not thread-safe. Each `class_index` in `catalogue` is an index
    into `settings.classes`. `seed` initializes the Router's random number generator. The outcomes of calls
    with an idempotency key are kept for `outcome_ttl_us`, in at most `max_outcome_bytes` of memory.
    """

    def __init__(
        self,
        settings: api.Settings,
        catalogue: Catalogue,
        seed: int,
        outcome_ttl_us: int = OUTCOME_TTL_US,
        max_outcome_bytes: int = MAX_OUTCOME_BYTES,
    ) -> None:
        self._settings = settings
        self._catalogue = catalogue
        self._router = Router(settings, seed)
        self._translator = RouterTranslator(() if catalogue.is_dynamic else catalogue.functions)
        self._calls = CallTable()
        self._recent_outcomes = RecentOutcomes(outcome_ttl_us, max_outcome_bytes)
        self._now_us = 0
        self._effects: list[Effect] = []

    @property
    def open_calls(self) -> int:
        """The number of calls without a final answer."""
        return sum(not call.is_answered for call in self._calls.by_number.values())

    @property
    def known_function_count(self) -> int:
        """The number of functions whose names are kept, for checks that memory use does not grow."""
        return self._translator.function_count

    def handle(self, now: int, event: Input) -> list[Effect]:
        """Process one input and return the effects to carry out, in order.

        `now` is in microseconds and must not decrease between calls. Raises UnknownNameError if a CallArrived
        names a function or tenant that is not in the catalogue; the state is then unchanged.
        """
        self._now_us = now
        self._effects = []
        self._dispatch(event)
        if self._translator.needs_cleanup:
            self._translator.retain(*self._router.referenced_ids())  # an open call keeps its own names
        effects, self._effects = self._effects, []
        return effects

    def _dispatch(self, event: Input) -> None:
        match event:
            case CallArrived():
                self._on_call(event)
            case AttemptEnded():
                self._on_attempt_ended(event)
            case CallerLeft():
                self._on_caller_left(event)
            case CallStopped():
                self._on_call_stopped(event)
            case LoadOrderEnded():
                self._route(self._translator.load_order_event(event))
            case ProbeEnded():
                self._route(self._translator.probe_event(event))
            case WorkersListed():
                self._route(self._translator.endpoints_event(event))
            case api.TimerDue() | api.ShuttingDown():
                self._route(event)
            case _:
                assert_never(event)

    def _on_call(self, event: CallArrived) -> None:
        function = event.definition or self._catalogue.function(event.function)
        tenant_index = self._catalogue.tenant_index(event.tenant)
        request_class = self._settings.classes[function.class_index]
        identity = identity_of(event)
        if identity is not None and self._answer_repeat(event.caller_id, identity, request_class):
            return
        if event.rejection is not None:
            self._effects.append(AnswerCaller(event.caller_id, event.rejection))
            return
        call = self._open_call(event, function, request_class, identity)
        self._route(
            api.RequestArrived(
                request=call.number,
                class_index=function.class_index,
                tenant=tenant_index,
                function=self._translator.functions.number(function.name),
                time_left_us=event.time_left_us,
                cost_hint_us=function.cost_hint_us,
                memory_mb=function.memory_mb,
                concurrency=function.concurrency,
                load_time_us=function.load_time_us,
                is_repeat=event.is_repeat,
                waited_us=event.waited_us,
            )
        )

    def _answer_repeat(self, caller_id: int, identity: Hashable, request_class: api.RequestClass) -> bool:
        """Handle a call that has an identity; return False if it is a new call to open.

        A repeat joins its open call or gets the remembered outcome. A new call is rejected if there is no
        memory for its outcome.
        """
        open_call = self._recent_outcomes.open_call(identity)
        if open_call is not None:
            self._calls.join(open_call, caller_id)
            return True
        outcome = self._recent_outcomes.outcome(self._now_us, identity)
        if outcome is None and not self._recent_outcomes.has_capacity(self._now_us, request_class.effect):
            retry_after_us = request_class.latency_objective_us // RETRY_AFTER_DIVISOR
            outcome = Rejected("too many recent outcomes to remember", retry_after_us)
        if outcome is None:
            return False
        self._effects.append(AnswerCaller(caller_id, outcome))
        return True

    def _open_call(
        self, event: CallArrived, function: Function, request_class: api.RequestClass, identity: Hashable
    ) -> Call:
        call = Call(
            number=self._calls.next_number(),
            function=function,
            request_class=request_class,
            tenant=event.tenant if event.tenant is not None else self._catalogue.default_tenant,
            payload=event.payload,
            deadline_us=self._now_us + event.time_left_us,
            identity=identity,
            is_durable=event.is_durable,
            outlives_callers=event.outlives_callers,
            caller_ids=[event.caller_id],
        )
        self._calls.add(call)
        if identity is not None:
            self._recent_outcomes.add_open_call(identity, call.number)
        return call

    def _on_caller_left(self, event: CallerLeft) -> None:
        """Cancel the call if its last caller left, unless it must continue to its end.

        It continues if it outlives its callers or if a repeat must get its outcome.
        """
        call = self._calls.by_caller.pop(event.caller_id, None)
        if call is None or call.is_answered:
            return
        call.caller_ids.remove(event.caller_id)
        if call.caller_ids or call.outlives_callers or call.must_remember_outcome():
            return
        self._end(call, None)
        self._route(api.RequestCancelled(call.number))

    def _on_call_stopped(self, event: CallStopped) -> None:
        call = self._calls.by_caller.get(event.caller_id)
        if call is not None:
            self._end(call, Failed(Failure.STOPPED, "stopped by its owner"))
            self._route(api.RequestCancelled(call.number))

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        call = self._calls.by_number.get(event.call)
        if call is None or event.attempt >= len(call.outcomes) or call.outcomes[event.attempt] is not None:
            return
        outcome, worker = event.outcome, call.workers[event.attempt]
        is_late = self._now_us > call.deadline_us
        if outcome is Outcome.OK and is_late and not call.is_answered:
            outcome = Outcome.TIMEOUT  # an answer after the deadline is not served
        call.outcomes[event.attempt] = outcome
        call.last_result = f"{outcome.value} at {worker}"
        if not call.is_answered and outcome is Outcome.OK:
            self._end(call, Served(event.payload, worker, call.function.version))
        elif not call.is_answered and event.is_function_error and not is_late:
            # The function's own error is its final answer: a retry would only run the function again.
            self._end(call, Failed(Failure.FUNCTION, "the function raised an error", event.payload))
        self._route(
            api.AttemptEnded(
                request=call.number,
                attempt=event.attempt,
                worker=self._translator.workers.number(worker),
                outcome=outcome,
                latency_us=event.latency_us,
                is_request_finished=call.is_answered,
                warmth=event.warmth,
                crowd=event.crowd,
                report=event.report,
            )
        )
        self._calls.remove_if_ended(call)

    def _end(self, call: Call, final: FinalAnswer | None) -> None:
        """End the call and answer its callers, or give them no answer if `final` is None.

        This is the only place that gives final answers, and it does nothing for a call that has ended, so a
        caller gets at most one.
        """
        if call.is_answered:
            return
        call.is_answered = True
        if call.identity is not None:
            self._recent_outcomes.record_end(self._now_us, call.identity, call.request_class.effect, final)
        for caller_id in call.caller_ids:
            self._calls.by_caller.pop(caller_id, None)
            if final is not None:
                self._effects.append(AnswerCaller(caller_id, final))
        call.caller_ids.clear()
        call.payload = b""
        self._calls.remove_if_ended(call)

    def _route(self, event: api.Event) -> None:
        for action in self._router.handle(self._now_us, event):
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        """Apply an action to its call, or translate it into the effect with names in place of numbers."""
        match action:
            case api.Send():
                self._effects.append(self._send(action))
            case api.Reject(request, retry_after_us):
                call = self._calls.by_number[request]
                cause = "no room" if self._now_us < call.deadline_us else "out of time"
                self._end(call, Rejected(f"{cause}: {call.last_result}", retry_after_us))
            case api.Fail(request):
                self._fail(self._calls.by_number[request])
            case api.WatchEndpoints() | api.FetchEndpoints():
                pass  # every process with a Gateway watches its endpoint list all the time
            case _:
                self._effects.append(self._translator.effect_of(action))

    def _send(self, action: api.Send) -> Send:
        call = self._calls.by_number[action.request]
        worker = self._translator.workers.name(action.worker)
        has_effect = call.request_class.effect is not api.Effect.SAFE
        return Send(
            call=action.request,
            attempt=call.begin_attempt(worker),
            worker=worker,
            function=call.function.name,
            tenant=call.tenant,
            payload=call.payload,
            timeout_us=action.timeout_us,
            caller_id=call.caller_ids[0] if call.caller_ids else 0,
            must_persist_intent=call.is_durable and has_effect,
            begin_within_us=action.begin_within_us,
        )

    def _fail(self, call: Call) -> None:
        if call.has_open_attempt():
            self._end(call, Failed(Failure.DEADLINE, "no answer in time"))
        else:
            self._end(call, Failed(Failure.WORKER, f"it may have run: {call.last_result}"))
