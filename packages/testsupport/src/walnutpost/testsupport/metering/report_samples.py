"""Sample usage reports of workers for golden files."""

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

START = 500_000 * HOUR_US  # microseconds since the epoch

# The one place that says which object a golden record is.
SLICE = UsageSlice(
    worker="worker-1",
    started_us=START + 2,
    copy=3,
    hour_us=START,
    function="function-5",
    memory_mb=600,
    counted_until_us=START + 7,
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
    started_us=START + 2,
    reported_us=START + 3,
    change=4,
    memory_mb=5000,
    slices=[SLICE, with_defaults(SLICE)],
    is_draining=True,
    last_evicted_change=8,
    evicted_mb_us=9,
)


def recorded_report(after_change: int = 0) -> UsageReport:
    """Two copies over an hour's end, as a worker's own recorder counts them."""
    recorder = UsageRecorder("worker-1", START + 5, 8192)
    recorder.start_copy(START + 10, 1, "price", 400)
    recorder.mark_ready(START + 1000, 1)
    recorder.start_call(START + 2000, 1, "tills")
    recorder.start_call(START + 2500, 1, "trade")
    recorder.start_copy(START + 3000, 2, "reserve", 300)
    recorder.end_call(START + 5000, 1, "tills")
    recorder.end_call(START + 9000, 1, "trade")
    recorder.remove_copy(START + HOUR_US + 700, 1)
    return recorder.build_report(START + HOUR_US + 900, after_change, is_draining=True)


REPORTS = {
    "report": REPORT,
    "report-defaults": with_defaults(REPORT),
    "report-of-a-book": recorded_report(),
    "report-of-a-book-after-a-change": recorded_report(after_change=2),
}
