"""Results of attempts: update the worker and the copy, then answer or retry the request."""

from walnutpost import interface as api
from walnutpost.policy.attempts import Attempts
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.failure_detection import FailureDetection
from walnutpost.policy.functions import Copy
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.outlier_detection import OutlierDetection
from walnutpost.policy.placement import Placement
from walnutpost.policy.rates import TrafficRates
from walnutpost.policy.requests import WORKER_ANSWERED, Attempt, OpenRequests, Request
from walnutpost.policy.workers import Worker

WAITED_FOR_LOAD = (api.Warmth.STARTED_LOAD, api.Warmth.JOINED_LOAD)


class AttemptResults:
    """Handler of ended attempts."""

    __slots__ = (
        "_attempts",
        "_context",
        "_endpoints",
        "_failure_detection",
        "_orders",
        "_outliers",
        "_placement",
        "_requests",
        "_traffic",
    )

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        requests: OpenRequests,
        traffic: TrafficRates,
        outliers: OutlierDetection,
        orders: LoadOrders,
        attempts: Attempts,
        placement: Placement,
        failure_detection: FailureDetection,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._requests = requests
        self._traffic = traffic
        self._outliers = outliers
        self._orders = orders
        self._attempts = attempts
        self._placement = placement
        self._failure_detection = failure_detection

    def handle(self, event: api.AttemptEnded) -> None:
        """Update the worker, the copy and the request; ignore results of unknown or ended attempts."""
        request = self._requests.by_id.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        worker = self._endpoints.workers[attempt.worker]
        copy = request.function.copies.get(attempt.worker)
        attempt.outcome = event.outcome
        self._endpoints.attempt_ended(worker)
        request.function.attempt_ended(attempt.worker)
        if event.outcome in WORKER_ANSWERED:
            self._failure_detection.record_answer(worker, self._context.now_us - event.latency_us)
            self._outliers.record_answer(worker, request, event)
            self._orders.count_request(request, is_genuine=event.outcome is not api.Outcome.ERROR)
        self._update_copy(request, attempt, copy, worker, event)
        self._close_or_retry(request, attempt, event)

    def _update_copy(
        self, request: Request, attempt: Attempt, copy: Copy | None, worker: Worker, event: api.AttemptEnded
    ) -> None:
        load_failed = event.warmth is api.Warmth.LOAD_FAILED
        # The copy was unconfirmed, so the full worker rejected the load that the request would have started.
        load_rejected = event.outcome is api.Outcome.FULL and copy is not None and not copy.is_confirmed
        if event.outcome is api.Outcome.OK:
            self._record_success(request, attempt, copy, worker, event)
        elif event.outcome is api.Outcome.MISS or load_failed or load_rejected:
            request.function.copies.pop(attempt.worker, None)
            if event.outcome is api.Outcome.MISS and not load_failed:
                request.function.last_miss_us[attempt.worker] = self._context.now_us
            else:
                self._orders.schedule_backoff(request.function, attempt.worker)
        elif event.outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            self._failure_detection.record_connection_failure(worker, event.outcome)

    def _record_success(
        self, request: Request, attempt: Attempt, copy: Copy | None, worker: Worker, event: api.AttemptEnded
    ) -> None:
        if copy is not None:
            copy.last_used_us = self._context.now_us
            copy.is_confirmed = True
        self._traffic.answers.add(self._context.now_us)
        if attempt.was_warm and event.warmth not in WAITED_FOR_LOAD:
            self._outliers.record_latency(request, worker, event.latency_us)

    def _close_or_retry(self, request: Request, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Close the request if it is finished; otherwise retry it once no attempt is in flight.

        The worker is excluded from retries, except after a miss without a failed load, where nothing ran.
        """
        if event.is_request_finished or request.is_answered:
            self._requests.close(request)
            return
        if event.outcome is not api.Outcome.MISS or event.warmth is api.Warmth.LOAD_FAILED:
            request.excluded_workers.append(attempt.worker)
        if not request.all_attempts_ended():
            return
        if self._attempts.may_retry(request):
            self._placement.place(request)
        else:
            self._requests.reject_or_fail(request)
