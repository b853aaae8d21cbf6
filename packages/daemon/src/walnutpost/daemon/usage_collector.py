"""Collection of usage: reports from workers, and samples for the workers that send no reports."""

from __future__ import annotations

import re

from walnutpost.eventloop import Logger, Loop, TaskGroup
from walnutpost.metering import Ledger, UsageSampler
from walnutpost.workerclient import WorkerClient

MAX_CONCURRENT_READS = 16  # workers whose reports are fetched at the same time
MAX_LOGGED_INCONSISTENCIES = 5  # per report


class UsageCollector:
    """Adds the workers' usage reports and the samples to the ledger."""

    def __init__(
        self, loop: Loop, worker_client: WorkerClient, ledger: Ledger, sampler: UsageSampler, log: Logger
    ) -> None:
        self._loop = loop
        self._worker_client = worker_client
        self._ledger = ledger
        self._sampler = sampler
        self._log = log
        self._logged_inconsistencies: dict[str, list[str]] = {}
        self._workers_without_reports: set[str] = set()

    def collect(self) -> None:
        """Fetch the reports of all workers once, then add the samples."""
        workers = list(self._worker_client.workers)
        with TaskGroup(self._loop) as group:
            for _ in range(min(MAX_CONCURRENT_READS, len(workers))):
                group.spawn(self._read_reports, workers, name="usage")
        self._ledger.add_samples(self._sampler.collect(self._loop.now()))

    def _read_reports(self, workers: list[str]) -> None:
        """Fetch reports until the list of workers, which several tasks share, is empty."""
        while workers:
            self._read_report(workers.pop())

    def _read_report(self, worker: str) -> None:
        cursor = self._ledger.cursor(worker)
        try:
            report = self._worker_client.fetch_usage(worker, cursor.started_us, cursor.change)
        except OSError:
            return  # the ledger accounts for the usage of unreachable workers
        except ValueError as error:
            self._log_inconsistencies(worker, [str(error)])
            return
        if report is None:
            self._log_missing_reports(worker)
            return
        inconsistencies = self._ledger.add_report(report, worker, self._loop.now())
        if self._ledger.has_reports(worker):
            self._sampler.mark_reporting(worker)
        self._log_inconsistencies(worker, inconsistencies)

    def _log_missing_reports(self, worker: str) -> None:
        """Log once per worker that its usage is estimated because it sends no reports."""
        if worker not in self._workers_without_reports:
            self._workers_without_reports.add(worker)
            self._log.warning("usage_reports_missing", worker=worker)

    def _log_inconsistencies(self, worker: str, inconsistencies: list[str]) -> None:
        """Log inconsistencies that differ from the last report's in more than the numbers in their texts."""
        kinds = [re.sub(r"\d+", "", text) for text in inconsistencies]
        if inconsistencies and kinds != self._logged_inconsistencies.get(worker):
            self._log.warning(
                "usage_report_inconsistent",
                worker=worker,
                inconsistencies=inconsistencies[:MAX_LOGGED_INCONSISTENCIES],
                omitted=max(0, len(inconsistencies) - MAX_LOGGED_INCONSISTENCIES),
            )
        self._logged_inconsistencies[worker] = kinds
