"""One front end on a loop: builds its parts, listens, and stops them in order."""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any, Protocol

from walnutpost.agent import INCARNATION_VARIABLE
from walnutpost.config import (
    Config,
    WorkerConfig,
    build_catalogue,
    build_own_schedules,
    build_router_settings,
)
from walnutpost.config.base import parse_address
from walnutpost.config.conversion import ms_to_us
from walnutpost.daemon.call_acceptance import CallAcceptance
from walnutpost.daemon.call_dispatch import CallDispatch
from walnutpost.daemon.call_intents import CallIntents
from walnutpost.daemon.call_results import CallResults
from walnutpost.daemon.deferred import DeferredCalls
from walnutpost.daemon.deferred_recovery import DeferredRecovery
from walnutpost.daemon.endpoint_lists import EndpointLists
from walnutpost.daemon.execution_records import ExecutionRecords
from walnutpost.daemon.fleet import CallCountingDispatcher, FleetMembership
from walnutpost.daemon.keys import CertificateReloader
from walnutpost.daemon.metering import UsageMetering
from walnutpost.daemon.open_calls import OpenCalls
from walnutpost.daemon.replication import JournalReplication
from walnutpost.daemon.result_purge import ResultPurger
from walnutpost.daemon.schedule_progress import ScheduleProgressFile
from walnutpost.daemon.settings_watch import AgreedFunctions, SettingsWatch
from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import Logger, Loop, Task, TrafficObserver, WaitTimeoutError
from walnutpost.fronts.cron import CronFront, FiringLimits
from walnutpost.fronts.invoke import ArnFormat, InvokeFront, build_bad_message_response
from walnutpost.gateway import Gateway
from walnutpost.http import Limits, Server
from walnutpost.http.server import serve_on
from walnutpost.interface import ListKind
from walnutpost.store import ExecutionStore, FiringStore
from walnutpost.workerclient import WorkerClient, WorkerClientSettings

STOP_POLL_INTERVAL_US = 20_000
STOP_METERING_TIMEOUT_US = 2_000_000
BYTES_PER_MB = 1 << 20


def read_wall_clock() -> int:
    """Return the time of day in microseconds since the epoch."""
    return time.time_ns() // 1000


class FrontEndObserver(TrafficObserver, Protocol):
    """A traffic observer that also records the endpoint lists that the front end was given."""

    def on_endpoints_listed(self, version: int, lines: list[WorkerConfig]) -> None:
        """Record a list."""


class FrontEnd:
    """The parts of one front end, opened by the constructor. Two in one process share nothing."""

    def __init__(
        self,
        loop: Loop,
        config: Config,
        log: Logger,
        traffic_observer: FrontEndObserver | None = None,
        base: Path | None = None,
        wall_clock: Callable[[], int] | None = None,
    ) -> None:
        """Build all parts and listen. Paths in `config` are relative to `base`.

        `wall_clock` is the time of day for schedules, which may be set; the loop's own time never steps.
        """
        self._loop = loop
        self._log = log
        self._config = config
        self._base = base or Path()
        self._wall_clock = wall_clock or read_wall_clock
        self._tasks: list[Task[Any]] = []
        self._build_gateway(traffic_observer)
        self._build_deferred_calls()
        self.endpoint_lists = EndpointLists(
            loop,
            self.dispatcher,
            self.worker_client,
            config.site,
            log,
            traffic_observer.on_endpoints_listed if traffic_observer else None,
        )
        self._spawn_background_tasks()
        self._build_metering()
        self._load_endpoint_list()
        self._build_fleet_membership()
        self._build_settings_watch()
        self._build_schedules()
        self._recover_deferred_calls()
        self._listen(traffic_observer)

    # Builders, in order: each needs those before it

    def _build_gateway(self, traffic_observer: FrontEndObserver | None) -> None:
        """Build the catalogue, the connections to workers, and the dispatcher that feeds the gateway."""
        config = self._config
        front = config.front
        seed = front.seed if front.seed is not None else secrets.randbits(63)
        self._router_settings = build_router_settings(config)
        self._build_catalogue()
        gateway = Gateway(
            self._router_settings,
            self.catalogue,
            seed,
            ms_to_us(front.outcome_ttl_ms),
            int(front.max_outcome_mb * BYTES_PER_MB),
        )
        self._build_worker_client(traffic_observer)
        self._counting_dispatcher: CallCountingDispatcher | None = None
        if config.agreement is None or not config.agreement.keepers:
            self.dispatcher = Dispatcher(self._loop, gateway, self.worker_client, self._log)
            return
        self._counting_dispatcher = CallCountingDispatcher(self._loop, gateway, self.worker_client, self._log)
        self._counting_dispatcher.functions = self.catalogue.functions
        self._counting_dispatcher.classes = self._router_settings.classes
        self.dispatcher = self._counting_dispatcher

    def _build_catalogue(self) -> None:
        """Build the catalogue: the configured functions, or the agreed ones as they change."""
        config = self._config
        self.catalogue = build_catalogue(config.site)
        self._agreed_functions: AgreedFunctions | None = None
        if config.agreement is not None and config.agreement.relays:
            classes = list(config.site.classes)
            self._agreed_functions = AgreedFunctions(self.catalogue.functions, classes)
            self.catalogue = replace(self.catalogue, functions=self._agreed_functions, is_changing=True)

    def _build_worker_client(self, traffic_observer: FrontEndObserver | None) -> None:
        """Build the connections to workers, with certificates that are reloaded."""
        front = self._config.front
        site = self._config.site
        settings = WorkerClientSettings(
            call_id_prefix=f"{front.index}-{secrets.token_hex(6)}",
            connect_timeout_us=ms_to_us(front.connect_timeout_ms),
            order_timeout_us=ms_to_us(site.load_order_timeout_ms),
            idle_timeout_us=ms_to_us(front.connection_idle_ms),
            report_fields=tuple(site.report_fields),
        )
        self._certificates: CertificateReloader | None = None
        if front.tls is not None:
            self._certificates = CertificateReloader(
                self._loop, front.tls, self._base, read_wall_clock, self._log
            )
        context = self._certificates.context if self._certificates is not None else None
        self.worker_client = WorkerClient(
            self._loop, settings, traffic_observer, context, wall_clock=self._wall_clock
        )

    def _build_deferred_calls(self) -> None:
        """Open the store and build the deferred calls, with replication if there is a journal."""
        config = self._config
        self._store = ExecutionStore(self._loop, self._base / config.front.store)
        self.replication: JournalReplication | None = None
        if config.journal is not None:
            classes = self._router_settings.classes
            self.replication = JournalReplication(
                self._loop, config, config.journal, self._store, classes, self._log
            )
        self._firings = FiringStore(self._store)
        open_calls = OpenCalls()
        records = ExecutionRecords(self._loop, self._store, self.replication, self._log)
        intents = CallIntents(open_calls, records, self._log)
        self.dispatcher.hooks.record_intent = intents.record_intent
        self.dispatcher.hooks.execution_name = intents.execution_name
        self._results = CallResults(self._loop, open_calls, records, self._firings.record_ended)
        dispatch = CallDispatch(self.dispatcher, open_calls, self._results)
        acceptance = CallAcceptance(self._loop, self.catalogue, open_calls, records, dispatch, self._log)
        self.deferred = DeferredCalls(open_calls, self._store, records, acceptance, dispatch, self._results)
        self._recovery = DeferredRecovery(
            self._loop, self.catalogue, open_calls, records, dispatch, self._results
        )

    def _spawn_background_tasks(self) -> None:
        keep_results_us = ms_to_us(self._config.front.result_ttl_ms)
        purger = ResultPurger(self._loop, self._store, keep_results_us, self._log, self.replication)
        self._spawn(purger.run, name="purge")
        if self.replication is not None:
            self._spawn(self.replication.run, name="journal")
        if self._certificates is not None:
            self._spawn(partial(self._certificates.follow, self.worker_client), name="certificates")

    def _build_metering(self) -> None:
        section = self._config.metering
        self.metering: UsageMetering | None = None
        if section is None:
            return
        functions = self.catalogue.functions
        self.metering = UsageMetering(
            self._loop, self._config, section, functions, self.worker_client, self._log, self._base
        )
        self.dispatcher.hooks.observer = self.metering
        self._spawn(self.metering.run, name="metering")

    def _load_endpoint_list(self) -> None:
        """Load the list of workers from its file, which is then polled, or from the configuration."""
        front = self._config.front
        if front.workers_file is None:
            self.endpoint_lists.set_configured(ListKind.CACHED, 0, front.workers)
            return
        path = self._base / front.workers_file
        self.endpoint_lists.read_file(path, ListKind.CACHED)
        watch = partial(self.endpoint_lists.watch_file, path, ms_to_us(front.workers_poll_ms))
        self._spawn(watch, name="endpoint list")

    def _build_fleet_membership(self) -> None:
        """Register with the control plane if there is one, and wait for its list of endpoints."""
        config = self._config
        self._incarnation = os.environ.get(INCARNATION_VARIABLE) or secrets.token_hex(6)
        self.fleet: FleetMembership | None = None
        if config.agreement is None or self._counting_dispatcher is None:
            return
        self.fleet = FleetMembership(
            self._loop,
            config.agreement,
            config.front.zone or "all",
            self._counting_dispatcher,
            self.endpoint_lists,
            self._log,
            self._base / f"{config.front.store}.agreed",
        )
        self.fleet.catch_up()
        self._incarnation = self.fleet.follower.incarnation

    def _build_settings_watch(self) -> None:
        """Watch the agreed settings if there are relays, and wait for their first answer."""
        config = self._config
        self.settings_watch: SettingsWatch | None = None
        if config.agreement is None or self._agreed_functions is None:
            return
        self.settings_watch = SettingsWatch(
            self._loop,
            config.agreement,
            config.front.zone,
            self._incarnation,
            self._agreed_functions,
            self._log,
            self._base / f"{config.front.store}.table",
        )
        self.settings_watch.catch_up()

    def _build_schedules(self) -> None:
        front = self._config.front
        progress = ScheduleProgressFile(self._base / f"{front.store}.seen")
        newest_mark = max(self._firings.load_marks().values(), default=0)
        self.cron = CronFront(
            self._loop,
            self._wall_clock,
            build_own_schedules(self._config),
            self.deferred,
            self._firings,
            progress.uncertain_until(newest_mark),
            FiringLimits(front.max_concurrent_firings, front.firings_per_s),
            self._log,
            progress.write,
        )
        self._results.add_listener(self.cron.handle_ended)

    def _recover_deferred_calls(self) -> None:
        self.recovered_calls = self._recovery.recover(self._are_functions_known())
        await_functions = partial(self._recovery.await_functions, self._are_functions_known)
        self._spawn(await_functions, name="await functions")

    def _listen(self, traffic_observer: FrontEndObserver | None) -> None:
        front = self._config.front
        invoke = InvokeFront(
            self.dispatcher,
            self.deferred,
            self.catalogue,
            self._router_settings.classes,
            ArnFormat(),
            ms_to_us(front.deferred_deadline_ms),
        )
        limits = Limits(front.max_head_bytes, front.max_body_bytes, ms_to_us(front.head_timeout_ms))
        address = parse_address(front.listen)
        self.server: Server = serve_on(
            self._loop,
            address,
            invoke.handle,
            build_bad_message_response,
            limits,
            traffic_observer,
            "front",
            log=self._log,
        )
        self._spawn(self.cron.run, name="cron")
        if self.fleet is not None:
            self._spawn(self.fleet.run, name="fleet")
        fields: dict[str, object] = {"recovered_calls": self.recovered_calls}
        if self.replication is not None:
            fields["journal_address"] = self.replication.address
        self._log.info("listening", role="front_end", address="{}:{}".format(*self.server.address), **fields)

    def _spawn(self, function: Callable[[], None], name: str) -> None:
        """Run a task until `stop`."""
        self._tasks.append(self._loop.spawn(function, name=name))

    # Operation

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens for clients."""
        return self.server.address

    def _are_functions_known(self) -> bool:
        """Whether the list of functions is current: the agreed settings, if any, were received."""
        return self.settings_watch is None or self.settings_watch.is_up_to_date

    def reload(self, config: Config) -> None:
        """Apply the schedules of a changed configuration; all other changes need a restart."""
        self.cron.replace_schedules(build_own_schedules(config))

    # Shutdown

    def stop(self) -> None:
        """Shut down gracefully: accept no new connections, and give open calls `stop_ms` to end.

        A deferred call that has not ended by then is on disk; an unsafe one that was being sent will fail at
        the next start.
        """
        self.server.stop_accepting()
        deadline_us = self._loop.now() + ms_to_us(self._config.front.shutdown_timeout_ms)
        while self._is_busy() and self._loop.now() < deadline_us:
            self._loop.sleep(STOP_POLL_INTERVAL_US)
        for task in self._tasks:
            task.cancel()
        if self.settings_watch is not None:
            self.settings_watch.stop()
        if self.replication is not None:
            self.replication.close()
        self._stop_metering()
        self._log.info(
            "stopped",
            open_connections=len(self.server.streams),
            open_deferred_calls=self.deferred.open_calls.running,
        )

    def _stop_metering(self) -> None:
        if self.metering is None:
            return
        try:
            with self._loop.timeout(STOP_METERING_TIMEOUT_US):
                self.metering.stop()
        except WaitTimeoutError:
            self._log.warning("usage_final_collection_timed_out")

    def _is_busy(self) -> bool:
        has_open_calls = any(self.server.streams.values()) or self.dispatcher.open_calls > 0
        return has_open_calls or self.deferred.open_calls.pending_writes > 0

    def close(self) -> None:
        """Close the files, after the loop has ended."""
        self._store.close()
        if self.metering is not None:
            self.metering.close()
