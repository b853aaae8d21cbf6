"""Sample usage reports of workers, for golden files."""

from __future__ import annotations

from walnutpost.metering import (
    HOUR_US,
    UsageRecorder,
    UsageReport,
    UsageSlice,
)
from walnutpost.testsupport.golden.files import (
    with_defaults,
)

START_US = 500_000 * HOUR_US  # microseconds since the epoch

# The golden files hold these objects.
SLICE = UsageSlice(
    worker="worker-1",
    started_us=START_US + 2,
    copy=3,
    hour_us=START_US,
    function="function-5",
    memory_mb=600,
    counted_until_us=START_US + 7,
    is_final=True,
    loading_us=8,
    unused_us=9,
    running_us={"tenant-10": 10, "": 11},
    idle_us={"tenant-12": 12},
    first_tenant="tenant-13",
    contradictions=frozenset({"a counter went down"}),
)
REPORT = UsageReport(
    worker="worker-1",
    started_us=START_US + 2,
    reported_us=START_US + 3,
    change=4,
    memory_mb=5000,
    slices=[SLICE, with_defaults(SLICE)],
    is_draining=True,
    last_evicted_change=8,
    evicted_mb_us=9,
)


def recorded_report(after_change: int = 0) -> UsageReport:
    """Return a worker's recorded report of two copies, one of which is removed in the next hour."""
    recorder = UsageRecorder("worker-1", START_US + 5, 8192)
    recorder.start_copy(START_US + 10, 1, "price", 400)
    recorder.mark_ready(START_US + 1000, 1)
    recorder.start_call(START_US + 2000, 1, "tills")
    recorder.start_call(START_US + 2500, 1, "trade")
    recorder.start_copy(START_US + 3000, 2, "reserve", 300)
    recorder.end_call(START_US + 5000, 1, "tills")
    recorder.end_call(START_US + 9000, 1, "trade")
    recorder.remove_copy(START_US + HOUR_US + 700, 1)
    return recorder.build_report(START_US + HOUR_US + 900, after_change, is_draining=True)


REPORTS = {
    "report": REPORT,
    "report-defaults": with_defaults(REPORT),
    "report-of-a-book": recorded_report(),
    "report-of-a-book-after-a-change": recorded_report(after_change=2),
}
