"""Periodic writes of the usage ledger to its file."""

from __future__ import annotations

from walnutpost.eventloop import Logger, Loop, Task
from walnutpost.metering import Ledger, UsageSampler
from walnutpost.store import StoreError, UsageStore
from walnutpost.store.usage import LedgerRun


class LedgerWriter:
    """Writes the ledger to its store, together with the amount of sampled usage that a crash would lose.

    If a write fails, the failure is logged and usage stays in memory until the next write. The owner of the
    writer closes the store.
    """

    def __init__(
        self,
        loop: Loop,
        store: UsageStore,
        ledger: Ledger,
        sampler: UsageSampler,
        write_interval_us: int,
        log: Logger,
    ) -> None:
        self._loop = loop
        self.store = store
        self._ledger = ledger
        self._sampler = sampler
        self._write_interval_us = write_interval_us
        self._log = log
        self._started_us = loop.now()
        self._written_us = 0
        self._store_error = ""
        self._task: Task[bool] | None = None

    def write_if_due(self) -> None:
        """Write the ledger if the write interval has passed since the last write."""
        if self._loop.now() - self._written_us >= self._write_interval_us:
            self.write()

    def write(self, is_last: bool = False) -> bool:
        """Write the ledger; return False on failure, after which the next write includes the same usage.

        The write completes even if the caller is cancelled, so that it is known what is on disk.
        """
        while self._task is not None and not self._task.is_done:
            self._task.join()
        self._task = self._loop.spawn(self._write, is_last, name="ledger")
        return self._task.join()

    def _write(self, is_last: bool) -> bool:
        now = self._loop.now()
        batch = self._ledger.build_batch(now)
        if batch is None:
            return True
        run = LedgerRun(self._started_us, now, 0 if is_last else self._sampler.at_risk_mb(now))
        try:
            self.store.write(batch, run)
        except StoreError as error:
            if not self._store_error:
                self._log.error("ledger_write_failed", error=str(error))
            self._store_error = str(error)
            return False
        if self._store_error:
            self._log.info("ledger_write_recovered")
        self._store_error = ""
        self._written_us = now
        self._ledger.mark_written(batch)
        return True
