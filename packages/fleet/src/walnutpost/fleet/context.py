"""What the handlers of commands get: the state, the config store, and constructors of results."""

from __future__ import annotations

from walnutpost.configstore.store import ConfigStore
from walnutpost.fleet.commands import WORKER, CommandResult
from walnutpost.fleet.state import FleetState


class FleetContext:
    """The replicated data of one replica. Only `Fleet.apply` and handlers of commands change it.

    `followers_version` counts the commands applied by this process that changed who follows the config store.
    It is no part of the replicated state.
    """

    def __init__(self, state: FleetState | None = None, config_store: ConfigStore | None = None) -> None:
        self.state = state or FleetState()
        self.config_store = config_store or ConfigStore()
        self.followers_version = 0

    def accepted(self, permit: str = "") -> CommandResult:
        """Return the result of a command that has been applied."""
        return CommandResult(True, self.state.index, "", permit)

    def rejected(self, error: str) -> CommandResult:
        """Return the result of a command that has changed nothing.

        Results are stored, and replicas of two versions must give the same ones: the texts must not change.
        """
        return CommandResult(False, self.state.index, error)

    def mark_endpoints_changed(self, kind: str) -> None:
        """Record that the list of workers has changed, if `kind` is that of workers."""
        if kind == WORKER:
            self.state.endpoints_index = self.state.index
