"""Counts of call outcomes, for canary analysis."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from walnutpost.eventloop import Loop
from walnutpost.fleet import CallCounts
from walnutpost.gateway import CallArrived, FinalAnswer, Function, Rejected, Served
from walnutpost.interface import RequestClass


class CallCounter:
    """Counts the final answers of all calls, compared with the latency objectives of `classes`.

    Implements the dispatcher's `AnswerCounter`.
    """

    def __init__(
        self, loop: Loop, functions: Mapping[str, Function], classes: tuple[RequestClass, ...]
    ) -> None:
        self._loop = loop
        self._functions = functions
        self._classes = classes
        self.counts = CallCounts()

    def on_submitted(self, call: CallArrived) -> Callable[[FinalAnswer], None]:
        """Compute when a call should be answered; return a function that counts its final answer."""
        function = call.definition or self._functions.get(call.function)
        objective_us = self._classes[function.class_index].latency_objective_us if function is not None else 0
        objective_at_us = self._loop.now() + objective_us

        def count(final: FinalAnswer) -> None:
            is_served, is_rejected = isinstance(final, Served), isinstance(final, Rejected)
            is_failed = not is_served and not is_rejected
            is_in_time = is_served and self._loop.now() <= objective_at_us
            self.counts += CallCounts(int(is_served), int(is_rejected), int(is_failed), int(is_in_time))

        return count

    def on_abandoned(self) -> None:
        """Count a failed call, because the caller disconnected before the answer."""
        self.counts += CallCounts(0, 0, 1, 0)
