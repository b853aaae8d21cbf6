"""Dispatch of deferred calls: passes open calls to the gateway, and records their final answers."""

from __future__ import annotations

from walnutpost.daemon.call_results import CallResults
from walnutpost.daemon.open_calls import OpenCall, OpenCalls
from walnutpost.dispatch import Dispatcher
from walnutpost.gateway import CallArrived, CallStopped, FinalAnswer, Rejected


class CallDispatch:
    """Submits open calls to the dispatcher, each under a caller id by which `OpenCalls` finds it."""

    def __init__(self, dispatcher: Dispatcher, open_calls: OpenCalls, results: CallResults) -> None:
        self._dispatcher = dispatcher
        self._open_calls = open_calls
        self._results = results

    def dispatch(self, call: OpenCall, time_left_us: int, request_id: str) -> None:
        """Submit a call to the gateway.

        If the gateway rejects the call before this returns, set `call.rejection`. Any other final answer is
        recorded as the call's result, during this call or later. Raises LookupError if the gateway doesn't
        know the function or the tenant.
        """
        execution = call.execution
        self._open_calls.set_caller(call, self._dispatcher.new_caller_id())
        is_dispatching = True

        def on_final(final: FinalAnswer) -> None:
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
        """Stop a dispatched call; its final answer arrives as for any other call."""
        self._dispatcher.feed(CallStopped(call.caller_id))

    def log_final(self, call: OpenCall, final: FinalAnswer, request_id: str) -> None:
        """Log a call's final answer unless it was served."""
        self._dispatcher.log_answer(final, request_id, call.execution.function, call.execution.tenant)

    def _budget_rejection(self, call: OpenCall) -> Rejected | None:
        """Return a rejection if the tenant's budget rejects a new call; a recovered one was accepted."""
        if call.acceptance_done.is_set:
            return None
        return self._dispatcher.rejection_for(call.execution.function, call.execution.tenant)
