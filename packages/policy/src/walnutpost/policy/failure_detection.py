"""Failure detection: which silent workers are set aside, and what becomes of their work."""

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.functions import FunctionTable
from walnutpost.policy.health_checks import HealthChecks
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.placement import Placement
from walnutpost.policy.timers import TimerKind, Timers
from walnutpost.policy.workers import Worker

MAX_SET_ASIDE_RATIO = 0.5  # of the ready workers: beyond that the fault is more likely on this side
SILENT_PROBE_INTERVAL_OBJECTIVES = 0.5  # latency objectives between probes of a silent worker


class FailureDetection:
    """Sees vanished workers before the list tells of them."""

    __slots__ = (
        "_context",
        "_endpoints",
        "_functions",
        "_health_checks",
        "_orders",
        "_placement",
        "_timers",
    )

    def __init__(
        self,
        context: DecisionContext,
        timers: Timers,
        endpoints: Endpoints,
        functions: FunctionTable,
        orders: LoadOrders,
        health_checks: HealthChecks,
        placement: Placement,
    ) -> None:
        self._context = context
        self._timers = timers
        self._endpoints = endpoints
        self._functions = functions
        self._orders = orders
        self._health_checks = health_checks
        self._placement = placement

    def record_answer(self, worker: Worker, sent_us: int) -> None:
        """Note that the worker answered what was sent to it at `sent_us`."""
        now_us, silent_since_us = self._context.now_us, worker.silent_since_us
        if silent_since_us is not None and now_us - silent_since_us > self._context.objective_us:
            worker.started_us = now_us  # it may have restarted: warming up until the list tells
        worker.last_heard_us = now_us
        worker.probe_sent_us = None
        worker.silent_since_us = None
        worker.first_unanswered_order_us = 0
        self._orders.settle_unresolved(worker, sent_us)

    def check_worker(self, worker: Worker) -> None:
        """Probe a worker that is quiet with work in flight; set it aside if the probe goes unanswered."""
        if worker.silent_since_us is not None:
            self._check_silent(worker)
        elif worker.in_flight:
            self._check_in_use(worker)

    def record_connection_failure(self, worker: Worker, outcome: api.Outcome) -> None:
        """Doubt a reset, as one connection may break by itself: probe, set aside if that breaks too."""
        is_first_sign = worker.probe_sent_us is None and worker.silent_since_us is None
        if outcome is api.Outcome.RESET and is_first_sign:
            self._health_checks.probe(worker)
        else:
            self._set_aside(worker)

    def forget_copies(self, worker: Worker, rescue: bool) -> None:
        """Drop the belief in the worker's copies; `rescue`: what runs there is lost, so place it again."""
        self._functions.forget_copies(worker.info.id)
        if rescue:
            self._placement.rescue_requests(worker)

    def _check_silent(self, worker: Worker) -> None:
        if worker.is_ready:
            self._health_checks.probe(worker)
        self._schedule_check(worker, SILENT_PROBE_INTERVAL_OBJECTIVES * self._context.objective_us)

    def _check_in_use(self, worker: Worker) -> None:
        now_us = self._context.now_us
        quiet_us = self._health_checks.quiet_timeout_us()
        if now_us - worker.last_heard_us < quiet_us:
            self._timers.schedule(worker.last_heard_us + quiet_us, TimerKind.CHECK_WORKER, worker.info.id)
            return
        if worker.probe_sent_us is not None and now_us - worker.probe_sent_us >= self._context.grace_us:
            self._set_aside(worker)
            return
        if worker.is_ready and worker.probe_sent_us is None:
            self._health_checks.probe(worker)
        self._schedule_check(worker, self._context.grace_us)

    def _set_aside(self, worker: Worker) -> None:
        set_aside = sum(
            w.is_ready and w.silent_since_us is not None for w in self._endpoints.workers.values()
        )
        if worker.silent_since_us is not None:
            return
        if set_aside + 1 > MAX_SET_ASIDE_RATIO * self._endpoints.ready_count:
            return
        worker.silent_since_us = self._context.now_us
        worker.probe_sent_us = None
        text = f"worker {worker.info.id} set aside as silent, {worker.in_flight} requests out"
        self._context.actions.append(api.Log(text))
        self.forget_copies(worker, rescue=True)
        self._schedule_check(worker, SILENT_PROBE_INTERVAL_OBJECTIVES * self._context.objective_us)

    def _schedule_check(self, worker: Worker, delay_us: float) -> None:
        self._timers.schedule(self._context.now_us + delay_us, TimerKind.CHECK_WORKER, worker.info.id)
