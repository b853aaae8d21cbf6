"""Results of load orders and probes: update the worker and its copies."""

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.failure_detection import FailureDetection
from walnutpost.policy.functions import FunctionTable
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.placement import Placement
from walnutpost.policy.requests import WORKER_ANSWERED
from walnutpost.policy.workers import Worker


class LoadOrderResults:
    """Handler of ended load orders and probes."""

    __slots__ = ("_context", "_endpoints", "_failure_detection", "_functions", "_orders", "_placement")

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        functions: FunctionTable,
        orders: LoadOrders,
        placement: Placement,
        failure_detection: FailureDetection,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._functions = functions
        self._orders = orders
        self._placement = placement
        self._failure_detection = failure_detection

    def handle(self, event: api.LoadOrderEnded) -> None:
        """Settle the order, update the worker and its copies, and try to send queued requests."""
        worker = self._endpoints.workers.get(event.worker)
        if event.ordered_copies and not self._context.settings.is_ideal_network:
            self._orders.settle_order(worker, event.outcome)
        if worker is None:
            return
        self._update_worker(worker, event)
        function = self._functions.by_key.get(event.function)
        if function is None:
            return
        if event.outcome is api.Outcome.OK and not event.copies:
            if event.worker not in function.in_flight:
                function.copies.pop(event.worker, None)
            return
        was_ordered = function.pending_orders_us.pop(event.worker, None) is not None
        if event.outcome is api.Outcome.OK and worker.is_ready:
            self._orders.record_copies(function, event, was_ordered)
        elif was_ordered:
            self._orders.schedule_backoff(function, event.worker)
        self._placement.release(function)

    def _update_worker(self, worker: Worker, event: api.LoadOrderEnded) -> None:
        """Record an answer or a connection failure; a timeout or an unsent order proves nothing by itself."""
        if event.outcome in WORKER_ANSWERED:
            self._failure_detection.record_answer(worker, self._context.now_us - event.latency_us)
        elif event.outcome not in (api.Outcome.TIMEOUT, api.Outcome.EXPIRED):
            self._failure_detection.record_connection_failure(worker, event.outcome)
