"""Handlers of commands about budgets, versions, manual changes, and the config store."""

from __future__ import annotations

from walnutpost.configstore.errors import InvalidChangeError
from walnutpost.fleet.commands import (
    ApplyChangeSet,
    CommandResult,
    RecordManualChange,
    SetBudgets,
    StoreVersion,
    UpdateFollowers,
)
from walnutpost.fleet.context import FleetContext
from walnutpost.fleet.retention import remember_manual_change, trim_versions

CHANGED_MEANWHILE = "changed meanwhile"  # stored, sent and compared: another change set came first


def set_budgets(fleet: FleetContext, command: SetBudgets) -> CommandResult:
    """Replace the disruption budgets; permits that exceed the new ones stay."""
    fleet.state.budgets = list(command.budgets)
    return fleet.accepted()


def store_version(fleet: FleetContext, command: StoreVersion) -> CommandResult:
    """Store a version's content, and trims versions that nothing needs."""
    fleet.state.versions[command.version] = command.content
    trim_versions(fleet.state)
    return fleet.accepted()


def record_manual_change(fleet: FleetContext, command: RecordManualChange) -> CommandResult:
    """Store what an operator did without a quorum."""
    remember_manual_change(fleet.state, command)
    return fleet.accepted()


def apply_change_set(fleet: FleetContext, command: ApplyChangeSet) -> CommandResult:
    """Apply all of a change set or nothing, and only to the revision that it was validated against."""
    if command.base_revision != fleet.table.revision:
        return fleet.rejected(CHANGED_MEANWHILE)
    try:
        fleet.table.propose(fleet.state.index, command.mutations)
    except InvalidChangeError as error:
        return fleet.rejected(str(error))
    return fleet.accepted()


def update_followers(fleet: FleetContext, command: UpdateFollowers) -> CommandResult:
    """Who has left is compared by incarnation: another process of that name may have joined meanwhile."""
    followers = fleet.state.followers
    for name, incarnation in command.left:
        if followers.get(name) == incarnation:
            del followers[name]
    followers.update(command.joined)
    fleet.followers_version += 1
    return fleet.accepted()
