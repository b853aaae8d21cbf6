"""Health checks of quiet workers. A probe asks a worker for its number of copies of some function."""

import math

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.functions import FunctionTable
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.outlier_detection import OutlierDetection
from walnutpost.policy.timers import TimerKind, Timers
from walnutpost.policy.workers import Worker

QUIET_TIMEOUT_LATENCIES = 2.0  # mean latencies without an answer before a probe, if probes are cheap
CHEAP_PROBE_PRICE = 0.01  # probes are cheap up to here; each factor of e above adds one mean latency
MIN_QUIET_TIMEOUT_OBJECTIVES = 0.1  # bounds of the quiet timeout
MAX_QUIET_TIMEOUT_OBJECTIVES = 0.5


class HealthChecks:
    """Probes of quiet workers.

    A live worker answers a probe at once, however busy it is, so a missing answer is a sign of failure.
    """

    __slots__ = ("_context", "_functions", "_orders", "_outliers", "_quiet_timeout_latencies", "_timers")

    def __init__(
        self,
        context: DecisionContext,
        timers: Timers,
        functions: FunctionTable,
        outliers: OutlierDetection,
        orders: LoadOrders,
    ) -> None:
        self._context = context
        self._timers = timers
        self._functions = functions
        self._outliers = outliers
        self._orders = orders
        price = context.settings.prices.probe
        self._quiet_timeout_latencies = QUIET_TIMEOUT_LATENCIES + math.log(
            max(1.0, price / CHEAP_PROBE_PRICE)
        )

    def schedule_after_send(self, worker: Worker) -> None:
        """Schedule a check of the worker for when an answer should have arrived."""
        delay_us = self._quiet_timeout_latencies * self._outliers.mean_latency_us
        self._timers.schedule(self._context.now_us + delay_us, TimerKind.CHECK_WORKER, worker.info.id)

    def quiet_timeout_us(self) -> float:
        """Return how long a worker with attempts in flight may send no answer before it is probed."""
        objective_us = self._context.objective_us
        timeout_us = self._quiet_timeout_latencies * self._outliers.mean_latency_us
        return min(
            max(timeout_us, MIN_QUIET_TIMEOUT_OBJECTIVES * objective_us),
            MAX_QUIET_TIMEOUT_OBJECTIVES * objective_us,
        )

    def probe(self, worker: Worker) -> None:
        """Ask the worker for its copies, and record the time if no earlier probe is unanswered."""
        function = next(iter(self._functions.by_key.values()), None)
        if function is None or not self._orders.query_copies(function, worker):
            return
        if worker.probe_sent_us is None:
            worker.probe_sent_us = self._context.now_us
