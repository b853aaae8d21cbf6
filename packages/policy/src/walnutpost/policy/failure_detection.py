"""Failure detection: take unresponsive workers out of use and place their requests elsewhere."""

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.functions import FunctionTable
from walnutpost.policy.health_checks import HealthChecks
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.placement import Placement
from walnutpost.policy.timers import TimerKind, Timers
from walnutpost.policy.workers import Worker

MAX_UNRESPONSIVE_RATIO = 0.5  # of the ready workers; beyond it this front end is more likely at fault
UNRESPONSIVE_PROBE_INTERVAL_OBJECTIVES = 0.5  # interval between probes


class FailureDetection:
    """Detector of failed workers, which usually finds them before the endpoint list reports them."""

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
        """Record that the worker answered a message that was sent to it at `sent_us`."""
        now_us, unresponsive_since_us = self._context.now_us, worker.unresponsive_since_us
        if unresponsive_since_us is not None and now_us - unresponsive_since_us > self._context.objective_us:
            worker.started_us = now_us  # it may have restarted, so it warms up until the list says otherwise
        worker.last_heard_us = now_us
        worker.probe_sent_us = None
        worker.unresponsive_since_us = None
        worker.first_unanswered_order_us = 0
        self._orders.settle_unresolved(worker, sent_us)

    def check_worker(self, worker: Worker) -> None:
        """Probe a quiet worker with attempts in flight; mark it unresponsive if the probe goes unanswered."""
        if worker.unresponsive_since_us is not None:
            self._check_unresponsive(worker)
        elif worker.in_flight:
            self._check_active(worker)

    def record_connection_failure(self, worker: Worker, outcome: api.Outcome) -> None:
        """Mark the worker unresponsive, or only probe it after a first reset.

        A single connection may break by itself, so only a repeated failure is taken as a sign.
        """
        is_first_failure = worker.probe_sent_us is None and worker.unresponsive_since_us is None
        if outcome is api.Outcome.RESET and is_first_failure:
            self._health_checks.probe(worker)
        else:
            self._mark_unresponsive(worker)

    def forget_copies(self, worker: Worker, reassign: bool) -> None:
        """Drop the copies assumed on the worker.

        If `reassign` is true, the attempts running there are lost, so their requests are placed again.
        """
        self._functions.forget_copies(worker.info.id)
        if reassign:
            self._placement.reassign_requests(worker)

    def _check_unresponsive(self, worker: Worker) -> None:
        if worker.is_ready:
            self._health_checks.probe(worker)
        self._schedule_check(worker, UNRESPONSIVE_PROBE_INTERVAL_OBJECTIVES * self._context.objective_us)

    def _check_active(self, worker: Worker) -> None:
        now_us = self._context.now_us
        timeout_us = self._health_checks.quiet_timeout_us()
        if now_us - worker.last_heard_us < timeout_us:
            self._timers.schedule(worker.last_heard_us + timeout_us, TimerKind.CHECK_WORKER, worker.info.id)
            return
        if (
            worker.probe_sent_us is not None
            and now_us - worker.probe_sent_us >= self._context.probe_timeout_us
        ):
            self._mark_unresponsive(worker)
            return
        if worker.is_ready and worker.probe_sent_us is None:
            self._health_checks.probe(worker)
        self._schedule_check(worker, self._context.probe_timeout_us)

    def _mark_unresponsive(self, worker: Worker) -> None:
        unresponsive = sum(
            w.is_ready and w.unresponsive_since_us is not None for w in self._endpoints.workers.values()
        )
        if worker.unresponsive_since_us is not None:
            return
        if unresponsive + 1 > MAX_UNRESPONSIVE_RATIO * self._endpoints.ready_count:
            return
        worker.unresponsive_since_us = self._context.now_us
        worker.probe_sent_us = None
        text = f"worker {worker.info.id} set aside as silent, {worker.in_flight} requests out"
        self._context.actions.append(api.Log(text))
        self.forget_copies(worker, reassign=True)
        self._schedule_check(worker, UNRESPONSIVE_PROBE_INTERVAL_OBJECTIVES * self._context.objective_us)

    def _schedule_check(self, worker: Worker, delay_us: float) -> None:
        self._timers.schedule(self._context.now_us + delay_us, TimerKind.CHECK_WORKER, worker.info.id)
