"""Health checks and queries for usage records."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from http import HTTPStatus

from walnutpost.eventloop import Loop
from walnutpost.gateway import Probe, ProbeEnded
from walnutpost.interface import Outcome
from walnutpost.metering import UsageReport
from walnutpost.workerclient import codec, orca
from walnutpost.workerclient.delivery import Delivery
from walnutpost.workerclient.errors import WorkerUnavailableError

PROBE_TIMEOUT_US = 1_000_000


class Prober:
    """Sender of health checks."""

    def __init__(self, loop: Loop, delivery: Delivery, report_fields: Sequence[str]) -> None:
        """Create a prober; it reports the metrics of `report_fields`."""
        self._loop = loop
        self._delivery = delivery
        self._report_fields = report_fields

    def probe(self, effect: Probe, on_ended: Callable[[ProbeEnded], None]) -> None:
        """Check a worker's health; see `WorkerClient.probe`."""
        self._loop.spawn(self._run, effect, on_ended, name="ping")

    def _run(self, effect: Probe, on_ended: Callable[[ProbeEnded], None]) -> None:
        request = self._delivery.make_request(effect.worker, lambda: codec.READY_REQUEST, PROBE_TIMEOUT_US)
        delivery_result = self._delivery.deliver(request)
        outcome = delivery_result.outcome
        report: tuple[float, ...] = ()
        if delivery_result.response is not None:
            outcome = Outcome.OK if delivery_result.response.status == HTTPStatus.OK else Outcome.FULL
            metrics = orca.decode_report(delivery_result.response.headers)
            report = codec.select_fields(metrics, self._report_fields)
        on_ended(ProbeEnded(effect.worker, outcome, self._loop.now() - request.decided_at_us, report))


def fetch_usage(
    delivery: Delivery, worker: str, started_us: int, after_change: int, timeout_us: int
) -> UsageReport | None:
    """Fetch usage records; see `WorkerClient.fetch_usage`."""
    request = delivery.make_request(
        worker, lambda: codec.encode_usage_query(started_us, after_change), timeout_us
    )
    delivery_result = delivery.deliver(request)
    if delivery_result.response is None:
        raise WorkerUnavailableError(worker, delivery_result.outcome)
    return codec.decode_usage_response(delivery_result.response)
