"""Prewarming: send load orders that refresh copies in use before the workers drop them."""

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.functions import Function, FunctionTable
from walnutpost.policy.load_order_limit import BUDGET_FRACTION_REFRESH
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.timers import TimerKind, Timers
from walnutpost.policy.warm_copies import WarmCopies

REFRESH_KEEP_ALIVES = 0.6  # copy age: late, as calls mostly refresh it first, but in time before it expires
REFRESH_TOLERANCE = 0.9  # of that age: a timer also refreshes copies that are nearly as old
MIN_CALLS_IN_USE = 0.75  # decayed calls of a function in use; after a single call fewer are left by then
REFRESH_ROUNDING_KEEP_ALIVES = 0.03  # times round up to this, so that functions share a timer
MIN_REFRESH_INTERVAL_KEEP_ALIVES = 1 / 8


class Prewarming:
    """Refresh of the copies in use, up to the target number, that calls have not refreshed; others expire."""

    __slots__ = ("_context", "_copies", "_endpoints", "_functions", "_orders", "_timers")

    def __init__(
        self,
        context: DecisionContext,
        timers: Timers,
        endpoints: Endpoints,
        functions: FunctionTable,
        copies: WarmCopies,
        orders: LoadOrders,
    ) -> None:
        self._context = context
        self._timers = timers
        self._endpoints = endpoints
        self._functions = functions
        self._copies = copies
        self._orders = orders

    def refresh_copies(self, function: Function) -> None:
        """Refresh the copies that need it; forget the function if it has no copies or work left."""
        now_us = self._context.now_us
        warm = self._copies.warm_workers(function)
        is_in_use = function.calls.decayed_count(now_us) >= MIN_CALLS_IN_USE
        if is_in_use and not self._copies.is_refreshed_by_others(function):
            min_age_us = REFRESH_KEEP_ALIVES * self._context.keep_alive_us * REFRESH_TOLERANCE
            in_hash_order = [w for w in self._endpoints.hash_order(function) if w in warm]
            for worker in in_hash_order[: self._copies.target(function, warm)]:
                if now_us - function.copies[worker.info.id].last_used_us >= min_age_us:
                    self._orders.order_copy(function, worker, BUDGET_FRACTION_REFRESH)
        if function.is_idle():
            del self._functions.by_key[function.key]
        else:
            self.schedule_refresh(function)

    def schedule_refresh(self, function: Function) -> None:
        """Schedule the next refresh for when the least recently used copy needs it."""
        now_us, keep_alive_us = self._context.now_us, self._context.keep_alive_us
        oldest_use_us = min((c.last_used_us for c in function.copies.values()), default=now_us)
        due_us = oldest_use_us + REFRESH_KEEP_ALIVES * keep_alive_us
        earliest_us = now_us + keep_alive_us * MIN_REFRESH_INTERVAL_KEEP_ALIVES
        rounding_us = REFRESH_ROUNDING_KEEP_ALIVES * keep_alive_us
        rounded_us = (max(due_us, earliest_us) // rounding_us + 1) * rounding_us
        self._timers.schedule(rounded_us, TimerKind.REFRESH_COPIES, function.key)
