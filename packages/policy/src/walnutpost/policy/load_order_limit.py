"""The load-order limit (rule 5): each order is a reservation until it must have arrived."""

import math
from bisect import bisect_left, bisect_right, insort

from walnutpost import interface as api

# How much of the limit each purpose may use, so that the urgent ones find something left.
BUDGET_FRACTION_QUEUED = 1.0  # requests are queued for the copy
BUDGET_FRACTION_OVERFLOW = 0.8  # all copies are busy
BUDGET_FRACTION_REFRESH = 0.5  # a copy in use would lapse


class LoadOrderLimit:
    """Admission control for load orders over a sliding window.

    The rule is judged as orders arrive, and on a network one may arrive at any time until it is answered,
    together with all others that are open and after the requests that justified it have left the window. So
    a new order, with those open and those that arrived, has to fit the requests of every span that ends now
    (docs/design.md, "The load-order limit").
    """

    __slots__ = ("_arrivals_us", "_guards", "_settings", "open_orders", "request_arrivals_us")

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        self._guards = settings.guards
        self.open_orders = 0
        self._arrivals_us: list[int] = []  # of orders in the window, each at the latest; sorted
        self.request_arrivals_us: list[int] = []  # in the window, each at the earliest; sorted

    def begin(self, now_us: int) -> None:
        """Start the process's life.

        Where restarts are unseen, the last life may have used the free orders just before its end.
        """
        if self._settings.are_restarts_unseen:
            self._arrivals_us = [now_us] * math.ceil(self._guards.free_load_orders)

    def count_request(self, earliest_arrival_us: int) -> None:
        """Let a request that was taken in justify orders; it came at `earliest_arrival_us` or later."""
        self._forget_before(earliest_arrival_us - self._guards.load_order_window_us)
        insort(self.request_arrivals_us, earliest_arrival_us)

    def reserve(self, now_us: int, budget_fraction: float) -> bool:
        """Reserve one more order if it fits `budget_fraction` of the limit; say whether it did."""
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
        """Close open orders that can arrive no later than this; 0 for those that never will."""
        self.open_orders -= orders
        self._arrivals_us = sorted(self._arrivals_us + [latest_arrival_us] * orders)

    def _fits(self, now_us: int, window_start_us: int, budget_fraction: float) -> bool:
        """Whether one more order fits the requests of each span from a charged arrival until now."""
        guards = self._guards
        spans_us = [window_start_us] if self._settings.is_ideal_network else [*self._arrivals_us, now_us]
        for earlier_orders, since_us in enumerate(spans_us):
            requests = len(self.request_arrivals_us) - bisect_right(self.request_arrivals_us, since_us)
            orders = self.open_orders + len(self._arrivals_us) - earlier_orders + 1
            allowed = guards.free_load_orders + guards.load_orders_per_request * requests
            if orders > budget_fraction * allowed:
                return False
        return True

    def _forget_before(self, start_us: int) -> None:
        del self._arrivals_us[: bisect_left(self._arrivals_us, start_us)]
        del self.request_arrivals_us[: bisect_right(self.request_arrivals_us, start_us)]
