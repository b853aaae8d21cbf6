"""The ration of load orders (rule 5): each order is a reservation until it must have arrived."""

import math
from bisect import bisect_left, bisect_right, insort

from walnutpost import interface as api


class OrderRation:
    """The rule is judged as orders arrive, and on a network one may arrive at any time until it is answered,
    together with all others that are open and after the requests that justified it have left the window. So a
    new order, with those open and those that arrived, has to fit the requests of every span that ends now."""

    def __init__(self, settings: api.Settings) -> None:
        self._settings, self._guards = settings, settings.guards
        self._open = 0
        self._arrivals: list[int] = []  # of orders in the window, each at the latest
        self._requests: list[int] = []  # taken in the window, each at the earliest

    def begin(self, now: int) -> None:
        """Without news of earlier lives, the last one may have used the free orders just before its end."""
        self._arrivals = [now] * math.ceil(self._guards.free_loads) if self._settings.restarts_unseen else []

    def count_request(self, came: int) -> None:
        """A request that was taken gives ground for orders; `came` is the earliest time of it."""
        self._forget(came - self._guards.load_window)
        insort(self._requests, came)

    def reserve(self, now: int, part: float) -> bool:
        """Takes one more order in if it fits; `part` is how much of the ration its purpose may use."""
        start, guards = now - self._guards.load_window, self._guards
        self._forget(start)
        spans = [start] if self._settings.ideal_network else [*self._arrivals, now]
        for earlier, since in enumerate(spans if guards.load_window > 0 else ()):
            requests = len(self._requests) - bisect_right(self._requests, since)
            orders = self._open + len(self._arrivals) - earlier + 1
            if orders > part * (guards.free_loads + guards.load_share * requests):
                return False
        self._open += 1
        if self._settings.ideal_network:
            self.settle(now)
        return True

    def settle(self, latest: int, orders: int = 1) -> None:
        """Open orders can arrive no later than at `latest`; 0 for those that never will."""
        self._open -= orders
        self._arrivals = sorted(self._arrivals + [latest] * orders)

    def _forget(self, start: int) -> None:
        del self._arrivals[: bisect_left(self._arrivals, start)]
        del self._requests[: bisect_right(self._requests, start)]
