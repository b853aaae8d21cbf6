"""Dispatch of deferred calls: hands an open call to the gateway, and its final answer to the results."""

from __future__ import annotations

from walnutpost.daemon.call_results import CallResults
from walnutpost.daemon.open_calls import OpenCall, OpenCalls
from walnutpost.dispatch import Dispatcher
from walnutpost.gateway import CallArrived, CallStopped, Final, Rejected


class CallDispatch:
    """Submits open calls to the dispatcher, each under a caller id that the table of open calls keeps."""

    def __init__(self, dispatcher: Dispatcher, open_calls: OpenCalls, results: CallResults) -> None:
        self._dispatcher = dispatcher
        self._open_calls = open_calls
        self._results = results

    def dispatch(self, call: OpenCall, time_left_us: int, request_id: str) -> None:
        """Hand a call to the gateway.

        A rejection before this returns is left in `call.rejection`; any other final answer is recorded as the
        call's result, now or later. Raises LookupError if the gateway knows no such function or tenant.
        """
        execution = call.execution
        self._open_calls.set_caller(call, self._dispatcher.new_caller_id())
        is_dispatching = True

        def on_final(final: Final) -> None:
            self._open_calls.clear_caller(call)
            self.log_final(call, final, request_id)
            if is_dispatching and isinstance(final, Rejected):
                call.rejection = final
            else:
                self._results.finish(call, final)

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

    def cancel(self, call: OpenCall) -> None:
        """Stop a call that was dispatched; its final answer follows."""
        self._dispatcher.feed(CallStopped(call.caller_id))

    def log_final(self, call: OpenCall, final: Final, request_id: str) -> None:
        """Log a call's final answer unless it was served."""
        self._dispatcher.log_answer(final, request_id, call.execution.function, call.execution.tenant)

    def _budget_rejection(self, call: OpenCall) -> Rejected | None:
        """Return the rejection of a new call by its tenant's budget; a recovered call was accepted before."""
        if call.settled.is_set:
            return None
        return self._dispatcher.rejection_for(call.execution.function, call.execution.tenant)
