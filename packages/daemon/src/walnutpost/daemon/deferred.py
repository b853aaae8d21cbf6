"""Deferred calls as offered to the fronts: durable before acceptance, one final status across restarts."""

from __future__ import annotations

from walnutpost.daemon.call_acceptance import CallAcceptance
from walnutpost.daemon.call_dispatch import CallDispatch
from walnutpost.daemon.call_results import CallResults
from walnutpost.daemon.execution_records import ExecutionRecords
from walnutpost.daemon.open_calls import OpenCalls
from walnutpost.fronts.calls import DeferOutcome
from walnutpost.gateway import CallRequest, Execution, Failed, Failure
from walnutpost.store import Change, ExecutionQuery, ExecutionStore


class DeferredCalls:
    """Accepts, queries and stops deferred calls; implements fronts.calls.DeferredCalls."""

    def __init__(
        self,
        open_calls: OpenCalls,
        store: ExecutionStore,
        records: ExecutionRecords,
        acceptance: CallAcceptance,
        dispatch: CallDispatch,
        results: CallResults,
    ) -> None:
        self.open_calls = open_calls
        self._store = store
        self._records = records
        self._acceptance = acceptance
        self._dispatch = dispatch
        self._results = results

    def defer(
        self, request: CallRequest, name: str | None, extra_change: Change | None = None
    ) -> DeferOutcome:
        """Accept a call, or return the existing execution with the same name."""
        return self._acceptance.defer(request, name, extra_change)

    def status(self, function: str, execution_id: str) -> Execution | None:
        """Return an execution as clients may see it, or None if no site knows it.

        Raises SitesUnreachableError if it is unknown here and some sites did not answer.
        """
        call = self.open_calls.by_id(execution_id)
        if call is not None:
            execution: Execution | None = self._records.visible_execution(call)
        else:
            execution = self._records.find(execution_id)
        if execution is None or execution.function != function:
            return None
        return execution

    def replica_count(self, execution_id: str) -> int | None:
        """Return how many replicas had an open call when its client was answered, or None if unknown."""
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
        """Stop a call if it is open; return its execution, None if unknown. Raises SitesUnreachableError."""
        call = self.open_calls.by_id(execution_id)
        if call is None or call.execution.function != function:
            return self.status(function, execution_id)
        call.acceptance_done.wait()
        if self.open_calls.claim_recovered(execution_id) is not None:
            self._results.finish(call, Failed(Failure.STOPPED, "stopped by its owner"))
        else:
            self._dispatch.cancel(call)
        return self._records.visible_execution(call)

    def list(self, query: ExecutionQuery) -> tuple[list[Execution], bool]:
        """Return a page of executions, and whether more pages follow."""
        return self._store.list_page(query)
