"""Deferred calls: accepted once they are durable, run to one final status, across restarts."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b

from walnutpost.daemon.open_calls import OpenCall, OpenCalls
from walnutpost.daemon.replication import JournalReplication
from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import Logger, Loop
from walnutpost.gateway import (
    Admission,
    CallArrived,
    CallStopped,
    Catalogue,
    Execution,
    Failed,
    Failure,
    Final,
    Function,
    NotStored,
    Rejected,
    ReplicationPending,
    Send,
    UnknownNameError,
    admit,
    with_final_status,
)
from walnutpost.journal import QuorumFailed
from walnutpost.store import Change, EntryAppend, ExecutionQuery, ExecutionStore, StoreError
from walnutpost.store.database import combine_changes

STORE_RETRY_INTERVAL_US = 200_000  # between attempts to write a result; clients get it from memory meanwhile
STORE_RETRY_AFTER_US = 1_000_000  # Retry-After of the answer when the store can't be written
UNKNOWN_FUNCTION_RETRY_AFTER_US = 1_000_000  # until a schedule fires again for a removed function
DIGEST_BYTES = 16

DeferResult = Execution | ReplicationPending | Rejected | NotStored | None


class DeferredCalls:
    """Accepts deferred calls, dispatches them to the gateway and records their results.

    Invariants: nothing is answered before it is durable here and, with a journal, at the call's quorum of
    replicas; an unsafe call's intent is durable before its first byte is sent; a name stays reserved until
    its call's final status, or its withdrawal, is durable.
    """

    def __init__(
        self,
        loop: Loop,
        dispatcher: Dispatcher,
        store: ExecutionStore,
        catalogue: Catalogue,
        log: Logger,
        replication: JournalReplication | None = None,
    ) -> None:
        self._loop = loop
        self._replication = replication
        self._dispatcher = dispatcher
        self._store = store
        self._catalogue = catalogue
        self._log = log
        self.open_calls = OpenCalls()
        self.recovered: dict[str, OpenCall] = {}  # by id: found at the start and not yet dispatched
        dispatcher.hooks.record_intent = self._record_intent
        dispatcher.hooks.execution_name = self._name_of
        self.result_change: Callable[[Execution], Change] | None = None  # committed with each result
        self.on_end: Callable[[Execution], None] = _ignore  # called when a result is durable

    # Accepting

    def defer(
        self,
        function: str,
        tenant: str | None,
        payload: bytes,
        time_left_us: int,
        name: str | None,
        request_id: str,
        extra_change: Change | None = None,
    ) -> DeferResult:
        """Accept a call, or return the execution that has its name; see fronts.calls.DeferredCalls."""
        digest = payload_digest(payload, tenant)
        now = self._loop.now()
        name = name or request_id
        configured = self.configured_function(function)
        try:
            finished = self._find_stored(function, name)
        except StoreError as error:
            return self._not_stored(error, name, request_id, function)
        open_call = self.open_calls.by_name(function, name)  # it may have arrived while the store was read
        if open_call is not None:
            return self._join(open_call, digest)
        if finished is not None:
            return finished if admit(finished, digest) is Admission.SAME else None
        if configured is None:  # an HTTP front has checked it just now: only a schedule's can be missing
            return Rejected(f"no function {function!r}", UNKNOWN_FUNCTION_RETRY_AFTER_US)
        rejection = self._replication_error(configured, len(payload))
        if rejection is not None:
            return rejection
        execution_id = uuid.uuid4().hex
        expires_at = now + time_left_us
        execution = Execution(
            execution_id, name, function, configured.version, tenant, payload, digest, now, expires_at
        )
        return self._accept(OpenCall(self._loop, execution, configured), request_id, extra_change)

    def _find_stored(self, function: str, name: str) -> Execution | None:
        """Return a finished execution with the name; the store is not read for an open one."""
        if self.open_calls.by_name(function, name) is not None:
            return None
        return self._store.find_by_name(function, name)

    def _join(self, call: OpenCall, digest: str) -> DeferResult:
        """Answer a further request under the name of an open call."""
        if admit(call.execution, digest) is Admission.CONFLICT:
            return None
        call.settled.wait()
        return call.rejection or self._accepted(call)

    def _replication_error(self, function: Function, size_bytes: int) -> Rejected | None:
        if self._replication is None:
            return None
        return self._replication.admission_error(function, size_bytes)

    def _accept(self, call: OpenCall, request_id: str, extra_change: Change | None) -> DeferResult:
        """Store a new call, replicate and dispatch it."""
        execution = call.execution
        self.open_calls.add(call)
        append = self._accepted_append(call)
        try:
            self._store.add(execution, combine_changes(extra_change, append))
        except StoreError as error:
            call.rejection = self._not_stored(error, execution.name, request_id, execution.function)
            self.open_calls.remove(call)
            call.settled.set()
            return call.rejection
        except BaseException:
            # This task is being cancelled. Requests that joined the call must not wait for ever; if the store
            # has the call by now, the next start recovers it.
            call.rejection = NotStored(execution.name, STORE_RETRY_AFTER_US, is_uncertain=True)
            call.settled.set()
            raise
        self._wait_for_quorum(call, append)
        self.dispatch(call, execution.expires_at - self._loop.now(), request_id)
        if call.rejection is not None:  # rejected at once: the client may retry under the same name
            return self._withdraw_rejected(call, request_id)
        call.settled.set()
        return self._accepted(call)

    def _accepted_append(self, call: OpenCall) -> EntryAppend | None:
        if self._replication is None or call.function is None:
            return None
        return self._replication.append_accepted(call.execution, call.function)

    def configured_function(self, name: str) -> Function | None:
        """Return a function as configured now, None if it is not configured."""
        try:
            return self._catalogue.function(name)
        except UnknownNameError:
            return None

    def _wait_for_quorum(self, call: OpenCall, append: EntryAppend | None) -> None:
        """Wait for the quorum of an entry that the client's answer depends on.

        A call without a quorum by then runs all the same. Its client is answered that replication is pending,
        since only a retry under the same name is safe.
        """
        if self._replication is not None and append is not None:
            time_left_us = call.execution.expires_at - self._loop.now()
            call.replication = self._replication.wait_for_quorum(append, call.function, time_left_us)

    def _accepted(self, call: OpenCall) -> Execution | ReplicationPending:
        if isinstance(call.replication, QuorumFailed):
            return ReplicationPending(call.execution, call.replication.replicas)
        return call.accepted_as

    def _not_stored(self, error: StoreError, name: str, request_id: str, function: str) -> NotStored:
        self._log_store_error("accept", error, request=request_id, function=function)
        return NotStored(name, STORE_RETRY_AFTER_US, error.is_uncertain)

    # Withdrawing

    def _withdraw_rejected(self, call: OpenCall, request_id: str) -> DeferResult:
        """Remove a call that was rejected after it was stored, before its client gets the rejection."""
        rejection = call.rejection
        assert rejection is not None
        try:
            self._withdraw(call)
        except StoreError as error:
            # The name stays reserved until the removal is durable; a restart before that would run the call.
            self._log_store_error("withdraw", error, request=request_id)
            call.rejection = NotStored(call.execution.name, STORE_RETRY_AFTER_US, is_uncertain=True)
            call.settled.set()
            self._loop.spawn(self._withdraw_until_stored, call, name="withdraw")
            return call.rejection
        self.open_calls.remove(call)
        call.settled.set()
        # Without a quorum for the withdrawal the client must not be told to retry: a replica's site would run
        # the call after this one is lost.
        return rejection if call.has_quorum else self._accepted(call)

    def _withdraw(self, call: OpenCall) -> None:
        """Raise StoreError if the call is still on this disk."""
        append = None
        if self._replication is not None:
            append = self._replication.append_withdrawn(call.execution)
        self._store.remove(call.execution.id, append)
        self._wait_for_quorum(call, append)

    def _withdraw_until_stored(self, call: OpenCall) -> None:
        while True:
            self._loop.sleep(STORE_RETRY_INTERVAL_US)
            try:
                self._withdraw(call)
            except StoreError as error:
                self._log_store_error("withdraw", error, request=call.execution.name)
                continue
            self.open_calls.remove(call)
            return

    # Dispatching

    def dispatch(self, call: OpenCall, time_left_us: int, request_id: str) -> None:
        """Hand a call to the gateway.

        A rejection before this returns is left in `call.rejection`; any other final answer is recorded as the
        call's result, now or later.
        """
        execution = call.execution
        self.open_calls.set_caller(call, self._dispatcher.new_caller_id())
        is_dispatching = True

        def on_final(final: Final) -> None:
            self.open_calls.clear_caller(call)
            self._dispatcher.log_answer(final, request_id, execution.function, execution.tenant)
            if is_dispatching and isinstance(final, Rejected):
                call.rejection = final
            else:
                self.finish(call, final)

        arrival = CallArrived(
            call.caller_id,
            execution.function,
            execution.payload,
            time_left_us,
            execution.tenant,
            is_durable=True,
            outlives_callers=True,
            rejection=self._budget_rejection(call),
            definition=call.function,
        )
        self._dispatcher.submit(arrival, on_final)
        is_dispatching = False

    def _budget_rejection(self, call: OpenCall) -> Rejected | None:
        """Return the rejection of a new call by its tenant's budget; a recovered call was accepted before."""
        if call.settled.is_set:
            return None
        return self._dispatcher.rejection_for(call.execution.function, call.execution.tenant)

    def _name_of(self, caller_id: int) -> str:
        call = self.open_calls.by_caller(caller_id)
        return call.execution.name if call is not None else ""

    def _record_intent(self, attempt: Send) -> None:
        """Make an unsafe call's intent durable before its first byte is sent.

        Raises LookupError if it must not be sent: ConnectionError would mean that the worker is at fault.
        """
        call = self.open_calls.by_caller(attempt.caller_id)
        if call is None or (call.execution.intended and self._replication is None):
            return
        execution = call.execution
        append = None
        if self._replication is not None:
            append = self._replication.append_intended(execution, attempt.attempt, attempt.worker)
        try:
            self._store.record_intent(execution.id, append)
        except StoreError as error:
            self._log_store_error("record_intent", error, request=execution.name)
            raise LookupError("no intent on disk") from error
        call.execution = replace(execution, intended=True)
        if not self._has_quorum_until_deadline(call, append):
            raise LookupError("its intent is in too few copies")

    def _has_quorum_until_deadline(self, call: OpenCall, append: EntryAppend | None) -> bool:
        """Wait for an entry's quorum, about until the call's deadline."""
        if self._replication is None or append is None:
            return True
        time_left_us = call.execution.expires_at - self._loop.now()
        result = self._replication.wait_for_quorum(append, call.function, time_left_us, until_deadline=True)
        return not isinstance(result, QuorumFailed)

    # Results

    def finish(self, call: OpenCall, final: Final) -> None:
        """Give a call its final status, and record it in a task of its own."""
        call.execution = with_final_status(call.execution, final, self._loop.now())
        self._loop.spawn(self._record_result, call, name="record result")

    def _record_result(self, call: OpenCall) -> None:
        append = self._replication.append_ended(call.execution) if self._replication is not None else None
        self._store_result(call, append)
        # If the site is lost after the answer, another site could run the call to a different result. So the
        # client waits for the quorum, but not much longer than until its deadline.
        if not self._has_quorum_until_deadline(call, append):
            self._log.warning("journal_result_under_replicated", request=call.execution.name)
        self.open_calls.remove(call)
        self.on_end(call.execution)

    def _store_result(self, call: OpenCall, append: EntryAppend | None) -> None:
        """Write the result, with retries without end, and return once it is durable."""
        while True:
            result_change = self.result_change(call.execution) if self.result_change is not None else None
            try:
                self._store.update(call.execution, combine_changes(result_change, append))
            except StoreError as error:
                self._log_store_error("record_result", error, request=call.execution.name)
                self._loop.sleep(STORE_RETRY_INTERVAL_US)
                continue
            return

    # Queries and stops

    def status(self, function: str, execution_id: str) -> Execution | None:
        """Return an execution as a client may see it, None if no site knows it.

        Raises SitesUnreachableError.
        """
        call = self.open_calls.by_id(execution_id)
        execution = self._visible(call) if call is not None else self._store.find(execution_id)
        if execution is None and self._replication is not None:
            execution = self._replication.find_call(execution_id)
        if execution is None or execution.function != function:
            return None
        return execution

    def _visible(self, call: OpenCall) -> Execution:
        """Hide a result that could still be lost with the site; without a journal nothing is hidden."""
        return call.execution if self._replication is None else call.accepted_as

    def replica_count(self, execution_id: str) -> int | None:
        """Return how many replicas had an open call when its client was answered, None without a journal."""
        call = self.open_calls.by_id(execution_id)
        if call is None or call.replication is None:
            return None
        return call.replication.replicas

    def stop_named(self, function: str, name: str) -> None:
        """Stop the open call with a name, if there is one."""
        call = self.open_calls.by_name(function, name)
        if call is not None:
            self.stop(function, call.execution.id)

    def stop(self, function: str, execution_id: str) -> Execution | None:
        """Stop a call if it is open, and return its execution. Raises SitesUnreachableError."""
        call = self.open_calls.by_id(execution_id)
        if call is None or call.execution.function != function:
            return self.status(function, execution_id)
        call.settled.wait()
        if self.recovered.pop(execution_id, None) is not None:
            self.finish(call, Failed(Failure.STOPPED, "stopped by its owner"))
        else:
            self._dispatcher.feed(CallStopped(call.caller_id))
        return self._visible(call)

    def list(self, query: ExecutionQuery) -> tuple[list[Execution], bool]:
        """Return a page of executions, and whether there are more after it."""
        return self._store.list_page(query)

    @property
    def pending_writes(self) -> int:
        """The number of executions that have a final status which is not durable yet."""
        return len(self.open_calls) - self.running

    @property
    def running(self) -> int:
        """The number of executions without a final status."""
        return self.open_calls.running

    def _log_store_error(self, operation: str, error: StoreError, **fields: str) -> None:
        self._log.error("store_failed", operation=operation, error=str(error), **fields)


def payload_digest(payload: bytes, tenant: str | None) -> str:
    """Return the digest by which requests under one name are compared. It is stored, and must not change."""
    return blake2b(payload + b"\0" + (tenant or "").encode(), digest_size=DIGEST_BYTES).hexdigest()


def _ignore(execution: Execution) -> None:
    """Do nothing."""
