"""Scale-up: how many copies a function lacks, and the load orders for them."""

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
    """One scale-up of a function is in flight at a time."""

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
        """Order the copies that the function lacks, where a free place can be found.

        Returns the workers that may load it, in hash order; None while an earlier scale-up or a back-off bars
        this one, which then follows by the timer.
        """
        now_us = self._context.now_us
        next_us = self._next_scale_up_us(function)
        if now_us < next_us:
            self._timers.schedule(next_us, TimerKind.RELEASE_QUEUED, function.key)
            return None
        lacking = self._lacking_copies(function)
        candidates = [
            w
            for w in self._endpoints.hash_order(function)
            if w.silent_since_us is None and not self._orders.is_overdue(function, w)
        ]
        known = {*function.copies, *function.pending_orders_us}
        known.update(key for key, until_us in function.retry_after_us.items() if until_us > now_us)
        is_overloaded = self._outliers.is_overloaded
        free = (w for w in candidates if w.info.id not in known and not is_overloaded(w))
        fraction = BUDGET_FRACTION_QUEUED if function.queued else BUDGET_FRACTION_OVERFLOW
        for worker in islice(free, lacking):
            if self._orders.order_copy(function, worker, fraction):
                function.pending_orders_us[worker.info.id] = now_us
        return candidates

    def _next_scale_up_us(self, function: Function) -> float:
        """Return when the last scale-up or a back-off stops barring the next.

        An unanswered order bars it only until it is overdue: a silent worker must not stop the function.
        """
        overdue_us = OVERDUE_LOAD_TIMES * self._orders.load_time_us(function)
        last_order_us = max(function.pending_orders_us.values(), default=-overdue_us)
        return max(function.next_scale_up_us, last_order_us + overdue_us)

    def _lacking_copies(self, function: Function) -> int:
        """Return how many copies to order now.

        None in shortage: more copies add no cores, and their loads take some. One elsewhere in any case if
        all warm ones are on overloaded workers: concurrency says what a copy takes,
        not what a worker's cores bear.
        """
        warm = self._copies.warm_workers(function)
        lacking = self._copies.target(function, warm) - sum(function.copies[w.info.id].count for w in warm)
        if warm and self._shedding.shortage() > 0:
            lacking = 0
        all_overloaded = all(map(self._outliers.is_overloaded, warm))
        return max(0, lacking, int(all_overloaded))
