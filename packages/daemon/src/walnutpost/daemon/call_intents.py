"""Intents of deferred calls, which are durable before the first byte of an unsafe call is sent."""

from __future__ import annotations

from dataclasses import replace

from walnutpost.daemon.execution_records import ExecutionRecords, log_store_error
from walnutpost.daemon.open_calls import OpenCalls
from walnutpost.eventloop import Logger
from walnutpost.gateway import Send
from walnutpost.store import StoreError


class CallIntents:
    """Looks up the execution of an attempt and records the attempt's intent, for the dispatcher."""

    def __init__(self, open_calls: OpenCalls, records: ExecutionRecords, log: Logger) -> None:
        self._open_calls = open_calls
        self._records = records
        self._log = log

    def execution_name(self, caller_id: int) -> str:
        """Return the name of the execution that a caller waits for, or empty for a synchronous call."""
        call = self._open_calls.by_caller(caller_id)
        return call.execution.name if call is not None else ""

    def record_intent(self, attempt: Send) -> None:
        """Make the intent of an unsafe call durable before its first byte is sent.

        Raises LookupError if the attempt must not be sent: a ConnectionError would count as a worker failure.
        """
        call = self._open_calls.by_caller(attempt.caller_id)
        if call is None or self._records.is_intent_recorded(call):
            return
        execution = call.execution
        try:
            append = self._records.record_intent(call, attempt)
        except StoreError as error:
            log_store_error(self._log, "record_intent", error, request=execution.name)
            raise LookupError("no intent on disk") from error
        call.execution = replace(execution, intended=True)
        if not self._records.has_quorum_until_deadline(call, append):
            raise LookupError("its intent is in too few copies")
