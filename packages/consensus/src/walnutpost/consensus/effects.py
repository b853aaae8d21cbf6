"""Effects of `Raft.handle`, for the caller to execute in order. They are never written."""

from __future__ import annotations

from enum import Enum

from walnutpost.consensus.log_entries import LogEntry, Record, Snapshot
from walnutpost.consensus.messages import Message


class Role(Enum):
    """A replica's role. The values appear in logs."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial"
    """Asks whether it could win an election."""
    CANDIDATE = "candidate"
    LEADER = "leader"


class Write(Record, frozen=True):
    """To be made durable, in the order of `number`, and reported by WriteCompleted.

    Entries above `last_retained_index` are deleted, then `entries` follow it; a snapshot replaces all entries
    up to its index.
    """

    number: int
    term: int
    voted_for: str
    last_retained_index: int
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


class Send(Record, frozen=True):
    """Send a message to replica `to`. It may be lost, duplicated and reordered."""

    to: str
    message: Message


class Apply(Record, frozen=True):
    """Committed entries for the state machine, each exactly once and in order."""

    entries: tuple[LogEntry, ...]


class Restore(Record, frozen=True):
    """Replace the state machine's state by the snapshot's."""

    snapshot: Snapshot


class ReadReady(Record, frozen=True):
    """All that was committed when read `id` was requested is applied here; `index` is the read index."""

    id: str
    index: int


# Reasons of Rejected. They are on the wire: clients compare them.
NOT_LEADER = "not the leader"
LEADER_NOT_READY = "new in office"
"""The leader hasn't committed an entry of its term yet."""
LEADERSHIP_LOST = "no longer the leader"


class Rejected(Record, frozen=True):
    """Request `id` was rejected and did nothing. `leader`: the replica to ask instead, or empty."""

    id: str
    reason: str
    leader: str = ""


class RoleChanged(Record, frozen=True):
    """This replica's role, or the leader that it knows, changed. `leader` is empty if none is known."""

    role: Role
    term: int
    leader: str


Effect = Write | Send | Apply | Restore | ReadReady | Rejected | RoleChanged
