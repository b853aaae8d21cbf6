"""What the handlers of commands work on: the state, the config store, and results for the entry applied."""

from __future__ import annotations

from walnutpost.configstore.store import ConfigStore
from walnutpost.fleet.commands import WORKER, CommandResult
from walnutpost.fleet.state import FleetState


class FleetContext:
    """The replicated data of one replica. Handlers change it; everybody else only reads.

    `followers_version` counts the commands applied by this process that changed who follows the config store.
    It is no part of the replicated state.
    """

    def __init__(self, state: FleetState | None = None, table: ConfigStore | None = None) -> None:
        self.state = state or FleetState()
        self.table = table or ConfigStore()
        self.followers_version = 0

    def accepted(self, permit: str = "") -> CommandResult:
        """Return the result of a command that has been applied."""
        return CommandResult(True, self.state.index, "", permit)

    def rejected(self, error: str) -> CommandResult:
        """Return the result of a command that has changed nothing.

        Results are stored, and replicas of two versions must agree on them: the texts must not change.
        """
        return CommandResult(False, self.state.index, error)

    def mark_endpoints_changed(self, kind: str) -> None:
        """Note that a member of this kind has changed in a way that shows in the list of workers."""
        if kind == WORKER:
            self.state.endpoints_index = self.state.index
