"""What a watcher's store went through by one response: changes for the application, events for the log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutpost.configstore.messages import ChangeSet


class SyncEventKind(Enum):
    """The kinds of events; their values are the names of log events."""

    DIVERGED = "config_diverged"
    SNAPSHOT_REQUESTED = "config_snapshot_requested"
    SNAPSHOT_LOADED = "config_snapshot_loaded"
    REPAIRED = "config_repaired"


@dataclass(frozen=True, slots=True)
class SyncEvent:
    """Something about the synchronisation of a store that an operator may want to know."""

    kind: SyncEventKind
    detail: str

    @property
    def is_expected(self) -> bool:
        """Whether it happens in normal operation, as when a watcher was away for long."""
        return self.kind in (SyncEventKind.SNAPSHOT_REQUESTED, SyncEventKind.SNAPSHOT_LOADED)


@dataclass(frozen=True, slots=True)
class ApplyOutcome:
    """The result of handling a response or of a verification.

    `changes`: change sets that are now in the store, in order.
    `is_store_replaced`: the store was replaced by a snapshot; any key may have changed.
    `repaired_keys`: keys whose entries were wrong in this process.
    `events`: in order, for the log.
    `is_inconsistent`: the server's data contradicts itself; another server should be asked.
    """

    changes: tuple[ChangeSet, ...] = ()
    is_store_replaced: bool = False
    repaired_keys: tuple[str, ...] = ()
    events: tuple[SyncEvent, ...] = ()
    is_inconsistent: bool = False
