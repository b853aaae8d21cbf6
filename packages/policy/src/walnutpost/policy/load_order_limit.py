"""The load-order limit (rule 5): each order stays reserved until it can no longer arrive later."""

import math
from bisect import bisect_left, bisect_right, insort

from walnutpost import interface as api

# Fraction of the limit that each purpose may use, so that some of it remains for more urgent ones.
BUDGET_FRACTION_QUEUED = 1.0  # requests are queued for a copy
BUDGET_FRACTION_OVERFLOW = 0.8  # all copies are busy
BUDGET_FRACTION_REFRESH = 0.5  # a copy in use would expire


class LoadOrderLimit:
    """Admission control for load orders over a sliding window.

    The rule applies to orders as they arrive at workers. On a network an order may arrive at any time until
    it is answered: together with all other open orders, and after the requests that justified it have left
    the window. So the new order, the open orders and those that arrived must together stay within what the
    requests allow in every time span that ends now (docs/design.md, "The load-order limit").
    """

    __slots__ = ("_guards", "_order_arrivals_us", "_settings", "open_orders", "request_arrivals_us")

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        self._guards = settings.guards
        self.open_orders = 0
        # Latest possible arrivals of settled orders in the window; sorted.
        self._order_arrivals_us: list[int] = []
        self.request_arrivals_us: list[int] = []  # earliest possible arrivals in the window; sorted

    def begin(self, now_us: int) -> None:
        """Start counting at the first event of the process.

        If restarts can't be seen, the previous process may have used all free orders just before it ended.
        """
        if self._settings.may_miss_restarts:
            self._order_arrivals_us = [now_us] * math.ceil(self._guards.free_load_orders)

    def count_request(self, earliest_arrival_us: int) -> None:
        """Count an accepted request, which arrived at `earliest_arrival_us` or later and allows orders."""
        self._forget_before(earliest_arrival_us - self._guards.load_order_window_us)
        insort(self.request_arrivals_us, earliest_arrival_us)

    def reserve(self, now_us: int, budget_fraction: float) -> bool:
        """Reserve one more order if it fits within `budget_fraction` of the limit; return whether it did."""
        guards = self._guards
        window_start_us = now_us - guards.load_order_window_us
        self._forget_before(window_start_us)
        if guards.load_order_window_us > 0 and not self._fits(now_us, window_start_us, budget_fraction):
            return False
        self.open_orders += 1
        if self._settings.is_ideal_network:
            self.settle(now_us)
        return True

    def settle(self, latest_arrival_us: int, orders: int = 1) -> None:
        """Settle open orders that arrive by `latest_arrival_us`, or never if it is 0."""
        self.open_orders -= orders
        self._order_arrivals_us = sorted(self._order_arrivals_us + [latest_arrival_us] * orders)

    def _fits(self, now_us: int, window_start_us: int, budget_fraction: float) -> bool:
        """Return whether one more order fits the limit in each span from a counted arrival until now."""
        guards = self._guards
        span_starts_us = (
            [window_start_us] if self._settings.is_ideal_network else [*self._order_arrivals_us, now_us]
        )
        for earlier_orders, since_us in enumerate(span_starts_us):
            requests = len(self.request_arrivals_us) - bisect_right(self.request_arrivals_us, since_us)
            orders = self.open_orders + len(self._order_arrivals_us) - earlier_orders + 1
            allowed = guards.free_load_orders + guards.load_orders_per_request * requests
            if orders > budget_fraction * allowed:
                return False
        return True

    def _forget_before(self, start_us: int) -> None:
        del self._order_arrivals_us[: bisect_left(self._order_arrivals_us, start_us)]
        del self.request_arrivals_us[: bisect_right(self.request_arrivals_us, start_us)]
