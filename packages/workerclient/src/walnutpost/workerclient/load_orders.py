"""Load orders, queries for loaded copies, and orders to unload."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.eventloop import Loop
from walnutpost.gateway import LoadOrder, LoadOrderEnded, Unload
from walnutpost.interface import Outcome
from walnutpost.workerclient import codec
from walnutpost.workerclient.codec import LoadResult
from walnutpost.workerclient.delivery import Delivery, WorkerRequest
from walnutpost.workerclient.directory import WorkerDirectory
from walnutpost.workerclient.tasks import call_when_ended


class LoadOrderSender:
    """Sends load orders, and reports the one outcome of each."""

    def __init__(self, loop: Loop, delivery: Delivery, directory: WorkerDirectory, timeout_us: int) -> None:
        """Wait `timeout_us` for each response."""
        self._loop = loop
        self._delivery = delivery
        self._directory = directory
        self._timeout_us = timeout_us

    def order(self, effect: LoadOrder, done: Callable[[LoadOrderEnded], None]) -> None:
        """Send a load order; see `WorkerClient.order`."""
        request = self._delivery.make_request(
            effect.worker,
            lambda: codec.encode_load_order(effect.function, effect.copies),
            self._timeout_us,
            effect.begin_within_us,
            is_new_work=effect.copies > 0,
        )
        if request.is_new_work and effect.worker in self._directory.draining:
            request.address = None  # as good as none for new work
        task = self._loop.spawn(self._run, request, name="order")

        def report_end() -> None:
            result = task.result or _result_without_response(request)
            latency_us = self._loop.now() - request.decided_us
            done(
                LoadOrderEnded(
                    worker=effect.worker,
                    function=effect.function,
                    outcome=result.outcome,
                    latency_us=latency_us,
                    copies=result.copies,
                    ordered_copies=effect.copies,
                )
            )

        call_when_ended(self._loop, task, report_end)

    def unload(self, effect: Unload) -> None:
        """Send an order to unload; how it ends is not reported."""
        request = self._delivery.make_request(
            effect.worker, lambda: codec.encode_unload(effect.function), self._timeout_us
        )
        self._loop.spawn(self._delivery.deliver, request, name="unload")

    def _run(self, request: WorkerRequest) -> LoadResult:
        delivered = self._delivery.deliver(request)
        if delivered.response is not None:
            return codec.decode_load_response(delivered.response)
        if delivered.may_still_arrive:
            return LoadResult(Outcome.TIMEOUT)
        return LoadResult(delivered.outcome)


def _result_without_response(request: WorkerRequest) -> LoadResult:
    """Return the result of an order whose task was cancelled or raised: what has left may still arrive."""
    return LoadResult(Outcome.TIMEOUT if request.has_begun else Outcome.MOOT)
