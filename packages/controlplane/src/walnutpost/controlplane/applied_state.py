"""The replicated state machine of a replica: the fleet as of the last applied entry of the log."""

from __future__ import annotations

from walnutpost.consensus import Compact, EntryKind, LogEntry, Snapshot
from walnutpost.eventloop import Loop
from walnutpost.fleet import CommandResult, EndpointAges, Fleet

MAX_UNCOMPACTED_BYTES = 32 << 20
"""Of entries after the snapshot, if their number allows more."""


class AppliedState:
    """The fleet, and when a snapshot of it is due; starts empty.

    `max_log_entries`: entries after the snapshot before the next one is due.
    """

    def __init__(self, loop: Loop, max_log_entries: int) -> None:
        self._loop = loop
        self._max_log_entries = max_log_entries
        self.fleet = Fleet()
        self.endpoint_ages = EndpointAges()
        self.index = 0
        self._uncompacted_bytes = 0

    def reset(self) -> None:
        """Start again with the empty state, as after a restart of the process."""
        self.fleet = Fleet()
        self.endpoint_ages = EndpointAges()
        self.index = 0
        self._uncompacted_bytes = 0

    def apply(self, entry: LogEntry) -> CommandResult | None:
        """Apply the next committed entry; return its result, None for an entry without a client."""
        self.index = entry.index
        self._uncompacted_bytes += len(entry.data)
        if entry.kind is EntryKind.COMMAND:
            return self.fleet.apply(entry.index, entry.id, entry.data)
        if entry.kind is EntryKind.MEMBERS:
            return CommandResult(True, entry.index)
        return None

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state. If it raises InvalidStateError, the former state stays."""
        self.fleet = Fleet.restore(snapshot.data)
        self.index = snapshot.index
        self._uncompacted_bytes = 0

    def observe_endpoints(self) -> None:
        """Record when endpoints have changed, after entries were applied."""
        self.endpoint_ages.observe(self._loop.now(), self.fleet.state)

    def take_due_compaction(self, snapshot_index: int) -> Compact | None:
        """Return a snapshot for the log if enough was applied since the last one, and restart the count."""
        log_entries = self.index - snapshot_index
        if log_entries <= self._max_log_entries and self._uncompacted_bytes <= MAX_UNCOMPACTED_BYTES:
            return None
        self._uncompacted_bytes = 0
        return Compact(self.index, self.fleet.snapshot())
