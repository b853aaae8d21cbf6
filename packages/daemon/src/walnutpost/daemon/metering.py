"""Usage metering: reads the workers' usage reports, writes the ledger, and enforces budgets."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from math import ceil
from pathlib import Path

from walnutpost.config import Config
from walnutpost.config.conversion import build_budgets, build_metering_policy, ms_to_us
from walnutpost.config.metering import MeteringConfig
from walnutpost.eventloop import Logger, Loop, Task, TaskGroup
from walnutpost.gateway import AttemptEnded, Function, LoadOrder, LoadOrderEnded, Rejected, Send
from walnutpost.interface import Outcome
from walnutpost.metering import Budgets, BudgetState, Cause, FunctionSize, Ledger, UsageGap, UsageSampler
from walnutpost.metering.units import hour_start_us
from walnutpost.store import StoreError, UsageStore
from walnutpost.store.usage import LedgerRun
from walnutpost.workerclient import WorkerClient

MAX_CONCURRENT_READS = 16  # workers whose reports are read at the same time
MAX_LOGGED_INCONSISTENCIES = 5  # of one report
US_PER_S = 1_000_000
NO_TENANT = ""


class FunctionSizes(Mapping[str, FunctionSize]):
    """Sizes of functions as configured at each lookup. Memory in whole MB, rounded up, as it is metered."""

    def __init__(self, functions: Mapping[str, Function]) -> None:
        """Look sizes up in `functions`, which may change."""
        self._functions = functions

    def __getitem__(self, name: str) -> FunctionSize:
        """Return a function's size."""
        function = self._functions[name]
        return FunctionSize(ceil(function.memory_mb), int(function.concurrency), function.load_time_us)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the functions' names."""
        return iter(self._functions)

    def __len__(self) -> int:
        """Return the number of functions."""
        return len(self._functions)


class UsageMetering:
    """The metering of one front end; it observes the core's calls and load orders (dispatch.Watch).

    If the ledger can't be written, usage is counted in memory and the failure is logged; calls go on.
    """

    def __init__(
        self,
        loop: Loop,
        config: Config,
        section: MeteringConfig,
        functions: Mapping[str, Function],
        worker_client: WorkerClient,
        log: Logger,
        base: Path,
    ) -> None:
        """Open the ledger. Raises StoreError."""
        self._loop = loop
        self._worker_client = worker_client
        self._log = log
        self._section = section
        self._default_tenant = config.site.default_tenant
        self._keep_alive_us = ms_to_us(config.site.keep_alive_ms)
        self._max_deadline_us = max(ms_to_us(each.deadline_ms) for each in config.site.classes.values())
        now = loop.now()
        self._store = UsageStore(loop, base / section.file)
        saved, last_run = self._store.load()
        self.ledger = Ledger(build_metering_policy(section), saved, now)
        self.sampler = UsageSampler(now, FunctionSizes(functions), self._keep_alive_us)
        self.budgets = Budgets(build_budgets(section))
        self._budgets_act = self.budgets.can_restrict  # if so, workers with reports are sampled, too
        self._started_us = now
        self._attempts: dict[tuple[int, int], tuple[str, str, str]] = {}
        self._logged_inconsistencies: dict[str, list[str]] = {}
        self._workers_without_reports: set[str] = set()
        self._store_error = ""
        self._written_us = 0
        self._writer: Task[bool] | None = None
        if last_run.at_risk_mb:
            self._record_crash_gap(last_run)

    def _record_crash_gap(self, last_run: LedgerRun) -> None:
        """Record a gap: the last run crashed before its samples of workers without reports were written."""
        lost_us = ms_to_us(self._section.write_interval_ms) + self._max_deadline_us + self._keep_alive_us
        upper_bound = last_run.at_risk_mb * lost_us
        source = f"front end {last_run.started_us}"  # stored text
        self.ledger.add_gap(
            UsageGap(hour_start_us(last_run.written_us), source, Cause.FRONT_END_DOWN, upper_bound)
        )
        self._log.warning(
            "usage_gap_recorded",
            cause=Cause.FRONT_END_DOWN,
            since_us=last_run.written_us,
            upper_bound_mb_s=upper_bound // US_PER_S,
        )

    # Called by the core (dispatch.Watch)

    def rejection_for(self, function: str, tenant: str | None) -> Rejected | None:
        """Return the rejection of a call whose tenant's budget is used up, unless it needs no load."""
        if not self._budgets_act:
            return None
        name = tenant if tenant is not None else self._default_tenant
        if name is None or self.budgets.state(name) is not BudgetState.PAST:
            return None
        now = self._loop.now()
        if self.budgets.admits_call(name, self.sampler.has_copies(now, function)):
            return None
        reason = "the tenant's budget of memory is used up, and the call would need a load"
        return Rejected(reason, self.budgets.time_to_period_end_us(name, now))

    def on_sent(self, now_us: int, send: Send) -> None:
        """Sample an attempt that is being sent."""
        if not self._budgets_act and not self.sampler.is_estimated(send.worker):
            return
        tenant = send.tenant if send.tenant is not None else NO_TENANT
        self._attempts[send.call, send.attempt] = (send.worker, send.function, tenant)
        self.sampler.start_call(now_us, send.worker, send.function, tenant)

    def on_attempt_ended(self, now_us: int, ended: AttemptEnded) -> None:
        """Sample the end of an attempt."""
        attempt = self._attempts.pop((ended.call, ended.attempt), None)
        if attempt is not None:
            self.sampler.end_call(now_us, *attempt)

    def on_load_order_ended(self, now_us: int, ended: LoadOrderEnded) -> None:
        """Sample the end of a load order."""
        if ended.outcome in (Outcome.OK, Outcome.FULL):
            self.sampler.set_copies(now_us, ended.worker, ended.function, ended.copies)

    def may_order_load(self, now_us: int, order: LoadOrder) -> bool:
        """Whether the budgets of the function's tenants allow a load order."""
        if not self._budgets_act or order.copies <= 0:
            return True
        loaded = self.sampler.has_copies(now_us, order.function)
        return self.budgets.admits_load_order(self.sampler.calling_tenants(order.function), loaded)

    # Collection

    def run(self) -> None:
        """Collect periodically; until cancelled."""
        while True:
            self._loop.sleep(ms_to_us(self._section.fetch_interval_ms))
            self.collect()

    def collect(self) -> None:
        """Read all reports once, update the budgets, and write the ledger if that is due."""
        self._read_all_reports()
        now = self._loop.now()
        self.ledger.add_samples(self.sampler.collect(now))
        self._update_budgets(now)
        if now - self._written_us >= ms_to_us(self._section.write_interval_ms):
            self.write()

    def _read_all_reports(self) -> None:
        workers = list(self._worker_client.workers)
        with TaskGroup(self._loop) as group:
            for _ in range(min(MAX_CONCURRENT_READS, len(workers))):
                group.spawn(self._read_reports, workers, name="usage")

    def _read_reports(self, workers: list[str]) -> None:
        """Read reports of workers taken from a list that several tasks share."""
        while workers:
            self._read_report(workers.pop())

    def _read_report(self, worker: str) -> None:
        cursor = self.ledger.cursor(worker)
        try:
            report = self._worker_client.fetch_usage(worker, cursor.started_us, cursor.change)
        except OSError:
            return  # the ledger accounts for an unreachable worker
        except ValueError as error:
            self._log_inconsistencies(worker, [str(error)])
            return
        if report is None:
            self._log_missing_reports(worker)
            return
        inconsistencies = self.ledger.add_report(report, worker, self._loop.now())
        if self.ledger.has_reports(worker):
            self.sampler.mark_reporting(worker)
        self._log_inconsistencies(worker, inconsistencies)

    def _log_missing_reports(self, worker: str) -> None:
        """Log once that a worker's usage is estimated, as it has no reports."""
        if worker not in self._workers_without_reports:
            self._workers_without_reports.add(worker)
            self._log.warning("usage_reports_missing", worker=worker)

    def _log_inconsistencies(self, worker: str, inconsistencies: list[str]) -> None:
        """Log once, not at every collection; the figures in the texts may change."""
        kinds = [re.sub(r"\d+", "", text) for text in inconsistencies]
        if inconsistencies and kinds != self._logged_inconsistencies.get(worker):
            self._log.warning(
                "usage_report_inconsistent",
                worker=worker,
                inconsistencies=inconsistencies[:MAX_LOGGED_INCONSISTENCIES],
                omitted=max(0, len(inconsistencies) - MAX_LOGGED_INCONSISTENCIES),
            )
        self._logged_inconsistencies[worker] = kinds

    def _update_budgets(self, now: int) -> None:
        if not self.budgets:
            return
        used = {
            period_us: self.ledger.usage_by_tenant(now // period_us * period_us, now)
            for period_us in self.budgets.periods_us
        }
        for change in self.budgets.update(now, used):
            log = self._log.warning if change.current > change.previous else self._log.info
            log(
                "budget_state_changed",
                tenant=change.budget.tenant,
                state=change.current.name,
                previous_state=change.previous.name,
                used_mb_s=change.used_mb_us // US_PER_S,
                limit_mb_s=change.budget.limit_mb_us // US_PER_S,
                action=change.budget.action.value,
            )

    # Writing

    def write(self, is_last: bool = False) -> bool:
        """Write the ledger; return False if that failed: the next write includes it.

        The write is completed even if the caller is cancelled, so that it is known what is on disk.
        """
        while self._writer is not None and not self._writer.is_done:
            self._writer.join()
        self._writer = self._loop.spawn(self._write, is_last, name="ledger")
        return self._writer.join()

    def _write(self, is_last: bool) -> bool:
        now = self._loop.now()
        batch = self.ledger.build_batch(now)
        if batch is None:
            return True
        run = LedgerRun(self._started_us, now, 0 if is_last else self.sampler.at_risk_mb(now))
        try:
            self._store.write(batch, run)
        except StoreError as error:
            if not self._store_error:
                self._log.error("ledger_write_failed", error=str(error))
            self._store_error = str(error)
            return False
        if self._store_error:
            self._log.info("ledger_write_recovered")
        self._store_error = ""
        self._written_us = now
        self.ledger.mark_written(batch)
        return True

    def stop(self) -> None:
        """Collect and write a last time; the caller sets the timeout."""
        self._read_all_reports()
        self.ledger.add_samples(self.sampler.collect(self._loop.now()))
        self.write(is_last=True)

    def close(self) -> None:
        """Close the ledger, after the loop has ended."""
        self._store.close()
