"""The usage facts of a ledger. Facts are merged, so the order in which they arrive has no effect."""

from __future__ import annotations

from collections.abc import Iterable

from walnutpost.metering.closing import ClosedHours
from walnutpost.metering.ledger_records import (
    GapKey,
    SampleKey,
    UsageGap,
    UsageSample,
    WorkerIncarnation,
    merge_incarnations,
)
from walnutpost.metering.persistence import LedgerBatch, LedgerState
from walnutpost.metering.records import IncarnationKey, ReportCursor
from walnutpost.metering.slice_index import SliceIndex
from walnutpost.metering.tracked_records import TrackedRecords

NO_CURSOR = ReportCursor(0, 0)


class LedgerFacts:
    """Slices, worker incarnations, gaps and samples of the hours from `drop_before_us` on."""

    def __init__(self, hours: ClosedHours, max_silence_us: int, drop_before_us: int) -> None:
        """Start without facts. Changed hours are reported to `hours`."""
        self._hours = hours
        self._max_silence_us = max_silence_us
        self.drop_before_us = drop_before_us
        self.slices = SliceIndex(hours)
        self.incarnations: TrackedRecords[IncarnationKey, WorkerIncarnation] = TrackedRecords()
        self.gaps: TrackedRecords[GapKey, UsageGap] = TrackedRecords()
        self.samples: TrackedRecords[SampleKey, UsageSample] = TrackedRecords()

    def cursor(self, worker: str) -> ReportCursor:
        """Return how far the reports of the worker's latest incarnation were read."""
        incarnations = [each for each in self.incarnations.values() if each.worker == worker]
        latest = max(incarnations, key=lambda each: each.started_us, default=None)
        return ReportCursor(latest.started_us, latest.change) if latest is not None else NO_CURSOR

    # Adding

    def merge(self, state: LedgerState) -> None:
        """Add the facts of another ledger."""
        for incarnation in state.incarnations:
            self.merge_incarnation(incarnation)
        for usage in state.slices:
            self.slices.merge(usage)
        for gap in state.gaps:
            self.add_gap(gap)
        self.add_samples(state.samples)

    def merge_incarnation(self, incarnation: WorkerIncarnation) -> None:
        """Add a worker incarnation, merged with the existing record of it."""
        existing = self.incarnations.get(incarnation.key)
        merged = incarnation if existing is None else merge_incarnations(existing, incarnation)
        if merged == existing:
            return
        self.incarnations.put(merged.key, merged)
        # The silent time may be shorter now: of this incarnation, or of the previous one, which has ended.
        silent_since_us = existing.last_heard_us if existing is not None else merged.started_us
        self._hours.mark_changed_since(silent_since_us - self._max_silence_us)

    def add_gap(self, gap: UsageGap) -> None:
        """Add a gap, or raise the bound of an existing one."""
        existing = self.gaps.get(gap.key)
        if existing is None or existing.upper_bound_mb_us < gap.upper_bound_mb_us:
            self.gaps.put(gap.key, gap)
            self._hours.mark_changed(gap.hour_us)

    def add_samples(self, samples: Iterable[UsageSample]) -> None:
        """Add samples. Each replaces an earlier sample with the same key."""
        for sample in samples:
            if sample.hour_us >= self.drop_before_us and self.samples.get(sample.key) != sample:
                self.samples.put(sample.key, sample)
                self._hours.mark_changed(sample.hour_us)

    # Persisting

    @property
    def has_unwritten(self) -> bool:
        """Whether any fact is not persisted yet."""
        tracked = (self.slices.records, self.incarnations, self.gaps, self.samples)
        return any(records.has_unwritten for records in tracked)

    def mark_written(self, batch: LedgerBatch) -> None:
        """Mark the facts of a batch as persisted. Facts added since it was built stay unwritten."""
        self.slices.records.mark_written(batch.slices)
        self.incarnations.mark_written(batch.incarnations)
        self.gaps.mark_written(batch.gaps)
        self.samples.mark_written(batch.samples)

    def mark_all_written(self) -> None:
        """Mark all facts as persisted."""
        self.slices.records.mark_all_written()
        self.incarnations.mark_all_written()
        self.gaps.mark_all_written()
        self.samples.mark_all_written()

    def drop_before(self, hour_us: int) -> None:
        """Remove the facts of earlier hours, and the incarnations that ended before `hour_us`."""
        self.drop_before_us = hour_us
        self.slices.drop_before(hour_us)
        self.incarnations.remove(self._ended_before(hour_us))
        self.gaps.remove([gap.key for gap in self.gaps.values() if gap.hour_us < hour_us])
        self.samples.remove([sample.key for sample in self.samples.values() if sample.hour_us < hour_us])

    def _ended_before(self, time_us: int) -> list[IncarnationKey]:
        """Return incarnations without loaded copies that were last heard before a time.

        The latest incarnation of each worker is not among them.
        """
        return [
            each.key
            for each in self.incarnations.values()
            if each.last_heard_us < time_us
            and not self.slices.has_loaded(each.key)
            and self.cursor(each.worker).started_us != each.started_us
        ]
