"""Usage sampling: a front end's estimate of the memory-time of workers that report no usage. No I/O.

The lower bound counts the slots that the front end's calls used, as if all slots of each copy were in use.
The upper bound counts a separate copy for each call and for each ordered copy, with its load time and
keep-alive time. The estimate counts the copies that the calls in flight need, or those that the worker's
answers to load orders report if they are more. It charges idle time to the tenant whose call ended last.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from walnutpost.metering.allocation import split_proportionally
from walnutpost.metering.amounts import Amount
from walnutpost.metering.ledger_records import UsageSample
from walnutpost.metering.records import UNATTRIBUTED
from walnutpost.metering.units import HOUR_US, hour_start_us


@dataclass(frozen=True, slots=True)
class FunctionSize:
    """The memory, concurrency and load time of a function's copies."""

    memory_mb: int
    concurrency: int
    load_time_us: int


@dataclass(slots=True, eq=False)
class _Placement:
    """A function on a worker. The counters by tenant are those of the hour of `counted_until_us`."""

    size: FunctionSize
    counted_until_us: int
    calls: dict[str, int] = field(default_factory=dict)  # in flight, by tenant
    call_count: int = 0  # in flight
    copies: int = 0
    idle_since_us: int = 0
    last_tenant: str = UNATTRIBUTED
    best_us: dict[str, int] = field(default_factory=dict)
    slot_us: dict[str, int] = field(default_factory=dict)
    upper_bound_us: dict[str, int] = field(default_factory=dict)

    @property
    def needed_copies(self) -> int:
        """Return how many copies the calls in flight need."""
        return -(-self.call_count // self.size.concurrency)

    def has_copies(self, now_us: int, keep_alive_us: int) -> bool:
        """Whether a copy is estimated to be loaded."""
        is_kept_alive = now_us < self.idle_since_us + keep_alive_us
        return bool(self.call_count) or (bool(self.copies) and is_kept_alive)

    def start_call(self, tenant: str, keep_alive_us: int) -> None:
        """Count the start of a call. For the upper bound, it has a copy of its own."""
        self.call_count += 1
        self.calls[tenant] = self.calls.get(tenant, 0) + 1
        _add_time(self.upper_bound_us, tenant, self.size.load_time_us + keep_alive_us)
        self.copies = max(self.copies, self.needed_copies)

    def end_call(self, tenant: str, now_us: int) -> None:
        """Count the end of a call. A call whose start was not counted is ignored."""
        if tenant not in self.calls:
            return
        self.call_count -= 1
        self.calls[tenant] -= 1
        if not self.calls[tenant]:
            del self.calls[tenant]
        self.last_tenant = tenant
        self.idle_since_us = now_us

    def set_copies(self, copies: int, now_us: int, keep_alive_us: int) -> None:
        """Set the number of copies to the one that the worker reports."""
        new_copies = max(0, copies - self.copies)
        self.copies = max(copies, self.needed_copies)
        self.idle_since_us = now_us
        loaded_us = new_copies * (self.size.load_time_us + keep_alive_us)
        if loaded_us:
            _add_time(self.upper_bound_us, UNATTRIBUTED, loaded_us)

    def count(self, end_us: int, keep_alive_us: int) -> None:
        """Count the time up to `end_us`, which is within the current hour."""
        if self.call_count:
            self._count_running(end_us - self.counted_until_us)
        elif self.copies:
            self._count_idle(end_us, keep_alive_us)
        self.counted_until_us = end_us

    def _count_running(self, time_us: int) -> None:
        copies = max(self.copies, self.needed_copies)
        for tenant, share_us in split_proportionally(time_us, self.calls).items():
            _add_time(self.best_us, tenant, share_us * copies)
        for tenant, calls in self.calls.items():
            _add_time(self.slot_us, tenant, time_us * calls)
            _add_time(self.upper_bound_us, tenant, time_us * calls)

    def _count_idle(self, end_us: int, keep_alive_us: int) -> None:
        unload_us = self.idle_since_us + keep_alive_us
        idle_us = min(end_us, unload_us) - self.counted_until_us
        if idle_us > 0:
            _add_time(self.best_us, self.last_tenant, idle_us * self.copies)
        if end_us >= unload_us:
            self.copies = 0

    def reset_counters(self) -> None:
        """Reset the counters at the start of an hour."""
        self.best_us = {}
        self.slot_us = {}
        self.upper_bound_us = {}

    def amounts(self) -> dict[str, Amount]:
        """Return the amounts of the current hour so far, by tenant."""
        memory_mb = self.size.memory_mb
        amounts = {}
        for tenant in {*self.best_us, *self.upper_bound_us}:
            best_us = self.best_us.get(tenant, 0)
            lower_us = self.slot_us.get(tenant, 0) // self.size.concurrency
            upper_us = max(best_us, self.upper_bound_us.get(tenant, 0))
            amounts[tenant] = Amount(
                memory_mb * max(best_us, lower_us), memory_mb * lower_us, memory_mb * upper_us
            )
        return amounts


def _add_time(counters: dict[str, int], tenant: str, time_us: int) -> None:
    counters[tenant] = counters.get(tenant, 0) + time_us


class UsageSampler:
    """Estimates usage from the calls and load orders of one front end process."""

    def __init__(self, started_us: int, sizes: Mapping[str, FunctionSize], keep_alive_us: int) -> None:
        """`started_us` identifies the process; copies are unloaded after `keep_alive_us` without a call."""
        self._started_us = started_us
        self._sizes = sizes
        self._keep_alive_us = keep_alive_us
        self._reporting_workers: set[str] = set()
        self._placements: dict[tuple[str, str], _Placement] = {}  # by worker and function
        self._past_hours: list[UsageSample] = []

    def start_call(self, now_us: int, worker: str, function: str, tenant: str) -> None:
        """Record that a call is sent to a worker."""
        placement = self._counted_placement(now_us, worker, function)
        if placement is not None:
            placement.start_call(tenant, self._keep_alive_us)

    def end_call(self, now_us: int, worker: str, function: str, tenant: str) -> None:
        """Record that a call at a worker has ended."""
        placement = self._counted_placement(now_us, worker, function)
        if placement is not None:
            placement.end_call(tenant, now_us)

    def set_copies(self, now_us: int, worker: str, function: str, copies: int) -> None:
        """Record how many loaded copies a worker reports."""
        placement = self._counted_placement(now_us, worker, function)
        if placement is not None:
            placement.set_copies(copies, now_us, self._keep_alive_us)

    def has_copies(self, now_us: int, function: str) -> bool:
        """Whether a copy of the function is estimated to be loaded on any worker."""
        return any(
            placement.has_copies(now_us, self._keep_alive_us)
            for (_, name), placement in self._placements.items()
            if name == function
        )

    def calling_tenants(self, function: str) -> set[str]:
        """Return the tenants that have calls of the function in flight."""
        return {
            tenant
            for (_, name), placement in self._placements.items()
            if name == function
            for tenant in placement.calls
        }

    def is_estimated(self, worker: str) -> bool:
        """Whether the worker's usage is estimated from samples."""
        return worker not in self._reporting_workers

    def mark_reporting(self, worker: str) -> None:
        """Stop estimating a worker, because it reports its usage itself."""
        self._reporting_workers.add(worker)

    def collect(self, now_us: int) -> list[UsageSample]:
        """Return the samples of the current hour so far, and of the hours that ended since the last call."""
        # Samples of past hours that exist already come first; _count_until may add more to _past_hours.
        earlier = self._past_hours
        self._past_hours = []
        current: list[UsageSample] = []
        for (worker, function), placement in list(self._placements.items()):
            self._count_until(placement, worker, function, now_us)
            hour_us = hour_start_us(placement.counted_until_us)
            current += self._build_samples(placement, worker, function, hour_us)
            has_amounts = placement.upper_bound_us or placement.best_us
            if not (placement.call_count or placement.copies or has_amounts):
                del self._placements[worker, function]
        past = self._past_hours
        self._past_hours = []
        return [sample for sample in (*earlier, *current, *past) if self.is_estimated(sample.worker)]

    def at_risk_mb(self, now_us: int) -> int:
        """Return the memory of the copies whose usage would go unrecorded if this process died now."""
        return sum(
            placement.size.memory_mb * placement.copies
            for (worker, _), placement in self._placements.items()
            if self.is_estimated(worker) and placement.has_copies(now_us, self._keep_alive_us)
        )

    def _counted_placement(self, now_us: int, worker: str, function: str) -> _Placement | None:
        """Return the placement, counted up to now, or None if the function is unknown."""
        placement = self._placements.get((worker, function))
        if placement is not None:
            self._count_until(placement, worker, function, now_us)
            return placement
        size = self._sizes.get(function)
        if size is None:
            return None
        placement = _Placement(size, now_us)
        self._placements[worker, function] = placement
        return placement

    def _count_until(self, placement: _Placement, worker: str, function: str, now_us: int) -> None:
        while placement.counted_until_us < now_us:
            hour_us = hour_start_us(placement.counted_until_us)
            end_us = min(now_us, hour_us + HOUR_US)
            placement.count(end_us, self._keep_alive_us)
            if end_us == hour_us + HOUR_US:
                self._past_hours += self._build_samples(placement, worker, function, hour_us)
                placement.reset_counters()

    def _build_samples(
        self, placement: _Placement, worker: str, function: str, hour_us: int
    ) -> list[UsageSample]:
        return [
            UsageSample(self._started_us, hour_us, worker, function, tenant, amount)
            for tenant, amount in placement.amounts().items()
        ]
