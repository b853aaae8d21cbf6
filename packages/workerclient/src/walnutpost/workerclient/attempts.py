"""Attempts of calls: each is a task of its own, so that a slow worker delays nothing else."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from walnutpost.eventloop import Cancelled, Loop, Task
from walnutpost.gateway import AttemptEnded, Send
from walnutpost.interface import Outcome
from walnutpost.workerclient import codec
from walnutpost.workerclient.codec import CallRequest, CallResult
from walnutpost.workerclient.delivery import Delivery, WorkerRequest
from walnutpost.workerclient.settings import WorkerClientSettings
from walnutpost.workerclient.tasks import call_when_ended


@dataclass(frozen=True, slots=True)
class _AttemptResult:
    """How an attempt ended, with the body of its response."""

    call: CallResult
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class _Attempt:
    request: WorkerRequest
    task: Task[_AttemptResult]


class AttemptSender:
    """Sends attempts, and reports the one outcome of each."""

    def __init__(
        self, loop: Loop, settings: WorkerClientSettings, delivery: Delivery, wall_clock: Callable[[], int]
    ) -> None:
        """Send deadlines by `wall_clock`, in microseconds since the epoch."""
        self._loop = loop
        self._settings = settings
        self._delivery = delivery
        self._wall_clock = wall_clock
        self._attempts: dict[tuple[int, int], _Attempt] = {}  # by call and attempt

    @property
    def in_flight(self) -> int:
        """How many attempts have not ended."""
        return len(self._attempts)

    def start(
        self,
        effect: Send,
        done: Callable[[AttemptEnded], None],
        before: Callable[[], None] | None,
        execution: str,
    ) -> None:
        """Send an attempt; see `WorkerClient.start`."""
        key = (effect.call, effect.attempt)
        request = self._delivery.make_request(
            effect.worker,
            lambda: self._encode(effect, request, execution),
            effect.timeout_us,
            effect.begin_within_us,
            is_new_work=True,
        )
        request.prepare = before
        task = self._loop.spawn(self._run, request, name="attempt")
        self._attempts[key] = _Attempt(request, task)

        def report_end() -> None:
            del self._attempts[key]
            result = task.result or _AttemptResult(_result_without_response(request, task.error))
            done(self._make_event(effect, request, result))

        call_when_ended(self._loop, task, report_end)

    def abandon(self, call: int, attempt: int) -> None:
        """Give an attempt up: no byte of it leaves from now on where none has left."""
        known = self._attempts.get((call, attempt))
        if known is not None:
            # The task may be ready to run after a wait: it is then cancelled at its next one, which may
            # come after the first byte.
            known.request.is_abandoned = True
            known.task.cancel()

    def _run(self, request: WorkerRequest) -> _AttemptResult:
        delivered = self._delivery.deliver(request)
        if delivered.response is None:
            return _AttemptResult(CallResult(delivered.outcome))
        result = codec.decode_call_response(delivered.response, self._settings.report_fields)
        return _AttemptResult(result, delivered.response.body)

    def _encode(self, effect: Send, request: WorkerRequest, execution: str) -> bytes:
        """Encode the call with the time that is left now, as the first byte leaves."""
        time_left_us = request.deadline_us - self._loop.now()
        call = CallRequest(
            function=effect.function,
            tenant=effect.tenant,
            payload=effect.payload,
            call_id=f"{self._settings.call_id_prefix}-{effect.call}",
            attempt=effect.attempt,
            deadline_us=self._wall_clock() + time_left_us,
            execution=execution,
        )
        return codec.encode_call(call)

    def _make_event(self, effect: Send, request: WorkerRequest, result: _AttemptResult) -> AttemptEnded:
        return AttemptEnded(
            call=effect.call,
            attempt=effect.attempt,
            outcome=result.call.outcome,
            latency_us=self._loop.now() - request.decided_us,
            payload=result.payload,
            is_function_error=result.call.is_function_error,
            warmth=result.call.warmth,
            crowd=result.call.crowd,
            report=result.call.report,
        )


def _result_without_response(request: WorkerRequest, error: BaseException | None) -> CallResult:
    """Return the result of an attempt whose task was cancelled or raised."""
    if not request.has_begun:
        return CallResult(Outcome.MOOT)
    return CallResult(Outcome.CANCELLED if isinstance(error, Cancelled) else Outcome.ERROR)
