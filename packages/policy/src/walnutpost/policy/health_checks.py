"""Health checks: when a quiet worker is probed. A probe asks it for its copies of some function."""

import math

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.functions import FunctionTable
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.outlier_detection import OutlierDetection
from walnutpost.policy.timers import TimerKind, Timers
from walnutpost.policy.workers import Worker

QUIET_LATENCIES = 2.0  # usual latencies without news until a worker with work in flight is probed
CHEAP_PROBE_PRICE = 0.01  # up to which that holds; at e times the price it is one latency more
MIN_QUIET_OBJECTIVES = 0.1  # bounds of that time, in latency objectives
MAX_QUIET_OBJECTIVES = 0.5


class HealthChecks:
    """A live worker answers a probe at once, however busy, so silence after one is a sign of failure."""

    __slots__ = ("_context", "_functions", "_orders", "_outliers", "_quiet_latencies", "_timers")

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
        self._quiet_latencies = QUIET_LATENCIES + math.log(max(1.0, price / CHEAP_PROBE_PRICE))

    def schedule_after_send(self, worker: Worker) -> None:
        """Check the worker when an answer is usually there."""
        delay_us = self._quiet_latencies * self._outliers.usual_latency_us
        self._timers.schedule(self._context.now_us + delay_us, TimerKind.CHECK_WORKER, worker.info.id)

    def quiet_timeout_us(self) -> float:
        """Return for how long a worker with work in flight may be quiet until it is probed."""
        objective_us = self._context.objective_us
        quiet_us = self._quiet_latencies * self._outliers.usual_latency_us
        return min(max(quiet_us, MIN_QUIET_OBJECTIVES * objective_us), MAX_QUIET_OBJECTIVES * objective_us)

    def probe(self, worker: Worker) -> None:
        """Ask the worker for its copies; the time of the first probe without an answer is remembered."""
        function = next(iter(self._functions.by_key.values()), None)
        if function is None or not self._orders.ask_copies(function, worker):
            return
        if worker.probe_sent_us is None:
            worker.probe_sent_us = self._context.now_us
