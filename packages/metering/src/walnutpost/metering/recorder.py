"""A worker's recorder of usage. It counts each microsecond of each copy, in slices cut at full hours.

No I/O and no clock. Any worker that knows when a copy is started, ready, running and removed can use it.
Times are microseconds since the epoch.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from walnutpost.metering.allocation import split_proportionally
from walnutpost.metering.records import UsageReport, UsageSlice
from walnutpost.metering.units import HOUR_US, hour_start_us

MAX_FINAL_SLICES = 20_000  # of removed copies, or of hours that have ended


@dataclass(slots=True, eq=False)
class _Copy:
    """A loaded copy, with the counters of the hour of `counted_until_us`."""

    number: int
    function: str
    memory_mb: int
    counted_until_us: int
    is_ready: bool = False
    first_tenant: str | None = None
    last_tenant: str | None = None
    running_calls: Counter[str] = field(default_factory=Counter)  # by tenant
    loading_us: int = 0
    unused_us: int = 0
    running_us: dict[str, int] = field(default_factory=dict)
    idle_us: dict[str, int] = field(default_factory=dict)

    def count(self, end_us: int) -> None:
        """Count the time up to `end_us`, which is within the current hour."""
        time_us = end_us - self.counted_until_us
        if not self.is_ready:
            self.loading_us += time_us
        elif self.running_calls:
            for tenant, share_us in split_proportionally(time_us, self.running_calls).items():
                self.running_us[tenant] = self.running_us.get(tenant, 0) + share_us
        elif self.last_tenant is None:
            self.unused_us += time_us
        else:
            self.idle_us[self.last_tenant] = self.idle_us.get(self.last_tenant, 0) + time_us
        self.counted_until_us = end_us

    def reset_counters(self) -> None:
        """Reset the counters at the start of an hour."""
        self.loading_us = 0
        self.unused_us = 0
        self.running_us = {}
        self.idle_us = {}


class UsageRecorder:
    """The usage records of one worker process.

    At most `max_final_slices` final slices are kept. The oldest are evicted first, and their memory-time is
    added up, so that a reader that comes too late has an upper bound of what it missed.
    """

    def __init__(
        self, worker: str, started_us: int, memory_mb: int, max_final_slices: int = MAX_FINAL_SLICES
    ) -> None:
        self._worker = worker
        self._started_us = started_us
        self._memory_mb = memory_mb
        self._max_final_slices = max_final_slices
        self._copies: dict[int, _Copy] = {}
        self._final: OrderedDict[int, UsageSlice] = OrderedDict()  # by number of the change
        self._change = 0
        self._last_evicted_change = 0
        self._evicted_mb_us = 0
        self._now_us = started_us

    def start_copy(self, now_us: int, copy: int, function: str, memory_mb: int) -> None:
        """Record that a copy starts to load and holds its memory."""
        self._copies[copy] = _Copy(copy, function, memory_mb, self._advance(now_us))

    def mark_ready(self, now_us: int, copy: int) -> None:
        """Record that a copy has been loaded."""
        self._counted_copy(now_us, copy).is_ready = True

    def start_call(self, now_us: int, copy: int, tenant: str) -> None:
        """Record that a call uses a slot of a copy."""
        record = self._counted_copy(now_us, copy)
        if record.first_tenant is None:
            record.first_tenant = tenant
        record.running_calls[tenant] += 1

    def end_call(self, now_us: int, copy: int, tenant: str) -> None:
        """Record that a call has ended."""
        record = self._counted_copy(now_us, copy)
        record.running_calls[tenant] -= 1
        record.running_calls += Counter()  # removes the counts that are 0
        record.last_tenant = tenant

    def remove_copy(self, now_us: int, copy: int) -> None:
        """Record that a copy was removed and its memory is free."""
        record = self._counted_copy(now_us, copy)
        del self._copies[copy]
        self._add_final(record, hour_start_us(record.counted_until_us))

    def build_report(
        self,
        now_us: int,
        after_change: int = 0,
        started_us: int | None = None,
        is_draining: bool = False,
    ) -> UsageReport:
        """Return a report of the final slices after a change, and of all loaded copies.

        If `started_us` is that of another process, the report has all final slices.
        """
        now_us = self._advance(now_us)
        for record in self._copies.values():
            self._count_until(record, now_us)
        known_change = after_change if started_us in (None, self._started_us) else 0
        final = [usage for change, usage in self._final.items() if change > known_change]
        hour_us = hour_start_us(now_us)
        loaded = [self._build_slice(record, hour_us, is_final=False) for record in self._copies.values()]
        return UsageReport(
            worker=self._worker,
            started_us=self._started_us,
            reported_us=now_us,
            change=self._change,
            memory_mb=self._memory_mb,
            slices=[*final, *loaded],
            is_draining=is_draining,
            last_evicted_change=self._last_evicted_change,
            evicted_mb_us=self._evicted_mb_us,
        )

    def _advance(self, now_us: int) -> int:
        """Return the latest time so far, so that no time counts twice if the clock steps back."""
        self._now_us = max(self._now_us, now_us)
        return self._now_us

    def _counted_copy(self, now_us: int, copy: int) -> _Copy:
        """Return a copy, counted up to now."""
        record = self._copies[copy]
        self._count_until(record, self._advance(now_us))
        return record

    def _count_until(self, record: _Copy, now_us: int) -> None:
        while record.counted_until_us < now_us:
            hour_us = hour_start_us(record.counted_until_us)
            end_us = min(now_us, hour_us + HOUR_US)
            record.count(end_us)
            if end_us == hour_us + HOUR_US:
                self._add_final(record, hour_us)
                record.reset_counters()

    def _build_slice(self, record: _Copy, hour_us: int, *, is_final: bool) -> UsageSlice:
        return UsageSlice(
            worker=self._worker,
            started_us=self._started_us,
            copy=record.number,
            hour_us=hour_us,
            function=record.function,
            memory_mb=record.memory_mb,
            counted_until_us=record.counted_until_us,
            is_final=is_final,
            loading_us=record.loading_us,
            unused_us=record.unused_us,
            running_us=dict(record.running_us),
            idle_us=dict(record.idle_us),
            first_tenant=record.first_tenant,
        )

    def _add_final(self, record: _Copy, hour_us: int) -> None:
        if record.counted_until_us == hour_us:
            return  # removed at the full hour, so it has no time in the new one
        self._change += 1
        self._final[self._change] = self._build_slice(record, hour_us, is_final=True)
        while len(self._final) > self._max_final_slices:
            self._last_evicted_change, evicted = self._final.popitem(last=False)
            self._evicted_mb_us += evicted.memory_time
