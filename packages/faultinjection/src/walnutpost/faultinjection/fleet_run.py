"""Plays a fleet's scenario: the cluster, the traffic, the steps, and what the observer saw."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from pathlib import Path

from walnutpost.config import Config
from walnutpost.eventloop import Logger, Loop
from walnutpost.faultinjection.audit import Verdict, audit_folder
from walnutpost.faultinjection.call_results import CallResult
from walnutpost.faultinjection.capture import CAPTURE_SUFFIX, Capture
from walnutpost.faultinjection.clients import Clients
from walnutpost.faultinjection.fleet_cluster import FleetCluster
from walnutpost.faultinjection.fleet_scenario import FleetScenario
from walnutpost.faultinjection.fleet_steps import StepRunner
from walnutpost.faultinjection.outages import BudgetCheck, HaltSpan, check_outages
from walnutpost.faultinjection.scenario import Scenario
from walnutpost.fleet import FleetState

SECOND_US = 1_000_000


@dataclass(slots=True)
class FleetOutcome:
    """What came of a scenario.

    `violations`: what the observer saw against what was agreed. `max_unavailable`: by kind, the most that
    were down at once, without those that the scenario had taken down. `failures`: what went wrong with the
    run itself.
    """

    results: list[CallResult]
    verdict: Verdict
    violations: list[str]
    failures: list[str]
    max_unavailable: dict[str, int]
    state: FleetState

    @property
    def has_passed(self) -> bool:
        """Whether no rule was violated and nothing went wrong."""
        return self.verdict.has_passed and not self.violations and not self.failures


@dataclass(slots=True)
class _Run:
    results: list[CallResult]
    halts: list[HaltSpan]
    state: FleetState


def play_fleet(scenario: FleetScenario, config: Config, folder: Path, log: Logger) -> FleetOutcome:
    """Play a scenario in real time; logs and captures stay in `folder`. Raises ClusterError."""
    task_failures: list[str] = []
    loop = Loop(on_error=lambda name, error: task_failures.append(f"{name}: {error!r}"))
    cluster = FleetCluster(loop, config, scenario, folder)
    try:
        run = loop.run(lambda: _run(cluster, log))
    finally:
        cluster.stop()
    check = check_outages(cluster.observer.outages, run.halts, _budget_check(cluster))
    return FleetOutcome(
        results=run.results,
        verdict=audit_folder(folder),
        violations=check.violations,
        failures=[*task_failures, *cluster.failures],
        max_unavailable=check.max_unavailable,
        state=run.state,
    )


def _run(cluster: FleetCluster, log: Logger) -> _Run:
    """Run traffic and steps against a cluster, from its start until its plans have ended."""
    loop, scenario = cluster.loop, cluster.scenario
    cluster.start()
    processes = len(cluster.processes) + len(cluster.members)
    log.info("fleet_started", processes=processes, folder=str(cluster.folder))
    observer = loop.spawn(cluster.observer.run, name="observer")
    steps = StepRunner(cluster, log)
    tasks = [loop.spawn(steps.run, step, name=f"step {number}") for number, step in enumerate(scenario.acts)]
    clients = _clients(cluster)
    clients.run()
    for task in tasks:  # one may wait for what never comes; faults are healed
        task.cancel()
    cluster.wait_until(lambda: all(task.is_done for task in tasks), "what is broken to be made good")
    cluster.network.heal()
    timeout_us = int(scenario.patience_s * SECOND_US)
    cluster.wait_until(lambda: _has_settled(cluster.state()), "plans to end or halt", timeout_us)
    state = cluster.state()
    observer.cancel()
    return _Run(clients.results, steps.halts, state)


def _clients(cluster: FleetCluster) -> Clients:
    scenario = cluster.scenario
    traffic = Scenario(
        config=scenario.config,
        seed=scenario.seed,
        duration_s=scenario.duration_s,
        traffic=scenario.traffic,
    )
    traffic_observer = Capture(
        cluster.folder / f"clients{CAPTURE_SUFFIX}", "client", "clients", cluster.loop.now
    )
    find_addresses = [partial(cluster.observer.address_of, name) for name in cluster.front_ends]
    return Clients(cluster.loop, traffic, cluster.config, find_addresses, traffic_observer)


def _has_settled(state: FleetState) -> bool:
    """Whether no member goes out or comes back, and no plan could go on without calls to analyze.

    A drain that keeps its members out has done what it can.
    """
    lasting = {plan.id for plan in state.plans.values() if plan.keeps_members_out}
    if not all(permit.plan in lasting and permit.confirmed_index for permit in state.permits.values()):
        return False
    return all(
        plan.end_reason
        or plan.halt_reason
        or state.halt_reason
        or plan.keeps_members_out
        or len(plan.completed) >= plan.eligible_count()
        for plan in state.plans.values()
    )


def _budget_check(cluster: FleetCluster) -> BudgetCheck:
    return BudgetCheck(
        members={"front_end": cluster.front_ends, "worker": cluster.workers},
        zones=cluster.zones,
        all_zones=tuple(cluster.scenario.zones),
        budgets=tuple(cluster.scenario.budgets),
    )
