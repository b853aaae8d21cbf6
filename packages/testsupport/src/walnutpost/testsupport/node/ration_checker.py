"""The ration of load orders, recomputed from what others saw: arrivals at workers, and requests of clients.

It shares no code with the policy and asks no front end what it counted. Times are whole microseconds.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

SOCKET_FACTOR, SOCKET_ORDERS = 1.15, 1.0  # on sockets the ration is so much wider, and so many orders more
ROUNDING = 1e-9  # of the products of shares


@dataclass(frozen=True, slots=True)
class Ration:
    """Within any `window_us`, `free_loads` plus `load_share` for each request taken may arrive.

    With slack it is the whole times `factor`, plus `extra` orders.
    """

    free_loads: float
    load_share: float
    window_us: int
    factor: float = 1.0
    extra: float = 0.0

    @classmethod
    def on_sockets(cls, free_loads: float, load_share: float, window_us: int) -> Ration:
        """Return the ration for nodes on real sockets, with its slack."""
        return cls(free_loads, load_share, window_us, SOCKET_FACTOR, SOCKET_ORDERS)

    def allowance(self, requests: int) -> float:
        """Return how many load orders so many requests allow."""
        return self.factor * (self.free_loads + self.load_share * requests) + self.extra


@dataclass(frozen=True, slots=True)
class Breach:
    """An order that arrived as one too many: `count` within the window up to it, where `allowance` may be."""

    front_end: str
    at_us: int
    count: int
    allowance: float


def breaches_of(
    ration: Ration, front_end: str, orders: Iterable[int], requests: Iterable[int]
) -> list[Breach]:
    """Return each order that breaks the ration of one front end.

    `orders` are the times at which its orders to load had arrived whole, `requests` those at which its
    clients had written a request's last byte.

    An order that is exactly one window old still counts, and a request that old gives no ground any more: of
    the readings of "within the last window" the strictest. Orders of one moment arrive one after the other.
    """
    arrived, taken = sorted(orders), sorted(requests)
    found: list[Breach] = []
    for place, at in enumerate(arrived):
        count = place + 1 - bisect_left(arrived, at - ration.window_us)
        within = bisect_right(taken, at) - bisect_right(taken, at - ration.window_us)
        allowance = ration.allowance(within)
        if count > allowance + ROUNDING:
            found.append(Breach(front_end, at, count, allowance))
    return found


@dataclass(slots=True)
class RationLog:
    """What workers and clients saw, by front end: a new life under the same name is the same front end."""

    orders: dict[str, list[int]] = field(default_factory=dict)
    requests: dict[str, list[int]] = field(default_factory=dict)

    def order_arrived(self, front_end: str, at_us: int) -> None:
        """Log a load order that a worker has read."""
        self.orders.setdefault(front_end, []).append(at_us)

    def request_written(self, front_end: str, at_us: int) -> None:
        """Log a request that a client has written."""
        self.requests.setdefault(front_end, []).append(at_us)

    def breaches(self, ration: Ration) -> list[Breach]:
        """Return the breaches of the ration by what was logged."""
        return all_breaches(ration, self.orders, self.requests)


def all_breaches(
    ration: Ration, orders: Mapping[str, Iterable[int]], requests: Mapping[str, Iterable[int]]
) -> list[Breach]:
    """Return the breaches of all front ends, each judged by its own orders and requests."""
    return [
        breach
        for front_end, arrived in sorted(orders.items())
        for breach in breaches_of(ration, front_end, arrived, requests.get(front_end, ()))
    ]


def describe_breaches(breaches: list[Breach]) -> str:
    """Return the breaches for a failing test's output, times in seconds after the first."""
    if not breaches:
        return "no breach"
    first = min(breach.at_us for breach in breaches)
    lines = (
        f"{b.front_end} at +{(b.at_us - first) / 1e6:.3f} s: {b.count} orders within the window, "
        f"{b.allowance:.2f} allowed"
        for b in breaches
    )
    return "\n".join([f"{len(breaches)} breaches of the ration", *lines])
