"""How much of the past the state holds. The limits are part of the agreed behaviour of all replicas."""

from __future__ import annotations

from collections.abc import Set
from typing import Any

from walnutpost.fleet.commands import CommandResult, RecordManualChange
from walnutpost.fleet.state import FleetState

MAX_MANUAL_CHANGES = 100
MAX_VERSIONS = 20  # more where members or running plans need them
MAX_PLANS = 100  # more where they are running
MAX_REMEMBERED_RESULTS = 10_000  # a command repeated after so many others is applied again


def remember_result(state: FleetState, id: str, result: CommandResult) -> None:
    """Keep the result of a command, so that a repeated one gets the same."""
    state.results[id] = result
    while len(state.results) > MAX_REMEMBERED_RESULTS:
        del state.results[next(iter(state.results))]


def remember_manual_change(state: FleetState, change: RecordManualChange) -> None:
    """Keep the newest changes made without a quorum."""
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


def _trim(entries: dict[str, Any], limit: int, needed: Set[str]) -> None:
    """Remove the oldest entries that aren't needed; the newest stays in any case."""
    for name in list(entries)[:-1]:
        if len(entries) <= limit:
            return
        if name not in needed:
            del entries[name]
