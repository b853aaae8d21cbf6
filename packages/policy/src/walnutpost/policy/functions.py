"""The state of a function: its copies, attempts in flight, queued requests and load orders."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from walnutpost.policy.rates import CALL_RATE_KEEP_ALIVES, DecayingRate
from walnutpost.policy.workers import Worker

MAX_IDLE_FUNCTIONS = 1024  # clients may invent names faster than idle functions are forgotten


@dataclass(slots=True, eq=False)
class Copy:
    """Copies of a function that a worker is assumed to hold."""

    last_used_us: int
    count: int = 1
    is_confirmed: bool = False  # by an answer; otherwise a request was only sent there


@dataclass(slots=True, eq=False)
class Function:
    """State of one function. Dictionaries "by worker" are keyed by the worker ID."""

    key: int
    calls: DecayingRate
    concurrency: int = 1  # requests that one copy serves at a time
    load_time_us: int = 0  # from the latest request; 0 if unknown
    copies: dict[int, Copy] = field(default_factory=dict)  # by worker, assumed warm
    in_flight: Counter[int] = field(default_factory=Counter)  # this front end's attempts by worker; no zeros
    queued: dict[int, None] = field(default_factory=dict)  # IDs of requests that wait for a copy, in order
    pending_orders_us: dict[int, int] = field(default_factory=dict)  # by worker: send time, of a scale-up
    hash_order: list[Worker] = field(default_factory=list)  # all workers, as of `hash_order_version`
    hash_order_version: int = 0
    load_backoff_until_us: dict[int, int] = field(default_factory=dict)  # by worker: no orders until then
    last_miss_us: dict[int, int] = field(default_factory=dict)  # by worker: had no copy and no load then
    consecutive_load_failures: int = 0  # failed or rejected loads in a row
    next_scale_up_us: int = 0

    def attempt_ended(self, worker_id: int) -> None:
        """Remove one attempt in flight at the worker."""
        left = self.in_flight[worker_id] - 1
        if left > 0:
            self.in_flight[worker_id] = left
        else:
            del self.in_flight[worker_id]

    def is_idle(self) -> bool:
        """Return whether the function has no copies, requests or load orders left."""
        return not (self.copies or self.queued or self.in_flight or self.pending_orders_us)


class FunctionTable:
    """The functions in use, by key, and a bounded number of idle ones."""

    __slots__ = ("_cleanup_size", "_on_forgotten", "_time_constant_us", "by_key")

    def __init__(self, keep_alive_us: int, on_forgotten: Callable[[int], None]) -> None:
        """`on_forgotten` gets the key of each idle function that is dropped because there are too many."""
        self._time_constant_us = CALL_RATE_KEEP_ALIVES * keep_alive_us
        self._on_forgotten = on_forgotten
        self._cleanup_size = 2 * MAX_IDLE_FUNCTIONS
        self.by_key: dict[int, Function] = {}

    def get_or_create(self, key: int) -> Function:
        """Return the function's state; create it if it is new."""
        function = self.by_key.get(key)
        if function is None:
            if len(self.by_key) >= self._cleanup_size:
                self._forget_idle()
            function = self.by_key[key] = Function(key, DecayingRate(self._time_constant_us))
        return function

    def _forget_idle(self) -> None:
        """Drop the idle functions beyond MAX_IDLE_FUNCTIONS whose last calls are longest ago."""
        idle = [function for function in self.by_key.values() if function.is_idle()]
        idle.sort(key=lambda function: function.calls.updated_us)
        for function in idle[:-MAX_IDLE_FUNCTIONS]:
            del self.by_key[function.key]
            self._on_forgotten(function.key)
        self._cleanup_size = len(self.by_key) + MAX_IDLE_FUNCTIONS

    def forget_worker(self, worker_id: int) -> None:
        """Drop the back-off and miss times of a worker that has left the list for good."""
        for function in self.by_key.values():
            function.load_backoff_until_us.pop(worker_id, None)
            function.last_miss_us.pop(worker_id, None)

    def forget_copies(self, worker_id: int) -> None:
        """Drop all copies assumed on a worker and all load orders in flight there."""
        for function in self.by_key.values():
            function.copies.pop(worker_id, None)
            function.pending_orders_us.pop(worker_id, None)
