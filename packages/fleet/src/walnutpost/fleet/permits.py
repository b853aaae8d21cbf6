"""Handlers of commands about permits to take a member out.

Invariants: only `request_permit` grants permits, within the budgets; only `release_permit` ends them.
"""

from __future__ import annotations

from walnutpost.fleet import budgets, plan_progress
from walnutpost.fleet.commands import (
    AbandonPermit,
    BeginPermit,
    CommandResult,
    CompletePermit,
    ConfirmPermit,
    EndDrain,
    RequestPermit,
    RevokePermit,
)
from walnutpost.fleet.context import FleetContext
from walnutpost.fleet.state import Member, Permit, permit_id_of


def usages_for(fleet: FleetContext, member: Member) -> list[budgets.BudgetUsage]:
    """Return the use of the budgets that cover this member."""
    state = fleet.state
    return budgets.budget_usages(
        state.budgets, state.members, state.permits.values(), member.kind, member.zone
    )


def release_permit(fleet: FleetContext, permit: Permit) -> None:
    """End a permit: it no longer makes its member unavailable."""
    del fleet.state.permits[permit.id]
    member = fleet.state.members.get(permit.member)
    if member is not None:
        fleet.mark_endpoints_changed(member.kind)


def request_permit(fleet: FleetContext, command: RequestPermit) -> CommandResult:
    """Grant a permit unless one is held, a halt or the plan forbids it, or a budget is used up."""
    state = fleet.state
    member = state.members.get(command.member)
    if member is None:
        return fleet.rejected(f"no member {command.member}")
    held = next((permit for permit in state.permits.values() if permit.member == command.member), None)
    if held is not None:
        return fleet.rejected(f"{command.member} is out by {held.holder} under {held.id}")
    reason = (
        state.halt_reason
        or plan_progress.plan_blocking_reason(fleet, command)
        or _exhausted_budget(fleet, member)
    )
    if reason:
        return fleet.rejected(reason)
    index = state.index
    permit = Permit(permit_id_of(index), command.member, command.holder, command.reason, index, command.plan)
    state.permits[permit.id] = permit
    fleet.mark_endpoints_changed(member.kind)
    return fleet.accepted(permit.id)


def _exhausted_budget(fleet: FleetContext, member: Member) -> str:
    """Return the text of a used-up budget; empty for an unresponsive member, which is counted already."""
    if member.unresponsive:
        return ""
    for usage in usages_for(fleet, member):
        if len(usage.unavailable) >= usage.limit:
            return usage.description
    return ""


def begin_permit(fleet: FleetContext, command: BeginPermit) -> CommandResult:
    """Record that the holder has begun: from now on the permit ends only once the member is back."""
    permit = _permit_of(fleet, command.permit, command.holder)
    if permit is None:
        return fleet.rejected(f"{command.holder} holds no permit {command.permit}")
    permit.has_begun = True
    return fleet.accepted()


def abandon_permit(fleet: FleetContext, command: AbandonPermit) -> CommandResult:
    """End a permit that was never used."""
    permit = _permit_of(fleet, command.permit, command.holder)
    if permit is None or permit.has_begun:
        return fleet.rejected(f"{command.holder} holds no permit {command.permit} that has not begun")
    release_permit(fleet, permit)
    return fleet.accepted()


def confirm_permit(fleet: FleetContext, command: ConfirmPermit) -> CommandResult:
    """Check the acknowledgements again: a front end may have registered since the leader proposed this."""
    permit = fleet.state.permits.get(command.permit)
    if permit is None:
        return fleet.rejected(f"no permit {command.permit}")
    acknowledgements = {each.member: each for each in command.acknowledgements}
    for name, member in fleet.state.members.items():
        if not member.follows_endpoints or member.unresponsive:
            continue
        known = acknowledgements.get(name)
        is_current = known is not None and known.incarnation == member.incarnation
        if known is None or not is_current or known.index < permit.granted_index:
            return fleet.rejected(f"{name} has not said that it acts on {permit.granted_index}")
    if not permit.confirmed_index:
        permit.confirmed_index = fleet.state.index
        permit.acknowledgements = command.acknowledgements
    return fleet.accepted()


def end_drain(fleet: FleetContext, command: EndDrain) -> CommandResult:
    """Ask the holder of a drain's permit to bring the member back."""
    state = fleet.state
    drains = [permit for permit in state.permits.values() if permit.member == command.member and permit.plan]
    if not drains or not state.plans[drains[0].plan].keeps_members_out:
        return fleet.rejected(f"no drain holds {command.member} out")
    drains[0].return_requested = True
    return fleet.accepted()


def complete_permit(fleet: FleetContext, command: CompletePermit) -> CommandResult:
    """End the permit of a member that is back; the plans that wait for it continue or fail."""
    permit = _permit_of(fleet, command.permit, command.holder)
    if permit is None:
        return fleet.rejected(f"{command.holder} holds no permit {command.permit}")
    member = fleet.state.members[permit.member]
    member.incarnation = command.incarnation
    member.version = command.version
    member.unresponsive = False
    member.address = command.address or member.address
    release_permit(fleet, permit)
    plan_progress.record_completion(fleet, permit, command)
    return fleet.accepted()


def revoke_permit(fleet: FleetContext, command: RevokePermit) -> CommandResult:
    """End a permit because an operator says that the member is available."""
    permit = fleet.state.permits.get(command.permit)
    if permit is None:
        return fleet.rejected(f"no permit {command.permit}")
    release_permit(fleet, permit)
    return fleet.accepted()


def _permit_of(fleet: FleetContext, permit_id: str, holder: str) -> Permit | None:
    """Return the permit if it belongs to this holder."""
    permit = fleet.state.permits.get(permit_id)
    return permit if permit is not None and permit.holder == holder else None
