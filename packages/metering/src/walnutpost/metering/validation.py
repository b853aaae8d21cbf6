"""Validation of workers' reports. Error texts are logged, and printed by `walnutpost usage verify`."""

from __future__ import annotations

from walnutpost.metering.errors import InvalidReportError, InvalidSliceError
from walnutpost.metering.records import UNATTRIBUTED, UsageReport, UsageSlice
from walnutpost.metering.units import HOUR_US, SECOND_US

MAX_CLOCK_LEAD_US = 10 * SECOND_US  # how far a worker's clock may be ahead
MAX_COUNTER = 1 << 62  # exclusive; far above any counter of an hour, and the ledger's columns hold no more
MAX_MEMORY_MB = 1 << 40  # exclusive


def check_report(report: UsageReport, worker: str, now_us: int) -> None:
    """Raise InvalidReportError if a report, apart from its slices, cannot come from the worker."""
    if report.worker != worker:
        raise InvalidReportError(f"a report of {report.worker!r}", f"one of {worker!r}")
    if not 0 < report.started_us <= report.reported_us <= now_us + MAX_CLOCK_LEAD_US:
        raise InvalidReportError(
            f"start {report.started_us} and time {report.reported_us}", f"start <= time <= {now_us}, now"
        )
    is_change_valid = 0 <= report.last_evicted_change <= report.change < MAX_COUNTER
    if not is_change_valid or not 0 <= report.evicted_mb_us < MAX_COUNTER:
        raise InvalidReportError(
            f"change {report.change} and forgotten {report.last_evicted_change}", "0 <= forgotten <= change"
        )
    if not 0 < report.memory_mb < MAX_MEMORY_MB:
        raise InvalidReportError(f"memory of {report.memory_mb} MB", "more than 0 MB")


def check_slice(usage: UsageSlice, report: UsageReport) -> None:
    """Raise InvalidSliceError if a slice of a valid report contains impossible values."""
    if usage.key.incarnation != report.incarnation or usage.copy < 1:
        raise InvalidSliceError(
            f"copy {usage.copy} of {usage.worker!r} started at {usage.started_us}",
            "a copy of the reporting worker process",
        )
    _check_times(usage, report)
    if not 0 < usage.memory_mb <= report.memory_mb:
        raise InvalidSliceError(f"{usage.memory_mb} MB", f"a memory size in MB from 1 to {report.memory_mb}")
    if UNATTRIBUTED in {*usage.running_us, *usage.idle_us, usage.first_tenant}:
        raise InvalidSliceError(f"a tenant {UNATTRIBUTED!r}", "a tenant name, an empty string or none")
    _check_counters(usage)


def _check_times(usage: UsageSlice, report: UsageReport) -> None:
    end_us = usage.hour_us + HOUR_US
    is_full_hour = usage.hour_us % HOUR_US == 0
    ends_after_start = end_us > usage.started_us
    is_count_time_valid = usage.hour_us <= usage.counted_until_us <= min(end_us, report.reported_us)
    if not (is_full_hour and ends_after_start and is_count_time_valid):
        raise InvalidSliceError(
            f"hour {usage.hour_us} counted to {usage.counted_until_us}",
            "a full hour that ends after the worker's start, counted no later than the report",
        )


def _check_counters(usage: UsageSlice) -> None:
    counters = [usage.loading_us, usage.unused_us, *usage.running_us.values(), *usage.idle_us.values()]
    if min(counters) < 0:
        raise InvalidSliceError(f"a count of {min(counters)} us", "no counter below 0")
    elapsed_us = usage.counted_until_us - max(usage.hour_us, usage.started_us)
    if usage.total_us > elapsed_us:
        raise InvalidSliceError(
            f"{usage.total_us} us counted within an elapsed time of {elapsed_us}", "at most the elapsed time"
        )
