"""What goes between replicas, into one and out of it. Times are whole microseconds, indexes count from 1.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); Ongaro's thesis,
chapters 3 (leadership transfer), 4 (members one at a time), 5 (snapshots), 6.4 (reads), 9.6 (pre-vote).
"""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A frozen value that `msgspec.msgpack` writes and reads."""


class Kind(IntEnum):
    OPENING = 0  # the first entry of a leader's term: what older terms left is committed with it
    COMMAND = 1
    MEMBERS = 2


class Members(Record, frozen=True):
    """`voters` count for quorums; `learners` are sent everything and count for nothing."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        return (*self.voters, *self.learners)


class Entry(Record, frozen=True):
    """`id` is the asker's own for a command, so that its answer can be found; `members` for MEMBERS alone."""

    index: int
    term: int
    kind: Kind
    id: str = ""
    data: bytes = b""
    members: Members = Members()


class Snapshot(Record, frozen=True):
    """The state after entry `index` was applied, in place of all entries up to it."""

    index: int
    term: int
    members: Members
    data: bytes


# Between replicas. Each is for one replica by name: a process with another disk is another replica.


class VoteAsked(Record, frozen=True, tag=True):
    """`trial` asks whether a vote would be given, and changes nothing; `told`: the leader wants it."""

    term: int
    sender: str
    last_index: int
    last_term: int
    trial: bool = False
    told: bool = False


class VoteGiven(Record, frozen=True, tag=True):
    term: int
    sender: str
    granted: bool
    trial: bool = False


class Append(Record, frozen=True, tag=True):
    """`round` is given back in the answer: which question the answer belongs to. `age`: microseconds since
    the leader was last in touch with a quorum that it knows of, negative where it vouches for nothing;
    `echo`: the last `stamp` that it had from this replica when it wrote this, 0 for none."""

    term: int
    sender: str
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int
    age: int = -1
    echo: int = 0


class Appended(Record, frozen=True, tag=True):
    """`match`: the last index known to be the leader's, durably; after a refusal, where to look next.
    `stamp`: when this was written, by the sender's clock, in numbers that only its process can read."""

    term: int
    sender: str
    ok: bool
    match: int
    round: int
    stamp: int = 0


class Install(Record, frozen=True, tag=True):
    """The whole state, for a replica that lacks more than the log still holds."""

    term: int
    sender: str
    snapshot: Snapshot
    round: int


class TakeOver(Record, frozen=True, tag=True):
    """Stand for election now: the leader hands over."""

    term: int
    sender: str


Message = VoteAsked | VoteGiven | Append | Appended | Install | TakeOver


# Inputs


class Due(Record, frozen=True):
    """The time that `Raft.due` told has come."""


class Received(Record, frozen=True):
    to: str
    message: Message


class Written(Record, frozen=True):
    """All writes up to this number are durable."""

    number: int


class Propose(Record, frozen=True):
    id: str
    data: bytes


class Read(Record, frozen=True):
    """Asks for an index that rests on nothing older than this question."""

    id: str


class Change(Record, frozen=True):
    """New members; one voter more or less than now."""

    id: str
    members: Members


class Transfer(Record, frozen=True):
    to: str


class Compact(Record, frozen=True):
    """The state after `index` as bytes: entries up to it need not be kept."""

    index: int
    data: bytes


Input = Due | Received | Written | Propose | Read | Change | Transfer | Compact


# Effects


class Role(Enum):
    FOLLOWER = "follower"
    TRIAL = "trial"  # asks whether it could win
    CANDIDATE = "candidate"
    LEADER = "leader"


class Write(Record, frozen=True):
    """To be made durable, in the order of `number`. Entries above `keep` are dropped, `entries` follow it; a
    snapshot takes the place of all up to its index."""

    number: int
    term: int
    voted: str
    keep: int
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


class Send(Record, frozen=True):
    to: str
    message: Message


class Apply(Record, frozen=True):
    """Agreed entries, each exactly once and in order."""

    entries: tuple[Entry, ...]


class Restore(Record, frozen=True):
    """This state takes the place of what was applied."""

    snapshot: Snapshot


class ReadReady(Record, frozen=True):
    """All that was agreed when Read `id` was asked is applied here; the answer rests on `index`."""

    id: str
    index: int


NOT_LEADER, NEW_IN_OFFICE, DEPOSED = "not the leader", "new in office", "no longer the leader"


class Rejected(Record, frozen=True):
    """Nothing was done. `leader` is who might do it, or empty."""

    id: str
    why: str
    leader: str = ""


class RoleChanged(Record, frozen=True):
    role: Role
    term: int
    leader: str


Effect = Write | Send | Apply | Restore | ReadReady | Rejected | RoleChanged
