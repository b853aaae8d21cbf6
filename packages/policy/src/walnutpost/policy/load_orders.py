"""Load orders to workers: the choke point for sending them, their settlement and their back-off."""

from walnutpost import interface as api
from walnutpost.policy.context import PROBE_TIMEOUT_OBJECTIVES, DecisionContext
from walnutpost.policy.functions import Copy, Function
from walnutpost.policy.load_order_limit import LoadOrderLimit
from walnutpost.policy.requests import Request
from walnutpost.policy.workers import Worker

INITIAL_LOAD_TIME_OBJECTIVES = 0.5  # the usual load time until orders show it
LOAD_TIME_GAIN = 0.2  # weight of one load in the usual time
OVERDUE_LOAD_TIMES = 3.0  # usual load times after which an unanswered order is overdue
BACKOFF_LOAD_TIMES = 0.5  # usual load times of the first pause after a failed order, doubled in a row
MAX_BACKOFF_DOUBLINGS = 4


class LoadOrders:
    """Sends load orders and copy probes, and keeps the limit's reservations in step with their ends."""

    __slots__ = ("_context", "limit", "usual_load_time_us")

    def __init__(self, context: DecisionContext, limit: LoadOrderLimit) -> None:
        self._context = context
        self.limit = limit
        self.usual_load_time_us = INITIAL_LOAD_TIME_OBJECTIVES * context.objective_us

    def load_time_us(self, function: Function) -> float:
        """Return how long a load of the function usually takes."""
        return max(float(function.load_time_us), self.usual_load_time_us)

    def order_copy(self, function: Function, worker: Worker, budget_fraction: float) -> bool:
        """Order one copy (rules 3 and 5): not at a draining worker, and only inside the limit."""
        if not self._context.settings.may_order_loads:
            return False
        if not (worker.is_ready and self.limit.reserve(self._context.now_us, budget_fraction)):
            return False
        self._emit(function, worker, 1, self._context.settings.guards.drain_grace_us)
        return True

    def ask_copies(self, function: Function, worker: Worker) -> bool:
        """Ask how many copies the worker has; the limit does not count that. False if not allowed."""
        if not self._context.settings.may_order_loads:
            return False
        self._emit(function, worker, 0, 0)
        return True

    def is_overdue(self, function: Function, worker: Worker) -> bool:
        """Whether the worker has long been silent since an order.

        It may be cut off, and more orders to it would use up the limit for the others.
        """
        overdue_since_us = self._context.now_us - OVERDUE_LOAD_TIMES * self.load_time_us(function)
        return 0 < worker.first_unanswered_order_us < overdue_since_us

    def settle_order(self, worker: Worker | None, outcome: api.Outcome) -> None:
        """Close the reservation of an order that ended.

        Without an answer it may still arrive, until its worker is heard from or has left the list.
        """
        if worker is not None and outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET):
            worker.unresolved_orders_us.append(self._context.now_us)
            return
        never_sent = outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.MOOT)
        self.limit.settle(0 if never_sent else self._context.now_us)

    def settle_unresolved(self, worker: Worker, proof_us: float) -> None:
        """Close orders that can't arrive later than the grace from now.

        The proof is an answer to what was sent at `proof_us`, after all of them; a start of the worker then;
        or its end (infinity).
        """
        orders_us = worker.unresolved_orders_us
        if orders_us and proof_us > orders_us[-1]:
            self.limit.settle(self._context.now_us + self._context.grace_us, len(orders_us))
            orders_us.clear()

    def count_request(self, request: Request, is_genuine: bool) -> None:
        """Let a genuine request justify orders, once.

        Clients may copy or invent requests; those get nothing but errors of workers.
        """
        if is_genuine and request.earliest_arrival_us is not None:
            self.limit.count_request(request.earliest_arrival_us)
            request.earliest_arrival_us = None

    def mark_warm(self, function: Function, event: api.LoadOrderEnded, was_ordered: bool) -> None:
        """Note the copies that a worker's answer tells of; a quick answer took no load."""
        if was_ordered and event.latency_us > self._context.objective_us * PROBE_TIMEOUT_OBJECTIVES:
            self.usual_load_time_us += LOAD_TIME_GAIN * (event.latency_us - self.usual_load_time_us)
        function.copies[event.worker] = Copy(self._context.now_us, event.copies, True)
        function.failures_in_a_row = 0

    def schedule_backoff(self, function: Function, worker_id: int) -> None:
        """Bar a worker after a rejected or failed load, and all workers from the second in a row on.

        The pause doubles, with jitter, so that a full worker or a failing store gets no storm of loads.
        """
        now_us = self._context.now_us
        function.failures_in_a_row = min(function.failures_in_a_row + 1, MAX_BACKOFF_DOUBLINGS)
        doublings = function.failures_in_a_row
        jitter = 0.5 + self._context.random.random()
        pause_us = BACKOFF_LOAD_TIMES * self.load_time_us(function) * jitter
        function.retry_after_us[worker_id] = int(now_us + pause_us * 2**doublings * 2)
        function.next_scale_up_us = int(now_us + pause_us * (2 ** (doublings - 1) - 1))

    def _emit(self, function: Function, worker: Worker, copies: int, latest_us: int) -> None:
        worker.first_unanswered_order_us = worker.first_unanswered_order_us or self._context.now_us
        self._context.actions.append(api.LoadOrder(worker.info.id, function.key, copies, latest_us))
