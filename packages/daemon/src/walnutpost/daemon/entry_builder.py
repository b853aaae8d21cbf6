"""Journal entries of deferred calls, to be committed together with the change that they record.

Times in entries are stored time (store/stored_time.py), so that one purge time is valid for entries from
before and after a step of the wall clock, here and at the replicas, which do not see the step.
"""

from __future__ import annotations

from walnutpost.daemon.quorum_requirements import QuorumRequirements
from walnutpost.gateway import Execution, Function
from walnutpost.interface import RequestClass
from walnutpost.journal import AttemptIntended, CallAccepted, CallEnded, CallWithdrawn, ResultsPurged
from walnutpost.store import EntryAppend, ExecutionStore, JournalStore


class EntryBuilder:
    """Builds the own journal's entry of each event of a call."""

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

    def append_accepted(self, execution: Execution, function: Function) -> EntryAppend:
        """Return the entry of a call that is being accepted."""
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

    def append_intended(self, execution: Execution, attempt: int, worker: str) -> EntryAppend:
        """Return the entry of an attempt that is about to be sent."""
        return self._store.new_append(AttemptIntended(execution.id, attempt, worker))

    def append_withdrawn(self, execution: Execution) -> EntryAppend:
        """Return the entry of a call that is rejected after it was stored."""
        return self._store.new_append(CallWithdrawn(execution.id))

    def append_ended(self, execution: Execution) -> EntryAppend:
        """Return the entry of a call's final status."""
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

    def append_purged(self, before_us: int) -> EntryAppend:
        """Return the entry of a purge of all calls that ended before a time of the loop's clock."""
        return self._store.new_append(ResultsPurged(self._executions.clock.to_stored(before_us)))
