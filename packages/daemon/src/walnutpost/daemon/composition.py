"""Builds a front end from its configuration, with its parts in the order of their dependencies."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

from walnutpost.config import (
    Config,
    build_catalogue,
    build_own_schedules,
    build_router_settings,
)
from walnutpost.config.base import parse_address
from walnutpost.config.conversion import ms_to_us
from walnutpost.daemon.background_tasks import BackgroundTasks
from walnutpost.daemon.call_acceptance import CallAcceptance
from walnutpost.daemon.call_dispatch import CallDispatch
from walnutpost.daemon.call_intents import CallIntents
from walnutpost.daemon.call_results import CallResults
from walnutpost.daemon.control_plane_parts import (
    build_call_counter,
    build_dynamic_functions,
    join_fleet,
    new_incarnation,
    watch_config,
)
from walnutpost.daemon.deferred import DeferredCalls
from walnutpost.daemon.deferred_recovery import DeferredRecovery
from walnutpost.daemon.dynamic_functions import DynamicFunctions
from walnutpost.daemon.endpoint_lists import EndpointLists
from walnutpost.daemon.environment import Environment, FrontEndObserver, read_wall_clock
from walnutpost.daemon.execution_records import ExecutionRecords
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.daemon.keys import CertificateReloader
from walnutpost.daemon.metering_parts import build_metering
from walnutpost.daemon.open_calls import OpenCalls
from walnutpost.daemon.replication_parts import build_replication
from walnutpost.daemon.result_purge import ResultPurger
from walnutpost.daemon.schedule_progress import ScheduleProgressFile
from walnutpost.dispatch import Dispatcher, DispatchHooks
from walnutpost.eventloop import Logger, Loop
from walnutpost.fronts.cron import CronFront, FiringLimits
from walnutpost.fronts.invoke import ArnFormat, InvokeFront, build_bad_message_response
from walnutpost.gateway import Catalogue, Gateway
from walnutpost.http import Limits, Server
from walnutpost.http.server import start_server
from walnutpost.interface import ListKind
from walnutpost.store import ExecutionStore, FiringStore
from walnutpost.workerclient import WorkerClient, WorkerClientSettings

BYTES_PER_MB = 1 << 20


def build_front_end(
    loop: Loop,
    config: Config,
    log: Logger,
    traffic_observer: FrontEndObserver | None = None,
    base: Path | None = None,
    wall_clock: Callable[[], int] | None = None,
) -> FrontEnd:
    """Build all parts and start listening; must run in a task. Front ends in one process share no state.

    Paths in `config` are relative to `base`. Schedules follow `wall_clock`, which may step when the clock is
    set; event loop time never steps. Raises InvalidCertificateError, OSError, StoreError or ValueError if a
    file or an address can't be used.
    """
    environment = Environment(
        loop, config, log, traffic_observer, base or Path(), wall_clock or read_wall_clock
    )
    tasks = BackgroundTasks(loop)
    classes = build_router_settings(config).classes

    dynamic_functions = build_dynamic_functions(config)
    catalogue = _build_catalogue(config, dynamic_functions)
    certificates = _build_certificates(environment)
    worker_client = _build_worker_client(environment, certificates)
    store = ExecutionStore(loop, environment.store_file(""))
    firings = FiringStore(store)
    replication = build_replication(environment, store, classes)
    call_replication = replication.calls if replication is not None else None
    open_calls = OpenCalls()
    records = ExecutionRecords(loop, store, call_replication, log)
    built_metering = build_metering(environment, catalogue, worker_client)
    metering, observer = (
        (built_metering.metering, built_metering.observer) if built_metering is not None else (None, None)
    )
    call_counter = build_call_counter(environment, catalogue, classes)
    hooks = DispatchHooks(observer, CallIntents(open_calls, records, log), call_counter)
    dispatcher = Dispatcher(loop, _build_gateway(config, catalogue), worker_client, log, hooks)
    results = CallResults(loop, open_calls, records, firings.record_ended)
    dispatch = CallDispatch(dispatcher, open_calls, results)
    acceptance = CallAcceptance(loop, catalogue, open_calls, records, dispatch, log)
    deferred = DeferredCalls(open_calls, store, records, acceptance, dispatch, results)
    endpoint_lists = _build_endpoint_lists(environment, dispatcher, worker_client)

    purger = ResultPurger(loop, store, ms_to_us(config.front.result_ttl_ms), log, call_replication)
    tasks.spawn(purger.run, name="purge")
    if replication is not None:
        tasks.spawn(replication.replacement.run, name="journal")
    if certificates is not None:
        tasks.spawn(partial(certificates.follow, worker_client), name="certificates")
    if metering is not None:
        tasks.spawn(metering.run, name="metering")
    _load_endpoint_list(environment, endpoint_lists, tasks)
    fleet = join_fleet(environment, call_counter, endpoint_lists)
    incarnation = fleet.follower.incarnation if fleet is not None else new_incarnation()
    config_watch = watch_config(environment, dynamic_functions, incarnation)

    cron = _build_cron(environment, deferred, firings)
    results.add_listener(cron.handle_execution_ended)
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


def _build_catalogue(config: Config, dynamic_functions: DynamicFunctions | None) -> Catalogue:
    """Build the catalogue of the configured functions or, if relays are configured, of the dynamic ones."""
    catalogue = build_catalogue(config.site)
    if dynamic_functions is None:
        return catalogue
    return replace(catalogue, functions=dynamic_functions, is_dynamic=True)


def _build_gateway(config: Config, catalogue: Catalogue) -> Gateway:
    front = config.front
    return Gateway(
        build_router_settings(config),
        catalogue,
        front.seed if front.seed is not None else secrets.randbits(63),
        ms_to_us(front.outcome_ttl_ms),
        int(front.max_outcome_mb * BYTES_PER_MB),
    )


def _build_certificates(environment: Environment) -> CertificateReloader | None:
    section = environment.config.front.tls
    if section is None:
        return None
    return CertificateReloader(environment.loop, section, environment.base, read_wall_clock, environment.log)


def _build_worker_client(environment: Environment, certificates: CertificateReloader | None) -> WorkerClient:
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


def _build_endpoint_lists(
    environment: Environment, dispatcher: Dispatcher, worker_client: WorkerClient
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
    environment: Environment, endpoint_lists: EndpointLists, tasks: BackgroundTasks
) -> None:
    """Load the list of workers from the configuration, or from its file, which is polled from then on."""
    front = environment.config.front
    if front.workers_file is None:
        endpoint_lists.set_configured(ListKind.CACHED, 0, front.workers)
        return
    path = environment.base / front.workers_file
    endpoint_lists.read_file(path, ListKind.CACHED)
    watch = partial(endpoint_lists.watch_file, path, ms_to_us(front.workers_poll_ms))
    tasks.spawn(watch, name="endpoint list")


def _build_cron(environment: Environment, deferred: DeferredCalls, firings: FiringStore) -> CronFront:
    front = environment.config.front
    progress = ScheduleProgressFile(environment.store_file(".seen"))
    newest_stored_due = max(firings.load_marks().values(), default=0)
    return CronFront(
        environment.loop,
        environment.wall_clock,
        build_own_schedules(environment.config),
        deferred,
        firings,
        progress.uncertain_until(newest_stored_due),
        FiringLimits(front.max_concurrent_firings, front.firings_per_s),
        environment.log,
        progress.write,
    )


def _recover_calls(
    recovery: DeferredRecovery, are_functions_known: Callable[[], bool], tasks: BackgroundTasks
) -> int:
    """Recover the open calls of the previous process; return how many there are."""
    recovered_calls = recovery.recover(are_functions_known())
    tasks.spawn(partial(recovery.await_functions, are_functions_known), name="await functions")
    return recovered_calls


def _listen(environment: Environment, invoke: InvokeFront) -> Server:
    front = environment.config.front
    return start_server(
        environment.loop,
        parse_address(front.listen),
        invoke.handle,
        build_bad_message_response,
        Limits(front.max_head_bytes, front.max_body_bytes, ms_to_us(front.head_timeout_ms)),
        environment.traffic_observer,
        "front",
        log=environment.log,
    )
