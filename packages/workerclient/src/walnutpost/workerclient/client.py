"""The worker client: carries out the gateway's effects on workers and reports how each one ended."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Mapping
from collections.abc import Set as AbstractSet

from walnutpost.eventloop import Loop, TrafficObserver
from walnutpost.gateway import (
    AttemptEnded,
    LoadOrder,
    LoadOrderEnded,
    Probe,
    ProbeEnded,
    Send,
    Unload,
)
from walnutpost.metering import UsageReport
from walnutpost.workerclient import queries
from walnutpost.workerclient.attempts import AttemptSender
from walnutpost.workerclient.connector import Connector
from walnutpost.workerclient.delivery import Delivery
from walnutpost.workerclient.directory import Address, WorkerDirectory
from walnutpost.workerclient.idle_connections import IdleConnections
from walnutpost.workerclient.load_orders import LoadOrderSender
from walnutpost.workerclient.settings import WorkerClientSettings


class WorkerClient:
    """One front end's connections and requests to its workers. Implements `dispatch.WorkerTransport`."""

    def __init__(
        self,
        loop: Loop,
        settings: WorkerClientSettings,
        traffic_observer: TrafficObserver | None = None,
        tls_context: ssl.SSLContext | None = None,
        wall_clock: Callable[[], int] | None = None,
    ) -> None:
        """Create a client without workers.

        If `tls_context` is given, connections use TLS and verify the names of workers. `wall_clock` returns
        microseconds since the epoch. Deadlines are sent to workers in its time, because the loop's clock does
        not follow corrections of the system clock. Its default is the loop's clock.
        """
        self._settings = settings
        self._directory = WorkerDirectory()
        self._connector = Connector(loop, settings.connect_timeout_us, traffic_observer, tls_context)
        self._idle = IdleConnections(loop, settings.idle_timeout_us, settings.max_idle_connections_per_worker)
        self._delivery = Delivery(loop, self._directory, self._connector, self._idle)
        self._attempts = AttemptSender(loop, settings, self._delivery, wall_clock or loop.now)
        self._load_orders = LoadOrderSender(loop, self._delivery, self._directory, settings.order_timeout_us)
        self._prober = queries.Prober(loop, self._delivery, settings.report_fields)

    # The endpoint list and the certificates

    @property
    def addresses(self) -> Mapping[str, Address]:
        """The addresses of the workers in the endpoint list, by name."""
        return self._directory.addresses

    @property
    def workers(self) -> list[str]:
        """The names of the workers in the endpoint list."""
        return list(self._directory.addresses)

    def update_workers(
        self,
        addresses: Mapping[str, Address],
        draining: AbstractSet[str],
        certificate_names: Mapping[str, str] | None = None,
    ) -> None:
        """Replace the list of workers.

        Close the idle connections of workers that are no longer listed or whose address has changed: a new
        address means a new process. `certificate_names` maps a worker to the name that its certificate must
        contain, if that is not the worker's own name.
        """
        for worker, address in self._directory.addresses.items():
            if addresses.get(worker) != address:
                self._idle.close(worker)
                self._connector.forget(worker)
        self._connector.certificate_names = dict(certificate_names or {})
        self._directory.addresses = dict(addresses)
        self._directory.draining = frozenset(draining)

    def replace_tls_context(self, tls_context: ssl.SSLContext) -> None:
        """Use a new TLS context for new connections, and close the idle ones that use the old context."""
        self._connector.replace_tls_context(tls_context)
        self._idle.close_all()

    @property
    def idle_connection_count(self) -> int:
        """The number of idle connections to all workers."""
        return self._idle.count

    def close_idle_connections(self, worker: str) -> None:
        """Close the worker's idle connections."""
        self._idle.close(worker)

    # Calls

    @property
    def in_flight(self) -> int:
        """The number of attempts that have not ended."""
        return self._attempts.in_flight

    def send(
        self,
        effect: Send,
        on_ended: Callable[[AttemptEnded], None],
        before_send: Callable[[], None] | None = None,
        execution: str = "",
    ) -> None:
        """Send an attempt of a call; `on_ended` is called exactly once, however the attempt ends.

        `before_send` runs first and may wait; if it raises LookupError or OSError, the attempt is not sent.
        `execution` is the name of the execution if the call is deferred.
        """
        self._attempts.send(effect, on_ended, before_send, execution)

    def cancel(self, call: int, attempt: int) -> None:
        """Cancel an attempt. If no byte of it has been sent, none will be."""
        self._attempts.cancel(call, attempt)

    # Load orders

    def order_load(self, effect: LoadOrder, on_ended: Callable[[LoadOrderEnded], None]) -> None:
        """Send a load order and report its end exactly once, however it ends.

        The outcome gives the guarantees that `interface.LoadOrderEnded` describes.
        """
        self._load_orders.order_load(effect, on_ended)

    def unload(self, effect: Unload) -> None:
        """Order the worker to unload its idle copies of a function; the outcome is not reported."""
        self._load_orders.unload(effect)

    # Queries

    def probe(self, effect: Probe, on_ended: Callable[[ProbeEnded], None]) -> None:
        """Check a worker's health; `on_ended` is called with the outcome and the load report."""
        self._prober.probe(effect, on_ended)

    def fetch_usage(self, worker: str, started_us: int, after_change: int) -> UsageReport | None:
        """Return the worker's usage records after the change `after_change`, or None if it keeps no records.

        `started_us` is the start time of the worker's run that numbered the change. Raises
        WorkerUnavailableError if there is no response, InvalidUsageReportError if the response is invalid.
        """
        timeout_us = self._settings.order_timeout_us
        return queries.fetch_usage(self._delivery, worker, started_us, after_change, timeout_us)
