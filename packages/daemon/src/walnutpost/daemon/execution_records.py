"""Durable records of deferred calls, in the local store and, with a journal, on a quorum of replicas."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.daemon.open_calls import OpenCall
from walnutpost.daemon.replication import CallReplication
from walnutpost.eventloop import Logger, Loop
from walnutpost.gateway import Execution, Function, Rejected, Send
from walnutpost.journal import QuorumFailed
from walnutpost.store import Change, EntryAppend, ExecutionStore, StoreError
from walnutpost.store.database import combine_changes

STORE_RETRY_INTERVAL_US = 200_000  # between attempts to write a result; meanwhile clients get it from memory


class ExecutionRecords:
    """Writes each change of an execution together with its journal entry, and waits for the entry's quorum.

    Without a journal `replication` is None, and a change is durable once it is in the store.
    """

    def __init__(
        self, loop: Loop, store: ExecutionStore, replication: CallReplication | None, log: Logger
    ) -> None:
        self._loop = loop
        self._store = store
        self._replication = replication
        self._log = log

    def load_open(self) -> list[Execution]:
        """Return the stored executions that have no final status; used at the start."""
        return self._store.load_open()

    def find_by_name(self, function: str, name: str) -> Execution | None:
        """Return the stored execution with a name within a function, or None. Raises StoreError."""
        return self._store.find_by_name(function, name)

    def find(self, execution_id: str) -> Execution | None:
        """Return an execution that is not open here, or None if no site knows it.

        Raises SitesUnreachableError if it is unknown here and some sites did not answer.
        """
        execution = self._store.find(execution_id)
        if execution is None and self._replication is not None:
            execution = self._replication.queries.find_call(execution_id)
        return execution

    def visible_execution(self, call: OpenCall) -> Execution:
        """Return the execution as clients may see it.

        With a journal, this hides a result that could still be lost with the site.
        """
        return call.execution if self._replication is None else call.accepted_as

    def admission_error(self, function: Function, size_bytes: int) -> Rejected | None:
        """Return a rejection if the call can't be replicated now as its class requires, else None."""
        if self._replication is None:
            return None
        return self._replication.quorums.admission_error(function, size_bytes)

    def add(self, call: OpenCall, extra_change: Change | None) -> EntryAppend | None:
        """Store a new call; return its journal entry, for `wait_for_quorum`. Raises StoreError."""
        append = None
        if self._replication is not None and call.function is not None:
            append = self._replication.entries.build_accepted(call.execution, call.function)
        self._store.add(call.execution, combine_changes(extra_change, append))
        return append

    def withdraw(self, call: OpenCall) -> None:
        """Remove a call that was rejected after it was stored. Raises StoreError."""
        append = None
        if self._replication is not None:
            append = self._replication.entries.build_withdrawn(call.execution)
        self._store.remove(call.execution.id, append)
        self.wait_for_quorum(call, append)

    def wait_for_quorum(self, call: OpenCall, append: EntryAppend | None) -> None:
        """Wait for the quorum of an entry, and set `call.replication`, on which the client's answer depends.

        A call runs even if the wait ends without a quorum. The client is then told that replication is
        pending, because only a retry under the same name is safe.
        """
        if self._replication is not None and append is not None:
            time_left_us = call.execution.expires_at - self._loop.now()
            call.replication = self._replication.quorums.wait_for_quorum(append, call.function, time_left_us)

    def is_intent_recorded(self, call: OpenCall) -> bool:
        """Return whether an attempt needs no new record; with a journal each attempt needs its own entry."""
        return call.execution.intended and self._replication is None

    def record_intent(self, call: OpenCall, attempt: Send) -> EntryAppend | None:
        """Record that an attempt is about to be sent; return its journal entry. Raises StoreError."""
        append = None
        if self._replication is not None:
            append = self._replication.entries.build_intended(call.execution, attempt.attempt, attempt.worker)
        self._store.record_intent(call.execution.id, append)
        return append

    def record_result(self, call: OpenCall, result_change: Callable[[Execution], Change] | None) -> None:
        """Write the result, retrying until it succeeds, and wait until it is replicated.

        If the site fails after the client got an unreplicated result, another site could run the call again
        with a different result. So this waits for the quorum, but not much longer than until the call's
        deadline. Each write commits the same journal entry and a new `result_change` with the result.
        """
        append = (
            self._replication.entries.build_ended(call.execution) if self._replication is not None else None
        )
        while True:
            change = result_change(call.execution) if result_change is not None else None
            try:
                self._store.update(call.execution, combine_changes(change, append))
                break
            except StoreError as error:
                log_store_error(self._log, "record_result", error, request=call.execution.name)
                self._loop.sleep(STORE_RETRY_INTERVAL_US)
        if not self.has_quorum_until_deadline(call, append):
            self._log.warning("journal_result_under_replicated", request=call.execution.name)

    def has_quorum_until_deadline(self, call: OpenCall, append: EntryAppend | None) -> bool:
        """Wait for an entry's quorum until about the call's deadline; return whether it was reached."""
        if self._replication is None or append is None:
            return True
        time_left_us = call.execution.expires_at - self._loop.now()
        result = self._replication.quorums.wait_for_quorum(
            append, call.function, time_left_us, until_deadline=True
        )
        return not isinstance(result, QuorumFailed)


def log_store_error(log: Logger, operation: str, error: StoreError, **fields: str) -> None:
    """Log an operation of the store that failed."""
    log.error("store_failed", operation=operation, error=str(error), **fields)
