"""Records outcomes of due times, retrying until they are stored. Times are microseconds since the epoch."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from enum import Enum

from walnutpost.cron import Skip
from walnutpost.eventloop import Logger, Loop
from walnutpost.store import Change, FiringRow, FiringStore, StoreError

STORE_RETRY_INTERVAL_US = 500_000
MAX_SKIPS_PER_COMMIT = 500


class RejectionReason(Enum):
    """Why a firing has no execution. The values are stored, and shown to users."""

    RESTARTED = "the front end restarted while it was being refused"
    TIMED_OUT = "refused until its time was over"
    NAME_TAKEN = "its name stands for another payload: the schedule was changed while it was out"


class FiringRecorder:
    """Commits the outcomes of due times, and retries until they are durable."""

    def __init__(self, loop: Loop, store: FiringStore, epoch_us: Callable[[], int], log: Logger) -> None:
        """`epoch_us` returns the wall clock time, which may jump forward or back."""
        self._loop = loop
        self._store = store
        self._epoch_us = epoch_us
        self._log = log

    def register(self, schedule_names: Sequence[str], rejected: Iterable[FiringRow] = ()) -> None:
        """Record the schedules, so that due times while no front end is running count as missed.

        `rejected` holds the firings that were waiting for acceptance when the previous process ended.
        """
        now_us = self._epoch_us()
        changes = [
            self._store.record_rejected(row.schedule, row.due, now_us, RejectionReason.RESTARTED.value)
            for row in rejected
        ]
        self._commit(self._store.register_schedules(schedule_names, now_us), *changes)

    def record_skipped(self, skips: Sequence[Skip]) -> None:
        """Record skipped due times, all in one commit."""
        now_us = self._epoch_us()
        self._commit(*(self._build_skipped_change(skip, now_us) for skip in skips))

    def record_rejected(self, schedule_name: str, due_us: int, reason: RejectionReason) -> None:
        """Record a firing that was rejected and has no execution."""
        now_us = self._epoch_us()
        self._commit(self._store.record_rejected(schedule_name, due_us, now_us, reason.value))

    def build_fired_change(self, schedule_name: str, due_us: int, execution_name: str) -> Change:
        """Return the change that is committed in the same transaction as the execution of a firing."""
        return self._store.record_fired(schedule_name, due_us, self._epoch_us(), execution_name)

    def log_store_error(self, error: str) -> None:
        """Log that a write failed."""
        self._log.error("store_failed", operation="schedule", error=error)

    def _build_skipped_change(self, skip: Skip, now_us: int) -> Change:
        return self._store.record_skipped(
            skip.schedule.name, skip.due_us, skip.last_due_us, skip.count, now_us, skip.reason.value
        )

    def _commit(self, *changes: Change) -> None:
        while True:
            try:
                self._store.commit(*changes)
            except StoreError as error:
                self.log_store_error(str(error))
                self._loop.sleep(STORE_RETRY_INTERVAL_US)
                continue
            return
