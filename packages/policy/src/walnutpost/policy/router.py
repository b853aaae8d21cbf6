"""Facade of the policy: build its parts, pass each event to its handler and return the actions."""

from collections.abc import Callable, Collection
from typing import Any

from walnutpost import interface as api
from walnutpost.policy.attempt_results import AttemptResults
from walnutpost.policy.attempts import Attempts
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoint_updates import EndpointUpdates
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.failure_detection import FailureDetection
from walnutpost.policy.functions import Function, FunctionTable
from walnutpost.policy.health_checks import HealthChecks
from walnutpost.policy.load_balancing import LoadBalancing
from walnutpost.policy.load_order_limit import LoadOrderLimit
from walnutpost.policy.load_order_results import LoadOrderResults
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.load_shedding import LoadShedding
from walnutpost.policy.outlier_detection import OutlierDetection
from walnutpost.policy.placement import Placement
from walnutpost.policy.prewarming import Prewarming
from walnutpost.policy.rates import TrafficRates
from walnutpost.policy.requests import OpenRequests, Request
from walnutpost.policy.scaling import Scaling
from walnutpost.policy.slow_start import SlowStart
from walnutpost.policy.timers import TimerKind, Timers
from walnutpost.policy.warm_copies import WarmCopies


class Router:
    """Decision logic of one front end; the same events always give the same actions.

    Tests and test rigs read the state of the parts in the attributes without an underscore.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Build the parts of the policy; `seed` initializes the random generator."""
        self.context = context = DecisionContext(settings, seed)
        self.timers = timers = Timers(context)
        self.traffic = traffic = TrafficRates(context.keep_alive_us, context.objective_us)
        self.endpoints = endpoints = Endpoints(context)
        self.functions = functions = FunctionTable(context.keep_alive_us, self._on_function_forgotten)
        self.requests = requests = OpenRequests(context)
        self.load_orders = orders = LoadOrders(context, LoadOrderLimit(settings))
        self.outliers = outliers = OutlierDetection(context, endpoints)
        self.slow_start = SlowStart(context, endpoints, traffic)
        self._shedding = LoadShedding(context, endpoints, requests, traffic)
        self._copies = copies = WarmCopies(context, endpoints, outliers, traffic)
        self._prewarming = Prewarming(context, timers, endpoints, functions, copies, orders)
        health_checks = HealthChecks(context, timers, functions, outliers, orders)
        attempts = Attempts(context, endpoints, self.slow_start, health_checks)
        balancing = LoadBalancing(context, endpoints, outliers, copies, orders, attempts)
        scaling = Scaling(context, timers, endpoints, outliers, copies, orders, self._shedding)
        self._placement = placement = Placement(
            context, timers, requests, outliers, copies, orders, attempts, balancing, scaling
        )
        self._failure_detection = failure_detection = FailureDetection(
            context, timers, endpoints, functions, orders, health_checks, placement
        )
        self._attempt_results = AttemptResults(
            context, endpoints, requests, traffic, outliers, orders, attempts, placement, failure_detection
        )
        self._load_order_results = LoadOrderResults(
            context, endpoints, functions, orders, placement, failure_detection
        )
        self._endpoint_updates = EndpointUpdates(
            context, timers, endpoints, functions, requests, orders, placement, failure_detection
        )
        self._event_handlers = self._handlers_by_event()
        self._timer_handlers = self._handlers_by_timer()

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle one event, then the timers that are due, and return the resulting actions.

        `now` is the event time in microseconds; it must never decrease.
        """
        context = self.context
        context.begin_event(now)
        if not context.first_event_us:
            context.first_event_us = now
            self.load_orders.limit.begin(now)
        handler = self._event_handlers.get(type(event))
        if handler is not None:
            handler(event)
        for kind, subject in self.timers.pop_due():
            self._timer_handlers[kind](subject)
        self.timers.arm()
        return context.actions

    def referenced_ids(self) -> tuple[Collection[int], Collection[int]]:
        """Return the IDs of the functions and workers that later actions may refer to.

        The caller may forget all others.
        """
        return self.functions.by_key.keys(), self.endpoints.workers.keys()

    def _handlers_by_event(self) -> dict[type[Any], Callable[[Any], None]]:
        """Return the handler of each event type.

        Events of other types (`TimerDue`, `ProbeEnded`, `PeerMessage`) only run the due timers.
        """
        return {
            api.RequestArrived: self._on_request,
            api.AttemptEnded: self._attempt_results.handle,
            api.LoadOrderEnded: self._load_order_results.handle,
            api.WorkersListed: self._endpoint_updates.handle,
            api.RequestCancelled: self._on_request_cancelled,
            api.ShuttingDown: self._on_shutting_down,
            api.AnswerStarted: self._on_answer_started,
        }

    def _handlers_by_timer(self) -> dict[TimerKind, Callable[[int], None]]:
        return {
            TimerKind.REQUEST_DEADLINE: self._on_deadline,
            TimerKind.WATCH_ENDPOINTS: self._on_watch_endpoints,
            TimerKind.REFRESH_COPIES: self._on_refresh_copies,
            TimerKind.RELEASE_QUEUED: self._on_release_queued,
            TimerKind.CHECK_WORKER: self._on_check_worker,
        }

    def _on_request(self, event: api.RequestArrived) -> None:
        """Reject the request if it is shed or past its deadline; otherwise place it."""
        now_us = self.context.now_us
        function = self.functions.get_or_create(event.function)
        function.concurrency = max(1, int(event.concurrency))
        function.load_time_us = event.load_time_us
        self._prewarming.schedule_refresh(function)
        self.traffic.arrivals.add(now_us)
        function.calls.add(now_us)
        request = self._open_request(event, function)
        # On a real network a request counts only after a worker's answer proves that it is genuine.
        self.load_orders.count_request(request, is_genuine=self.context.settings.is_ideal_network)
        warm = self._copies.warm_workers(function)
        has_no_free_slot = all(self._copies.exceeds_concurrency(function, worker) for worker in warm)
        is_late = request.deadline_us <= now_us
        if is_late or self._shedding.should_shed(request, event.tenant, has_no_free_slot):
            self.requests.reject_or_fail(request)
            return
        self._schedule_deadline(request)
        self._placement.place(request)

    def _open_request(self, event: api.RequestArrived, function: Function) -> Request:
        now_us, classes = self.context.now_us, self.context.settings.classes
        request = Request(
            id=event.request,
            request_class=classes[min(event.class_index, len(classes) - 1)],
            function=function,
            deadline_us=min(now_us + event.time_left_us, self.context.shutdown_us),
            earliest_arrival_us=now_us - event.waited_us,
            cost_hint_us=event.cost_hint_us,
        )
        self.requests.by_id[event.request] = request
        return request

    def _schedule_deadline(self, request: Request) -> None:
        """Schedule the final answer one clock tick early, so that it is sent before the client gives up."""
        due_us = request.deadline_us - self.context.settings.tick_us
        self.timers.schedule(due_us, TimerKind.REQUEST_DEADLINE, request.id)

    def _on_request_cancelled(self, event: api.RequestCancelled) -> None:
        request = self.requests.by_id.get(event.request)
        if request is not None:
            self.timers.cancel(TimerKind.REQUEST_DEADLINE, request.id)
            request.earliest_arrival_us = None  # clients may send and cancel requests by the hundreds
            self.requests.close(request)

    def _on_shutting_down(self, event: api.ShuttingDown) -> None:
        self.context.shutdown_us = self.context.now_us + event.within_us
        due_us = self.context.shutdown_us - self.context.settings.tick_us
        for request_id in self.requests.by_id:
            self.timers.schedule(due_us, TimerKind.REQUEST_DEADLINE, request_id)

    def _on_answer_started(self, event: api.AnswerStarted) -> None:
        request = self.requests.by_id.get(event.request)
        if request is not None:
            request.is_answered = True

    def _on_deadline(self, request_id: int) -> None:
        request = self.requests.by_id.get(request_id)
        if request is not None:
            self.requests.reject_or_fail(request)

    def _on_watch_endpoints(self, _: int) -> None:
        self.context.actions.append(api.WatchEndpoints(True))

    def _on_function_forgotten(self, key: int) -> None:
        self.timers.cancel(TimerKind.REFRESH_COPIES, key)
        self.timers.cancel(TimerKind.RELEASE_QUEUED, key)

    def _on_refresh_copies(self, key: int) -> None:
        function = self.functions.by_key.get(key)
        if function is not None:
            self._prewarming.refresh_copies(function)

    def _on_release_queued(self, key: int) -> None:
        function = self.functions.by_key.get(key)
        if function is not None:
            self._placement.release(function)

    def _on_check_worker(self, worker_id: int) -> None:
        worker = self.endpoints.workers.get(worker_id)
        if worker is not None:
            self._failure_detection.check_worker(worker)
