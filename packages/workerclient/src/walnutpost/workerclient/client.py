"""The worker client: carries out the gateway's effects on workers, and reports how each ended."""

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
    """The connections and requests of one front end to all its workers. Implements `dispatch.Carrier`."""

    def __init__(
        self,
        loop: Loop,
        settings: WorkerClientSettings,
        traffic_observer: TrafficObserver | None = None,
        context: ssl.SSLContext | None = None,
        wall_clock: Callable[[], int] | None = None,
    ) -> None:
        """Begin without workers.

        With `context`, workers are reached over TLS, and prove their names. `wall_clock` is the clock by
        which workers are sent their deadlines, in microseconds since the epoch: the loop's own does not
        follow when it is corrected.
        """
        self._settings = settings
        self._directory = WorkerDirectory()
        self._connector = Connector(loop, settings.connect_timeout_us, traffic_observer, context)
        self._idle = IdleConnections(loop, settings.idle_timeout_us, settings.max_idle_connections)
        self._delivery = Delivery(loop, self._directory, self._connector, self._idle)
        self._attempts = AttemptSender(loop, settings, self._delivery, wall_clock or loop.now)
        self._load_orders = LoadOrderSender(loop, self._delivery, self._directory, settings.order_timeout_us)
        self._prober = queries.Prober(loop, self._delivery, settings.report_fields)

    # The endpoint list and the certificates

    @property
    def addresses(self) -> Mapping[str, Address]:
        """The addresses of the listed workers."""
        return self._directory.addresses

    @property
    def workers(self) -> list[str]:
        """The names of the listed workers."""
        return list(self._directory.addresses)

    def update_workers(
        self,
        addresses: Mapping[str, Address],
        draining: AbstractSet[str],
        certificate_names: Mapping[str, str] | None = None,
    ) -> None:
        """Replace the list of workers.

        A worker whose address changed is another process: its idle connections lead to the old one.
        `certificate_names` are what certificates must name, where not the worker's own name.
        """
        for worker, address in self._directory.addresses.items():
            if addresses.get(worker) != address:
                self._idle.close(worker)
                self._connector.forget(worker)
        self._connector.certificate_names = dict(certificate_names or {})
        self._directory.addresses = dict(addresses)
        self._directory.draining = frozenset(draining)

    def replace_context(self, context: ssl.SSLContext) -> None:
        """Use other certificates for new connections; close idle connections, made under the old ones."""
        self._connector.replace_context(context)
        self._idle.close_all()

    @property
    def idle_connection_count(self) -> int:
        """How many connections are open while nothing runs on them."""
        return self._idle.count

    def close_idle_connections(self, worker: str) -> None:
        """Close the worker's idle connections."""
        self._idle.close(worker)

    # Calls

    @property
    def in_flight(self) -> int:
        """How many attempts have not ended."""
        return self._attempts.in_flight

    def send(
        self,
        effect: Send,
        done: Callable[[AttemptEnded], None],
        before: Callable[[], None] | None = None,
        execution: str = "",
    ) -> None:
        """Send an attempt of a call; `done` is called once, however the attempt ends.

        `before` runs first, may wait, and stops the attempt by LookupError or OSError. `execution` is the
        name of a deferred call.
        """
        self._attempts.start(effect, done, before, execution)

    def cancel(self, call: int, attempt: int) -> None:
        """Give an attempt up: no byte of it leaves from now on where none has left."""
        self._attempts.abandon(call, attempt)

    # Load orders

    def order_load(self, effect: LoadOrder, done: Callable[[LoadOrderEnded], None]) -> None:
        """Send a load order; `done` is called once, however the order ends.

        Its outcome is as reliable as `interface.LoadOrderEnded` requires.
        """
        self._load_orders.order(effect, done)

    def unload(self, effect: Unload) -> None:
        """Have the worker drop idle copies; how that ends is not reported."""
        self._load_orders.unload(effect)

    # Queries

    def probe(self, effect: Probe, done: Callable[[ProbeEnded], None]) -> None:
        """Check a worker's health; `done` gets the outcome and the load report."""
        self._prober.probe(effect, done)

    def fetch_usage(self, worker: str, started: int, after_change: int) -> UsageReport | None:
        """Fetch the worker's usage records newer than a change; None where it has none.

        Raises WorkerUnavailableError without a response, InvalidUsageReportError for one that can't be used.
        """
        timeout_us = self._settings.order_timeout_us
        return queries.fetch_usage(self._delivery, worker, started, after_change, timeout_us)
