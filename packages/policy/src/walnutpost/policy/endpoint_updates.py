"""Updates of the endpoint list: apply a full list or a change to the known workers and their requests."""

import math
from dataclasses import replace

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.failure_detection import FailureDetection
from walnutpost.policy.functions import FunctionTable
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.placement import Placement
from walnutpost.policy.requests import OpenRequests
from walnutpost.policy.timers import TimerKind, Timers
from walnutpost.policy.workers import Worker, new_worker

COMPLETE_LISTS = (api.ListKind.CACHED, api.ListKind.FULL)
WATCH_RETRY_DIVISOR = 8  # a failed watch is retried after `guards.watch_within_us` divided by this


class EndpointUpdates:
    """Handler of endpoint lists and their changes."""

    __slots__ = (
        "_context",
        "_endpoints",
        "_failure_detection",
        "_functions",
        "_is_watching",
        "_orders",
        "_placement",
        "_requests",
        "_timers",
    )

    def __init__(
        self,
        context: DecisionContext,
        timers: Timers,
        endpoints: Endpoints,
        functions: FunctionTable,
        requests: OpenRequests,
        orders: LoadOrders,
        placement: Placement,
        failure_detection: FailureDetection,
    ) -> None:
        self._context = context
        self._timers = timers
        self._endpoints = endpoints
        self._functions = functions
        self._requests = requests
        self._orders = orders
        self._placement = placement
        self._failure_detection = failure_detection
        self._is_watching = False

    def handle(self, event: api.WorkersListed) -> None:
        """Update the workers, then try to send the queued requests."""
        self._schedule_watch(event.kind)
        weights_before = self._endpoints.weights()
        for info in (*self._missing_from(event), *event.workers):
            self._update_worker(info)
        self._forget_gone()
        self._endpoints.update_totals(weights_before)
        for function in list(self._functions.by_key.values()):
            if function.queued:
                self._placement.release(function)

    def _schedule_watch(self, kind: api.ListKind) -> None:
        """Schedule a watch of the endpoint list: at the first list, and after a delay if a watch fails."""
        if not self._context.settings.must_watch_endpoints:
            return
        if self._is_watching and kind is not api.ListKind.FAILED:
            return
        retry_delay_us = self._context.settings.guards.watch_within_us / WATCH_RETRY_DIVISOR
        delay_us = retry_delay_us if self._is_watching else 0
        self._timers.schedule(self._context.now_us + delay_us, TimerKind.WATCH_ENDPOINTS, 0)
        self._is_watching = True

    def _missing_from(self, event: api.WorkersListed) -> list[api.Worker]:
        """Return the known workers that a complete list omits, with their state set to gone."""
        if event.kind not in COMPLETE_LISTS:
            return []
        listed = {info.id for info in event.workers}
        return [
            replace(worker.info, state=api.WorkerState.GONE)
            for worker_id, worker in self._endpoints.workers.items()
            if worker_id not in listed
        ]

    def _update_worker(self, info: api.Worker) -> None:
        worker = self._endpoints.workers.get(info.id)
        if worker is None:
            worker = new_worker(info, self._context.keep_alive_us)
            self._endpoints.workers[info.id] = worker
        has_restarted = info.started_at_us > worker.info.started_at_us
        worker.info = info
        worker.is_ready = info.state is api.WorkerState.READY
        worker.weight = self._endpoints.weight_of(info)
        if has_restarted:  # after `is_ready`: reassigned requests must not go to a worker that drains again
            self._restart_worker(worker)
        if not worker.is_ready:
            self._failure_detection.forget_copies(worker, reassign=info.state is api.WorkerState.GONE)

    def _restart_worker(self, worker: Worker) -> None:
        """Discard what was known from before the restart: copies, attempts and slowdown samples."""
        self._failure_detection.forget_copies(worker, reassign=True)
        self._orders.settle_unresolved(worker, worker.info.started_at_us)
        initial = new_worker(worker.info, self._context.keep_alive_us)
        worker.started_us = initial.started_us
        worker.unresponsive_since_us = None
        worker.probe_sent_us = None
        worker.sample_weights = initial.sample_weights
        worker.slowdown_samples = initial.slowdown_samples

    def _forget_gone(self) -> None:
        """Forget the workers that left the list, once no attempt refers to them."""
        gone = {i for i, w in self._endpoints.workers.items() if w.info.state is api.WorkerState.GONE}
        if not gone:
            return
        for worker_id in gone - self._requests.workers_referenced():
            self._orders.settle_unresolved(self._endpoints.workers.pop(worker_id), math.inf)
            self._functions.forget_worker(worker_id)
