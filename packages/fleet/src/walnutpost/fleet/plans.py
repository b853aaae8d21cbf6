"""Handlers of commands about plans: releases, rollbacks and drains, their steps, halts and ends.

Reasons of halts and ends are stored in the state, and replicas of two versions must agree on them: the texts
must not change.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, zip_longest

from walnutpost.fleet.commands import CommandResult, HaltPlan, RecordStepVerdict, ResumePlan, StartPlan
from walnutpost.fleet.context import FleetContext
from walnutpost.fleet.plan_progress import fail_plan, running_plans
from walnutpost.fleet.retention import trim_plans
from walnutpost.fleet.state import FleetState, Plan


def start_plan(fleet: FleetContext, command: StartPlan) -> CommandResult:
    """Start a plan for those of its members that don't run its version yet."""
    state = fleet.state
    if error := _conflict(state, command) or _invalid_reference(state, command) or _invalid_shape(command):
        return fleet.rejected(error)
    members = [name for name in command.members if _is_affected(state, command, name)]
    if command.replaces:
        state.plans[command.replaces].end_reason = f"replaced by {command.plan}"
    state.plans[command.plan] = Plan(
        id=command.plan,
        members=_interleave_zones(state, members),
        version=command.version,
        steps=list(command.steps),
        rollback_version=command.rollback_version,
        end_reason="" if members else "done: all were at it",
        keeps_members_out=command.keeps_members_out,
        requires_verdict=command.requires_verdict and bool(command.version),
    )
    trim_plans(state)
    return fleet.accepted()


def _conflict(state: FleetState, command: StartPlan) -> str:
    """Return an error if a running plan conflicts: two releases, or two plans for the same member."""
    if command.plan in state.plans:
        return f"plan {command.plan} is known already"
    for plan in running_plans(state):
        if plan.id == command.replaces:
            continue
        if (command.version and plan.version) or set(plan.members) & set(command.members):
            return f"plan {plan.id} is under way"
    return ""


def _invalid_reference(state: FleetState, command: StartPlan) -> str:
    """Return an error if the command names a plan, version or member that is not known."""
    if command.replaces and (command.replaces not in state.plans or state.plans[command.replaces].end_reason):
        return f"no plan {command.replaces} under way to replace"
    if command.version and command.version not in state.versions:
        return f"version {command.version} is not kept"
    if command.rollback_version and command.rollback_version not in state.versions:
        return f"version {command.rollback_version} to go back to is not kept"
    if unknown := [name for name in command.members if name not in state.members]:
        return f"no member {', '.join(unknown)}"
    return ""


def _invalid_shape(command: StartPlan) -> str:
    """Return an error if the command's own fields contradict each other."""
    steps = list(command.steps)
    if not command.members or not steps or steps != sorted(set(steps)) or steps[-1] != 1.0:
        return "members, and steps that rise to 1, are wanted"
    if command.keeps_members_out and command.version:
        return "a release holds nobody out"
    return ""


def _is_affected(state: FleetState, command: StartPlan, name: str) -> bool:
    """Whether the plan has to take this member out; the future version of one under a permit is unknown."""
    if not command.version or state.members[name].version != command.version:
        return True
    return any(permit.member == name for permit in state.permits.values())


def _interleave_zones(state: FleetState, names: Iterable[str]) -> list[str]:
    """Return the members, each zone in turn, so that a step never takes out a complete zone first."""
    zones: dict[str, list[str]] = {}
    for name in sorted(set(names)):
        zones.setdefault(state.members[name].zone, []).append(name)
    rounds = zip_longest(*(zones[zone] for zone in sorted(zones)))
    return [name for name in chain.from_iterable(rounds) if name is not None]


def record_step_verdict(fleet: FleetContext, command: RecordStepVerdict) -> CommandResult:
    """Begin the next step, end the plan, or fail it after a failed step."""
    plan = fleet.state.plans.get(command.plan)
    if plan is None or plan.end_reason or plan.step != command.step:
        return fleet.rejected(f"plan {command.plan} is not at step {command.step}")
    if not command.passed:
        fail_plan(fleet, plan, command.reason)
        return fleet.accepted()
    if plan.halt_reason:
        return fleet.rejected(plan.halt_reason)
    missing = plan.eligible_count() - len(plan.completed)
    if missing > 0:
        return fleet.rejected(f"{missing} members of step {command.step} are not back")
    plan.baseline = command.baseline or plan.baseline
    if len(plan.completed) == len(plan.members):
        plan.end_reason = "done"
    else:
        plan.step += 1
    return fleet.accepted()


def halt_plan(fleet: FleetContext, command: HaltPlan) -> CommandResult:
    """Halt one plan, or the granting of all permits if none is named."""
    reason = command.reason or "halted by an operator"
    if not command.plan:
        fleet.state.halt_reason = reason
        return fleet.accepted()
    plan = fleet.state.plans.get(command.plan)
    if plan is None or plan.end_reason:
        return fleet.rejected(f"no plan {command.plan} under way")
    plan.halt_reason = reason
    return fleet.accepted()


def resume_plan(fleet: FleetContext, command: ResumePlan) -> CommandResult:
    """End the halt of one plan, or the general halt if none is named."""
    if not command.plan:
        fleet.state.halt_reason = ""
        return fleet.accepted()
    plan = fleet.state.plans.get(command.plan)
    if plan is None or plan.end_reason or not plan.halt_reason:
        return fleet.rejected(f"no plan {command.plan} that is halted")
    plan.halt_reason = ""
    return fleet.accepted()
