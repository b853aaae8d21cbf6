"""Load balancing: choose the worker for an attempt."""

from itertools import islice

from walnutpost import interface as api
from walnutpost.policy.attempts import Attempts
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.outlier_detection import OutlierDetection
from walnutpost.policy.requests import Request
from walnutpost.policy.warm_copies import WarmCopies
from walnutpost.policy.workers import Worker

MAX_EXPECTED_HOLDERS = 2  # first workers of the hash order that a call may try for a copy
RESERVED_COPY_ATTEMPTS = 2  # attempts that must remain for workers with a known copy
MISS_VALID_LOAD_TIMES = 0.5  # how long a miss counts; another front end may order a load meanwhile


class LoadBalancing:
    """Load balancer: it chooses the least busy warm worker, or else one that should hold another's copy."""

    __slots__ = ("_attempts", "_context", "_copies", "_endpoints", "_orders", "_outliers")

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        outliers: OutlierDetection,
        copies: WarmCopies,
        orders: LoadOrders,
        attempts: Attempts,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._outliers = outliers
        self._copies = copies
        self._orders = orders
        self._attempts = attempts

    def choose_warm_worker(self, request: Request) -> Worker | None:
        """Return the warm worker with the fewest attempts in flight for its weight and slowdown.

        Ties are broken at random. Workers with a free slot come first. An unsafe call can't be retried, so it
        never goes to an outlier, and goes to a suspected worker only if there is no other.
        """
        function, outliers, random = request.function, self._outliers, self._context.random
        is_unsafe = request.request_class.effect is api.Effect.UNSAFE

        def preference(worker: Worker) -> tuple[bool, bool, float, float]:
            load = (worker.in_flight + 1) * outliers.relative_slowdown(worker) / worker.weight
            is_deprioritized = is_unsafe and outliers.is_suspected(worker)
            return is_deprioritized, self._copies.exceeds_concurrency(function, worker), load, random.random()

        candidates = [w for w in self._copies.warm_workers(function) if self._may_choose(request, w)]
        return min(candidates, key=preference, default=None)

    def choose_expected_holder(self, request: Request) -> Worker | None:
        """Return a worker that, by the hash order, should hold a copy loaded by another front end.

        The call itself finds out whether it does. This is done only if workers without a copy answer with a
        miss, which proves that nothing ran, and only while no scale-up of the function is in flight.
        """
        function, settings = request.function, self._context.settings
        attempts_left = settings.limits.max_attempts - RESERVED_COPY_ATTEMPTS - len(request.attempts)
        if settings.loads_on_miss or not settings.may_order_loads:
            return None
        if function.pending_orders_us or attempts_left <= 0:
            return None
        valid_since_us = self._context.now_us - MISS_VALID_LOAD_TIMES * self._orders.load_time_us(function)
        in_order = (w for w in self._endpoints.hash_order(function) if w.unresponsive_since_us is None)
        for worker in islice(in_order, MAX_EXPECTED_HOLDERS):
            last_miss_us = function.last_miss_us.get(worker.info.id, 0)
            if last_miss_us <= valid_since_us and self._may_choose(request, worker):
                return worker
        return None

    def choose_first_allowed(self, request: Request, workers: list[Worker]) -> Worker | None:
        """Return the first of `workers` that the request may be sent to."""
        return next((w for w in workers if self._attempts.may_send(request, w)), None)

    def _may_choose(self, request: Request, worker: Worker) -> bool:
        if not self._attempts.may_send(request, worker):
            return False
        is_unsafe = request.request_class.effect is api.Effect.UNSAFE
        return not (is_unsafe and self._outliers.is_outlier(worker))
