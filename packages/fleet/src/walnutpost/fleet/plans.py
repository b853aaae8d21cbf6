"""Handlers of commands about plans: releases, rollbacks and drains, their steps, halts and ends.

Reasons of halts and ends are stored in the state, and replicas of two versions must agree on them: the texts
must not change.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, zip_longest

from walnutpost.fleet.budgets import BudgetUsage
from walnutpost.fleet.commands import (
    CommandResult,
    CompletePermit,
    HaltPlan,
    RecordStepVerdict,
    RequestPermit,
    ResumePlan,
    StartPlan,
)
from walnutpost.fleet.context import FleetContext
from walnutpost.fleet.retention import trim_plans
from walnutpost.fleet.state import FleetState, Permit, Plan


def start_plan(fleet: FleetContext, command: StartPlan) -> CommandResult:
    """Start a plan over the members that don't run its version yet."""
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
    """Return a plan that must not run beside this one: two releases, or two plans over one member."""
    if command.plan in state.plans:
        return f"plan {command.plan} is known already"
    for plan in _running(state):
        if plan.id == command.replaces:
            continue
        if (command.version and plan.version) or set(plan.members) & set(command.members):
            return f"plan {plan.id} is under way"
    return ""


def _invalid_reference(state: FleetState, command: StartPlan) -> str:
    """Return a plan, version or member that the command names and that is not known."""
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
    """Return what is wrong with the command by itself."""
    steps = list(command.steps)
    if not command.members or not steps or steps != sorted(set(steps)) or steps[-1] != 1.0:
        return "members, and steps that rise to 1, are wanted"
    if command.keeps_members_out and command.version:
        return "a release holds nobody out"
    return ""


def _is_affected(state: FleetState, command: StartPlan, name: str) -> bool:
    """Whether the plan has to take this member out; what one under permit will run is not known yet."""
    if not command.version or state.members[name].version != command.version:
        return True
    return any(permit.member == name for permit in state.permits.values())


def _interleave_zones(state: FleetState, names: Iterable[str]) -> list[str]:
    """Each zone in turn, so that a step never takes out a whole zone first."""
    zones: dict[str, list[str]] = {}
    for name in sorted(set(names)):
        zones.setdefault(state.members[name].zone, []).append(name)
    rounds = zip_longest(*(zones[zone] for zone in sorted(zones)))
    return [name for name in chain.from_iterable(rounds) if name is not None]


def record_step_verdict(fleet: FleetContext, command: RecordStepVerdict) -> CommandResult:
    """Let the next step begin, end the plan, or halt it after a failed step."""
    plan = fleet.state.plans.get(command.plan)
    if plan is None or plan.end_reason or plan.step != command.step:
        return fleet.rejected(f"plan {command.plan} is not at step {command.step}")
    if not command.passed:
        _fail_plan(fleet, plan, command.reason)
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
    """Halt one plan, or the granting of permits altogether."""
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
    """End a halt of one plan, or the general one."""
    if not command.plan:
        fleet.state.halt_reason = ""
        return fleet.accepted()
    plan = fleet.state.plans.get(command.plan)
    if plan is None or plan.end_reason or not plan.halt_reason:
        return fleet.rejected(f"no plan {command.plan} that is halted")
    plan.halt_reason = ""
    return fleet.accepted()


# What other handlers call


def blocking_reason(fleet: FleetContext, command: RequestPermit) -> str:
    """Why the plan that a permit is requested for forbids it; empty where it doesn't."""
    if not command.plan:
        return ""
    plan = fleet.state.plans.get(command.plan)
    if plan is None or plan.end_reason:
        return f"no plan {command.plan} under way"
    if plan.halt_reason:
        return plan.halt_reason
    if command.member not in plan.members[: plan.eligible_count()]:
        return f"{command.member} is not in step {plan.step + 1} of {command.plan}"
    if command.member in plan.completed:
        return f"{command.member} is done in {command.plan}"
    return ""


def halt_for_usage(fleet: FleetContext, kind: str, usage: BudgetUsage) -> None:
    """Halt the running plans that would still take out members that count in a used-up budget."""
    for plan in _running(fleet.state):
        if not plan.halt_reason and _has_pending_member(fleet.state, plan, kind, usage.zone):
            plan.halt_reason = f"the budget is used up without it: {usage.description}"


def on_member_back(fleet: FleetContext, permit: Permit, command: CompletePermit) -> None:
    """Count a member as completed in the plans that wait for it, or fails the one that it failed in."""
    name = permit.member
    for plan in _running(fleet.state):
        if name not in plan.members or name in plan.completed:
            continue
        is_completed = plan.version == command.version if plan.version else plan.id == permit.plan
        if is_completed:
            plan.completed.append(name)
            _end_if_complete(plan)
        elif command.failure and plan.id == permit.plan:
            _fail_plan(fleet, plan, f"{name}: {command.failure}")


def remove_member(fleet: FleetContext, name: str) -> None:
    """No running plan waits for this member any more."""
    for plan in _running(fleet.state):
        if name in plan.members:
            plan.members.remove(name)
            plan.completed = [member for member in plan.completed if member != name]
            _end_if_complete(plan)


def _running(state: FleetState) -> list[Plan]:
    return [plan for plan in state.plans.values() if not plan.end_reason]


def _has_pending_member(state: FleetState, plan: Plan, kind: str, zone: str) -> bool:
    """Whether the plan has yet to take out a member of this kind, in this zone where one is named."""
    pending = [state.members[n] for n in plan.members if n not in plan.completed and n in state.members]
    return any(member.kind == kind and zone in ("", member.zone) for member in pending)


def _end_if_complete(plan: Plan) -> None:
    """End a drain or rollback; the steps of a release end by verdicts."""
    if not plan.requires_verdict and len(plan.completed) == len(plan.members):
        plan.end_reason = "done"


def _fail_plan(fleet: FleetContext, plan: Plan, reason: str) -> None:
    """Halt a plan and, where it names a version for it, starts the rollback: a plan like any other."""
    plan.halt_reason = plan.halt_reason or reason
    if not plan.rollback_version or plan.end_reason:
        return
    plan.end_reason = f"gone back: {reason}"
    members = [name for name in plan.members if _is_touched(fleet.state, plan, name)]
    if members:
        id = f"{plan.id}.back"
        fleet.state.plans[id] = Plan(id, members, plan.rollback_version, [1.0], "", requires_verdict=False)


def _is_touched(state: FleetState, plan: Plan, name: str) -> bool:
    """Whether a member runs the plan's version, or is out for it and may come up with it."""
    is_out = any(permit.member == name and permit.plan == plan.id for permit in state.permits.values())
    member = state.members.get(name)
    return is_out or (member is not None and member.version == plan.version)
