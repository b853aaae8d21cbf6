"""A replica's state, which all parts of `Raft` work on. Times are microseconds of the caller's clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from walnutpost.consensus.effects import Effect, Role
from walnutpost.consensus.log import Log
from walnutpost.consensus.log_entries import LogEntry, Members, Snapshot
from walnutpost.consensus.messages import VoteResponse

CLOCK_OFFSET_BITS = 48
EMPTY_SNAPSHOT = Snapshot(0, 0, Members(), b"")


@dataclass(frozen=True, slots=True)
class Timing:
    """Settings of time.

    `election_timeout_us`: a follower that hears no leader for one to two of these starts an election; a
    leader that hears no quorum for one steps down. `heartbeat_interval_us`: between a leader's messages.
    """

    election_timeout_us: int
    heartbeat_interval_us: int


@dataclass(frozen=True, slots=True)
class PersistentState:
    """The state that was durable when the process ended.

    `PersistentState()` knows no members: such a replica waits until a membership change adds it.
    """

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class DeferredEffect:
    """An effect that leaves once write `write_number` is durable; a VoteResponse is the own vote."""

    write_number: int
    effect: Effect | VoteResponse


@dataclass(frozen=True, slots=True)
class UnpersistedWrite:
    """A write that is not durable yet; once it is, the log is durable up to `last_index`."""

    number: int
    last_index: int


@dataclass(frozen=True, slots=True)
class FreshnessBound:
    """Nothing after entry `index` was committed at `at_us`, by this replica's clock."""

    index: int
    at_us: int


@dataclass(frozen=True, slots=True)
class Round:
    """A round of messages from a leader to all its peers."""

    number: int
    started_at_us: int


@dataclass(slots=True)
class PeerProgress:
    """What a leader knows of another replica.

    `match_round`: the last round that was answered with a match; `response_sent_at_us`: `sent_at_us` of the
    peer's newest response, by the peer's own clock.
    """

    next_index: int
    match_index: int = 0
    match_round: int = 0
    answered_round: int = 0
    last_heard_us: int = 0
    response_sent_at_us: int = 0


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A linearizable read that waits until a quorum has answered `round` and `index` is applied."""

    id: str
    index: int
    round: int


@dataclass(slots=True)
class LeadershipTransfer:
    """A transfer under way: `target` is asked to start an election once it has the complete log."""

    target: str
    deadline_us: int
    is_timeout_now_sent: bool = False


@dataclass(slots=True)
class LeaderState:
    """What a replica knows only while it leads.

    `quorum_contact_us`: start of the newest round that a quorum has answered.
    """

    since_us: int
    peers: dict[str, PeerProgress] = field(default_factory=dict)
    round: int = 0
    unanswered_rounds: deque[Round] = field(default_factory=deque)
    quorum_contact_us: int | None = None
    pending_reads: list[PendingRead] = field(default_factory=list)
    transfer: LeadershipTransfer | None = None
    next_heartbeat_us: int = 0


@dataclass(slots=True)
class RaftState:
    """The state of one replica.

    `effects`: of the input that is being handled; `durable_index`: the last entry known to be on this disk;
    `leadership`: None unless this replica leads; `freshness_bounds`: `index` and `at_us` rise from one to the
    next; `clock_offset_us`: added to times in messages, so that those of a former process are recognised.
    """

    replica_id: str
    timing: Timing
    random: Random
    clock_offset_us: int
    log: Log
    term: int
    voted_for: str
    commit_index: int
    durable_index: int
    last_applied: int = 0
    role: Role = Role.FOLLOWER
    leader: str = ""
    leadership: LeaderState | None = None
    votes: set[str] = field(default_factory=set)
    now_us: int = 0
    started_at_us: int | None = None
    election_deadline_us: int | None = None
    leader_heard_us: int | None = None
    effects: list[Effect] = field(default_factory=list)
    last_write_number: int = 0
    completed_write_number: int = 0
    unpersisted_writes: deque[UnpersistedWrite] = field(default_factory=deque)
    deferred_effects: deque[DeferredEffect] = field(default_factory=deque)
    freshness_bounds: list[FreshnessBound] = field(default_factory=list)

    @classmethod
    def load(cls, replica_id: str, persistent: PersistentState, timing: Timing, seed: int) -> RaftState:
        """Return the state of a follower that has just started."""
        log = Log(persistent.snapshot, persistent.entries)
        return cls(
            replica_id=replica_id,
            timing=timing,
            random=Random(f"{seed} {replica_id}"),
            clock_offset_us=Random(f"{seed} {replica_id} stamps").getrandbits(CLOCK_OFFSET_BITS),
            log=log,
            term=persistent.term,
            voted_for=persistent.voted_for,
            commit_index=persistent.snapshot.index,
            durable_index=log.last_index,
        )

    @property
    def has_committed_in_term(self) -> bool:
        """Whether the last committed entry is of the own term.

        Before that a leader may not know all that a former one has committed.
        """
        return self.log.term_at(self.commit_index) == self.term

    def has_quorum(self, replica_ids: set[str]) -> bool:
        """Whether these include more than half of the voters."""
        voters = self.log.members.voters
        return 2 * len(replica_ids.intersection(voters)) > len(voters)
