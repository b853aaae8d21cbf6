"""Replicas on virtual time with disks and a network that lose, double and delay; what must hold is looked at
after each step."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from random import Random

from walnutpost.consensus import (
    Apply,
    ChangeMembership,
    Compact,
    Effect,
    Input,
    LogEntry,
    Members,
    Message,
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
    Send,
    Snapshot,
    Tick,
    Timing,
    Write,
    WriteCompleted,
)

TIMING = Timing(100_000, 20_000)


class Replica:
    """A replica, its disk, the writes that are not durable yet, and what was applied to it."""

    def __init__(self, name: str, kept: PersistentState, seed: int, kind: type[Raft]) -> None:
        self.name, self.kept, self._seed, self._kind = name, kept, seed, kind
        self.starts = 0
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.raft: Raft | None = self._kind(self.name, self.kept, TIMING, self._seed + self.starts)
        self.writes: list[Write] = []
        self.applied = 0
        self.state: tuple[str, ...] = ()

    def write(self, number: int = 1) -> int:
        """Makes the first ones durable; the number of the last."""
        done, self.writes = self.writes[:number], self.writes[number:]
        for w in done:
            snapshot = w.snapshot or self.kept.snapshot
            held = [e for e in self.kept.entries if e.index <= w.last_retained_index] + list(w.entries)
            held = [e for e in held if e.index > snapshot.index]
            self.kept = PersistentState(w.term, w.voted_for, snapshot, tuple(held))
        return done[-1].number


class Cluster:
    def __init__(
        self, names: Sequence[str], seed: int = 0, kind: type[Raft] = Raft, spare: Sequence[str] = ()
    ) -> None:
        self.now = 1_000_000
        self.kind, self.seed = kind, seed
        founded = PersistentState(snapshot=Snapshot(0, 0, Members(tuple(names)), b""))
        self.replicas = {name: Replica(name, founded, seed, kind) for name in names}
        self.replicas |= {name: Replica(name, PersistentState(), seed, kind) for name in spare}
        self.wire: list[tuple[str, Message]] = []
        self.agreed: dict[int, LogEntry] = {}
        self.agreed_at: list[int] = []  # by entry, from the first: when somebody first applied it
        self.leaders: dict[int, str] = {}
        self.reads: dict[str, int] = {}  # what was agreed when it was asked
        self.rejected: list[Rejected] = []
        self.ready: list[ReadReady] = []
        self.count = 0

    def feed(self, name: str, event: Input) -> None:
        replica = self.replicas[name]
        if replica.raft is not None:
            for effect in replica.raft.handle(self.now, event):
                self._take(replica, effect)
            self._look_at_age(replica)

    def _look_at_age(self, replica: Replica) -> None:
        """What it holds was the newest at the time that it vouches for."""
        assert replica.raft is not None
        at = replica.raft.fresh_as_of(replica.applied)
        if at is not None:
            assert at <= self.now, "vouched for what is to come"
            assert bisect_left(self.agreed_at, at) <= replica.applied, "older than it says"

    def _take(self, replica: Replica, effect: Effect) -> None:
        match effect:
            case Write():
                replica.writes.append(effect)
            case Send(to, message):
                self.wire.append((to, message))
            case Apply(entries):
                for entry in entries:
                    assert entry.index == replica.applied + 1, "applied out of order"
                    assert self.agreed.setdefault(entry.index, entry) == entry, "two histories"
                    if entry.index > len(self.agreed_at):
                        self.agreed_at.append(self.now)
                    replica.applied = entry.index
                    replica.state += (entry.id,)
            case Restore(snapshot):
                replica.applied = snapshot.index
                replica.state = tuple(snapshot.data.decode().split(","))[: snapshot.index]
            case RoleChanged(Role.LEADER, term, leader):
                assert self.leaders.setdefault(term, leader) == leader, "two leaders in a term"
            case ReadReady(id, index):
                assert index >= self.reads[id] and replica.applied >= index, "an old answer"
                self.ready.append(effect)
            case Rejected():
                self.rejected.append(effect)

    # What may happen

    def deliver(self, place: int) -> None:
        to, message = self.wire.pop(place)
        if to in self.replicas:
            self.feed(to, MessageReceived(to, message))

    def written(self, name: str, number: int = 1) -> None:
        self.feed(name, WriteCompleted(self.replicas[name].write(number)))

    def crash(self, name: str) -> None:
        self.replicas[name].raft = None

    def restart(self, name: str) -> None:
        self.replicas[name].start()

    def due(self, name: str) -> None:
        raft = self.replicas[name].raft
        assert raft is not None
        self.now = max(self.now + 1, raft.next_deadline_us)
        self.feed(name, Tick())

    def fresh(self) -> str:
        self.count += 1
        return f"c{self.count}"

    def ask(self, name: str) -> None:
        id = f"r{self.fresh()}"
        self.reads[id] = max(self.agreed, default=0)
        self.feed(name, ReadIndex(id))

    @property
    def leader(self) -> str:
        """The one of the newest term, or nothing."""
        raft = [r.raft for r in self.replicas.values() if r.raft is not None and r.raft.role is Role.LEADER]
        return max(raft, key=lambda r: r.term).replica_id if raft else ""

    # Ways to go on

    def settle(self, *names: str) -> None:
        """All that is under way arrives, among these alone; the rest of it is lost."""
        among = names or tuple(self.replicas)
        for _ in range(10_000):
            self.wire = [(to, m) for to, m in self.wire if to in among and m.sender in among]
            writing = [n for n in among if self.replicas[n].raft and self.replicas[n].writes]
            if writing:
                self.written(writing[0])
            elif self.wire:
                self.deliver(0)
            else:
                return
        raise AssertionError("it never came to rest")

    def elect(self, name: str, *names: str) -> None:
        """`name` stands and wins among these; the others have long heard nobody."""
        self.now += 2 * TIMING.election_timeout_us
        for _ in range(4):
            self.due(name)
            self.settle(*names)
            if self.leader == name:
                return
        raise AssertionError(f"{name} did not win")

    def propose(self, name: str) -> str:
        id = self.fresh()
        self.feed(name, Propose(id, id.encode()))
        return id

    def step(self, random: Random) -> None:
        """Something happens, anywhere."""
        live = [n for n, r in self.replicas.items() if r.raft is not None]
        dead = [n for n in self.replicas if n not in live]
        name = random.choice(live or dead)
        dice = random.random()
        if not live or (dead and dice < 0.03):
            self.restart(random.choice(dead))
        elif dice < 0.5 and self.wire:
            place = random.randrange(len(self.wire))
            if dice < 0.03:
                self.wire.append(self.wire[place])
            if dice < 0.06:
                self.wire.pop(place)
            else:
                self.deliver(place)
        elif dice < 0.72 and (writing := [n for n in live if self.replicas[n].writes]):
            who = random.choice(writing)
            self.written(who, random.randint(1, len(self.replicas[who].writes)))
        elif dice < 0.76:
            due = min(live, key=lambda n: self.replicas[n].raft.next_deadline_us)  # type: ignore[union-attr]
            self.due(due)
        elif dice < 0.775:
            self.crash(name)
        elif dice < 0.9:
            self.propose(self.leader or name)
        elif dice < 0.95:
            self.ask(name)
        elif dice < 0.97:
            replica = self.replicas[name]
            if replica.applied:
                self.feed(name, Compact(replica.applied, ",".join(replica.state).encode()))
        elif self.leader:
            raft = self.replicas[self.leader].raft
            assert raft is not None
            self.feed(self.leader, ChangeMembership(self.fresh(), self._other(raft.members, random)))
        self.now += random.randrange(3_000)
        del self.wire[: max(0, len(self.wire) - 60)]

    def _other(self, members: Members, random: Random) -> Members:
        """Somebody is taken in to learn, then to vote, or put out."""
        voters, learners = list(members.voters), list(members.learners)
        strangers = [n for n in self.replicas if n not in members.all]
        dice = random.random()
        if dice < 0.4 and learners:
            voters.append(learners.pop())
        elif dice < 0.7 and strangers:
            learners.append(random.choice(strangers))
        elif len(voters) > 2:
            voters.remove(random.choice(voters))
        return Members(tuple(voters), tuple(learners))
