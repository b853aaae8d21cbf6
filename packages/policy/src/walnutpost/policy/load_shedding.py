"""Load shedding: how far demand exceeds capacity, and which arriving requests are rejected then."""

import math
from collections import Counter, deque

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.rates import TrafficRates
from walnutpost.policy.requests import OpenRequests, Request

SHED_START_OBJECTIVES = 0.3  # expected latency at which shedding begins ...
SHED_FULL_OBJECTIVES = 0.7  # ... and at which it reaches the maximum
MAX_SHED_RATIO = 0.9  # of the arriving requests
NOISE_DEVIATIONS = 1.0  # standard deviations of the number in flight that count as random variation
STUCK_OBJECTIVES = 2.0  # an attempt in flight for longer is stuck and does not count
NO_FREE_SLOT_FACTOR = 0.5  # priority factor if no slot is free, as the request would also cost a load
MAX_RECENT_PRIORITIES = 256  # requests among which a new request is ranked


class LoadShedding:
    """Load shedder: it rejects the requests of the lowest priority while answers would be too late."""

    __slots__ = ("_context", "_endpoints", "_recent_priorities", "_requests", "_traffic")

    def __init__(
        self, context: DecisionContext, endpoints: Endpoints, requests: OpenRequests, traffic: TrafficRates
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._requests = requests
        self._traffic = traffic
        # Each entry is the priority of a request and its tenant.
        self._recent_priorities: deque[tuple[float, int]] = deque(maxlen=MAX_RECENT_PRIORITIES)

    def shed_ratio(self) -> float:
        """Return the ratio of arriving requests to reject; 0 or less means none.

        The expected latency follows from Little's law: requests in flight divided by the rate of answers.
        """
        context = self._context
        in_flight = self._warm_attempts_in_flight()
        if context.now_us - context.first_event_us < context.objective_us or in_flight <= NOISE_DEVIATIONS**2:
            return 0.0
        rate = max(self._traffic.answers.per_us(context.now_us), 1 / context.objective_us)
        wait_objectives = (in_flight - NOISE_DEVIATIONS * math.sqrt(in_flight)) / rate / context.objective_us
        ratio = (wait_objectives - SHED_START_OBJECTIVES) / (SHED_FULL_OBJECTIVES - SHED_START_OBJECTIVES)
        return min(MAX_SHED_RATIO, ratio)

    def should_shed(self, request: Request, tenant: int, has_no_free_slot: bool) -> bool:
        """Return whether to reject an arriving request, by its priority's rank among recent requests."""
        priority = self._priority(request, tenant)
        if has_no_free_slot:
            priority *= NO_FREE_SLOT_FACTOR
        self._recent_priorities.append((priority, tenant))
        shed_ratio = self.shed_ratio()
        if shed_ratio <= 0:
            return False
        lower = sum(other < priority for other, _ in self._recent_priorities)
        equal = sum(other == priority for other, _ in self._recent_priorities)
        return (lower + self._context.random.random() * equal) / len(self._recent_priorities) < shed_ratio

    def _warm_attempts_in_flight(self) -> int:
        """Return the attempts in flight on warm copies.

        Each worker counts for at most twice the median plus 1, so that a few slow workers cause no shedding.
        """
        sent_after_us = self._context.now_us - STUCK_OBJECTIVES * self._context.objective_us
        by_worker = Counter(
            attempt.worker
            for request in self._requests.by_id.values()
            for attempt in request.attempts
            if attempt.was_warm and attempt.outcome is None and attempt.sent_us > sent_after_us
        )
        workers, ready_count = self._endpoints.workers, self._endpoints.ready_count
        counts = sorted(n for key, n in by_worker.items() if workers[key].unresponsive_since_us is None)
        # The median over all ready workers; those without attempts count as 0.
        median = counts[-(ready_count + 1) // 2] if 2 * len(counts) > ready_count else 0
        return sum(min(count, 2 * median + 1) for count in counts)

    def _priority(self, request: Request, tenant: int) -> float:
        """Return the class's weight, reduced for calls beyond the tenant's share of what is served."""
        priority = request.request_class.priority_weight
        settings, now_us = self._context.settings, self._context.now_us
        if tenant >= len(settings.tenants) or not self._recent_priorities:
            return priority
        demand = sum(1 for _, other in self._recent_priorities if other == tenant) / len(
            self._recent_priorities
        )
        demand *= self._traffic.arrivals.per_us(now_us)
        fair_share = settings.tenants[tenant].share * self._traffic.answers.per_us(now_us)
        if self._context.random.random() * demand > fair_share:
            priority *= settings.over_share_weight
        return priority
