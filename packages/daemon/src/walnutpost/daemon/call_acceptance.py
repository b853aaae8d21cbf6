"""Acceptance of deferred calls: stores and replicates a call before it answers the client."""

from __future__ import annotations

import uuid
from hashlib import blake2b

from walnutpost.daemon.call_dispatch import CallDispatch
from walnutpost.daemon.execution_records import STORE_RETRY_INTERVAL_US, ExecutionRecords, log_store_error
from walnutpost.daemon.open_calls import OpenCall, OpenCalls, configured_function
from walnutpost.eventloop import Logger, Loop
from walnutpost.fronts.calls import DeferOutcome
from walnutpost.gateway import Admission, CallRequest, Catalogue, Execution, NotStored, Rejected, admission_of
from walnutpost.store import Change, StoreError

STORE_RETRY_AFTER_US = 1_000_000  # Retry-After in the answer if the store can't be written
UNKNOWN_FUNCTION_RETRY_AFTER_US = 1_000_000  # before a schedule retries a firing for a removed function
DIGEST_BYTES = 16


class CallAcceptance:
    """Accepts new calls, and answers repeated requests under the name of an existing call.

    A call that is rejected after it was stored is withdrawn. Invariants: an answer is given only once its
    content is durable here and, with a journal, on the call's quorum of replicas; a name stays reserved until
    the final status of its call, or its withdrawal, is durable.
    """

    def __init__(
        self,
        loop: Loop,
        catalogue: Catalogue,
        open_calls: OpenCalls,
        records: ExecutionRecords,
        dispatch: CallDispatch,
        log: Logger,
    ) -> None:
        self._loop = loop
        self._catalogue = catalogue
        self._open_calls = open_calls
        self._records = records
        self._dispatch = dispatch
        self._log = log

    def defer(
        self, request: CallRequest, name: str | None, extra_change: Change | None = None
    ) -> DeferOutcome:
        """Accept a call, or return the existing execution with its name; see fronts.calls.DeferredCalls."""
        function, request_id = request.function, request.request_id
        digest = payload_digest(request.payload, request.tenant)
        now = self._loop.now()
        name = name or request_id
        configured = configured_function(self._catalogue, function)
        try:
            finished = self._find_stored(function, name)
        except StoreError as error:
            return self._not_stored(error, name, request_id, function)
        open_call = self._open_calls.by_name(function, name)  # it may have arrived while the store was read
        if open_call is not None:
            return self._answer_duplicate(open_call, digest)
        if finished is not None:
            return finished if admission_of(finished, digest) is Admission.SAME else None
        if configured is None:  # HTTP fronts check this first, so only a schedule's function can be missing
            return Rejected(f"no function {function!r}", UNKNOWN_FUNCTION_RETRY_AFTER_US)
        rejection = self._records.admission_error(configured, len(request.payload))
        if rejection is not None:
            return rejection
        execution = Execution(
            uuid.uuid4().hex,
            name,
            function,
            configured.version,
            request.tenant,
            request.payload,
            digest,
            now,
            now + request.time_left_us,
        )
        return self._accept(OpenCall(self._loop, execution, configured), request_id, extra_change)

    def _find_stored(self, function: str, name: str) -> Execution | None:
        """Return the finished execution with a name, or None; an open call needs no read of the store."""
        if self._open_calls.by_name(function, name) is not None:
            return None
        return self._records.find_by_name(function, name)

    def _answer_duplicate(self, call: OpenCall, digest: str) -> DeferOutcome:
        """Answer a repeated request under the name of an open call."""
        if admission_of(call.execution, digest) is Admission.CONFLICT:
            return None
        call.acceptance_done.wait()
        return call.rejection or call.acceptance

    def _accept(self, call: OpenCall, request_id: str, extra_change: Change | None) -> DeferOutcome:
        """Store, replicate and dispatch a new call."""
        execution = call.execution
        self._open_calls.add(call)
        try:
            append = self._records.add(call, extra_change)
        except StoreError as error:
            call.rejection = self._not_stored(error, execution.name, request_id, execution.function)
            self._open_calls.remove(call)
            call.acceptance_done.set()
            return call.rejection
        except BaseException:
            # This task is being cancelled. Repeated requests that wait for the call must not wait forever. If
            # the store already has the call, the next start recovers it.
            call.rejection = NotStored(execution.name, STORE_RETRY_AFTER_US, is_uncertain=True)
            call.acceptance_done.set()
            raise
        self._records.wait_for_quorum(call, append)
        self._dispatch.dispatch(call, execution.expires_at - self._loop.now(), request_id)
        if call.rejection is not None:  # rejected immediately: the client may retry under the same name
            return self._withdraw_rejected(call, call.rejection, request_id)
        call.acceptance_done.set()
        return call.acceptance

    def _withdraw_rejected(
        self, call: OpenCall, rejection: Rejected | NotStored, request_id: str
    ) -> DeferOutcome:
        """Remove a stored call that was rejected, before its client gets the rejection."""
        try:
            self._records.withdraw(call)
        except StoreError as error:
            # The name stays reserved until the removal is durable, since a restart before then runs the call.
            log_store_error(self._log, "withdraw", error, request=request_id)
            call.rejection = NotStored(call.execution.name, STORE_RETRY_AFTER_US, is_uncertain=True)
            call.acceptance_done.set()
            self._loop.spawn(self._withdraw_until_stored, call, name="withdraw")
            return call.rejection
        self._open_calls.remove(call)
        call.acceptance_done.set()
        # Without a quorum for the withdrawal, the answer must not ask the client to retry: if this site is
        # lost, a replica's site would run the call.
        return rejection if call.has_quorum else call.acceptance

    def _withdraw_until_stored(self, call: OpenCall) -> None:
        while True:
            self._loop.sleep(STORE_RETRY_INTERVAL_US)
            try:
                self._records.withdraw(call)
            except StoreError as error:
                log_store_error(self._log, "withdraw", error, request=call.execution.name)
                continue
            self._open_calls.remove(call)
            return

    def _not_stored(self, error: StoreError, name: str, request_id: str, function: str) -> NotStored:
        log_store_error(self._log, "accept", error, request=request_id, function=function)
        return NotStored(name, STORE_RETRY_AFTER_US, error.is_uncertain)


def payload_digest(payload: bytes, tenant: str | None) -> str:
    """Return the digest that tells whether requests under one name are the same.

    Digests are stored, so the algorithm must not change.
    """
    return blake2b(payload + b"\0" + (tenant or "").encode(), digest_size=DIGEST_BYTES).hexdigest()
