"""Replicas on virtual time, with a simulated network and disks; invariants are checked after each step.

The network loses, duplicates and delays messages; a crash loses writes that are not durable yet.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from enum import Enum
from random import Random

from walnutpost.consensus import (
    RAFT_RULES,
    Apply,
    ChangeMembership,
    Compact,
    Effect,
    Input,
    LogEntry,
    Members,
    MessageReceived,
    PersistentState,
    Propose,
    Raft,
    ReadIndex,
    ReadReady,
    Rejected,
    Restore,
    Role,
    RoleChanged,
    SafetyRules,
    Send,
    Snapshot,
    Tick,
    Timing,
    Write,
    WriteCompleted,
)

TIMING = Timing(election_timeout_us=100_000, heartbeat_interval_us=20_000)
START_US = 1_000_000
MAX_STEP_US = 3_000
MAX_IN_FLIGHT = 60
MAX_SETTLE_STEPS = 10_000
MAX_ELECTION_ATTEMPTS = 4


class Invariant(Enum):
    """What must hold after each step, in any order of events."""

    APPLIED_IN_ORDER = "entries are applied once and in order"
    ONE_HISTORY = "all replicas apply the same entries"
    ONE_LEADER_PER_TERM = "a term has one leader"
    CURRENT_READS = "a read misses nothing that was committed when it was requested"
    NO_FUTURE_FRESHNESS = "no state is the newest at a time to come"
    TRUE_FRESHNESS = "a state was the newest at the time that fresh_as_of returns"


class InvariantViolatedError(AssertionError):
    """A step broke an invariant."""

    def __init__(self, invariant: Invariant, replica: str) -> None:
        self.invariant = invariant
        self.replica = replica
        super().__init__(f"{replica}: not true that {invariant.value}")


class Replica:
    """A replica, its disk, the writes that are not durable yet, and what was applied to its state machine."""

    def __init__(self, name: str, persistent: PersistentState, seed: int, rules: SafetyRules) -> None:
        self.name = name
        self.persistent = persistent
        self._seed = seed
        self._rules = rules
        self.starts = 0
        self.start()

    def start(self) -> None:
        """Start the replica from its durable state, with an empty state machine."""
        self.starts += 1
        seed = self._seed + self.starts
        self.raft: Raft | None = Raft(self.name, self.persistent, TIMING, seed, self._rules)
        self.writes: list[Write] = []
        self.applied = 0
        self.state: tuple[str, ...] = ()

    @property
    def running(self) -> Raft:
        """The running replica; fails the test if it has crashed."""
        assert self.raft is not None, f"{self.name} has crashed"
        return self.raft

    def complete_writes(self, count: int = 1) -> int:
        """Make the first writes durable and return the number of the last."""
        completed, self.writes = self.writes[:count], self.writes[count:]
        for write in completed:
            snapshot = write.snapshot or self.persistent.snapshot
            retained = [e for e in self.persistent.entries if e.index <= write.last_retained_index]
            entries = [e for e in (*retained, *write.entries) if e.index > snapshot.index]
            self.persistent = PersistentState(write.term, write.voted_for, snapshot, tuple(entries))
        return completed[-1].number


class Cluster:
    """Replicas and the network between them.

    `spare`: replicas that know no members yet.
    """

    def __init__(
        self,
        names: Sequence[str],
        seed: int = 0,
        rules: SafetyRules = RAFT_RULES,
        spare: Sequence[str] = (),
    ) -> None:
        self.now_us = START_US
        founded = PersistentState(snapshot=Snapshot(0, 0, Members(tuple(names)), b""))
        self.replicas = {name: Replica(name, founded, seed, rules) for name in names}
        self.replicas |= {name: Replica(name, PersistentState(), seed, rules) for name in spare}
        self.in_flight: list[Send] = []
        self.committed: dict[int, LogEntry] = {}
        self.committed_at_us: list[int] = []  # by entry, from the first: when a replica first applied it
        self.leaders: dict[int, str] = {}  # by term
        self.committed_at_request: dict[str, int] = {}  # by read: the last index committed then
        self.rejected: list[Rejected] = []
        self.ready: list[ReadReady] = []
        self._ids = 0

    @property
    def leader(self) -> str:
        """The leader of the newest term, empty if there is none."""
        leaders = [raft for raft in self.running() if raft.role is Role.LEADER]
        return max(leaders, key=lambda raft: raft.term).replica_id if leaders else ""

    def running(self) -> list[Raft]:
        """Return the replicas that have not crashed."""
        return [replica.raft for replica in self.replicas.values() if replica.raft is not None]

    def raft(self, name: str) -> Raft:
        """Return a replica that has not crashed."""
        return self.replicas[name].running

    def first_due(self, names: Sequence[str]) -> str:
        """Return which of these replicas has the earliest deadline."""
        return min(names, key=lambda name: self.raft(name).next_deadline_us)

    def feed(self, name: str, event: Input) -> None:
        """Give a replica an input; one that has crashed misses it."""
        replica = self.replicas[name]
        if replica.raft is not None:
            for effect in replica.raft.handle(self.now_us, event):
                self._execute(replica, effect)
            self._check_freshness(replica)

    def deliver(self, position: int) -> None:
        """Deliver a message that is in flight."""
        send = self.in_flight.pop(position)
        if send.to in self.replicas:
            self.feed(send.to, MessageReceived(send.to, send.message))

    def complete_writes(self, name: str, count: int = 1) -> None:
        """Make a replica's first writes durable."""
        self.feed(name, WriteCompleted(self.replicas[name].complete_writes(count)))

    def crash(self, name: str) -> None:
        """Stop a replica, which loses the writes that are not durable yet."""
        self.replicas[name].raft = None

    def restart(self, name: str) -> None:
        """Start a replica from its durable state."""
        self.replicas[name].start()

    def tick_at_deadline(self, name: str) -> None:
        """Advance the time to a replica's deadline, and send it a tick."""
        self.now_us = max(self.now_us + 1, self.raft(name).next_deadline_us)
        self.feed(name, Tick())

    def new_id(self) -> str:
        """Return a new id for an input."""
        self._ids += 1
        return f"c{self._ids}"

    def propose(self, name: str) -> str:
        """Propose a command to a replica, and return the command's id."""
        command_id = self.new_id()
        self.feed(name, Propose(command_id, command_id.encode()))
        return command_id

    def request_read(self, name: str) -> None:
        """Request a read index from a replica, and record what is committed now."""
        read_id = f"r{self.new_id()}"
        self.committed_at_request[read_id] = max(self.committed, default=0)
        self.feed(name, ReadIndex(read_id))

    def compact(self, name: str) -> None:
        """Let a replica replace what it has applied by a snapshot."""
        replica = self.replicas[name]
        self.feed(name, Compact(replica.applied, ",".join(replica.state).encode()))

    def settle(self, *names: str) -> None:
        """Complete all writes and deliver all messages among these replicas (all by default); drop others."""
        among = names or tuple(self.replicas)
        for _ in range(MAX_SETTLE_STEPS):
            self.in_flight = [s for s in self.in_flight if s.to in among and s.message.sender in among]
            writing = [n for n in among if self.replicas[n].raft and self.replicas[n].writes]
            if writing:
                self.complete_writes(writing[0])
            elif self.in_flight:
                self.deliver(0)
            else:
                return
        raise AssertionError(f"events go on after {MAX_SETTLE_STEPS} steps")

    def elect(self, name: str, *names: str) -> None:
        """Let a replica win an election among these; the others have heard no leader for a long time."""
        self.now_us += 2 * TIMING.election_timeout_us
        for _ in range(MAX_ELECTION_ATTEMPTS):
            self.tick_at_deadline(name)
            self.settle(*names)
            if self.leader == name:
                return
        raise AssertionError(f"{name} did not win")

    def pass_heartbeats(self, count: int, *names: str) -> None:
        """Let heartbeat intervals pass, with messages among these replicas delivered at once."""
        for _ in range(count):
            self.now_us += TIMING.heartbeat_interval_us
            for name in self.replicas:
                self.feed(name, Tick())
            self.settle(*names)

    def staleness(self, *names: str) -> list[int]:
        """Return the age bound of each replica's state in heartbeat intervals; fail if one has none."""
        out = []
        for name in names:
            replica = self.replicas[name]
            fresh_as_of_us = replica.running.fresh_as_of(replica.applied)
            assert fresh_as_of_us is not None, f"{name} has no freshness bound"
            out.append((self.now_us - fresh_as_of_us) // TIMING.heartbeat_interval_us)
        return out

    def step(self, random: Random) -> None:
        """Let one random event happen at a random replica."""
        live = [name for name, replica in self.replicas.items() if replica.raft is not None]
        crashed = [name for name in self.replicas if name not in live]
        name = random.choice(live or crashed)
        dice = random.random()
        if not live or (crashed and dice < 0.03):
            self.restart(random.choice(crashed))
        elif dice < 0.5 and self.in_flight:
            self._random_delivery(random, dice)
        elif dice < 0.72 and (writing := [name for name in live if self.replicas[name].writes]):
            writer = random.choice(writing)
            self.complete_writes(writer, random.randint(1, len(self.replicas[writer].writes)))
        elif dice < 0.76:
            self.tick_at_deadline(self.first_due(live))
        elif dice < 0.775:
            self.crash(name)
        else:
            self._random_request(random, dice, name)
        self.now_us += random.randrange(MAX_STEP_US)
        del self.in_flight[: max(0, len(self.in_flight) - MAX_IN_FLIGHT)]

    def _random_delivery(self, random: Random, dice: float) -> None:
        """Deliver, duplicate or lose a message."""
        position = random.randrange(len(self.in_flight))
        if dice < 0.03:
            self.in_flight.append(self.in_flight[position])
        if dice < 0.06:
            self.in_flight.pop(position)
        else:
            self.deliver(position)

    def _random_request(self, random: Random, dice: float, name: str) -> None:
        if dice < 0.9:
            self.propose(self.leader or name)
        elif dice < 0.95:
            self.request_read(name)
        elif dice < 0.97:
            if self.replicas[name].applied:
                self.compact(name)
        elif self.leader:
            members = self._random_change(self.raft(self.leader).members, random)
            self.feed(self.leader, ChangeMembership(self.new_id(), members))

    def _random_change(self, members: Members, random: Random) -> Members:
        """Return a membership with a learner more, with a learner made a voter, or with a voter less."""
        voters, learners = list(members.voters), list(members.learners)
        strangers = [name for name in self.replicas if name not in members.all]
        dice = random.random()
        if dice < 0.4 and learners:
            voters.append(learners.pop())
        elif dice < 0.7 and strangers:
            learners.append(random.choice(strangers))
        elif len(voters) > 2:
            voters.remove(random.choice(voters))
        return Members(tuple(voters), tuple(learners))

    def _execute(self, replica: Replica, effect: Effect) -> None:
        match effect:
            case Write():
                replica.writes.append(effect)
            case Send():
                self.in_flight.append(effect)
            case Apply(entries):
                for entry in entries:
                    self._apply(replica, entry)
            case Restore(snapshot):
                replica.applied = snapshot.index
                replica.state = tuple(snapshot.data.decode().split(","))[: snapshot.index]
            case RoleChanged(Role.LEADER, term, leader):
                is_only_leader = self.leaders.setdefault(term, leader) == leader
                self._check(Invariant.ONE_LEADER_PER_TERM, replica, is_only_leader)
            case ReadReady(id, index):
                is_current = self.committed_at_request[id] <= index <= replica.applied
                self._check(Invariant.CURRENT_READS, replica, is_current)
                self.ready.append(effect)
            case Rejected():
                self.rejected.append(effect)

    def _apply(self, replica: Replica, entry: LogEntry) -> None:
        self._check(Invariant.APPLIED_IN_ORDER, replica, entry.index == replica.applied + 1)
        is_same = self.committed.setdefault(entry.index, entry) == entry
        self._check(Invariant.ONE_HISTORY, replica, is_same)
        if entry.index > len(self.committed_at_us):
            self.committed_at_us.append(self.now_us)
        replica.applied = entry.index
        replica.state += (entry.id,)

    def _check_freshness(self, replica: Replica) -> None:
        fresh_as_of_us = replica.running.fresh_as_of(replica.applied)
        if fresh_as_of_us is not None:
            self._check(Invariant.NO_FUTURE_FRESHNESS, replica, fresh_as_of_us <= self.now_us)
            newest_index = bisect_left(self.committed_at_us, fresh_as_of_us)
            self._check(Invariant.TRUE_FRESHNESS, replica, newest_index <= replica.applied)

    def _check(self, invariant: Invariant, replica: Replica, holds: bool) -> None:
        if not holds:
            raise InvariantViolatedError(invariant, replica.name)
