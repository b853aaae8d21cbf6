"""Builders of settings and events for the tests; no behaviour of a fleet is modelled here."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from walnutpost import interface as api
from walnutpost.policy import Router

SECOND = 1_000_000
KEEP_ALIVE_US = 10 * SECOND

SAFE = api.RequestClass(SECOND, 3 * SECOND, 1.0, 0.2, api.Effect.SAFE, api.Group.ALL, 0, False, 0.0)
UNSAFE = replace(SAFE, priority_weight=2.0, effect=api.Effect.UNSAFE)
KEYED = replace(SAFE, effect=api.Effect.KEYED, group=api.Group.ZONE, repeat_window_us=SECOND)
SETTINGS = api.Settings(
    classes=(SAFE, UNSAFE, KEYED),
    tenants=(),
    limits=api.Limits(True, False, True, True, 5, SECOND),
    guards=api.Guards(16_000, SECOND, 16 * SECOND, 0.2, 4.0, SECOND, 0, 0.0, 0.0, 0),
    prices=api.Prices(0.0, 0.05, 0.01, 0.05, 0.03, 0.05),
    zone=0,
    front_ends=1,
    index=0,
    tick_us=4_000,
    keep_alive_us=KEEP_ALIVE_US,
    load_order_timeout_us=10 * SECOND,
    may_order_loads=True,
    loads_on_miss=False,
    reports_warmth=True,
    reports_crowd=False,
    must_watch_endpoints=False,
    has_weights=False,
    weighs_priority_by_work=False,
    over_share_weight=0.1,
    report_fields=(),
    memory_mb_by_kind=(),
)


def worker(wid: int, state: api.WorkerState = api.WorkerState.READY, started: int = 0, zone: int = 0) -> Any:
    """Return a worker as a list of workers names it."""
    return api.Worker(wid, zone, 0, zone, state, 1.0, started)


class Rig:
    """A router with some ready workers, and the actions of its last event."""

    def __init__(
        self, workers: int = 4, settings: api.Settings = SETTINGS, seed: int = 1, now: int = 100 * SECOND
    ) -> None:
        self.now = now
        self.router = Router(settings, seed)
        self.actions: list[api.Action] = []
        self.all: list[api.Action] = []
        self._next = 0
        self.list_workers(api.ListKind.CACHED, *(worker(i) for i in range(1, workers + 1)))

    def feed(self, event: api.Event) -> list[api.Action]:
        """Feed an event; return its actions."""
        self.actions = self.router.handle(self.now, event)
        self.all += self.actions
        return self.actions

    def list_workers(self, kind: api.ListKind, *workers: api.Worker) -> list[api.Action]:
        """Feed a list of workers; return its actions."""
        return self.feed(api.WorkersListed(kind, 1, workers))

    def ask(
        self, function: int = 7, class_index: int = 0, time_left_us: int = 3 * SECOND, concurrency: float = 2
    ) -> int:
        """Feed a request; return its number."""
        self._next += 1
        self.feed(
            api.RequestArrived(
                self._next,
                class_index,
                0,
                function,
                time_left_us,
                None,
                300.0,
                concurrency,
                SECOND // 2,
                False,
            )
        )
        return self._next

    def feed_request(self, function: int) -> list[api.Action]:
        """Return the actions of a request for the function."""
        self.ask(function=function)
        return self.actions

    def attempt_ended(
        self,
        request: int,
        attempt: int,
        worker: int,
        outcome: api.Outcome = api.Outcome.OK,
        latency: int = 100_000,
        warmth: api.Warmth = api.Warmth.WARM,
    ) -> list[api.Action]:
        """Feed an attempt's end, of a call that succeeded unless `outcome` is another; return its actions."""
        ok = outcome is api.Outcome.OK
        return self.feed(api.AttemptEnded(request, attempt, worker, outcome, latency, ok, warmth, 0, ()))

    def load_ended(
        self,
        worker: int,
        copies: int = 1,
        function: int = 7,
        outcome: api.Outcome = api.Outcome.OK,
        wanted: int = 0,
    ) -> list[api.Action]:
        """Feed the end of a load order; `wanted` is above 0 for an order of this router, 0 for a poll."""
        return self.feed(api.LoadOrderEnded(worker, function, outcome, 500_000, copies, wanted))

    def pass_time(self, span: int, step: int = 20_000) -> list[api.Action]:
        """Advance the clock with timers only; return all actions meanwhile."""
        done: list[api.Action] = []
        end = self.now + span
        while self.now < end:
            self.now += step
            done += self.feed(api.TimerDue(1))
        return done

    def warm(self, *workers: int, function: int = 7) -> None:
        """Feed events after which the router believes that these workers have copies."""
        request = self.ask(function)
        for wid in workers:
            self.load_ended(wid, function=function)
        sent = next(s for s in of(api.Send, self.all) if s.request == request)
        self.attempt_ended(request, 0, sent.worker)


def of(kind: Any, actions: list[api.Action]) -> list[Any]:
    """Return the actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]


def orders(actions: list[api.Action]) -> list[api.LoadOrder]:
    """Return the load orders for copies, without polls."""
    return [a for a in of(api.LoadOrder, actions) if a.copies > 0]
