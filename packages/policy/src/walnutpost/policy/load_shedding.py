"""Load shedding: how much more is asked than served, and which requests are rejected on arrival then."""

import math
from collections import Counter, deque

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.rates import TrafficRates
from walnutpost.policy.requests import OpenRequests, Request

SHED_START_OBJECTIVES = 0.3  # expected time to answer, in latency objectives, at which rejections begin ...
SHED_FULL_OBJECTIVES = 0.7  # ... and at which they reach their most
MAX_SHED_RATIO = 0.9  # of the requests
CHANCE_DEVIATIONS = 1.0  # standard deviations of the number in flight that are put down to chance
STUCK_OBJECTIVES = 2.0  # an attempt in flight for longer is stuck: it tells nothing of the next
NO_FREE_SLOT_FACTOR = 0.5  # on the priority of a request with no free slot, which would cost a load besides
MAX_RECENT_PRIORITIES = 256  # requests among which a priority is ranked


class LoadShedding:
    """Rejects the requests of the lowest priority while answers would come too late."""

    __slots__ = ("_context", "_endpoints", "_recent", "_requests", "_traffic")

    def __init__(
        self, context: DecisionContext, endpoints: Endpoints, requests: OpenRequests, traffic: TrafficRates
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._requests = requests
        self._traffic = traffic
        self._recent: deque[tuple[float, int]] = deque(maxlen=MAX_RECENT_PRIORITIES)  # (priority, tenant)

    def shortage(self) -> float:
        """Return the ratio of requests to reject: 0 or less for none.

        The time to answer is estimated by Little's law: requests in flight over the rate of answers.
        """
        context = self._context
        busy = self._busy_slots()
        if context.now_us - context.began_us < context.objective_us or busy <= CHANCE_DEVIATIONS**2:
            return 0.0
        rate = max(self._traffic.answers.per_us(context.now_us), 1 / context.objective_us)
        wait_objectives = (busy - CHANCE_DEVIATIONS * math.sqrt(busy)) / rate / context.objective_us
        excess = (wait_objectives - SHED_START_OBJECTIVES) / (SHED_FULL_OBJECTIVES - SHED_START_OBJECTIVES)
        return min(MAX_SHED_RATIO, excess)

    def should_shed(self, request: Request, tenant: int, has_no_free_slot: bool) -> bool:
        """Decide on arrival; the request's priority is ranked among those of the last requests."""
        priority = self._priority(request, tenant)
        if has_no_free_slot:
            priority *= NO_FREE_SLOT_FACTOR
        self._recent.append((priority, tenant))
        shortage = self.shortage()
        if shortage <= 0:
            return False
        lower = sum(other < priority for other, _ in self._recent)
        equal = sum(other == priority for other, _ in self._recent)
        return (lower + self._context.random.random() * equal) / len(self._recent) < shortage

    def _busy_slots(self) -> int:
        """Return the attempts in flight on warm copies; a few slow workers are no shortage."""
        since_us = self._context.now_us - STUCK_OBJECTIVES * self._context.objective_us
        by_worker = Counter(
            attempt.worker
            for request in self._requests.by_id.values()
            for attempt in request.attempts
            if attempt.was_warm and attempt.outcome is None and attempt.sent_us > since_us
        )
        workers, ready_count = self._endpoints.workers, self._endpoints.ready_count
        counts = sorted(n for key, n in by_worker.items() if workers[key].silent_since_us is None)
        # The median over all ready workers, of which those without attempts count 0.
        median = counts[-(ready_count + 1) // 2] if 2 * len(counts) > ready_count else 0
        return sum(min(count, 2 * median + 1) for count in counts)

    def _priority(self, request: Request, tenant: int) -> float:
        """Return the class's weight; what a tenant asks beyond its share of what is served has little."""
        priority = request.request_class.priority_weight
        settings, now_us = self._context.settings, self._context.now_us
        if tenant >= len(settings.tenants) or not self._recent:
            return priority
        asked = sum(1 for _, other in self._recent if other == tenant) / len(self._recent)
        asked *= self._traffic.arrivals.per_us(now_us)
        served = settings.tenants[tenant].share * self._traffic.answers.per_us(now_us)
        if self._context.random.random() * asked > served:
            priority *= settings.over_share_weight
        return priority
