"""Prewarming: load orders that refresh copies in use before the workers drop them."""

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.functions import Function, FunctionTable
from walnutpost.policy.load_order_limit import BUDGET_FRACTION_REFRESH
from walnutpost.policy.load_orders import LoadOrders
from walnutpost.policy.timers import TimerKind, Timers
from walnutpost.policy.warm_copies import WarmCopies

REFRESH_KEEP_ALIVES = 0.6  # age of a copy: late enough that traffic mostly refreshes, early enough in time
REFRESH_TOLERANCE = 0.9  # of that age: a timer serves the copies that are nearly as old
MIN_CALLS_IN_USE = 0.75  # decayed calls of a function in use; one-offs have fewer by then
REFRESH_GRAIN_KEEP_ALIVES = 0.03  # times are rounded up to this, so that many functions share a timer
MIN_REFRESH_INTERVAL_KEEP_ALIVES = 1 / 8


class Prewarming:
    """Refreshes copies in use, up to the target, that traffic has not refreshed itself; others lapse."""

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
        """Order the copies that need it; forget the function when nothing is left of it."""
        now_us = self._context.now_us
        warm = self._copies.warm_workers(function)
        is_in_use = function.calls.decayed_count(now_us) >= MIN_CALLS_IN_USE
        if is_in_use and not self._copies.others_refresh(function):
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
        """Look again when the copy that was unused for longest needs it."""
        now_us, keep_alive_us = self._context.now_us, self._context.keep_alive_us
        oldest_use_us = min((c.last_used_us for c in function.copies.values()), default=now_us)
        due_us = oldest_use_us + REFRESH_KEEP_ALIVES * keep_alive_us
        earliest_us = now_us + keep_alive_us * MIN_REFRESH_INTERVAL_KEEP_ALIVES
        grain_us = REFRESH_GRAIN_KEEP_ALIVES * keep_alive_us
        rounded_us = (max(due_us, earliest_us) // grain_us + 1) * grain_us
        self._timers.schedule(rounded_us, TimerKind.REFRESH_COPIES, function.key)
