"""Recovery of the deferred calls that the previous process left open: dispatch again, or end them."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.daemon.call_dispatch import CallDispatch
from walnutpost.daemon.call_results import CallResults
from walnutpost.daemon.execution_records import ExecutionRecords
from walnutpost.daemon.open_calls import OpenCall, OpenCalls, configured_function
from walnutpost.eventloop import Loop
from walnutpost.gateway import Catalogue, Failed, Failure, Rejected, recovery_time_left_us
from walnutpost.interface import Effect

FUNCTIONS_POLL_INTERVAL_US = 50_000  # between checks for functions that recovered calls wait for


class DeferredRecovery:
    """Loads the open calls of the store at the start, and dispatches or ends each of them."""

    def __init__(
        self,
        loop: Loop,
        catalogue: Catalogue,
        open_calls: OpenCalls,
        records: ExecutionRecords,
        dispatch: CallDispatch,
        results: CallResults,
    ) -> None:
        self._loop = loop
        self._catalogue = catalogue
        self._open_calls = open_calls
        self._records = records
        self._dispatch = dispatch
        self._results = results

    def recover(self, are_functions_known: bool) -> int:
        """Load the open calls and dispatch those that need not wait; return how many were loaded.

        A call of a function that is not configured fails if the function was removed. Until
        `are_functions_known`, the function may only be missing because the front end has not received the
        dynamic settings yet, so such a call waits.
        """
        executions = self._records.load_open()
        for execution in executions:
            call = OpenCall(self._loop, execution, configured_function(self._catalogue, execution.function))
            call.acceptance_done.set()
            self._open_calls.add_recovered(call)
        self._dispatch_recovered(are_functions_known)
        return len(executions)

    def await_functions(self, are_functions_known: Callable[[], bool]) -> None:
        """Poll until every recovered call has been dispatched or has a final status."""
        while self._open_calls.recovered:
            self._loop.sleep(FUNCTIONS_POLL_INTERVAL_US)
            self._dispatch_recovered(are_functions_known())

    def _dispatch_recovered(self, are_functions_known: bool) -> None:
        for call in self._open_calls.recovered:
            self._recover_call(call, are_functions_known)

    def _recover_call(self, call: OpenCall, are_functions_known: bool) -> None:
        execution = call.execution
        call.function = configured_function(self._catalogue, execution.function)
        # An intent is stored only if the call was not safe when it was sent. The function's class may have
        # changed since, so its current class must not decide whether a call that may have run can run again.
        action = recovery_time_left_us(execution, Effect.UNSAFE, self._loop.now())
        if call.function is None and not isinstance(action, Failed):
            if not are_functions_known:
                return
            action = Failed(Failure.RESTART, "the function is no longer configured")
        self._open_calls.claim_recovered(execution.id)
        if isinstance(action, Failed):
            self._dispatch.log_final(call, action, execution.name)
            self._results.finish(call, action)
            return
        self._dispatch_again(call, action)

    def _dispatch_again(self, call: OpenCall, time_left_us: int) -> None:
        try:
            self._dispatch.dispatch(call, time_left_us, call.execution.name)
        except LookupError as error:
            call.rejection = None
            self._results.finish(call, Failed(Failure.RESTART, str(error)))
        if isinstance(call.rejection, Rejected):  # already accepted: the rejection is its final status
            self._results.finish(call, call.rejection)
            call.rejection = None
