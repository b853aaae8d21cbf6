"""Warm copies of a function: where they are assumed, how many are needed, and which have a free slot."""

import math

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.functions import Function
from walnutpost.policy.outlier_detection import OutlierDetection
from walnutpost.policy.rates import CALL_RATE_KEEP_ALIVES, TrafficRates
from walnutpost.policy.workers import Worker

SPREAD_FACTOR = 8.0  # copies per worker's worth of traffic
SHARED_COPY_KEEP_ALIVES = 4.0  # how long a copy is assumed warm if other front ends' calls refresh it
MIN_SHARED_REFRESHES = 3.0  # calls of others per copy and keep-alive from which this applies


class WarmCopies:
    """Estimate of the warm copies from sends, answers and load orders.

    A copy expires if it stays unused for a keep-alive.
    """

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
        """Return the usable workers with a copy; first drop expired copies without attempts in flight."""
        copies, in_flight = function.copies, function.in_flight
        lifetimes = SHARED_COPY_KEEP_ALIVES if self.is_refreshed_by_others(function) else 1
        used_since_us = self._context.now_us - self._context.keep_alive_us * lifetimes
        expired = [
            key for key, copy in copies.items() if copy.last_used_us < used_since_us and key not in in_flight
        ]
        for key in expired:
            del copies[key]
        workers = map(self._endpoints.workers.__getitem__, copies)
        return [w for w in workers if w.is_ready and w.unresponsive_since_us is None]

    def exceeds_concurrency(self, function: Function, worker: Worker) -> bool:
        """Return whether the worker's copies have no free slot or the worker is overloaded."""
        concurrency = function.concurrency * function.copies[worker.info.id].count
        return function.in_flight.get(worker.info.id, 0) >= concurrency or self._outliers.is_overloaded(
            worker
        )

    def is_refreshed_by_others(self, function: Function) -> bool:
        """Return whether other front ends' calls, estimated from this one's, keep each copy warm."""
        calls = function.calls.decayed_count(self._context.now_us) / CALL_RATE_KEEP_ALIVES
        calls_of_others = calls * (self._context.settings.front_ends - 1)
        return calls_of_others >= MIN_SHARED_REFRESHES * len(function.copies)

    def spread_target(self, function: Function) -> int:
        """Return the number of copies that the function's share of all calls justifies.

        The share is reduced by one standard deviation of the call count, to discount random variation.
        One front end's small part of the traffic never exceeds the concurrency of a copy by itself, so
        without a spread all front ends would send to the first worker of the hash order. A single front end
        needs no spread.
        """
        calls = function.calls.decayed_count(self._context.now_us)
        arrivals = self._traffic.arrivals.decayed_count(self._context.now_us)
        share = (calls - math.sqrt(calls)) / (arrivals + 1)
        workers = self._endpoints.ready_count
        return math.ceil(min(SPREAD_FACTOR * share, 1.0) * workers * self._context.other_front_ends_ratio)

    def target(self, function: Function, warm: list[Worker]) -> int:
        """Return the number of copies needed for the demand and one more request, or for the spread."""
        in_flight = sum(function.in_flight.get(w.info.id, 0) for w in warm)
        demand = in_flight + len(function.queued) + 1
        return max(1, math.ceil(demand / function.concurrency), self.spread_target(function))
