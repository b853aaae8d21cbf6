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

CHANGED_MEANWHILE = "changed meanwhile"  # stored, sent and compared: another change set was applied first


def set_budgets(fleet: FleetContext, command: SetBudgets) -> CommandResult:
    """Replace the disruption budgets; permits that exceed the new ones stay."""
    fleet.state.budgets = list(command.budgets)
    return fleet.accepted()


def store_version(fleet: FleetContext, command: StoreVersion) -> CommandResult:
    """Store a version's content, and remove versions that are not needed."""
    fleet.state.versions[command.version] = command.content
    trim_versions(fleet.state)
    return fleet.accepted()


def record_manual_change(fleet: FleetContext, command: RecordManualChange) -> CommandResult:
    """Store a change that an operator made without a quorum."""
    remember_manual_change(fleet.state, command)
    return fleet.accepted()


def apply_change_set(fleet: FleetContext, command: ApplyChangeSet) -> CommandResult:
    """Apply a complete change set, or reject it if the store has changed since it was validated."""
    if command.base_revision != fleet.config_store.revision:
        return fleet.rejected(CHANGED_MEANWHILE)
    try:
        fleet.config_store.propose(fleet.state.index, command.mutations)
    except InvalidChangeError as error:
        return fleet.rejected(str(error))
    return fleet.accepted()


def update_followers(fleet: FleetContext, command: UpdateFollowers) -> CommandResult:
    """Record who follows the config store.

    A follower that has left is removed only as this incarnation: another process of that name may have
    joined since.
    """
    followers = fleet.state.followers
    for name, incarnation in command.left:
        if followers.get(name) == incarnation:
            del followers[name]
    followers.update(command.joined)
    fleet.followers_version += 1
    return fleet.accepted()
