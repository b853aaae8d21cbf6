"""Shortage: how much is asked and served, and which requests are refused while it is too much."""

import math
from collections import Counter, deque

from walnutpost import interface as api
from walnutpost.policy.health import Health
from walnutpost.policy.state import Rate, Request

SHED_FROM, SHED_FULL = 0.3, 0.7  # of the aim: time to answer at which refusals begin, and reach their most
SHED_CROWDED = 0.5  # weight of the worth of a request with no free lane, which would cost a load besides
SHED_MOST, SHED_CHANCE = 0.9, 1.0  # of the requests; deviations of the number in flight put down to chance
RATE_SPAN, SHED_MEMORY = 2.0, 256  # aims over which rates are taken; requests that worth is ranked among
SHARE_SPAN = 2.0  # keep-alives over which a function's share of the calls is seen


class Shedding(Health):
    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._came, self._served = Rate(SHARE_SPAN * self._keep), Rate(RATE_SPAN * self._aim)
        self._recent: deque[tuple[float, int]] = deque(maxlen=SHED_MEMORY)

    def _shortage(self) -> float:
        """The share of requests to refuse. Requests in flight on warm copies over the rate of answers tell
        the time to answer at once; late answers would tell it too late and make refusals swing."""
        since = self._now - RATE_SPAN * self._aim  # longer out is stuck: it tells nothing of the next
        live = (a for r in self._requests.values() for a in r.attempts if a.warm and not a.outcome)
        count = Counter(a.worker for a in live if a.sent > since)
        each = sorted(n for wid, n in count.items() if self._workers[wid].silent_since is None)
        median = each[-(self._ready + 1) // 2] if 2 * len(each) > self._ready else 0
        busy = sum(min(b, 2 * median + 1) for b in each)  # a few slow workers are no shortage
        if self._now - self._began < self._aim or busy <= SHED_CHANCE**2:
            return 0.0
        rate = max(self._served.lately(self._now), 1 / self._aim)
        ahead = (busy - SHED_CHANCE * math.sqrt(busy)) / rate / self._aim
        return min(SHED_MOST, (ahead - SHED_FROM) / (SHED_FULL - SHED_FROM))

    def _sheds(self, req: Request, tenant: int, crowded: bool) -> bool:
        """While the foretold time to answer nears the aim, those worth least are refused at once, so that the
        rest are in time. What a tenant asks beyond its share of what is served counts as worth little.
        Guards against overload, bursts, lost capacity. Harm: refusals if all are slow, or a slice is odd."""
        worth, recent, shortage = req.cls.worth, self._recent, self._shortage()
        if tenant < len(self._s.tenants) and recent:
            asked = sum(1 for _, t in recent if t == tenant) / len(recent)
            asked *= self._came.lately(self._now)
            if self._rng.random() * asked > self._s.tenants[tenant].share * self._served.lately(self._now):
                worth *= self._s.over_share_worth
        worth *= SHED_CROWDED if crowded else 1
        recent.append((worth, tenant))
        if shortage <= 0:
            return False
        below, same = sum(x < worth for x, _ in recent), sum(x == worth for x, _ in recent)
        return (below + self._rng.random() * same) / len(recent) < shortage
