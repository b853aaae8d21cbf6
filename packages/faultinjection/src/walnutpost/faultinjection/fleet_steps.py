"""The steps of a fleet's scenario: when each is taken, and what operators do."""

from __future__ import annotations

import json
from contextlib import ExitStack

from walnutpost.config import overlay_sections
from walnutpost.eventloop import Logger
from walnutpost.faultinjection.fleet_cluster import FleetCluster
from walnutpost.faultinjection.fleet_faults import injected
from walnutpost.faultinjection.fleet_scenario import AnyStep, OperatorStep, ProcessFault
from walnutpost.faultinjection.outages import HaltSpan
from walnutpost.fleet import FleetState

SECOND_US = 1_000_000
US_PER_MS = 1000
CONDITION_POLL_INTERVAL_US = SECOND_US // 50
NEVER_US = 1 << 62
RELEASE_STEPS = "0.5,1"
OPERATOR = "trial"
LEADER = "leader"


class StepRunner:
    """Takes the steps of a scenario; `halts` are the times in which a halt was in effect."""

    def __init__(self, cluster: FleetCluster, log: Logger) -> None:
        self.halts: list[HaltSpan] = []
        self._cluster = cluster
        self._log = log

    def run(self, step: AnyStep) -> None:
        """Wait for a step's condition and time, and take it; raises ClusterError."""
        loop = self._cluster.loop
        while step.when and not self._is_met(step):
            loop.sleep(CONDITION_POLL_INTERVAL_US)
        loop.sleep(round(step.at_s * SECOND_US))
        self._log.info("step_taken", **step.model_dump(exclude_defaults=True))
        if isinstance(step, OperatorStep):
            self._operate(step)
        else:
            self._inject(step)

    def _inject(self, fault: ProcessFault) -> None:
        with ExitStack() as stack:
            for target in fault.on:
                name = self._cluster.leader() if target == LEADER else target
                stack.enter_context(injected(self._cluster, fault, name))
            self._cluster.loop.sleep(round(fault.for_s * SECOND_US))

    def _is_met(self, step: AnyStep) -> bool:
        if step.when == LEADER:
            return self._cluster.leader() == step.of
        state = self._cluster.newest_state()
        return state is not None and _is_met_in(state, step)

    def _operate(self, step: OperatorStep) -> None:
        operator = self._cluster.operator
        plan = ["--plan", step.plan] if step.plan else []
        match step.what:
            case "release":
                operator("release", self._write_version(step.content), "--steps", RELEASE_STEPS, *plan)
            case "rollback":
                first_version = next(iter(self._cluster.state().versions))
                operator("rollback", "--to", first_version, *plan)
            case "drain" | "cycle":
                operator(step.what, *step.on, *plan)
            case "return":
                for name in step.on:
                    operator("return", name, "--operator", OPERATOR)
            case "judge":
                operator("judge", step.plan, "good" if step.good else "bad")
            case "halt":
                operator("halt", "--why", OPERATOR, *plan)
                self._begin_halt()
            case "resume":
                self._end_halt()
                operator("resume", *plan)

    def _write_version(self, name: str) -> str:
        """Write a version's content as a file; return its path."""
        cluster = self._cluster
        site = cluster.config.model_dump(mode="json", by_alias=True)
        path = cluster.folder / f"{name}.version"
        path.write_text(json.dumps(overlay_sections(site, cluster.scenario.versions[name])))
        return str(path)

    def _begin_halt(self) -> None:
        """Count a halt from when permits that were granted before it can't begin any more."""
        begin_within_us = round(self._cluster.scenario.begin_within_ms * US_PER_MS)
        self.halts.append(HaltSpan(self._cluster.loop.now() + begin_within_us, NEVER_US))

    def _end_halt(self) -> None:
        if self.halts:
            self.halts[-1].end_us = self._cluster.loop.now()


def _is_met_in(state: FleetState, step: AnyStep) -> bool:
    permits = [p for p in state.permits.values() if step.of in ("", p.plan, p.member)]
    plans = [plan for plan in state.plans.values() if step.of in ("", plan.id)]
    match step.when:
        case "permit":
            return bool(permits)
        case "begun":
            return any(permit.has_begun for permit in permits)
        case "cleared":
            return any(permit.confirmed_index for permit in permits)
        case "plan open":
            return any(not plan.end_reason for plan in plans)
        case "halted":
            return bool(state.halt_reason) or any(plan.halt_reason for plan in plans)
        case _:
            return any(plan.end_reason for plan in plans)
