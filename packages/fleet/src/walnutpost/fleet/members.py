"""Handlers of commands about members: their registration, responsiveness and removal."""

from __future__ import annotations

from walnutpost.fleet import permits, plan_progress
from walnutpost.fleet.commands import (
    CommandResult,
    ForgetMember,
    MarkResponsive,
    MarkUnresponsive,
    RegisterMember,
)
from walnutpost.fleet.context import FleetContext
from walnutpost.fleet.state import Member


def register_member(fleet: FleetContext, command: RegisterMember) -> CommandResult:
    """Add or replace a member; under a permit it stays unavailable until its holder completes the permit."""
    fleet.state.members[command.member] = Member(
        kind=command.kind,
        zone=command.zone,
        incarnation=command.incarnation,
        version=command.version,
        unresponsive=False,
        follows_endpoints=command.follows_endpoints,
        address=command.address,
    )
    fleet.mark_endpoints_changed(command.kind)
    return fleet.accepted()


def mark_unresponsive(fleet: FleetContext, command: MarkUnresponsive) -> CommandResult:
    """Mark a member; halt the plans whose budget is used up by unresponsive members without a permit."""
    member = _member_as(fleet, command.member, command.incarnation)
    if member is None:
        return _is_other(fleet, command.member, command.incarnation)
    member.unresponsive = True
    for usage in permits.usages_for(fleet, member):
        if len(usage.unplanned) >= usage.limit:
            plan_progress.halt_plans_over_budget(fleet, member.kind, usage)
    return fleet.accepted()


def mark_responsive(fleet: FleetContext, command: MarkResponsive) -> CommandResult:
    """Mark a member. Plans that were halted remain so until an operator resumes them."""
    member = _member_as(fleet, command.member, command.incarnation)
    if member is None:
        return _is_other(fleet, command.member, command.incarnation)
    member.unresponsive = False
    return fleet.accepted()


def forget_member(fleet: FleetContext, command: ForgetMember) -> CommandResult:
    """Remove a member, its permits, and its places in plans and among the followers of the config store."""
    state, name = fleet.state, command.member
    for permit in [permit for permit in state.permits.values() if permit.member == name]:
        permits.release_permit(fleet, permit)
    was_follower = state.followers.pop(name, None) is not None
    if was_follower:
        fleet.followers_version += 1
    member = state.members.pop(name, None)
    if member is None:
        return fleet.accepted() if was_follower else fleet.rejected(f"no member {name}")
    fleet.mark_endpoints_changed(member.kind)
    plan_progress.remove_member_from_plans(fleet, name)
    return fleet.accepted()


def _member_as(fleet: FleetContext, name: str, incarnation: str) -> Member | None:
    """Return the member, if it is still this process."""
    member = fleet.state.members.get(name)
    return member if member is not None and member.incarnation == incarnation else None


def _is_other(fleet: FleetContext, name: str, incarnation: str) -> CommandResult:
    return fleet.rejected(f"{name} is not {incarnation} any more")
