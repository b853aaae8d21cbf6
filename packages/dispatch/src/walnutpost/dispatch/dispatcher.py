"""The dispatcher, which connects the Gateway to an event loop, to workers and to callers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from walnutpost.dispatch.answers import AnswerCounts, log_answer
from walnutpost.dispatch.effects import EffectRunner
from walnutpost.dispatch.interfaces import DispatchHooks, WorkerTransport
from walnutpost.eventloop import Logger, Loop
from walnutpost.gateway import (
    AnswerCaller,
    AttemptEnded,
    CallArrived,
    CallerLeft,
    CallRequest,
    FinalAnswer,
    Gateway,
    Input,
    LoadOrderEnded,
    Rejected,
)


class Dispatcher:
    """Feeds the Gateway, carries out its effects and passes each final answer to its caller.

    `hooks` are optional extensions by the process that owns the dispatcher. `answers` counts the calls since
    the start by how they ended. Times are in microseconds.
    """

    def __init__(
        self,
        loop: Loop,
        gateway: Gateway,
        transport: WorkerTransport,
        log: Logger,
        hooks: DispatchHooks | None = None,
    ) -> None:
        self._loop = loop
        self._gateway = gateway
        self._log = log
        self._last_caller_id = 0
        self._on_final_by_caller: dict[int, Callable[[FinalAnswer], None]] = {}
        self._hooks = hooks or DispatchHooks()
        self._effects = EffectRunner(loop, transport, self._hooks, log, self.feed, self._on_answered)
        self.answers = AnswerCounts()

    def new_caller_id(self) -> int:
        """Return an unused caller ID for a call to submit."""
        self._last_caller_id += 1
        return self._last_caller_id

    @property
    def open_calls(self) -> int:
        """The number of calls without a final answer."""
        return self._gateway.open_calls

    def feed(self, event: Input) -> None:
        """Pass an input to the Gateway and carry out its effects.

        Does not block, so tasks and callbacks may call it.
        """
        now_us = self._loop.now()
        observer = self._hooks.observer
        if observer is not None:
            if isinstance(event, AttemptEnded):
                observer.on_attempt_ended(now_us, event)
            elif isinstance(event, LoadOrderEnded):
                observer.on_load_order_ended(now_us, event)
        for effect in self._gateway.handle(now_us, event):
            # An effect that raises must not prevent the others, which may answer other callers.
            self._loop.run_guarded("effect", partial(self._effects.run, effect))

    def rejection_for(self, function: str, tenant: str | None) -> Rejected | None:
        """Return the rejection of a new call, or None if the call is admitted."""
        observer = self._hooks.observer
        return observer.rejection_for(function, tenant) if observer is not None else None

    def submit(self, call: CallArrived, on_final: Callable[[FinalAnswer], None]) -> None:
        """Start a call. `on_final` gets its only final answer, possibly before `submit` returns."""
        if self._hooks.counter is not None:
            on_final = _combine_callbacks(self._hooks.counter.on_submitted(call), on_final)
        self._on_final_by_caller[call.caller_id] = on_final
        try:
            self.feed(call)
        except BaseException:
            self._on_final_by_caller.pop(call.caller_id, None)
            raise

    def abandon(self, caller_id: int) -> None:
        """Record that the caller has left; do nothing if it already has its final answer."""
        if self._on_final_by_caller.pop(caller_id, None) is not None:
            self.answers.abandoned += 1
            if self._hooks.counter is not None:
                self._hooks.counter.on_abandoned()
            self.feed(CallerLeft(caller_id))

    def call(
        self,
        request: CallRequest,
        idempotency_key: str,
        is_repeat: bool,
        watch_disconnect: Callable[[Callable[[], None]], Callable[[], None]],
        /,
    ) -> FinalAnswer | None:
        """Make a synchronous call and wait for its answer; return None if the caller leaves first.

        Implements `fronts.calls.SynchronousCalls`. `watch_disconnect` registers a callback that runs when the
        caller hangs up, and returns a function that removes it.
        """
        call = CallArrived(
            self.new_caller_id(),
            request.function,
            request.payload,
            request.time_left_us,
            request.tenant,
            idempotency_key,
            is_repeat,
            rejection=self.rejection_for(request.function, request.tenant),
        )
        final = self._submit_and_wait(call, watch_disconnect)
        self.log_answer(final, request.request_id, call.function, call.tenant)
        return final

    def log_answer(
        self, final: FinalAnswer | None, request_id: str, function: str, tenant: str | None
    ) -> None:
        """Log `request_answered` for a call that was not served; `final` is None if the caller left."""
        log_answer(self._log, final, request_id, function, tenant)

    def _submit_and_wait(
        self, call: CallArrived, watch_disconnect: Callable[[Callable[[], None]], Callable[[], None]]
    ) -> FinalAnswer | None:
        task, token = self._loop.begin_wait()

        def wake(final: FinalAnswer | None) -> None:
            self._loop.wake(task, token, final)

        stop_watching = watch_disconnect(partial(wake, None))
        try:
            self.submit(call, wake)
            final: FinalAnswer | None = self._loop.park()
        finally:
            stop_watching()
            self.abandon(call.caller_id)
        return final

    def _on_answered(self, effect: AnswerCaller) -> None:
        self.answers.count(effect.final)
        on_final = self._on_final_by_caller.pop(effect.caller_id, None)
        if on_final is not None:
            on_final(effect.final)


def _combine_callbacks(
    first: Callable[[FinalAnswer], None], second: Callable[[FinalAnswer], None]
) -> Callable[[FinalAnswer], None]:
    def call_both(final: FinalAnswer) -> None:
        first(final)
        second(final)

    return call_both
