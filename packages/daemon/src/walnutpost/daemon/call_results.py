"""Final statuses of deferred calls: a call stays open until its final status is durable."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.daemon.execution_records import ExecutionRecords
from walnutpost.daemon.open_calls import OpenCall, OpenCalls
from walnutpost.eventloop import Loop
from walnutpost.gateway import Execution, FinalAnswer, with_final_status
from walnutpost.store import Change


class CallResults:
    """Sets the final status of open calls, and removes each call from the index once its status is durable.

    `result_change` returns the change that is committed together with an execution's result.
    """

    def __init__(
        self,
        loop: Loop,
        open_calls: OpenCalls,
        records: ExecutionRecords,
        result_change: Callable[[Execution], Change] | None = None,
    ) -> None:
        self._loop = loop
        self._open_calls = open_calls
        self._records = records
        self._result_change = result_change
        self._listeners: list[Callable[[Execution], None]] = []

    def add_listener(self, on_ended: Callable[[Execution], None]) -> None:
        """Call `on_ended` with every execution whose result has become durable."""
        self._listeners.append(on_ended)

    def finish(self, call: OpenCall, final: FinalAnswer) -> None:
        """Set a call's final status, and record it in a separate task."""
        call.execution = with_final_status(call.execution, final, self._loop.now())
        self._loop.spawn(self._record_result, call, name="record result")

    def _record_result(self, call: OpenCall) -> None:
        self._records.record_result(call, self._result_change)
        self._open_calls.remove(call)
        for on_ended in self._listeners:
            on_ended(call.execution)
