"""Checks the limit on load orders against what workers received and what clients sent.

It shares no code with the policy and uses no counter of a front end. Times are whole microseconds.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Over real sockets the limit is multiplied by the factor, and this many orders more are allowed.
NETWORK_SLACK_FACTOR, NETWORK_SLACK_ORDERS = 1.15, 1.0
ROUNDING_TOLERANCE = 1e-9  # for the product of load share and request count


@dataclass(frozen=True, slots=True)
class SlidingWindowLimit:
    """Allows `free_loads` load orders, plus `load_share` for each request, within any `window_us`.

    The slack multiplies this limit by `slack_factor` and adds `slack_orders`.
    """

    free_loads: float
    load_share: float
    window_us: int
    slack_factor: float = 1.0
    slack_orders: float = 0.0

    @classmethod
    def with_network_slack(cls, free_loads: float, load_share: float, window_us: int) -> SlidingWindowLimit:
        """Return the limit for nodes on real sockets, which includes slack."""
        return cls(free_loads, load_share, window_us, NETWORK_SLACK_FACTOR, NETWORK_SLACK_ORDERS)

    def allowance(self, requests: int) -> float:
        """Return how many load orders are allowed for a number of requests."""
        return self.slack_factor * (self.free_loads + self.load_share * requests) + self.slack_orders


@dataclass(frozen=True, slots=True)
class LimitViolation:
    """A load order above the limit: `count` orders in the window up to it, with `allowance` allowed."""

    front_end: str
    at_us: int
    count: int
    allowance: float


def find_violations(
    limit: SlidingWindowLimit, front_end: str, orders: Iterable[int], requests: Iterable[int]
) -> list[LimitViolation]:
    """Return each load order of one front end that exceeds the limit.

    `orders` are the times at which a worker had received a load order completely, `requests` the times at
    which a client had written the last byte of a request.

    An order that is exactly one window old still counts, but a request of that age allows no orders any more:
    this is the strictest reading of "within the last window". Orders with equal times count one by one.
    """
    order_times, request_times = sorted(orders), sorted(requests)
    found: list[LimitViolation] = []
    for position, at in enumerate(order_times):
        count = position + 1 - bisect_left(order_times, at - limit.window_us)
        recent_requests = bisect_right(request_times, at) - bisect_right(request_times, at - limit.window_us)
        allowance = limit.allowance(recent_requests)
        if count > allowance + ROUNDING_TOLERANCE:
            found.append(LimitViolation(front_end, at, count, allowance))
    return found


@dataclass(slots=True)
class LoadOrderLog:
    """Load orders that workers received and requests that clients sent, by the name of the front end.

    A restarted front end keeps its name and counts as the same one.
    """

    orders: dict[str, list[int]] = field(default_factory=dict)
    requests: dict[str, list[int]] = field(default_factory=dict)

    def log_load_order(self, front_end: str, at_us: int) -> None:
        """Log a load order that a worker has received."""
        self.orders.setdefault(front_end, []).append(at_us)

    def log_request(self, front_end: str, at_us: int) -> None:
        """Log a request that a client has sent."""
        self.requests.setdefault(front_end, []).append(at_us)

    def violations(self, limit: SlidingWindowLimit) -> list[LimitViolation]:
        """Return the load orders in the log that exceed the limit."""
        return find_all_violations(limit, self.orders, self.requests)


def find_all_violations(
    limit: SlidingWindowLimit, orders: Mapping[str, Iterable[int]], requests: Mapping[str, Iterable[int]]
) -> list[LimitViolation]:
    """Return the violations of all front ends, each checked by its own orders and requests."""
    return [
        violation
        for front_end, order_times in sorted(orders.items())
        for violation in find_violations(limit, front_end, order_times, requests.get(front_end, ()))
    ]


def describe_violations(violations: list[LimitViolation]) -> str:
    """Describe violations for the output of a failing test, with times in seconds since the first one."""
    if not violations:
        return "no violation"
    first = min(violation.at_us for violation in violations)
    lines = (
        f"{v.front_end} at +{(v.at_us - first) / 1e6:.3f} s: {v.count} orders within the window, "
        f"{v.allowance:.2f} allowed"
        for v in violations
    )
    return "\n".join([f"{len(violations)} violations of the load order limit", *lines])
