"""Errors of this package."""


class ConsensusError(Exception):
    """A replica was given a log or a message that contradicts what Raft guarantees."""


class LogGapError(ConsensusError, ValueError):
    """An entry doesn't follow the one before it."""

    def __init__(self, found_index: int, wanted_index: int) -> None:
        self.found_index = found_index
        self.wanted_index = wanted_index
        super().__init__(f"entry {found_index} in the place of entry {wanted_index}")


class CommittedEntryConflictError(ConsensusError, RuntimeError):
    """A leader's entry differs from one committed here: a disk has lost entries that it had accepted."""

    def __init__(self, replica_id: str, index: int, commit_index: int) -> None:
        self.replica_id = replica_id
        self.index = index
        self.commit_index = commit_index
        super().__init__(
            f"{replica_id}: entry {index} would be replaced, but all up to {commit_index} are committed"
        )
