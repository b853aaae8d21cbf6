"""Plays a scenario: starts the cluster, sends the traffic, injects the faults, audits what was captured."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from walnutpost.config import Config
from walnutpost.config.conversion import ms_to_us
from walnutpost.eventloop import Logger, Loop, TaskGroup
from walnutpost.faultinjection.audit import Verdict, audit_folder
from walnutpost.faultinjection.call_results import CallResult
from walnutpost.faultinjection.capture import CAPTURE_SUFFIX, Capture
from walnutpost.faultinjection.clients import Clients
from walnutpost.faultinjection.cluster import Cluster, ledger_name
from walnutpost.faultinjection.fault_steps import FaultInjector
from walnutpost.faultinjection.scenario import Scenario
from walnutpost.faultinjection.usage import UsageComparison, compare_usage

SECOND_US = 1_000_000
METERING_DELAY_US = 5 * SECOND_US  # after which the end of idle copies is in the ledgers
FAULT_SEED_FACTOR = 7919


@dataclass(slots=True)
class ScenarioOutcome:
    """`failures`: what went wrong with the run itself, as a process that did not end."""

    results: list[CallResult]
    verdict: Verdict
    failures: list[str]
    usage: list[UsageComparison] = field(default_factory=list)


def play(scenario: Scenario, config: Config, folder: Path, log: Logger) -> ScenarioOutcome:
    """Play a scenario in real time; captures and logs stay in `folder`. Raises ClusterError."""
    task_failures: list[str] = []
    loop = Loop(on_error=lambda name, error: task_failures.append(f"{name}: {error!r}"))
    cluster = Cluster(loop, config, scenario, folder)
    try:
        results = loop.run(lambda: _run(cluster, log))
    finally:
        ended_us = loop.now()
        cluster.stop()
    usage: list[UsageComparison] = []
    if config.metering is not None:
        ledgers = [folder / ledger_name(index) for index in range(scenario.front_ends)]
        usage = compare_usage(folder, ledgers, cluster.config, cluster.kills_us, ended_us)
    return ScenarioOutcome(results, audit_folder(folder), [*task_failures, *cluster.failures], usage)


def _run(cluster: Cluster, log: Logger) -> list[CallResult]:
    """Run traffic and faults against a cluster, from its start on."""
    loop, scenario, folder = cluster.loop, cluster.scenario, cluster.folder
    cluster.start()
    log.info("cluster_started", folder=str(folder), processes=len(cluster.processes))
    traffic_observer = Capture(folder / f"clients{CAPTURE_SUFFIX}", "client", "clients", loop.now)
    find_addresses = [partial(lambda address: address, each) for each in cluster.front_end_addresses]
    clients = Clients(loop, scenario, cluster.config, find_addresses, traffic_observer)
    with TaskGroup(loop) as group:
        for number, fault in enumerate(scenario.troubles):
            rng = Random(scenario.seed * FAULT_SEED_FACTOR + number)
            injector = FaultInjector(cluster, fault, rng, log)
            group.spawn(injector.run, name=fault.what)
        clients.run()
        log.info("traffic_ended", calls=len(clients.results))
    if cluster.config.metering is not None:  # until idle copies are gone, and their end is known
        loop.sleep(ms_to_us(cluster.config.site.keep_alive_ms) + METERING_DELAY_US)
    return clients.results
