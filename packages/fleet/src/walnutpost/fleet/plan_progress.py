"""Effects of other commands on running plans: permits forbidden, halts, completed members, rollbacks, ends.

Reasons of halts and ends are stored in the state, and replicas of two versions must agree on them: the texts
must not change.
"""

from __future__ import annotations

from walnutpost.fleet.budgets import BudgetUsage
from walnutpost.fleet.commands import CompletePermit, RequestPermit
from walnutpost.fleet.context import FleetContext
from walnutpost.fleet.state import FleetState, Permit, Plan


def plan_blocking_reason(fleet: FleetContext, command: RequestPermit) -> str:
    """Return why the plan that a permit is requested for forbids it; empty if it doesn't."""
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


def halt_plans_over_budget(fleet: FleetContext, kind: str, usage: BudgetUsage) -> None:
    """Halt the running plans that would still take out members that count in a used-up budget."""
    for plan in running_plans(fleet.state):
        if not plan.halt_reason and _has_pending_member(fleet.state, plan, kind, usage.zone):
            plan.halt_reason = f"the budget is used up without it: {usage.description}"


def record_completion(fleet: FleetContext, permit: Permit, command: CompletePermit) -> None:
    """Count a member as completed in the plans that wait for it, or fail the plan in which it failed."""
    name = permit.member
    for plan in running_plans(fleet.state):
        if name not in plan.members or name in plan.completed:
            continue
        is_completed = plan.version == command.version if plan.version else plan.id == permit.plan
        if is_completed:
            plan.completed.append(name)
            _end_if_complete(plan)
        elif command.failure and plan.id == permit.plan:
            fail_plan(fleet, plan, f"{name}: {command.failure}")


def remove_member_from_plans(fleet: FleetContext, name: str) -> None:
    """Remove a member from all running plans."""
    for plan in running_plans(fleet.state):
        if name in plan.members:
            plan.members.remove(name)
            plan.completed = [member for member in plan.completed if member != name]
            _end_if_complete(plan)


def running_plans(state: FleetState) -> list[Plan]:
    """Return the plans that have not ended."""
    return [plan for plan in state.plans.values() if not plan.end_reason]


def _has_pending_member(state: FleetState, plan: Plan, kind: str, zone: str) -> bool:
    """Whether the plan has yet to take out a member of this kind, in this zone unless it is empty."""
    pending = [state.members[n] for n in plan.members if n not in plan.completed and n in state.members]
    return any(member.kind == kind and zone in ("", member.zone) for member in pending)


def _end_if_complete(plan: Plan) -> None:
    """End a drain or rollback; the steps of a release end by verdicts."""
    if not plan.requires_verdict and len(plan.completed) == len(plan.members):
        plan.end_reason = "done"


def fail_plan(fleet: FleetContext, plan: Plan, reason: str) -> None:
    """Halt a plan; if it has a version to roll back to, end it and start the rollback, another plan."""
    plan.halt_reason = plan.halt_reason or reason
    if not plan.rollback_version or plan.end_reason:
        return
    plan.end_reason = f"gone back: {reason}"
    members = [name for name in plan.members if _is_touched(fleet.state, plan, name)]
    if members:
        rollback = f"{plan.id}.back"
        fleet.state.plans[rollback] = Plan(
            rollback, members, plan.rollback_version, [1.0], "", requires_verdict=False
        )


def _is_touched(state: FleetState, plan: Plan, name: str) -> bool:
    """Whether a member runs the plan's version, or has a permit of the plan and may start with it."""
    is_out = any(permit.member == name and permit.plan == plan.id for permit in state.permits.values())
    member = state.members.get(name)
    return is_out or (member is not None and member.version == plan.version)
