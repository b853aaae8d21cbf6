"""Scale-up: determine how many copies a function lacks and order them."""

from itertools import islice

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.functions import Function
from walnutpost.policy.load_order_limit import BUDGET_FRACTION_OVERFLOW, BUDGET_FRACTION_QUEUED
from walnutpost.policy.load_orders import OVERDUE_LOAD_TIMES, LoadOrders
from walnutpost.policy.load_shedding import LoadShedding
from walnutpost.policy.outlier_detection import OutlierDetection
from walnutpost.policy.timers import TimerKind, Timers
from walnutpost.policy.warm_copies import WarmCopies
from walnutpost.policy.workers import Worker


class Scaling:
    """Scale-up of functions; each function has at most one scale-up in flight."""

    __slots__ = ("_context", "_copies", "_endpoints", "_orders", "_outliers", "_shedding", "_timers")

    def __init__(
        self,
        context: DecisionContext,
        timers: Timers,
        endpoints: Endpoints,
        outliers: OutlierDetection,
        copies: WarmCopies,
        orders: LoadOrders,
        shedding: LoadShedding,
    ) -> None:
        self._context = context
        self._timers = timers
        self._endpoints = endpoints
        self._outliers = outliers
        self._copies = copies
        self._orders = orders
        self._shedding = shedding

    def scale_up(self, function: Function) -> list[Worker] | None:
        """Order the copies that the function lacks, on workers that are available.

        Return the workers that could load the function, in hash order. Return None if an earlier scale-up or
        a back-off blocks this one; a timer then retries it.
        """
        now_us = self._context.now_us
        next_us = self._next_scale_up_us(function)
        if now_us < next_us:
            self._timers.schedule(next_us, TimerKind.RELEASE_QUEUED, function.key)
            return None
        missing = self._missing_copies(function)
        candidates = [
            w
            for w in self._endpoints.hash_order(function)
            if w.unresponsive_since_us is None and not self._orders.is_overdue(function, w)
        ]
        excluded = {*function.copies, *function.pending_orders_us}
        excluded.update(key for key, until_us in function.load_backoff_until_us.items() if until_us > now_us)
        is_overloaded = self._outliers.is_overloaded
        available = (w for w in candidates if w.info.id not in excluded and not is_overloaded(w))
        budget_fraction = BUDGET_FRACTION_QUEUED if function.queued else BUDGET_FRACTION_OVERFLOW
        for worker in islice(available, missing):
            if self._orders.order_copy(function, worker, budget_fraction):
                function.pending_orders_us[worker.info.id] = now_us
        return candidates

    def _next_scale_up_us(self, function: Function) -> float:
        """Return the time until which the last scale-up or a back-off blocks the next one.

        An unanswered order blocks it only until it is overdue, so a silent worker can't block the function.
        """
        overdue_us = OVERDUE_LOAD_TIMES * self._orders.load_time_us(function)
        last_order_us = max(function.pending_orders_us.values(), default=-overdue_us)
        return max(function.next_scale_up_us, last_order_us + overdue_us)

    def _missing_copies(self, function: Function) -> int:
        """Return how many copies to order now.

        While requests are shed, return 0: more copies add no cores, and loading them takes some. But return
        at least 1 if all warm copies are on overloaded workers, because the concurrency limits what a copy
        takes, not what the cores of a worker can serve.
        """
        warm = self._copies.warm_workers(function)
        missing = self._copies.target(function, warm) - sum(function.copies[w.info.id].count for w in warm)
        if warm and self._shedding.shed_ratio() > 0:
            missing = 0
        all_overloaded = all(map(self._outliers.is_overloaded, warm))
        return max(0, missing, int(all_overloaded))
