"""Load balancing: the choice of the worker for an attempt."""

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

EXPECTED_COPY_PLACES = 2  # first places of the hash order that a call itself looks at
ATTEMPTS_FOR_COPIES = 2  # attempts that such looks must leave for workers with a copy
MISS_BELIEF_LOAD_TIMES = 0.5  # usual load times that a miss is believed; others may order a load meanwhile


class LoadBalancing:
    """Chooses the least busy warm worker, or else the one where others' copies should be."""

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
        """Return the warm worker with the least in flight for its weight and slowness, ties at random.

        Workers with a free slot come first. An unsafe call, which can't be tried again, never goes to an
        outlier, and to a suspected worker only if there is no other.
        """
        function, outliers, random = request.function, self._outliers, self._context.random
        is_unsafe = request.request_class.effect is api.Effect.UNSAFE

        def busyness(worker: Worker) -> tuple[bool, bool, float, float]:
            load = (worker.in_flight + 1) * outliers.slowness(worker) / worker.weight
            is_second_choice = is_unsafe and outliers.is_suspected(worker)
            return is_second_choice, self._copies.exceeds_concurrency(function, worker), load, random.random()

        candidates = [w for w in self._copies.warm_workers(function) if self._may_choose(request, w)]
        return min(candidates, key=busyness, default=None)

    def choose_expected_holder(self, request: Request) -> Worker | None:
        """Return a worker where others' copies should be by the hash order; the call itself finds out.

        Only where absence answers a miss, which proves that nothing ran, and while no load is under way.
        """
        function, settings = request.function, self._context.settings
        attempts_left = settings.limits.max_attempts - ATTEMPTS_FOR_COPIES - len(request.attempts)
        if settings.loads_on_miss or not settings.may_order_loads:
            return None
        if function.pending_orders_us or attempts_left <= 0:
            return None
        believed_since_us = self._context.now_us - MISS_BELIEF_LOAD_TIMES * self._orders.load_time_us(
            function
        )
        in_order = (w for w in self._endpoints.hash_order(function) if w.silent_since_us is None)
        for worker in islice(in_order, EXPECTED_COPY_PLACES):
            missed_us = function.missed_us.get(worker.info.id, 0)
            if missed_us <= believed_since_us and self._may_choose(request, worker):
                return worker
        return None

    def choose_first_allowed(self, request: Request, workers: list[Worker]) -> Worker | None:
        """Return the first of the workers that the request may go to."""
        return next((w for w in workers if self._attempts.may_send(request, w)), None)

    def _may_choose(self, request: Request, worker: Worker) -> bool:
        if not self._attempts.may_send(request, worker):
            return False
        is_unsafe = request.request_class.effect is api.Effect.UNSAFE
        return not (is_unsafe and self._outliers.is_outlier(worker))
