"""The state of a function: its copies, attempts in flight, queued requests and load orders."""

from collections import Counter
from dataclasses import dataclass, field

from walnutpost.policy.rates import CALL_RATE_KEEP_ALIVES, DecayingRate
from walnutpost.policy.workers import Worker


@dataclass(slots=True, eq=False)
class Copy:
    """A worker's loaded copies of a function, as believed."""

    last_used_us: int
    count: int = 1
    is_confirmed: bool = False  # an answer proved it; else something was only sent there


@dataclass(slots=True, eq=False)
class Function:
    """What is known of one function. Dictionaries by worker are keyed by the worker's number."""

    key: int
    calls: DecayingRate
    concurrency: int = 1  # requests that one copy serves at a time
    load_time_us: int = 0  # as the request says; 0 if unknown
    copies: dict[int, Copy] = field(default_factory=dict)  # by worker, believed warm
    in_flight: Counter[int] = field(default_factory=Counter)  # own attempts by worker; no zeros
    queued: dict[int, None] = field(default_factory=dict)  # requests that wait for a copy, in order
    pending_orders_us: dict[int, int] = field(default_factory=dict)  # the scale-up in flight, by worker
    hash_order: list[Worker] = field(default_factory=list)  # all workers, as of that version of the list
    hash_order_version: int = 0
    retry_after_us: dict[int, int] = field(default_factory=dict)  # by worker: no load order before
    missed_us: dict[int, int] = field(default_factory=dict)  # by worker: had no copy and no load then
    failures_in_a_row: int = 0  # of load orders
    next_scale_up_us: int = 0

    def attempt_ended(self, worker_id: int) -> None:
        """Take one attempt at the worker out of the count in flight."""
        left = self.in_flight[worker_id] - 1
        if left > 0:
            self.in_flight[worker_id] = left
        else:
            del self.in_flight[worker_id]

    def is_idle(self) -> bool:
        """Whether nothing is left to remember."""
        return not (self.copies or self.queued or self.in_flight or self.pending_orders_us)


class FunctionTable:
    """The functions in use, by key."""

    __slots__ = ("_time_constant_us", "by_key")

    def __init__(self, keep_alive_us: int) -> None:
        self._time_constant_us = CALL_RATE_KEEP_ALIVES * keep_alive_us
        self.by_key: dict[int, Function] = {}

    def get_or_create(self, key: int) -> Function:
        """Return the function's state, a new one at its first call."""
        function = self.by_key.get(key)
        if function is None:
            function = self.by_key[key] = Function(key, DecayingRate(self._time_constant_us))
        return function

    def forget_worker(self, worker_id: int) -> None:
        """Drop what refers to a worker that has left for good."""
        for function in self.by_key.values():
            function.retry_after_us.pop(worker_id, None)
            function.missed_us.pop(worker_id, None)

    def forget_copies(self, worker_id: int) -> None:
        """Drop the belief in copies on a worker, and the load orders in flight there."""
        for function in self.by_key.values():
            function.copies.pop(worker_id, None)
            function.pending_orders_us.pop(worker_id, None)
