"""Shortage: how much is asked and served, and which requests are refused while it is too much."""

import math
from collections import Counter

from walnutpost.policy.state import RATE_SPAN, Request
from walnutpost.policy.workers import Workers

SHED_FROM, SHED_FULL = 0.3, 0.7  # of the aim: time to answer at which refusals begin, and reach their most
SHED_CROWDED = 0.5  # weight of the worth of a request with no free lane, which would cost a load besides
SHED_MOST, SHED_CHANCE = 0.9, 1.0  # of the requests; deviations of the number in flight put down to chance


class Shedding(Workers):
    def _shortage(self) -> float:
        """The share of requests to refuse, foretold from requests in flight over the rate of answers."""
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
        """In shortage those worth least are refused; a tenant's excess over its share is worth little."""
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
