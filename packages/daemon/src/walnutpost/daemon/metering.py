"""Usage metering: periodically collects usage, updates the budgets, and writes the ledger."""

from __future__ import annotations

from walnutpost.daemon.ledger_writer import LedgerWriter
from walnutpost.daemon.usage_collector import UsageCollector
from walnutpost.eventloop import Logger, Loop
from walnutpost.metering import Budgets, Cause, Ledger, UsageGap
from walnutpost.metering.units import hour_start_us
from walnutpost.store.usage import LedgerRun

US_PER_S = 1_000_000


class BudgetMonitor:
    """Compares usage in the ledger with the budgets, and logs changes of budget states."""

    def __init__(self, ledger: Ledger, budgets: Budgets, log: Logger) -> None:
        self._ledger = ledger
        self._budgets = budgets
        self._log = log

    def update(self, now_us: int) -> None:
        """Update the budget states with the usage in the current budget periods."""
        if not self._budgets:
            return
        used = {
            period_us: self._ledger.usage_by_tenant(now_us // period_us * period_us, now_us)
            for period_us in self._budgets.periods_us
        }
        for change in self._budgets.update(now_us, used):
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


class UsageMetering:
    """The usage metering of one front end. No call waits for it."""

    def __init__(
        self,
        loop: Loop,
        ledger: Ledger,
        collector: UsageCollector,
        budget_monitor: BudgetMonitor,
        writer: LedgerWriter,
        fetch_interval_us: int,
    ) -> None:
        self._loop = loop
        self.ledger = ledger
        self._collector = collector
        self._budget_monitor = budget_monitor
        self.writer = writer
        self._fetch_interval_us = fetch_interval_us

    def run(self) -> None:
        """Collect usage periodically, until cancelled."""
        while True:
            self._loop.sleep(self._fetch_interval_us)
            self.collect()

    def collect(self) -> None:
        """Collect usage once, update the budgets, and write the ledger if that is due."""
        self._collector.collect()
        self._budget_monitor.update(self._loop.now())
        self.writer.write_if_due()

    def stop(self) -> None:
        """Collect usage and write the ledger one last time; the caller sets a timeout."""
        self._collector.collect()
        self.writer.write(is_last=True)

    def close(self) -> None:
        """Close the ledger's file. Call this after the event loop has ended."""
        self.writer.store.close()


def record_crash_gap(ledger: Ledger, last_run: LedgerRun, lost_us: int, log: Logger) -> None:
    """Record a usage gap if the last run crashed before it wrote the samples of workers without reports.

    `lost_us` is the longest time for which usage may have continued after the last write.
    """
    if not last_run.at_risk_mb:
        return
    upper_bound = last_run.at_risk_mb * lost_us
    source = f"front end {last_run.started_us}"  # stored text
    ledger.add_gap(UsageGap(hour_start_us(last_run.written_us), source, Cause.FRONT_END_DOWN, upper_bound))
    log.warning(
        "usage_gap_recorded",
        cause=Cause.FRONT_END_DOWN,
        since_us=last_run.written_us,
        upper_bound_mb_s=upper_bound // US_PER_S,
    )
