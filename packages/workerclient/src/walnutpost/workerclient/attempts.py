"""Attempts of calls. Each attempt runs in its own task, so a slow worker does not delay other calls."""

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
from walnutpost.workerclient.tasks import add_done_callback


@dataclass(frozen=True, slots=True)
class _AttemptResult:
    """The end of an attempt and the body of its response."""

    call_result: CallResult
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class _Attempt:
    request: WorkerRequest
    task: Task[_AttemptResult]


class AttemptSender:
    """Sender of attempts; it reports exactly one outcome for each."""

    def __init__(
        self, loop: Loop, settings: WorkerClientSettings, delivery: Delivery, wall_clock: Callable[[], int]
    ) -> None:
        """Create a sender; it sends deadlines in microseconds since the epoch, as `wall_clock` returns."""
        self._loop = loop
        self._settings = settings
        self._delivery = delivery
        self._wall_clock = wall_clock
        self._attempts: dict[tuple[int, int], _Attempt] = {}  # by call id and attempt number

    @property
    def in_flight(self) -> int:
        """The number of attempts that have not ended."""
        return len(self._attempts)

    def send(
        self,
        effect: Send,
        on_ended: Callable[[AttemptEnded], None],
        before_send: Callable[[], None] | None,
        execution: str,
    ) -> None:
        """Send an attempt; see `WorkerClient.send`."""
        key = (effect.call, effect.attempt)
        request = self._delivery.make_request(
            effect.worker,
            lambda: self._encode(effect, request, execution),
            effect.timeout_us,
            effect.begin_within_us,
            is_new_work=True,
        )
        request.prepare = before_send
        task = self._loop.spawn(self._run, request, name="attempt")
        self._attempts[key] = _Attempt(request, task)

        def report_end() -> None:
            del self._attempts[key]
            result = task.result or _AttemptResult(_result_without_response(request, task.error))
            on_ended(self._make_event(effect, request, result))

        add_done_callback(self._loop, task, report_end)

    def cancel(self, call: int, attempt: int) -> None:
        """Cancel an attempt. If no byte of it has been sent, none will be."""
        attempt_in_flight = self._attempts.get((call, attempt))
        if attempt_in_flight is not None:
            # Cancelling the task alone is not enough: if it is ready to run, it is only cancelled at its next
            # wait, which may come after the first byte has been sent.
            attempt_in_flight.request.is_cancelled = True
            attempt_in_flight.task.cancel()

    def _run(self, request: WorkerRequest) -> _AttemptResult:
        delivery_result = self._delivery.deliver(request)
        if delivery_result.response is None:
            return _AttemptResult(CallResult(delivery_result.outcome))
        result = codec.decode_call_response(delivery_result.response, self._settings.report_fields)
        return _AttemptResult(result, delivery_result.response.body)

    def _encode(self, effect: Send, request: WorkerRequest, execution: str) -> bytes:
        """Encode the call right before its first byte is sent, with the time left as a wall clock time."""
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
            outcome=result.call_result.outcome,
            latency_us=self._loop.now() - request.decided_at_us,
            payload=result.payload,
            is_function_error=result.call_result.is_function_error,
            warmth=result.call_result.warmth,
            crowd=result.call_result.crowd,
            report=result.call_result.report,
        )


def _result_without_response(request: WorkerRequest, error: BaseException | None) -> CallResult:
    """Return the result of an attempt whose task was cancelled or raised an error."""
    if not request.has_begun:
        return CallResult(Outcome.EXPIRED)
    return CallResult(Outcome.CANCELLED if isinstance(error, Cancelled) else Outcome.ERROR)
