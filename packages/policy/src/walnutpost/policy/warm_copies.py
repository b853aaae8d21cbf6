"""Belief in copies: where they are warm, how many are wanted, whether they have a free slot."""

import math

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.functions import Function
from walnutpost.policy.outlier_detection import OutlierDetection
from walnutpost.policy.rates import CALL_RATE_KEEP_ALIVES, TrafficRates
from walnutpost.policy.workers import Worker

SPREAD_FACTOR = 8.0  # workers' worth of copies for a worker's worth of traffic
SHARED_BELIEF_KEEP_ALIVES = 4.0  # belief lasts so long where others' calls refresh the copies
SHARED_REFRESHES = 3.0  # by others' calls, a copy and keep-alive, from which that holds


class WarmCopies:
    """Belief comes from sends, answers and load orders, and lapses after the keep-alive without news."""

    __slots__ = ("_context", "_endpoints", "_outliers", "_traffic")

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        outliers: OutlierDetection,
        traffic: TrafficRates,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._outliers = outliers
        self._traffic = traffic

    def warm_workers(self, function: Function) -> list[Worker]:
        """Return the usable workers that hold a copy; drop lapsed beliefs, unless attempts are in flight."""
        copies, in_flight = function.copies, function.in_flight
        lifetimes = SHARED_BELIEF_KEEP_ALIVES if self.others_refresh(function) else 1
        since_us = self._context.now_us - self._context.keep_alive_us * lifetimes
        lapsed = [
            key for key, copy in copies.items() if copy.last_used_us < since_us and key not in in_flight
        ]
        for key in lapsed:
            del copies[key]
        workers = map(self._endpoints.workers.__getitem__, copies)
        return [w for w in workers if w.is_ready and w.silent_since_us is None]

    def exceeds_concurrency(self, function: Function, worker: Worker) -> bool:
        """Whether the worker's copies have no free slot, or its cores none to give."""
        concurrency = function.concurrency * function.copies[worker.info.id].count
        return function.in_flight.get(worker.info.id, 0) >= concurrency or self._outliers.is_overloaded(
            worker
        )

    def others_refresh(self, function: Function) -> bool:
        """Whether the other front ends' calls, estimated from this one's, refresh each copy often enough."""
        calls = function.calls.decayed_count(self._context.now_us) / CALL_RATE_KEEP_ALIVES
        calls_of_others = calls * (self._context.settings.front_ends - 1)
        return calls_of_others >= SHARED_REFRESHES * len(function.copies)

    def spread_target(self, function: Function) -> int:
        """Return the copies for the function's share of all calls, less what chance explains.

        A thin slice of the traffic never overflows by itself, so all front ends would send to the first
        worker of the hash order. A lone front end needs no spread.
        """
        calls = function.calls.decayed_count(self._context.now_us)
        arrivals = self._traffic.arrivals.decayed_count(self._context.now_us)
        share = (calls - math.sqrt(calls)) / (arrivals + 1)
        workers = self._endpoints.ready_count
        return math.ceil(min(SPREAD_FACTOR * share, 1.0) * workers * self._context.other_front_ends_ratio)

    def target(self, function: Function, warm: list[Worker]) -> int:
        """Return the copies wanted: for the demand and one request more, or for the spread."""
        in_flight = sum(function.in_flight.get(w.info.id, 0) for w in warm)
        demand = in_flight + len(function.queued) + 1
        return max(1, math.ceil(demand / function.concurrency), self.spread_target(function))
