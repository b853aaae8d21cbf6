"""Builds a front end out of its configuration: each part, in order, from those before it."""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from random import Random
from typing import Protocol

from walnutpost.agent import INCARNATION_VARIABLE
from walnutpost.config import (
    Config,
    WorkerConfig,
    build_catalogue,
    build_own_schedules,
    build_router_settings,
)
from walnutpost.config.base import parse_address
from walnutpost.config.conversion import build_budgets, build_metering_policy, ms_to_us
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.controlplane import ControlPlaneClient
from walnutpost.daemon.background_tasks import BackgroundTasks
from walnutpost.daemon.call_acceptance import CallAcceptance
from walnutpost.daemon.call_counter import CallCounter
from walnutpost.daemon.call_dispatch import CallDispatch
from walnutpost.daemon.call_intents import CallIntents
from walnutpost.daemon.call_results import CallResults
from walnutpost.daemon.config_application import ConfigApplier
from walnutpost.daemon.config_cache import ConfigCache
from walnutpost.daemon.config_watch import ConfigWatch
from walnutpost.daemon.deferred import DeferredCalls
from walnutpost.daemon.deferred_recovery import DeferredRecovery
from walnutpost.daemon.dynamic_functions import DynamicFunctions
from walnutpost.daemon.endpoint_cache import EndpointCache
from walnutpost.daemon.endpoint_lists import EndpointLists
from walnutpost.daemon.execution_records import ExecutionRecords
from walnutpost.daemon.fleet import EndpointApplier, FleetMembership, FleetReporter
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.daemon.keys import CertificateReloader
from walnutpost.daemon.ledger_writer import LedgerWriter
from walnutpost.daemon.metering import BudgetMonitor, UsageMetering, record_crash_gap
from walnutpost.daemon.open_calls import OpenCalls
from walnutpost.daemon.replication import JournalReplication
from walnutpost.daemon.result_purge import ResultPurger
from walnutpost.daemon.schedule_progress import ScheduleProgressFile
from walnutpost.daemon.usage_collector import UsageCollector
from walnutpost.daemon.usage_observer import FunctionSizes, UsageObserver
from walnutpost.dispatch import Dispatcher, DispatchHooks
from walnutpost.eventloop import Logger, Loop, TrafficObserver
from walnutpost.fleet import EndpointFollower
from walnutpost.fronts.cron import CronFront, FiringLimits
from walnutpost.fronts.invoke import ArnFormat, InvokeFront, build_bad_message_response
from walnutpost.gateway import Catalogue, Gateway
from walnutpost.http import Limits, Server
from walnutpost.http.server import serve_on
from walnutpost.interface import ListKind, RequestClass
from walnutpost.metering import Budgets, Ledger, UsageSampler
from walnutpost.store import ExecutionStore, FiringStore, UsageStore
from walnutpost.watch import ServerPool, Watcher
from walnutpost.workerclient import WorkerClient, WorkerClientSettings

BYTES_PER_MB = 1 << 20
MIN_CONTROL_PLANE_TIMEOUT_US = 1_000_000


def read_wall_clock() -> int:
    """Return the time of day in microseconds since the epoch."""
    return time.time_ns() // 1000


class FrontEndObserver(TrafficObserver, Protocol):
    """A traffic observer that also records the endpoint lists that the front end was given."""

    def on_endpoints_listed(self, version: int, lines: list[WorkerConfig]) -> None:
        """Record a list."""


@dataclass(frozen=True, slots=True)
class _Environment:
    """What a front end is started with."""

    loop: Loop
    config: Config
    log: Logger
    traffic_observer: FrontEndObserver | None
    base: Path
    wall_clock: Callable[[], int]

    def store_file(self, suffix: str) -> Path:
        """Return a file that stands beside the store, and whose name begins with the store's."""
        return self.base / f"{self.config.front.store}{suffix}"


@dataclass(frozen=True, slots=True)
class _Metering:
    """The metering, and what it observes of the dispatcher's calls."""

    metering: UsageMetering
    observer: UsageObserver


def build_front_end(
    loop: Loop,
    config: Config,
    log: Logger,
    traffic_observer: FrontEndObserver | None = None,
    base: Path | None = None,
    wall_clock: Callable[[], int] | None = None,
) -> FrontEnd:
    """Build all parts and listen; to be called in a task. Two front ends in one process share nothing.

    Paths in `config` are relative to `base`. `wall_clock` is the time of day for schedules, which may be set;
    the loop's own time never steps. Raises InvalidCertificateError, OSError, StoreError or ValueError for a
    file or an address that can't be used.
    """
    environment = _Environment(
        loop, config, log, traffic_observer, base or Path(), wall_clock or read_wall_clock
    )
    tasks = BackgroundTasks(loop)
    classes = build_router_settings(config).classes

    dynamic_functions = _build_dynamic_functions(config)
    catalogue = _build_catalogue(config, dynamic_functions)
    certificates = _build_certificates(environment)
    worker_client = _build_worker_client(environment, certificates)
    store = ExecutionStore(loop, environment.store_file(""))
    firings = FiringStore(store)
    replication = _build_replication(environment, store, classes)
    open_calls = OpenCalls()
    records = ExecutionRecords(loop, store, replication, log)
    metered = _build_metering(environment, catalogue, worker_client)
    metering, observer = (metered.metering, metered.observer) if metered is not None else (None, None)
    call_counter = _build_call_counter(environment, catalogue, classes)
    hooks = DispatchHooks(observer, CallIntents(open_calls, records, log), call_counter)
    dispatcher = Dispatcher(loop, _build_gateway(config, catalogue), worker_client, log, hooks)
    results = CallResults(loop, open_calls, records, firings.record_ended)
    dispatch = CallDispatch(dispatcher, open_calls, results)
    acceptance = CallAcceptance(loop, catalogue, open_calls, records, dispatch, log)
    deferred = DeferredCalls(open_calls, store, records, acceptance, dispatch, results)
    endpoint_lists = _build_endpoint_lists(environment, dispatcher, worker_client)

    purger = ResultPurger(loop, store, ms_to_us(config.front.result_ttl_ms), log, replication)
    tasks.spawn(purger.run, name="purge")
    if replication is not None:
        tasks.spawn(replication.run, name="journal")
    if certificates is not None:
        tasks.spawn(partial(certificates.follow, worker_client), name="certificates")
    if metering is not None:
        tasks.spawn(metering.run, name="metering")
    _load_endpoint_list(environment, endpoint_lists, tasks)
    fleet = _join_fleet(environment, call_counter, endpoint_lists)
    incarnation = fleet.follower.incarnation if fleet is not None else _new_incarnation()
    config_watch = _watch_config(environment, dynamic_functions, incarnation)

    cron = _build_cron(environment, deferred, firings)
    results.add_listener(cron.handle_ended)
    recovered_calls = _recover_calls(
        DeferredRecovery(loop, catalogue, open_calls, records, dispatch, results),
        lambda: config_watch is None or config_watch.is_up_to_date,
        tasks,
    )
    server = _listen(
        environment,
        InvokeFront(
            dispatcher,
            deferred,
            catalogue,
            classes,
            ArnFormat(),
            ms_to_us(config.front.deferred_deadline_ms),
        ),
    )
    tasks.spawn(cron.run, name="cron")
    if fleet is not None:
        tasks.spawn(fleet.run, name="fleet")
    fields: dict[str, object] = {"recovered_calls": recovered_calls}
    if replication is not None:
        fields["journal_address"] = replication.address
    log.info("listening", role="front_end", address="{}:{}".format(*server.address), **fields)
    return FrontEnd(
        loop=loop,
        log=log,
        shutdown_timeout_us=ms_to_us(config.front.shutdown_timeout_ms),
        server=server,
        dispatcher=dispatcher,
        deferred=deferred,
        store=store,
        catalogue=catalogue,
        worker_client=worker_client,
        endpoint_lists=endpoint_lists,
        cron=cron,
        tasks=tasks,
        replication=replication,
        metering=metering,
        fleet=fleet,
        call_counter=call_counter,
        config_watch=config_watch,
        recovered_calls=recovered_calls,
    )


def _build_dynamic_functions(config: Config) -> DynamicFunctions | None:
    """Return the functions as the configuration store has them, None if there are no relays."""
    if config.agreement is None or not config.agreement.relays:
        return None
    return DynamicFunctions(build_catalogue(config.site).functions, list(config.site.classes))


def _build_catalogue(config: Config, dynamic_functions: DynamicFunctions | None) -> Catalogue:
    """Build the catalogue: of the configured functions, or of the dynamic ones as they change."""
    catalogue = build_catalogue(config.site)
    if dynamic_functions is None:
        return catalogue
    return replace(catalogue, functions=dynamic_functions, is_changing=True)


def _build_gateway(config: Config, catalogue: Catalogue) -> Gateway:
    front = config.front
    return Gateway(
        build_router_settings(config),
        catalogue,
        front.seed if front.seed is not None else secrets.randbits(63),
        ms_to_us(front.outcome_ttl_ms),
        int(front.max_outcome_mb * BYTES_PER_MB),
    )


def _build_certificates(environment: _Environment) -> CertificateReloader | None:
    section = environment.config.front.tls
    if section is None:
        return None
    return CertificateReloader(environment.loop, section, environment.base, read_wall_clock, environment.log)


def _build_worker_client(environment: _Environment, certificates: CertificateReloader | None) -> WorkerClient:
    front = environment.config.front
    site = environment.config.site
    settings = WorkerClientSettings(
        call_id_prefix=f"{front.index}-{secrets.token_hex(6)}",
        connect_timeout_us=ms_to_us(front.connect_timeout_ms),
        order_timeout_us=ms_to_us(site.load_order_timeout_ms),
        idle_timeout_us=ms_to_us(front.connection_idle_ms),
        report_fields=tuple(site.report_fields),
    )
    context = certificates.context if certificates is not None else None
    return WorkerClient(
        environment.loop,
        settings,
        environment.traffic_observer,
        context,
        wall_clock=environment.wall_clock,
    )


def _build_replication(
    environment: _Environment, store: ExecutionStore, classes: tuple[RequestClass, ...]
) -> JournalReplication | None:
    """Return the journal's replication, after it has recovered what replicas have; None without a journal."""
    config = environment.config
    if config.journal is None:
        return None
    return JournalReplication(environment.loop, config, config.journal, store, classes, environment.log)


def _build_metering(
    environment: _Environment, catalogue: Catalogue, worker_client: WorkerClient
) -> _Metering | None:
    """Open the ledger; None without a `metering` section."""
    section = environment.config.metering
    if section is None:
        return None
    loop, site, log = environment.loop, environment.config.site, environment.log
    now = loop.now()
    store = UsageStore(loop, environment.base / section.file)
    saved, last_run = store.load()
    ledger = Ledger(build_metering_policy(section), saved, now)
    keep_alive_us, write_interval_us = ms_to_us(site.keep_alive_ms), ms_to_us(section.write_interval_ms)
    sampler = UsageSampler(now, FunctionSizes(catalogue.functions), keep_alive_us)
    max_deadline_us = max(ms_to_us(each.deadline_ms) for each in site.classes.values())
    record_crash_gap(ledger, last_run, write_interval_us + max_deadline_us + keep_alive_us, log)
    budgets = Budgets(build_budgets(section))
    metering = UsageMetering(
        loop,
        ledger,
        UsageCollector(loop, worker_client, ledger, sampler, log),
        BudgetMonitor(ledger, budgets, log),
        LedgerWriter(loop, store, ledger, sampler, write_interval_us, log),
        ms_to_us(section.fetch_interval_ms),
    )
    return _Metering(metering, UsageObserver(loop, sampler, budgets, site.default_tenant))


def _build_call_counter(
    environment: _Environment, catalogue: Catalogue, classes: tuple[RequestClass, ...]
) -> CallCounter | None:
    """Return the counter for the reports to the control plane, None without one."""
    agreement = environment.config.agreement
    if agreement is None or not agreement.keepers:
        return None
    return CallCounter(environment.loop, catalogue.functions, classes)


def _build_endpoint_lists(
    environment: _Environment, dispatcher: Dispatcher, worker_client: WorkerClient
) -> EndpointLists:
    observer = environment.traffic_observer
    return EndpointLists(
        environment.loop,
        dispatcher,
        worker_client,
        environment.config.site,
        environment.log,
        observer.on_endpoints_listed if observer else None,
    )


def _load_endpoint_list(
    environment: _Environment, endpoint_lists: EndpointLists, tasks: BackgroundTasks
) -> None:
    """Load the list of workers from its file, which is then polled, or from the configuration."""
    front = environment.config.front
    if front.workers_file is None:
        endpoint_lists.set_configured(ListKind.CACHED, 0, front.workers)
        return
    path = environment.base / front.workers_file
    endpoint_lists.read_file(path, ListKind.CACHED)
    watch = partial(endpoint_lists.watch_file, path, ms_to_us(front.workers_poll_ms))
    tasks.spawn(watch, name="endpoint list")


def _join_fleet(
    environment: _Environment, call_counter: CallCounter | None, endpoint_lists: EndpointLists
) -> FleetMembership | None:
    """Register with the control plane if there is one, and wait for its list of endpoints."""
    config = environment.config
    if config.agreement is None or call_counter is None:
        return None
    loop, log, section = environment.loop, environment.log, config.agreement
    own = os.environ.get(INCARNATION_VARIABLE)
    follower = EndpointFollower(section.member, own or secrets.token_hex(6), own is not None)
    report_interval_us = ms_to_us(section.report_interval_ms)
    timeout_us = max(report_interval_us, MIN_CONTROL_PLANE_TIMEOUT_US)
    addresses = {name: parse_address(address) for name, address in section.keepers.items()}
    client = ControlPlaneClient(loop, addresses, timeout_us, timeout_us // 2)
    reporter = FleetReporter(client, follower, config.front.zone or "all", call_counter, log)
    cache = EndpointCache(loop, environment.store_file(".agreed"), log)
    applier = EndpointApplier(loop, follower, endpoint_lists, cache, log)
    fleet = FleetMembership(loop, reporter, applier, report_interval_us)
    fleet.catch_up()
    return fleet


def _new_incarnation() -> str:
    """Return the incarnation that the agent gave to this process, else a random one."""
    return os.environ.get(INCARNATION_VARIABLE) or secrets.token_hex(6)


def _watch_config(
    environment: _Environment, functions: DynamicFunctions | None, incarnation: str
) -> ConfigWatch | None:
    """Watch the dynamic settings if there are relays, and wait for their first answer."""
    config = environment.config
    if config.agreement is None or functions is None:
        return None
    loop, log, section = environment.loop, environment.log, config.agreement
    cache = ConfigCache(loop, environment.store_file(".table"), log)
    watch_state = cache.load(section.member, incarnation)
    applier = ConfigApplier(loop, watch_state, functions, cache, log)
    zones = {name: section.relay_zones.get(name, "") for name in section.relays}
    selector = RelaySelector(section.member, zones, config.front.zone or "", Random())
    servers = {name: partial(parse_address, address) for name, address in section.relays.items()}
    watcher = Watcher(loop, ServerPool(servers, selector), watch_state, applier.handle_outcome, log)
    watch = ConfigWatch(loop, watch_state, watcher, applier, cache)
    watch.catch_up()
    return watch


def _build_cron(environment: _Environment, deferred: DeferredCalls, firings: FiringStore) -> CronFront:
    front = environment.config.front
    progress = ScheduleProgressFile(environment.store_file(".seen"))
    newest_mark = max(firings.load_marks().values(), default=0)
    return CronFront(
        environment.loop,
        environment.wall_clock,
        build_own_schedules(environment.config),
        deferred,
        firings,
        progress.uncertain_until(newest_mark),
        FiringLimits(front.max_concurrent_firings, front.firings_per_s),
        environment.log,
        progress.write,
    )


def _recover_calls(
    recovery: DeferredRecovery, are_functions_known: Callable[[], bool], tasks: BackgroundTasks
) -> int:
    """Take over the open calls of the last process; return how many there are."""
    recovered_calls = recovery.recover(are_functions_known())
    tasks.spawn(partial(recovery.await_functions, are_functions_known), name="await functions")
    return recovered_calls


def _listen(environment: _Environment, invoke: InvokeFront) -> Server:
    front = environment.config.front
    return serve_on(
        environment.loop,
        parse_address(front.listen),
        invoke.handle,
        build_bad_message_response,
        Limits(front.max_head_bytes, front.max_body_bytes, ms_to_us(front.head_timeout_ms)),
        environment.traffic_observer,
        "front",
        log=environment.log,
    )
