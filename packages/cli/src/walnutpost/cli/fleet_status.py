"""Describes the state of a fleet under the keys that `--format json` shows."""

from __future__ import annotations

from typing import Any

from walnutpost.controlplane.wire import ReplicaStatus
from walnutpost.fleet import FRONT_END, Fleet, FleetState, Plan
from walnutpost.fleet.budgets import budget_usages, unavailable_members


def describe_fleet(view: ReplicaStatus, agreed: Fleet) -> dict[str, Any]:
    """Describe what the fleet has agreed on; `view` is that of the leader."""
    state = agreed.state
    return {
        "index": view.index,
        "leader": view.leader,
        "term": view.term,
        "keepers": list(view.members.all),
        "halted": state.halt_reason,
        "budgets": _budget_descriptions(state),
        "out": [
            _describe_unavailable(state, name)
            for name in sorted(unavailable_members(state.members, state.permits.values()))
        ],
        "plans": {plan.id: _describe_plan(view, state, plan) for plan in state.plans.values()},
        "alone": [
            f"{change.member} by {change.operator}: {change.reason} (to {change.version})"
            for change in state.manual_changes
        ],
    }


def _budget_descriptions(state: FleetState) -> list[str]:
    """Describe the use of each budget that counts for any member, once."""
    descriptions: dict[str, None] = {}
    for member in state.members.values():
        usages = budget_usages(state.budgets, state.members, state.permits.values(), member.kind, member.zone)
        descriptions |= dict.fromkeys(usage.description for usage in usages)
    return list(descriptions)


def _describe_unavailable(state: FleetState, name: str) -> dict[str, Any]:
    permits = {permit.member: permit for permit in state.permits.values()}
    permit = permits.get(name)
    return {
        "member": name,
        "holder": permit.holder if permit is not None else "",
        "why": permit.reason if permit is not None else "not heard of for a lease",
        "waits": return_condition(state, name),
        "permit": permit.id if permit is not None else "",
    }


def return_condition(state: FleetState, name: str) -> str:
    """Return what an unavailable member waits for before it can come back."""
    permit = next((each for each in state.permits.values() if each.member == name), None)
    if permit is None:
        return "a sign of life"
    if not permit.has_begun:
        return "its holder to begin"
    if state.members[name].kind != FRONT_END and not permit.confirmed_index:
        return f"all front ends to act on {permit.granted_index}"
    plan = state.plans.get(permit.plan)
    if plan is not None and plan.keeps_members_out and not permit.return_requested:
        return "an operator"
    return "its process to be ready"


def _describe_plan(view: ReplicaStatus, state: FleetState, plan: Plan) -> dict[str, Any]:
    return {
        "version": plan.version,
        "back": plan.rollback_version,
        "step": plan.step,
        "steps": plan.steps,
        "done": len(plan.completed),
        "of": len(plan.members),
        "halted": plan.halt_reason,
        "ended": plan.end_reason,
        "waits": _plan_condition(view, state, plan),
    }


def _plan_condition(view: ReplicaStatus, state: FleetState, plan: Plan) -> str:
    """Return what a plan waits for; nothing once it has ended."""
    if plan.end_reason:
        return ""
    condition = plan.halt_reason or state.halt_reason or view.pending_verdicts.get(plan.id, "")
    if condition:
        return condition
    eligible = plan.members[: plan.eligible_count()]
    with_permit = {permit.member for permit in state.permits.values() if permit.plan == plan.id}
    conditions = [
        f"{name} ({return_condition(state, name) if name in with_permit else 'a permit'})"
        for name in eligible
        if name not in plan.completed
    ]
    return ", ".join(conditions) or "a judgement"
