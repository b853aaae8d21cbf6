"""How much of the past the state holds. The limits must be the same at all replicas."""

from __future__ import annotations

from collections.abc import Set
from typing import TypeVar

from walnutpost.fleet.commands import CommandResult, RecordManualChange
from walnutpost.fleet.state import FleetState

MAX_MANUAL_CHANGES = 100
MAX_VERSIONS = 20  # more if members or running plans need them
MAX_PLANS = 100  # more if they are running
MAX_REMEMBERED_RESULTS = 10_000  # a command repeated after more others is applied again

T = TypeVar("T")


def remember_result(state: FleetState, request_id: str, result: CommandResult) -> None:
    """Store the result of a command, so that a repeated command gets the same."""
    state.results[request_id] = result
    while len(state.results) > MAX_REMEMBERED_RESULTS:
        del state.results[next(iter(state.results))]


def remember_manual_change(state: FleetState, change: RecordManualChange) -> None:
    """Store a change made without a quorum, and remove the oldest beyond the limit."""
    state.manual_changes = [*state.manual_changes, change][-MAX_MANUAL_CHANGES:]


def trim_versions(state: FleetState) -> None:
    """Remove the oldest versions that no member runs and no running plan may install."""
    needed = {member.version for member in state.members.values()}
    for plan in state.plans.values():
        if not plan.end_reason:
            needed |= {plan.version, plan.rollback_version}
    _trim(state.versions, MAX_VERSIONS, needed)


def trim_plans(state: FleetState) -> None:
    """Remove the oldest plans that are neither running nor referred to by a permit."""
    permitted = {permit.plan for permit in state.permits.values()}
    running = {plan.id for plan in state.plans.values() if not plan.end_reason}
    _trim(state.plans, MAX_PLANS, permitted | running)


def _trim(entries: dict[str, T], limit: int, needed: Set[str]) -> None:
    """Remove the oldest entries that aren't needed, down to the limit; the newest is never removed."""
    for name in list(entries)[:-1]:
        if len(entries) <= limit:
            return
        if name not in needed:
            del entries[name]
