"""The dispatcher: all inputs of the gateway pass through it, and each call's final answer comes back."""

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
    Final,
    Gateway,
    Input,
    LoadOrderEnded,
    Rejected,
)


class Dispatcher:
    """Feeds the gateway, and gives each call its final answer. Times are microseconds.

    `hooks` are what the process that owns it adds; `answers` counts since the start.
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
        self._on_final_by_caller: dict[int, Callable[[Final], None]] = {}
        self._hooks = hooks or DispatchHooks()
        self._effects = EffectRunner(loop, transport, self._hooks, log, self.feed, self._on_answered)
        self.answers = AnswerCounts()

    def new_caller_id(self) -> int:
        """Return the number under which a call is to be submitted."""
        self._last_caller_id += 1
        return self._last_caller_id

    @property
    def open_calls(self) -> int:
        """How many calls have no final answer yet."""
        return self._gateway.open_calls

    def feed(self, event: Input) -> None:
        """Give the gateway an input and carry out its effects.

        May be called from tasks and callbacks; does not wait.
        """
        now_us = self._loop.now()
        observer = self._hooks.observer
        if observer is not None:
            if isinstance(event, AttemptEnded):
                observer.on_attempt_ended(now_us, event)
            elif isinstance(event, LoadOrderEnded):
                observer.on_load_order_ended(now_us, event)
        for effect in self._gateway.handle(now_us, event):
            # A failing effect must not prevent the remaining ones: they answer other callers.
            self._loop.run_guarded("effect", partial(self._effects.run, effect))

    def rejection_for(self, function: str, tenant: str | None) -> Rejected | None:
        """Return the answer to a new call that is not admitted, None for one that is."""
        observer = self._hooks.observer
        return observer.rejection_for(function, tenant) if observer is not None else None

    def submit(self, call: CallArrived, on_final: Callable[[Final], None]) -> None:
        """Start a call; `on_final` gets the one final answer, perhaps before this returns."""
        if self._hooks.counter is not None:
            on_final = _chain(self._hooks.counter.on_submitted(call), on_final)
        self._on_final_by_caller[call.caller_id] = on_final
        try:
            self.feed(call)
        except BaseException:
            self._on_final_by_caller.pop(call.caller_id, None)
            raise

    def abandon(self, caller_id: int) -> None:
        """Record that the caller has left; without effect once the final answer was given."""
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
        watch_hangup: Callable[[Callable[[], None]], Callable[[], None]],
        /,
    ) -> Final | None:
        """Make a synchronous call (`fronts.calls.Calls`); return None if the caller left first.

        `watch_hangup` registers a callback for the caller's hang-up, and returns what ends the registration.
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
        final = self._submit_and_wait(call, watch_hangup)
        self.log_answer(final, request.request_id, call.function, call.tenant)
        return final

    def log_answer(self, final: Final | None, request_id: str, function: str, tenant: str | None) -> None:
        """Log `request_answered` unless the call was served; None is a caller that left."""
        log_answer(self._log, final, request_id, function, tenant)

    def _submit_and_wait(
        self, call: CallArrived, watch_hangup: Callable[[Callable[[], None]], Callable[[], None]]
    ) -> Final | None:
        task, token = self._loop.begin_wait()

        def wake(final: Final | None) -> None:
            self._loop.wake(task, token, final)

        end_watch = watch_hangup(partial(wake, None))
        try:
            self.submit(call, wake)
            final: Final | None = self._loop.park()
        finally:
            end_watch()
            self.abandon(call.caller_id)
        return final

    def _on_answered(self, effect: AnswerCaller) -> None:
        self.answers.count(effect.final)
        on_final = self._on_final_by_caller.pop(effect.caller_id, None)
        if on_final is not None:
            on_final(effect.final)


def _chain(first: Callable[[Final], None], second: Callable[[Final], None]) -> Callable[[Final], None]:
    def call_both(final: Final) -> None:
        first(final)
        second(final)

    return call_both
