"""Placement: send each request to a worker at once, or queue it until a copy is available."""

from collections.abc import Callable
from functools import partial
from itertools import islice

from walnutpost.policy.attempts import Attempts
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.functions import Function
from walnutpost.policy.load_balancing import LoadBalancing
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.outlier_detection import OutlierDetection
from walnutpost.policy.requests import OpenRequests, Request
from walnutpost.policy.scaling import Scaling
from walnutpost.policy.timers import TimerKind, Timers
from walnutpost.policy.warm_copies import WarmCopies
from walnutpost.policy.workers import Worker

QUEUE_CHECK_LOAD_TIMES = 1 / 4  # interval between attempts to send queued requests


class Placement:
    """Placement of requests on the least busy warm worker, even beyond its concurrency, or in the queue."""

    __slots__ = (
        "_attempts",
        "_balancing",
        "_context",
        "_copies",
        "_orders",
        "_outliers",
        "_requests",
        "_scaling",
        "_timers",
    )

    def __init__(
        self,
        context: DecisionContext,
        timers: Timers,
        requests: OpenRequests,
        outliers: OutlierDetection,
        copies: WarmCopies,
        orders: LoadOrders,
        attempts: Attempts,
        balancing: LoadBalancing,
        scaling: Scaling,
    ) -> None:
        self._context = context
        self._timers = timers
        self._requests = requests
        self._outliers = outliers
        self._copies = copies
        self._orders = orders
        self._attempts = attempts
        self._balancing = balancing
        self._scaling = scaling

    def place(self, request: Request) -> None:
        """Send or queue the request; scale up if it exceeds the concurrency or the copies are too few."""
        function = request.function
        worker = self._balancing.choose_warm_worker(request)
        if worker is None:
            self._place_without_copy(request)
            return
        needs_copies = self._copies.exceeds_concurrency(function, worker) or len(
            function.copies
        ) < self._copies.spread_target(function)
        self._attempts.send(request, worker)
        if needs_copies:
            self._scale_up(function)

    def release(self, function: Function) -> None:
        """Send the queued requests that a copy can take now; scale up for those that remain."""
        self._send_queued(function, self._balancing.choose_warm_worker)
        if function.queued:
            self._scale_up(function)

    def reassign_requests(self, worker: Worker) -> None:
        """Place the requests again whose only attempts in flight are at an unresponsive or lost worker."""
        for request in list(self._requests.by_id.values()):
            if request.is_answered or request.id in request.function.queued:
                continue
            if request.workers_in_flight() == {worker.info.id} and self._attempts.may_retry(request):
                request.excluded_workers.append(worker.info.id)
                self.place(request)

    def _place_without_copy(self, request: Request) -> None:
        """Try a copy that another front end may have loaded; otherwise queue the request and scale up."""
        if self._context.other_front_ends_ratio:
            holder = self._balancing.choose_expected_holder(request)
            if holder is not None:
                self._attempts.send(request, holder)
                return
        request.function.queued[request.id] = None
        self._scale_up(request.function)

    def _send_queued(self, function: Function, choose: Callable[[Request], Worker | None]) -> None:
        for request in [self._requests.by_id[request_id] for request_id in function.queued]:
            worker = choose(request)
            if worker is not None:
                del function.queued[request.id]
                self._attempts.send(request, worker)

    def _scale_up(self, function: Function) -> None:
        now_us = self._context.now_us
        candidates = self._scaling.scale_up(function)
        if candidates is None or not function.queued:
            return
        if now_us not in function.pending_orders_us.values():  # the limit or back-offs allowed no order
            self._send_queued_without_order(function, candidates)
        check_us = now_us + self._orders.load_time_us(function) * QUEUE_CHECK_LOAD_TIMES
        self._timers.schedule(check_us, TimerKind.RELEASE_QUEUED, function.key)

    def _send_queued_without_order(self, function: Function, candidates: list[Worker]) -> None:
        """Send queued requests to the first workers of the hash order, without a load order.

        The requests make these workers load the function or, if calls don't start loads, find copies that
        other front ends have loaded. Otherwise they would wait for the load-order limit, which allows a
        front end with little traffic hardly any orders.
        """
        settings, now_us = self._context.settings, self._context.now_us
        if settings.may_order_loads and not settings.loads_on_miss:
            self._send_queued(function, self._balancing.choose_expected_holder)
            delay_us = self._orders.load_time_us(function) * QUEUE_CHECK_LOAD_TIMES
            function.next_scale_up_us = int(now_us + delay_us)
            return
        available = (
            w
            for w in candidates
            if function.load_backoff_until_us.get(w.info.id, 0) <= now_us
            and not self._outliers.is_overloaded(w)
        )
        targets = list(islice(available, settings.limits.max_attempts)) or candidates
        self._send_queued(function, partial(self._balancing.choose_first_allowed, workers=targets))
