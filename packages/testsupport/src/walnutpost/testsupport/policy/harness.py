"""A test harness for one Router: settings, builders of events, and filters for actions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from walnutpost import interface as api
from walnutpost.policy import Router

SECOND_US = 1_000_000
KEEP_ALIVE_US = 10 * SECOND_US

SAFE_CLASS = api.RequestClass(
    SECOND_US, 3 * SECOND_US, 1.0, 0.2, api.Effect.SAFE, api.DedupScope.ALL, 0, False, 0.0
)
UNSAFE_CLASS = replace(SAFE_CLASS, priority_weight=2.0, effect=api.Effect.UNSAFE)
KEYED_CLASS = replace(
    SAFE_CLASS, effect=api.Effect.KEYED, dedup_scope=api.DedupScope.ZONE, repeat_window_us=SECOND_US
)
SETTINGS = api.Settings(
    classes=(SAFE_CLASS, UNSAFE_CLASS, KEYED_CLASS),
    tenants=(),
    limits=api.Limits(True, False, True, True, 5, SECOND_US),
    guards=api.Guards(16_000, SECOND_US, 16 * SECOND_US, 0.2, 4.0, SECOND_US, 0, 0.0, 0.0, 0),
    prices=api.Prices(0.0, 0.05, 0.01, 0.05, 0.03, 0.05),
    zone=0,
    front_ends=1,
    index=0,
    tick_us=4_000,
    keep_alive_us=KEEP_ALIVE_US,
    load_order_timeout_us=10 * SECOND_US,
    may_order_loads=True,
    loads_on_miss=False,
    reports_warmth=True,
    reports_crowd=False,
    must_watch_endpoints=False,
    has_endpoint_weights=False,
    weighs_priority_by_work=False,
    over_share_weight=0.1,
    report_fields=(),
    memory_mb_by_kind=(),
)


def listed_worker(
    worker_id: int, state: api.WorkerState = api.WorkerState.READY, started_at_us: int = 0, zone: int = 0
) -> Any:
    """Return an entry of the endpoint list."""
    return api.Worker(worker_id, zone, 0, zone, state, 1.0, started_at_us)


class RouterHarness:
    """A router that knows the ready workers 1 to `workers`. Tests feed it events and read its actions.

    The clock moves only when a test sets `now_us` or calls `advance_time`.
    """

    def __init__(
        self,
        workers: int = 4,
        settings: api.Settings = SETTINGS,
        seed: int = 1,
        now_us: int = 100 * SECOND_US,
    ) -> None:
        self.now_us = now_us
        self.router = Router(settings, seed)
        self.last_actions: list[api.Action] = []
        self.all_actions: list[api.Action] = []
        self._last_request_id = 0
        self.send_worker_list(api.ListKind.CACHED, *(listed_worker(i) for i in range(1, workers + 1)))

    def feed(self, event: api.Event) -> list[api.Action]:
        """Pass an event to the router; return its actions."""
        self.last_actions = self.router.handle(self.now_us, event)
        self.all_actions += self.last_actions
        return self.last_actions

    def send_worker_list(self, kind: api.ListKind, *workers: api.Worker) -> list[api.Action]:
        """Send the router an endpoint list; return its actions."""
        return self.feed(api.WorkersListed(kind, 1, workers))

    def send_request(
        self,
        function: int = 7,
        class_index: int = 0,
        time_left_us: int = 3 * SECOND_US,
        concurrency: float = 2,
    ) -> int:
        """Send a request to the router; return the ID of the request."""
        self._last_request_id += 1
        self.feed(
            api.RequestArrived(
                self._last_request_id,
                class_index,
                0,
                function,
                time_left_us,
                None,
                300.0,
                concurrency,
                SECOND_US // 2,
                False,
            )
        )
        return self._last_request_id

    def actions_for_request(self, function: int) -> list[api.Action]:
        """Send a request for the function; return its actions."""
        self.send_request(function=function)
        return self.last_actions

    def end_attempt(
        self,
        request: int,
        attempt: int,
        worker_id: int,
        outcome: api.Outcome = api.Outcome.OK,
        latency_us: int = 100_000,
        warmth: api.Warmth = api.Warmth.WARM,
    ) -> list[api.Action]:
        """End an attempt, successfully by default; return the actions. Only a success ends the request."""
        is_request_finished = outcome is api.Outcome.OK
        return self.feed(
            api.AttemptEnded(
                request, attempt, worker_id, outcome, latency_us, is_request_finished, warmth, 0, ()
            )
        )

    def end_load_order(
        self,
        worker_id: int,
        copies: int = 1,
        function: int = 7,
        outcome: api.Outcome = api.Outcome.OK,
        ordered_copies: int = 0,
    ) -> list[api.Action]:
        """End a load order, successfully by default; return the actions.

        `ordered_copies` is 0 for a probe, or if the transport doesn't report the order.
        """
        return self.feed(api.LoadOrderEnded(worker_id, function, outcome, 500_000, copies, ordered_copies))

    def advance_time(self, duration_us: int, step_us: int = 20_000) -> list[api.Action]:
        """Advance the clock in steps and run the timers that are due; return all actions."""
        actions: list[api.Action] = []
        end_us = self.now_us + duration_us
        while self.now_us < end_us:
            self.now_us += step_us
            actions += self.feed(api.TimerDue(1))
        return actions

    def make_warm(self, *worker_ids: int, function: int = 7) -> None:
        """Make the router know of a warm copy at each of these workers; one of them serves a request."""
        request = self.send_request(function)
        for worker_id in worker_ids:
            self.end_load_order(worker_id, function=function)
        send = next(
            action for action in actions_of_type(api.Send, self.all_actions) if action.request == request
        )
        self.end_attempt(request, 0, send.worker)


def actions_of_type(action_type: Any, actions: list[api.Action]) -> list[Any]:
    """Return the actions of a type, or of a tuple of types."""
    return [action for action in actions if isinstance(action, action_type)]


def load_orders(actions: list[api.Action]) -> list[api.LoadOrder]:
    """Return the load orders that ask for copies, without the probes, which ask for none."""
    return [order for order in actions_of_type(api.LoadOrder, actions) if order.copies > 0]
