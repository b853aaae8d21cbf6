"""Messages between replicas, and a replica's inputs and effects. Times are whole microseconds.

Indexes of log entries count from 1.

Invariants: all records are written by position, and messages between replicas carry a tag, so field and class
names are free but the order of fields, the tags and the values of enums are part of the wire form and of
stored logs. New fields go at the end, with a default.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); Ongaro's thesis,
chapters 3 (leadership transfer), 4 (membership changes, one voter at a time), 5 (snapshots), 6.4 (ReadIndex),
9.6 (pre-vote).
"""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A frozen value that `msgspec.msgpack` writes and reads by position."""


class EntryKind(IntEnum):
    """The kind of a log entry. Values are stored; the control plane's history shows the names."""

    OPENING = 0
    """A no-op: the first entry of a leader's term, which commits with it what older terms left."""
    COMMAND = 1
    """A command for the state machine."""
    MEMBERS = 2
    """A membership change; it takes effect as soon as it is in a replica's log."""


class Members(Record, frozen=True):
    """The membership: `voters` form quorums, `learners` receive the log and have no vote."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """Voters, then learners."""
        return (*self.voters, *self.learners)


class LogEntry(Record, frozen=True):
    """A log entry. `id`: the client's request id, by which its reply is found. `members`: for MEMBERS."""

    index: int
    term: int
    kind: EntryKind
    id: str = ""
    data: bytes = b""
    members: Members = Members()


class Snapshot(Record, frozen=True):
    """The state machine's state after entry `index`, which replaces all entries up to it."""

    index: int
    term: int
    members: Members
    data: bytes


# Messages between replicas. Each is addressed to one replica id: a process with another disk has another id.


class VoteRequest(Record, frozen=True, tag="VoteAsked"):
    """RequestVote. `pre_vote`: asks whether a vote would be granted and changes nothing (thesis 9.6).

    `leadership_transfer`: the leader asked for this election, so its liveness is no ground to refuse.
    """

    term: int
    sender: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteResponse(Record, frozen=True, tag="VoteGiven"):
    """The answer to a VoteRequest. `term`: the request's where granted, else the voter's own."""

    term: int
    sender: str
    granted: bool
    pre_vote: bool = False


class AppendEntries(Record, frozen=True, tag="Append"):
    """AppendEntries, also the heartbeat.

    `round`: number of the leader's round, returned in the response. `quorum_contact_age_us`: time since the
    leader was last in contact with a quorum, negative where it is unknown. `echoed_sent_at_us`: `sent_at_us`
    of the newest response that the leader had from this replica when it wrote this, 0 for none.
    """

    term: int
    sender: str
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int
    quorum_contact_age_us: int = -1
    echoed_sent_at_us: int = 0


class AppendEntriesResponse(Record, frozen=True, tag="Appended"):
    """The answer to AppendEntries or InstallSnapshot.

    `match_index`: the last index that is durable and known to equal the leader's; after a failure, the index
    at which to try next. `sent_at_us`: time of writing by the sender's clock, shifted by an offset that only
    its process knows.
    """

    term: int
    sender: str
    success: bool
    match_index: int
    round: int
    sent_at_us: int = 0


class InstallSnapshot(Record, frozen=True, tag="Install"):
    """The complete state, for a replica that lacks entries which the leader's log no longer has."""

    term: int
    sender: str
    snapshot: Snapshot
    round: int


class TimeoutNow(Record, frozen=True, tag="TakeOver"):
    """Start an election at once: the leader transfers its leadership (thesis 3.10)."""

    term: int
    sender: str


Message = VoteRequest | VoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot | TimeoutNow


# Inputs of `Raft.handle`


class Tick(Record, frozen=True):
    """The time of `Raft.next_deadline_us` has come."""


class MessageReceived(Record, frozen=True):
    """A message arrived for replica `to`."""

    to: str
    message: Message


class WriteCompleted(Record, frozen=True):
    """All writes up to `number` are durable."""

    number: int


class Propose(Record, frozen=True):
    """Append a command to the log. It is answered by Apply, by Rejected, or not at all."""

    id: str
    data: bytes


class ReadIndex(Record, frozen=True):
    """Ask for a linearizable read: ReadReady follows once nothing newer than this request can be missed."""

    id: str


class ChangeMembership(Record, frozen=True):
    """Replace the membership; at most one voter may be added or removed."""

    id: str
    members: Members


class TransferLeadership(Record, frozen=True):
    """Hand the leadership over to voter `to`. Ignored where this replica doesn't lead."""

    to: str


class Compact(Record, frozen=True):
    """Replace the log up to `index` by `data`, the state machine's state after it."""

    index: int
    data: bytes


Input = (
    Tick
    | MessageReceived
    | WriteCompleted
    | Propose
    | ReadIndex
    | ChangeMembership
    | TransferLeadership
    | Compact
)


# Effects of `Raft.handle`


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
"""The leader hasn't committed an entry of its own term yet."""
LEADERSHIP_LOST = "no longer the leader"


class Rejected(Record, frozen=True):
    """Request `id` was rejected and did nothing. `leader`: the replica to ask instead, or empty."""

    id: str
    reason: str
    leader: str = ""


class RoleChanged(Record, frozen=True):
    """This replica's role, or the leader that it knows, changed. `leader` is empty where none is known."""

    role: Role
    term: int
    leader: str


Effect = Write | Send | Apply | Restore | ReadReady | Rejected | RoleChanged
