"""Intake of workers' reports into the facts. An invalid slice becomes a gap with an upper bound."""

from __future__ import annotations

from walnutpost.metering.amounts import Cause
from walnutpost.metering.errors import InvalidReportError, InvalidSliceError
from walnutpost.metering.facts import LedgerFacts
from walnutpost.metering.ledger_records import UsageGap, WorkerIncarnation, incarnation_of
from walnutpost.metering.records import UsageReport, UsageSlice
from walnutpost.metering.units import HOUR_US, hour_start_us
from walnutpost.metering.validation import check_report, check_slice


def add_report(facts: LedgerFacts, report: UsageReport, worker: str, now_us: int) -> list[str]:
    """Add a report that was read from a worker; return its inconsistencies as log texts."""
    try:
        check_report(report, worker, now_us)
    except InvalidReportError as error:
        return [str(error)]
    existing = facts.incarnations.get(report.incarnation)
    inconsistencies = _check_progress(facts, report, existing)
    for usage in report.slices:
        inconsistencies += _add_slice(facts, usage, report)
    facts.merge_incarnation(incarnation_of(report))
    return inconsistencies


def _check_progress(facts: LedgerFacts, report: UsageReport, existing: WorkerIncarnation | None) -> list[str]:
    """Compare a report with the existing record of its incarnation; return inconsistencies as log texts."""
    known_change = existing.change if existing is not None else 0
    last_heard_us = existing.last_heard_us if existing is not None else 0
    evicted_mb_us = existing.evicted_mb_us if existing is not None else 0
    inconsistencies = []
    if report.reported_us < last_heard_us and report.change > known_change:
        inconsistencies.append(f"report time went back from {last_heard_us} to {report.reported_us}")
    if report.last_evicted_change > known_change:
        inconsistencies.append(
            f"evicted changes {known_change + 1} to {report.last_evicted_change} before they were read"
        )
        upper_bound_mb_us = max(0, report.evicted_mb_us - evicted_mb_us)
        source = f"{_source_of(report)} {report.last_evicted_change}"
        hour_us = hour_start_us(report.reported_us)
        facts.add_gap(UsageGap(hour_us, source, Cause.EVICTED, upper_bound_mb_us))
    return inconsistencies


def _add_slice(facts: LedgerFacts, usage: UsageSlice, report: UsageReport) -> list[str]:
    try:
        check_slice(usage, report)
    except InvalidSliceError as error:
        facts.add_gap(_gap_of_invalid_slice(usage, report))
        return [f"copy {usage.copy}: {error}"]
    if usage.hour_us < facts.drop_before_us:
        source = f"{_source_of(report)}/{usage.copy}"
        facts.add_gap(UsageGap(usage.hour_us, source, Cause.TOO_LATE, usage.memory_time))
        return [f"copy {usage.copy}: report of an hour whose records are dropped"]
    contradictions = facts.slices.merge(usage)
    if contradictions:
        return [f"copy {usage.copy}: {', '.join(sorted(contradictions))}"]
    return []


def _gap_of_invalid_slice(usage: UsageSlice, report: UsageReport) -> UsageGap:
    """Return the gap of an invalid slice, bounded by the worker's whole memory over that hour."""
    is_hour_valid = usage.hour_us % HOUR_US == 0 and 0 <= usage.hour_us <= report.reported_us
    hour_us = usage.hour_us if is_hour_valid else hour_start_us(report.reported_us)
    end_us = min(hour_us + HOUR_US, report.reported_us)
    time_us = max(0, end_us - max(hour_us, report.started_us))
    return UsageGap(hour_us, _source_of(report), Cause.REJECTED, report.memory_mb * time_us)


def _source_of(report: UsageReport) -> str:
    """Return the stored name of the reporting incarnation."""
    return f"{report.worker}/{report.started_us}"
