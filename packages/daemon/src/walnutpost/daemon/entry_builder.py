"""Journal entries for deferred calls, which are committed together with the change that they record.

Entries contain stored time (store/stored_time.py). A single purge time is then valid for entries from before
and after a step of the wall clock, both here and at the replicas, which don't notice the step.
"""

from __future__ import annotations

from walnutpost.daemon.quorum_requirements import QuorumRequirements
from walnutpost.gateway import Execution, Function
from walnutpost.interface import RequestClass
from walnutpost.journal import AttemptIntended, CallAccepted, CallEnded, CallWithdrawn, ResultsPurged
from walnutpost.store import EntryAppend, ExecutionStore, JournalStore


class EntryBuilder:
    """Builds an entry of this front end's journal for each event of a call."""

    def __init__(
        self,
        store: JournalStore,
        executions: ExecutionStore,
        classes: tuple[RequestClass, ...],
        requirements: QuorumRequirements,
    ) -> None:
        self._store = store
        self._executions = executions
        self._classes = classes
        self._requirements = requirements

    def build_accepted(self, execution: Execution, function: Function) -> EntryAppend:
        """Build the entry for a call that is being accepted."""
        required = self._requirements.of_function(function)
        execution = self._executions.with_stored_times(execution)
        return self._store.new_append(
            CallAccepted(
                execution.id,
                execution.name,
                execution.function,
                execution.version,
                execution.tenant,
                execution.payload,
                execution.digest,
                execution.accepted_at,
                execution.expires_at,
                self._classes[function.class_index].effect.value,
                0 if required.accepts_fewer else required.replicas,
            )
        )

    def build_intended(self, execution: Execution, attempt: int, worker: str) -> EntryAppend:
        """Build the entry for an attempt that is about to be sent."""
        return self._store.new_append(AttemptIntended(execution.id, attempt, worker))

    def build_withdrawn(self, execution: Execution) -> EntryAppend:
        """Build the entry for a call that is rejected after it was stored."""
        return self._store.new_append(CallWithdrawn(execution.id))

    def build_ended(self, execution: Execution) -> EntryAppend:
        """Build the entry for the final status of a call."""
        execution = self._executions.with_stored_times(execution)
        record = CallEnded(
            execution.id,
            execution.status.value,
            execution.ended_at,
            execution.result,
            execution.error_type,
            execution.error_message,
        )
        return self._store.new_append(record)

    def build_purged(self, before_us: int) -> EntryAppend:
        """Build the entry for a purge of all calls that ended before `before_us` (event loop time)."""
        return self._store.new_append(ResultsPurged(self._executions.clock.to_stored(before_us)))
