"""Load orders, queries for the number of loaded copies, and orders to unload."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.eventloop import Loop
from walnutpost.gateway import LoadOrder, LoadOrderEnded, Unload
from walnutpost.interface import Outcome
from walnutpost.workerclient import codec
from walnutpost.workerclient.codec import LoadResult
from walnutpost.workerclient.delivery import Delivery, WorkerRequest
from walnutpost.workerclient.directory import WorkerDirectory
from walnutpost.workerclient.tasks import add_done_callback


class LoadOrderSender:
    """Sender of load orders; it reports exactly one outcome for each."""

    def __init__(self, loop: Loop, delivery: Delivery, directory: WorkerDirectory, timeout_us: int) -> None:
        """Create a sender; an order times out after `timeout_us`."""
        self._loop = loop
        self._delivery = delivery
        self._directory = directory
        self._timeout_us = timeout_us

    def order_load(self, effect: LoadOrder, on_ended: Callable[[LoadOrderEnded], None]) -> None:
        """Send a load order; see `WorkerClient.order_load`."""
        request = self._delivery.make_request(
            effect.worker,
            lambda: codec.encode_load_order(effect.function, effect.copies),
            self._timeout_us,
            effect.begin_within_us,
            is_new_work=effect.copies > 0,
        )
        if request.is_new_work and effect.worker in self._directory.draining:
            request.address = None  # new work for a draining worker ends as CONNECT_FAILED
        task = self._loop.spawn(self._run, request, name="order")

        def report_end() -> None:
            result = task.result or _result_without_response(request)
            latency_us = self._loop.now() - request.decided_at_us
            on_ended(
                LoadOrderEnded(
                    worker=effect.worker,
                    function=effect.function,
                    outcome=result.outcome,
                    latency_us=latency_us,
                    copies=result.copies,
                    ordered_copies=effect.copies,
                )
            )

        add_done_callback(self._loop, task, report_end)

    def unload(self, effect: Unload) -> None:
        """Send an order to unload; its outcome is not reported."""
        request = self._delivery.make_request(
            effect.worker, lambda: codec.encode_unload(effect.function), self._timeout_us
        )
        self._loop.spawn(self._delivery.deliver, request, name="unload")

    def _run(self, request: WorkerRequest) -> LoadResult:
        delivery_result = self._delivery.deliver(request)
        if delivery_result.response is not None:
            return codec.decode_load_response(delivery_result.response)
        if delivery_result.may_still_arrive:
            return LoadResult(Outcome.TIMEOUT)
        return LoadResult(delivery_result.outcome)


def _result_without_response(request: WorkerRequest) -> LoadResult:
    """Return the result of an order whose task was cancelled or raised; once begun, it may still arrive."""
    return LoadResult(Outcome.TIMEOUT if request.has_begun else Outcome.EXPIRED)
