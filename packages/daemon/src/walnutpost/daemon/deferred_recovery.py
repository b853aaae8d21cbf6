"""Recovery of deferred calls that the last process left open: dispatched again, or given a final status."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.daemon.deferred import DeferredCalls
from walnutpost.daemon.open_calls import OpenCall
from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import Loop
from walnutpost.gateway import Failed, Failure, Rejected, recovery_action
from walnutpost.interface import Effect
from walnutpost.store import ExecutionStore

FUNCTIONS_POLL_INTERVAL_US = 50_000  # between two checks whether a function that a call waits for is there


class DeferredRecovery:
    """Recovers the open calls of one store into a `DeferredCalls`."""

    def __init__(
        self,
        loop: Loop,
        dispatcher: Dispatcher,
        store: ExecutionStore,
        deferred: DeferredCalls,
        are_functions_known: Callable[[], bool],
    ) -> None:
        """`are_functions_known`: until it returns True, a call of a function that isn't there waits."""
        self._loop = loop
        self._dispatcher = dispatcher
        self._store = store
        self._deferred = deferred
        self._are_functions_known = are_functions_known

    def recover(self) -> int:
        """Take over the open calls and dispatch those that need not wait; return how many were open."""
        executions = self._store.load_open()
        for execution in executions:
            function = self._deferred.configured_function(execution.function)
            call = OpenCall(self._loop, execution, function)
            call.settled.set()
            self._deferred.open_calls.add(call)
            self._deferred.recovered[execution.id] = call
        self._dispatch_recovered()
        return len(executions)

    def await_functions(self) -> None:
        """Return once each recovered call has been dispatched or has a final status.

        A call that only the removal of its function would end must not be ended by a front end that has not
        received the agreed configuration yet.
        """
        while self._deferred.recovered:
            self._loop.sleep(FUNCTIONS_POLL_INTERVAL_US)
            self._dispatch_recovered()

    def _dispatch_recovered(self) -> None:
        are_functions_known = self._are_functions_known()
        for call in list(self._deferred.recovered.values()):
            self._recover_call(call, are_functions_known)

    def _recover_call(self, call: OpenCall, are_functions_known: bool) -> None:
        execution = call.execution
        call.function = self._deferred.configured_function(execution.function)
        # An intent is stored only if the call was not safe when it was sent, whatever its function's class is
        # now; so the function is not asked whether a call that may have run can run again.
        action = recovery_action(execution, Effect.UNSAFE, self._loop.now())
        if call.function is None and not isinstance(action, Failed):
            if not are_functions_known:
                return
            action = Failed(Failure.RESTART, "the function is no longer configured")
        del self._deferred.recovered[execution.id]
        if isinstance(action, Failed):
            self._dispatcher.log_answer(action, execution.name, execution.function, execution.tenant)
            self._deferred.finish(call, action)
            return
        self._dispatch(call, action)

    def _dispatch(self, call: OpenCall, time_left_us: int) -> None:
        try:
            self._deferred.dispatch(call, time_left_us, call.execution.name)
        except LookupError as error:
            call.rejection = None
            self._deferred.finish(call, Failed(Failure.RESTART, str(error)))
        if isinstance(call.rejection, Rejected):  # it was accepted: the rejection is its final status
            self._deferred.finish(call, call.rejection)
            call.rejection = None
