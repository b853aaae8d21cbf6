"""The retained slices, with their totals by account and by worker."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

import msgspec

from walnutpost.metering.allocation import allocate_slice
from walnutpost.metering.amounts import Account, Cause
from walnutpost.metering.closing import ClosedHours
from walnutpost.metering.merge import merge_slices
from walnutpost.metering.records import IncarnationKey, SliceKey, UsageSlice
from walnutpost.metering.tracked_records import TrackedRecords
from walnutpost.metering.units import HOUR_US


class SliceIndex:
    """Slices by key, with totals in MB-microseconds."""

    def __init__(self, hours: ClosedHours) -> None:
        """Start without slices. Changed hours are reported to `hours`."""
        self.records: TrackedRecords[SliceKey, UsageSlice] = TrackedRecords()
        self._hours = hours
        self._totals: dict[int, dict[Account, int]] = defaultdict(dict)  # by hour
        self._memory_time: dict[tuple[IncarnationKey, int], int] = defaultdict(int)  # by incarnation and hour
        self._loaded: dict[IncarnationKey, set[SliceKey]] = defaultdict(set)

    def totals(self, hour_us: int) -> Mapping[Account, int]:
        """Return the totals of an hour, by account."""
        return self._totals.get(hour_us, {})

    def memory_time(self, incarnation: IncarnationKey, hour_us: int) -> int:
        """Return the memory-time of a worker incarnation within an hour."""
        return self._memory_time.get((incarnation, hour_us), 0)

    def has_loaded(self, incarnation: IncarnationKey) -> bool:
        """Whether a worker incarnation had loaded copies in its last report."""
        return bool(self._loaded.get(incarnation))

    def merge(self, usage: UsageSlice) -> frozenset[str]:
        """Merge a reported slice into the index; return the contradictions that it adds."""
        existing = self.records.get(usage.key)
        merged = usage if existing is None else merge_slices(existing, usage)
        if merged != existing:
            self._put(merged)
            self._propagate_first_tenant(merged)
        return merged.contradictions - existing.contradictions if existing is not None else frozenset()

    def drop_before(self, hour_us: int) -> None:
        """Remove the slices and totals of earlier hours."""
        dropped = [usage.key for usage in self.records.values() if usage.hour_us < hour_us]
        self.records.remove(dropped)
        for key in dropped:
            self._loaded[key.incarnation].discard(key)
            self._memory_time.pop((key.incarnation, key.hour_us), None)
        for hour in [hour for hour in self._totals if hour < hour_us]:
            del self._totals[hour]

    def _propagate_first_tenant(self, usage: UsageSlice) -> None:
        """Set the first tenant of a copy in its slices of earlier hours too.

        Workers report it only from the hour of the first call on.
        """
        if usage.first_tenant is None:
            later = self.records.get(usage.key._replace(hour_us=usage.hour_us + HOUR_US))
            if later is None or later.first_tenant is None:
                return
            usage = msgspec.structs.replace(usage, first_tenant=later.first_tenant)
            self._put(usage)
        earlier = self.records.get(usage.key._replace(hour_us=usage.hour_us - HOUR_US))
        if earlier is not None and earlier.first_tenant is None:
            earlier = msgspec.structs.replace(earlier, first_tenant=usage.first_tenant)
            self._put(earlier)
            self._propagate_first_tenant(earlier)

    def _put(self, usage: UsageSlice) -> None:
        """Add or replace a slice, and update the totals."""
        existing = self.records.get(usage.key)
        if existing is not None:
            self._add_to_totals(existing, -1)
        self._add_to_totals(usage, 1)
        self.records.put(usage.key, usage)
        if usage.is_final:
            self._loaded[usage.key.incarnation].discard(usage.key)
        else:
            self._loaded[usage.key.incarnation].add(usage.key)
        self._hours.mark_changed(usage.hour_us)

    def _add_to_totals(self, usage: UsageSlice, sign: int) -> None:
        cause = Cause.CONTRADICTION if usage.contradictions else Cause.COUNTED
        totals = self._totals[usage.hour_us]
        for tenant, mb_us in allocate_slice(usage).items():
            account = Account(tenant, usage.function, cause)
            totals[account] = totals.get(account, 0) + sign * mb_us
        self._memory_time[usage.key.incarnation, usage.hour_us] += sign * usage.memory_time
