"""Recovery of journal entries that are missing on the local disk, from their replicas."""

from __future__ import annotations

from walnutpost.daemon.journaled_execution import build_execution
from walnutpost.daemon.other_journals import OtherJournals
from walnutpost.eventloop import Logger, Loop
from walnutpost.journal import (
    CallStage,
    CallState,
    IntervalSet,
    JournalBatch,
    MergedJournal,
    plan_batch_write,
)
from walnutpost.replication import recover_batches
from walnutpost.store import ExecutionStore, JournalStore


class JournalRecovery:
    """Restores lost entries of this front end's journal, and their executions, at the start.

    The disk may be older than the replicas because it was restored from a backup or lost durable entries.
    """

    def __init__(
        self,
        loop: Loop,
        store: JournalStore,
        executions: ExecutionStore,
        others: OtherJournals,
        log: Logger,
    ) -> None:
        self._loop = loop
        self._store = store
        self._executions = executions
        self._others = others
        self._log = log

    def recover(self) -> None:
        """Restore lost entries and calls. Call this before any new entry gets a number. Raises StoreError."""
        own_origin = self._store.own_origin
        last_sequence = self._store.offsets[own_origin]
        batches, unreachable = recover_batches(
            self._loop, self._others.addresses, own_origin, last_sequence, self._others.timeout_us
        )
        if unreachable:
            self._log.warning("journal_recovery_incomplete", unreachable=sorted(unreachable))
        if not batches:
            return
        calls = self._write_batches(batches)
        withdrawn = [call_id for call_id, call in calls.items() if call.stage is CallStage.WITHDRAWN]
        recovered = [build_execution(call) for call_id, call in calls.items() if call_id not in withdrawn]
        self._executions.upsert_recovered(
            [self._executions.with_epoch_times(each) for each in recovered if each is not None], withdrawn
        )
        self._log.error("journal_recovered", after_sequence=last_sequence, calls=len(calls))

    def _write_batches(self, batches: list[JournalBatch]) -> dict[str, CallState]:
        """Write the batches to this front end's journal; return the state of each call in them."""
        merged = MergedJournal()
        for batch in sorted(batches, key=lambda batch: batch.after):
            write = plan_batch_write(self._store.offsets, batch)
            if write is not None:
                self._store.write_batch(write)
            merged.add(IntervalSet(), batch.entries)
        recovered_ids = set(merged.calls)
        covered, entries = self._store.read_journal(self._store.own_origin)
        merged.add(covered, entries)  # the entries of these calls that the disk already had
        return {call_id: merged.calls[call_id] for call_id in recovered_ids}
