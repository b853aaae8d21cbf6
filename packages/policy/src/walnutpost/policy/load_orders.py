"""Load orders to workers: the only place that sends and settles them, and their back-off."""

from walnutpost import interface as api
from walnutpost.policy.context import PROBE_TIMEOUT_OBJECTIVES, DecisionContext
from walnutpost.policy.functions import Copy, Function
from walnutpost.policy.load_order_limit import LoadOrderLimit
from walnutpost.policy.requests import Request
from walnutpost.policy.workers import Worker

INITIAL_LOAD_TIME_OBJECTIVES = 0.5  # mean load time before the first load
LOAD_TIME_SMOOTHING = 0.2  # weight of one load in the moving average
OVERDUE_LOAD_TIMES = 3.0  # age from which an unanswered order is overdue
BACKOFF_LOAD_TIMES = 0.5  # base of the delay after a failed load, which doubles with each in a row
MAX_BACKOFF_DOUBLINGS = 4


class LoadOrders:
    """Load orders and probes to workers; the reservations of the limit are settled as the orders end."""

    __slots__ = ("_context", "limit", "mean_load_time_us")

    def __init__(self, context: DecisionContext, limit: LoadOrderLimit) -> None:
        self._context = context
        self.limit = limit
        self.mean_load_time_us = INITIAL_LOAD_TIME_OBJECTIVES * context.objective_us

    def load_time_us(self, function: Function) -> float:
        """Return the expected load time of the function."""
        return max(float(function.load_time_us), self.mean_load_time_us)

    def order_copy(self, function: Function, worker: Worker, budget_fraction: float) -> bool:
        """Order one copy and return whether it was allowed (rules 3 and 5).

        It is not allowed at a draining worker, nor beyond `budget_fraction` of the load-order limit.
        """
        if not self._context.settings.may_order_loads:
            return False
        if not (worker.is_ready and self.limit.reserve(self._context.now_us, budget_fraction)):
            return False
        self._send_order(function, worker, 1, self._context.settings.guards.drain_grace_us)
        return True

    def query_copies(self, function: Function, worker: Worker) -> bool:
        """Ask the worker how many copies it has; return False if that is not allowed.

        The load-order limit does not count such a probe.
        """
        if not self._context.settings.may_order_loads:
            return False
        self._send_order(function, worker, 0, 0)
        return True

    def is_overdue(self, function: Function, worker: Worker) -> bool:
        """Return whether an order or probe to the worker has gone unanswered for too long.

        The worker may be unreachable, and more orders to it would use up the limit for other workers.
        """
        overdue_since_us = self._context.now_us - OVERDUE_LOAD_TIMES * self.load_time_us(function)
        return 0 < worker.first_unanswered_order_us < overdue_since_us

    def settle_order(self, worker: Worker | None, outcome: api.Outcome) -> None:
        """Settle the reservation of an order that ended.

        An order without an answer stays reserved, because it may still arrive until its worker answers a
        later message, restarts or leaves the list.
        """
        if worker is not None and outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET):
            worker.unresolved_orders_us.append(self._context.now_us)
            return
        never_sent = outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.EXPIRED)
        self.limit.settle(0 if never_sent else self._context.now_us)

    def settle_unresolved(self, worker: Worker, evidence_time_us: float) -> None:
        """Settle the worker's unresolved orders if they can't arrive later than `probe_timeout_us` from now.

        `evidence_time_us` must be later than all of them. It is the time when a message was sent that the
        worker has answered, the time of the worker's start, or infinity if the worker has left the list.
        """
        orders_us = worker.unresolved_orders_us
        if orders_us and evidence_time_us > orders_us[-1]:
            self.limit.settle(self._context.now_us + self._context.probe_timeout_us, len(orders_us))
            orders_us.clear()

    def count_request(self, request: Request, is_genuine: bool) -> None:
        """Count a genuine request once towards the load-order limit.

        Clients may copy or invent requests. Workers answer those only with errors, so they do not count.
        """
        if is_genuine and request.earliest_arrival_us is not None:
            self.limit.count_request(request.earliest_arrival_us)
            request.earliest_arrival_us = None

    def record_copies(self, function: Function, event: api.LoadOrderEnded, was_ordered: bool) -> None:
        """Record the copies that a worker reports, and the load time unless the answer was quick."""
        if was_ordered and event.latency_us > self._context.objective_us * PROBE_TIMEOUT_OBJECTIVES:
            self.mean_load_time_us += LOAD_TIME_SMOOTHING * (event.latency_us - self.mean_load_time_us)
        function.copies[event.worker] = Copy(self._context.now_us, event.copies, True)
        function.consecutive_load_failures = 0

    def schedule_backoff(self, function: Function, worker_id: int) -> None:
        """Delay orders to the worker after a failed or rejected load.

        From the second failure in a row on, orders to all workers are delayed too. The delay doubles,
        with jitter, so that a full worker or a failing store gets no burst of loads.
        """
        now_us = self._context.now_us
        function.consecutive_load_failures = min(
            function.consecutive_load_failures + 1, MAX_BACKOFF_DOUBLINGS
        )
        doublings = function.consecutive_load_failures
        jitter = 0.5 + self._context.random.random()
        delay_us = BACKOFF_LOAD_TIMES * self.load_time_us(function) * jitter
        function.load_backoff_until_us[worker_id] = int(now_us + delay_us * 2**doublings * 2)
        function.next_scale_up_us = int(now_us + delay_us * (2 ** (doublings - 1) - 1))

    def _send_order(self, function: Function, worker: Worker, copies: int, latest_us: int) -> None:
        worker.first_unanswered_order_us = worker.first_unanswered_order_us or self._context.now_us
        self._context.actions.append(api.LoadOrder(worker.info.id, function.key, copies, latest_us))
