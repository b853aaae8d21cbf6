"""One replica of an agreed history: `(now, input)` in, effects out; no I/O, no clock, no own randomness.

What is held where:
- `_rests`: nothing leaves before the writes it rests on are durable, in the order in which it was decided.
- `_may_vote`, `_may_commit`, `_may_change`: the three places where safety is decided.
- `_claims`: what is known of the age of what is applied; all of them are true for ever, whoever leads.
- A replica's name includes its disk: one that lost it comes back under another name, which nobody counts
  until the others have agreed to take it in.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from walnutpost.consensus.log import Log
from walnutpost.consensus.messages import (
    DEPOSED,
    NEW_IN_OFFICE,
    NOT_LEADER,
    Append,
    Appended,
    Apply,
    Change,
    Compact,
    Due,
    Effect,
    Entry,
    Input,
    Install,
    Kind,
    Members,
    Message,
    Propose,
    Read,
    ReadReady,
    Received,
    Rejected,
    Restore,
    Role,
    RoleChanged,
    Send,
    Snapshot,
    TakeOver,
    Transfer,
    VoteAsked,
    VoteGiven,
    Write,
    Written,
)

ENTRIES_MOST = 256  # in one message
CLAIMS_MOST = 64
NOTHING = Snapshot(0, 0, Members(), b"")


@dataclass(frozen=True, slots=True)
class Timing:
    """Microseconds. `election`: a follower that has heard no leader for one to two of these stands; a leader
    that no quorum has answered for one of them steps down. `heartbeat`: between a leader's messages."""

    election: int
    heartbeat: int


@dataclass(frozen=True, slots=True)
class Kept:
    """What was durable when the process ended. `Kept()` knows nobody: such a replica waits to be taken in."""

    term: int = 0
    voted: str = ""
    snapshot: Snapshot = NOTHING
    entries: tuple[Entry, ...] = ()


@dataclass(slots=True)
class _Peer:
    """What a leader knows of another replica."""

    next: int
    match: int = 0
    match_round: int = 0  # the last question that it answered with a match
    round: int = 0
    heard: int = 0
    stamp: int = 0


@dataclass(slots=True)
class _Reading:
    id: str
    index: int
    round: int


@dataclass(slots=True)
class _Handover:
    to: str
    until: int
    told: bool = False


@dataclass(slots=True)
class _Leading:
    began: int
    peers: dict[str, _Peer] = field(default_factory=dict)
    round: int = 0
    begun: deque[tuple[int, int]] = field(default_factory=deque)  # rounds that no quorum has answered yet
    touched: int | None = None  # when the last round began that a quorum has answered
    reads: list[_Reading] = field(default_factory=list)
    handover: _Handover | None = None
    next_beat: int = 0


class Raft:
    """`due` is when Due is wanted at the latest. Restore and Apply for what was kept come with the first
    input, since the state machine starts empty."""

    def __init__(self, me: str, kept: Kept, timing: Timing, seed: int) -> None:
        self.me = me
        self._timing = timing
        self._random = Random(f"{seed} {me}")
        self.term, self._voted = kept.term, kept.voted
        self.log = Log(kept.snapshot, kept.entries)
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = kept.snapshot.index
        self.applied = 0
        self._now = 0
        self._effects: list[Effect] = []
        self._written = self._number = 0
        self._held: deque[tuple[int, Effect | VoteGiven]] = deque()  # by the write that each rests on
        self._durable = self.log.last
        self._writing: deque[tuple[int, int]] = deque()  # not yet durable; the last index then
        self._votes: set[str] = set()
        self._lead: _Leading | None = None
        self._heard_leader: int | None = None
        self._stand_at: int | None = None
        # An entry and a time when nothing after it was agreed; both rise from one to the next.
        self._claims: list[tuple[int, int]] = []
        self._began: int | None = None
        self._offset = Random(f"{seed} {me} stamps").getrandbits(48)

    # In and out

    def handle(self, now: int, event: Input) -> list[Effect]:
        self._now, self._effects = now, []
        if self._stand_at is None or self._began is None:
            self._began = now
            self._wait_anew()
        match event:
            case Written(number):
                self._made_durable(number)
            case Received(to, message):
                if to == self.me:  # else for a process that had this address before, with another disk
                    self._received(message)
            case Propose(id, data):
                self._propose(id, data)
            case Read(id):
                self._read(id)
            case Change(id, members):
                self._change(id, members)
            case Transfer(to):
                self._hand_over(to)
            case Compact(index, data):
                self._compact(index, data)
            case Due():
                pass
        self._look_at_time()
        self._apply()
        self._touch()
        effects, self._effects = self._effects, []
        return effects

    @property
    def due(self) -> int:
        if self._lead is not None:
            return self._lead.next_beat
        return self._stand_at or 0

    @property
    def members(self) -> Members:
        return self.log.members

    def vouched(self, applied: int) -> int | None:
        """The newest time, by this replica's clock, of which it is known that a leader in touch with a quorum
        had agreed on nothing after entry `applied`: a state that holds it was the newest then. None where
        nothing is known of it since this process began. `applied` never falls from call to call."""
        known = sum(index <= applied for index, _ in self._claims)
        if not known:
            return None
        del self._claims[: known - 1]
        return self._claims[0][1]

    def _rests(self, effect: Effect | VoteGiven) -> None:
        """It leaves once all that has been given out to be written is durable; the own vote counts then."""
        if self._written < self._number:
            self._held.append((self._number, effect))
        else:
            self._leaves(effect)

    def _leaves(self, effect: Effect | VoteGiven) -> None:
        if isinstance(effect, VoteGiven):
            self._count(effect)
        else:
            self._effects.append(effect)

    def _send(self, to: str, message: Message) -> None:
        self._rests(Send(to, message))

    def _write(self, keep: int, entries: tuple[Entry, ...] = (), snapshot: Snapshot | None = None) -> None:
        self._number += 1
        self._durable = min(self._durable, keep)
        self._writing = deque((number, min(last, keep)) for number, last in self._writing)
        self._writing.append((self._number, self.log.last))
        self._effects.append(Write(self._number, self.term, self._voted, keep, entries, snapshot))

    def _made_durable(self, number: int) -> None:
        self._written = max(self._written, number)
        while self._writing and self._writing[0][0] <= number:
            self._durable = self._writing.popleft()[1]
        ready = [held for held in self._held if held[0] <= self._written]
        for _ in ready:
            self._held.popleft()
        for _, effect in ready:
            self._leaves(effect)
        self._advance()
        if self._lead is not None:  # many proposals that came meanwhile leave as one message
            for name in [n for n, peer in self._lead.peers.items() if peer.next <= self.log.last]:
                self._feed(name)

    # Time

    def _wait_anew(self) -> None:
        self._stand_at = self._now + self._timing.election + self._random.randrange(self._timing.election)

    def _look_at_time(self) -> None:
        if self._lead is None:
            if self._now >= (self._stand_at or 0):
                self._wait_anew()
                self._stand(trial=True)
            return
        lead, since = self._lead, self._now - self._timing.election
        if lead.handover is not None and self._now >= lead.handover.until:
            lead.handover = None
        heard = {self.me} | {name for name, peer in lead.peers.items() if peer.heard > since}
        if lead.began <= since and not self._quorum(heard):
            self._follow(self.term, "")  # cut off: another may lead, and questions here would wait for ever
        elif self._now >= lead.next_beat:
            self._beat()

    def _beat(self) -> None:
        lead = self._lead
        assert lead is not None
        lead.next_beat = self._now + self._timing.heartbeat
        self._next_round(lead)
        for name in lead.peers:
            self._feed(name)

    def _next_round(self, lead: _Leading) -> None:
        lead.round += 1
        lead.begun.append((lead.round, self._now))

    # How old what is applied may be

    def _claim(self, index: int, at: int) -> None:
        """Nothing after entry `index` was agreed at `at`. Messages come in any order: what says less than
        another claim is left out."""
        if any(i <= index and a >= at for i, a in reversed(self._claims)):
            return
        self._claims = sorted([(i, a) for i, a in self._claims if i < index or a > at] + [(index, at)])
        if len(self._claims) > CLAIMS_MOST:
            del self._claims[1]  # the first may be all that holds of a state that lags; the last is the news

    def _touch(self) -> None:
        """A leader's claim counts from the beginning of the last round that a quorum has answered, not from
        the answers, which may have lain in a socket while this process was paused."""
        lead = self._lead
        if lead is None:
            return
        rounds = {name: peer.round for name, peer in lead.peers.items()} | {self.me: lead.round}
        voters = self.log.members.voters
        answered = sorted((rounds.get(name, -1) for name in voters), reverse=True)[len(voters) // 2]
        while lead.begun and lead.begun[0][0] <= answered:
            lead.touched = lead.begun.popleft()[1]
        if lead.touched is not None and self._knows_all():
            self._claim(self.commit, lead.touched)

    def _knows_all(self) -> bool:
        """Whether this leader knows all that was agreed: a former one may have agreed on more than it knows
        of until an entry of its own is."""
        return self.log.term(self.commit) == self.term

    def _age(self) -> int:
        lead = self._lead
        if lead is None or lead.touched is None or not self._knows_all():
            return -1
        return self._now - lead.touched

    def _vouched_by(self, m: Append) -> None:
        """The leader wrote this after this replica's stamp, so it was in touch with a quorum `age` before the
        stamp at the earliest, however long the message has been on its way. A stamp of a former process
        with this name tells nothing here."""
        sent = m.echo - self._offset
        if m.age >= 0 and (self._began or 0) <= sent <= self._now:
            self._claim(m.commit, sent - m.age)

    # Roles

    def _quorum(self, names: set[str]) -> bool:
        voters = self.log.members.voters
        return 2 * len(names.intersection(voters)) > len(voters)

    def _follow(self, term: int, leader: str) -> None:
        lead, self._lead = self._lead, None
        if term > self.term:
            self.term, self._voted = term, ""
            self._write(self.log.last)
        before = self.role, self.leader
        self.role, self.leader = Role.FOLLOWER, leader
        if lead is not None:
            self._wait_anew()
            for read in lead.reads:
                self._effects.append(Rejected(read.id, DEPOSED, leader))
        if before != (self.role, self.leader):
            self._effects.append(RoleChanged(self.role, self.term, leader))

    def _stand(self, trial: bool, told: bool = False) -> None:
        """A trial first: one that can't win must not raise the term and unseat a leader that others hear."""
        if self.me not in self.log.members.voters:
            return
        self.role, self.leader, self._heard_leader = Role.TRIAL if trial else Role.CANDIDATE, "", None
        term = self.term + 1
        if not trial:
            self.term, self._voted = term, self.me
            self._write(self.log.last)
        self._effects.append(RoleChanged(self.role, self.term, ""))
        self._votes = set()
        ask = VoteAsked(term, self.me, self.log.last, self.log.last_term, trial, told)
        for name in self.log.members.voters:
            if name != self.me:
                self._send(name, ask)
        self._rests(VoteGiven(term, self.me, True, trial))

    def _may_vote(self, ask: VoteAsked) -> bool:
        """At most one vote in a term, and only for whoever holds all that can have been agreed."""
        newest = (ask.last_term, ask.last_index) >= (self.log.last_term, self.log.last)
        if ask.trial:
            return newest and ask.term > self.term
        return newest and ask.term == self.term and self._voted in ("", ask.sender)

    def _hears_leader(self) -> bool:
        """A removed replica, or one that was cut off, must not disturb those that hear their leader."""
        if self._lead is not None:
            return True  # steps down by itself where no quorum answers
        return self._heard_leader is not None and self._now - self._heard_leader < self._timing.election

    def _vote_asked(self, ask: VoteAsked) -> None:
        if not ask.told and self._hears_leader():
            return
        if ask.term > self.term and not ask.trial:
            self._follow(ask.term, "")
        granted = self._may_vote(ask)
        if granted and not ask.trial:
            if self._voted != ask.sender:
                self._voted = ask.sender
                self._write(self.log.last)
            self._wait_anew()
        term = ask.term if granted else self.term
        self._send(ask.sender, VoteGiven(term, self.me, granted, ask.trial))

    def _count(self, vote: VoteGiven) -> None:
        if not vote.granted:
            if vote.term > self.term:
                self._follow(vote.term, "")
            return
        wanted = (Role.TRIAL, self.term + 1) if vote.trial else (Role.CANDIDATE, self.term)
        if (self.role, vote.term) != wanted:
            return
        self._votes.add(vote.sender)
        if self._quorum(self._votes):
            self._stand(trial=False) if vote.trial else self._become_leader()

    def _become_leader(self) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self._lead = _Leading(self._now)
        self._effects.append(RoleChanged(self.role, self.term, self.me))
        self._enter(Entry(self.log.last + 1, self.term, Kind.OPENING))

    # Entries

    def _enter(self, entry: Entry) -> None:
        self.log.add((entry,))
        self._write(entry.index - 1, (entry,))
        self._know_peers()

    def _know_peers(self) -> None:
        lead = self._lead
        assert lead is not None
        for name in self.log.members.all:
            if name != self.me:
                lead.peers.setdefault(name, _Peer(self.log.last, heard=self._now))
        for name in [n for n in lead.peers if n not in self.log.members.all]:
            del lead.peers[name]

    def _feed(self, name: str) -> None:
        """What this replica lacks, as far as is known; a question for a sign of life if that is nothing."""
        lead = self._lead
        assert lead is not None
        peer, log = lead.peers[name], self.log
        prev_term = log.term(peer.next - 1)
        if prev_term is None:
            self._send(name, Install(self.term, self.me, log.snapshot, lead.round))
            peer.next = log.snapshot.index + 1
            return
        entries = log.after(peer.next - 1, ENTRIES_MOST)
        prev = peer.next - 1
        self._send(
            name,
            Append(
                self.term,
                self.me,
                prev,
                prev_term,
                entries,
                self.commit,
                lead.round,
                self._age(),
                peer.stamp,
            ),
        )
        peer.next += len(entries)

    def _propose(self, id: str, data: bytes) -> None:
        if self._lead is None or self._lead.handover is not None:
            self._effects.append(Rejected(id, NOT_LEADER, self.leader if self._lead is None else ""))
            return
        self._enter(Entry(self.log.last + 1, self.term, Kind.COMMAND, id, data))

    def _heard_from_leader(self, m: Append | Install) -> bool:
        """Whether the sender leads in the present term; this replica follows it, or tells of the newer."""
        if m.term < self.term:
            self._send(m.sender, Appended(self.term, self.me, False, 0, m.round))
            return False
        if m.term > self.term or self.role is not Role.FOLLOWER or self.leader != m.sender:
            self._follow(m.term, m.sender)
        self._heard_leader = self._now
        self._wait_anew()
        return True

    def _append(self, m: Append) -> None:
        if not self._heard_from_leader(m):
            return
        self._vouched_by(m)
        log, entries, prev = self.log, m.entries, m.prev_index
        if prev < log.snapshot.index:  # the snapshot covers the first of them
            entries = tuple(e for e in entries if e.index > log.snapshot.index)
            prev = log.snapshot.index
        elif log.term(prev) != m.prev_term:
            look = min(log.last, prev - 1) if log.term(prev) is None else log.back(prev)
            self._answer(m, False, look)
            return
        match = max(prev, m.prev_index + len(m.entries))
        new = next((n for n, e in enumerate(entries) if log.term(e.index) != e.term), len(entries))
        if new < len(entries):
            keep = entries[new].index - 1
            if keep < self.commit:
                raise RuntimeError(f"{self.me}: entry {keep + 1} was agreed and would be replaced")
            if keep < log.last:
                log.cut(keep)
            log.add(entries[new:])
            self._write(keep, entries[new:])
        self.commit = max(self.commit, min(m.commit, match))
        self._answer(m, True, match)

    def _install(self, m: Install) -> None:
        if not self._heard_from_leader(m):
            return
        if m.snapshot.index > self.commit:
            self.log.compact(m.snapshot)
            self.commit = m.snapshot.index
            self._write(self.log.last, (), m.snapshot)
        self._answer(m, True, m.snapshot.index)

    def _answer(self, m: Append | Install, ok: bool, match: int) -> None:
        stamp = self._now + self._offset
        self._send(m.sender, Appended(self.term, self.me, ok, match, m.round, stamp))

    def _appended(self, m: Appended) -> None:
        if m.term > self.term:
            return self._follow(m.term, "")
        lead = self._lead
        if lead is None or m.term < self.term or m.sender not in lead.peers:
            return None
        peer = lead.peers[m.sender]
        peer.heard, peer.round, peer.stamp = self._now, max(peer.round, m.round), m.stamp
        if m.ok:
            peer.match, peer.match_round = max(peer.match, m.match), max(peer.match_round, m.round)
            peer.next = max(peer.next, peer.match + 1)
            self._advance()
        elif m.match < peer.match and m.round > peer.match_round:
            # Its disk has lost what it said it held, or the answers came in another order: sent again, either
            # way, since a match that is taken for too low costs nothing but that.
            peer.match, peer.next = m.match, m.match + 1
            self._feed(m.sender)
        elif m.match + 1 < peer.next:
            peer.next = max(m.match, peer.match) + 1
            self._feed(m.sender)
        if self._lead is lead and peer.next <= self.log.last:
            self._feed(m.sender)
        self._confirm_reads()
        self._go_on_handing_over()
        return None

    def _may_commit(self, index: int) -> bool:
        """By count only in the own term: an older term's entry on a majority can still be replaced."""
        return self.log.term(index) == self.term

    def _advance(self) -> None:
        """The leader commits what a quorum holds durably, itself included only where that is so here."""
        if self._lead is None:
            return
        held = {self.me: self._durable} | {name: peer.match for name, peer in self._lead.peers.items()}
        index = next(
            (
                i
                for i in range(self.log.last, self.commit, -1)
                if self._quorum({n for n, m in held.items() if m >= i}) and self._may_commit(i)
            ),
            self.commit,
        )
        if index > self.commit:
            self.commit = index
            self._beat()  # the others may apply it
            self._confirm_reads()
            if self.me not in self.log.members.voters and self.commit >= self.log.members_at:
                self._follow(self.term, "")  # taken out: the rest elects one of its own

    def _apply(self) -> None:
        """What is agreed and durable here."""
        if self.applied < self.log.snapshot.index:
            snapshot = self.log.snapshot
            self.applied = snapshot.index
            self._rests(Restore(snapshot))
        until = min(self.commit, self._durable)
        if until > self.applied:
            entries = self.log.after(self.applied, until - self.applied)
            self.applied = until
            self._rests(Apply(entries))
            self._confirm_reads()

    def _compact(self, index: int, data: bytes) -> None:
        term = self.log.term(index)
        if not self.log.snapshot.index < index <= self.applied or term is None:
            return
        self.log.compact(Snapshot(index, term, self.log.members_by(index), data))
        self._write(self.log.last, (), self.log.snapshot)

    # Reads

    def _read(self, id: str) -> None:
        """A quorum has to say, after the question, that it still follows: else another may have led on."""
        lead = self._lead
        if lead is None:
            self._effects.append(Rejected(id, NOT_LEADER, self.leader))
        elif self.log.term(self.commit) != self.term:
            self._effects.append(Rejected(id, NEW_IN_OFFICE, self.me))
        else:
            self._next_round(lead)
            lead.reads.append(_Reading(id, self.commit, lead.round))
            self._beat()
            self._confirm_reads()

    def _confirm_reads(self) -> None:
        lead = self._lead
        while lead is not None and lead.reads:
            read = lead.reads[0]
            heard = {self.me} | {name for name, peer in lead.peers.items() if peer.round >= read.round}
            if not self._quorum(heard) or self.applied < read.index:
                return
            lead.reads.pop(0)
            self._rests(ReadReady(read.id, read.index))

    # Members

    def _may_change(self, members: Members) -> str:
        """Why not, or nothing. One voter at a time keeps any two quorums in touch, but only once the change
        before it and an entry of this term are agreed."""
        now = self.log.members
        if self.commit < self.log.members_at:
            return "the change before it is not agreed yet"
        if self.log.term(self.commit) != self.term:
            return NEW_IN_OFFICE
        if len(set(members.voters) ^ set(now.voters)) > 1 or not members.voters:
            return "one voter more or less at a time"
        lead = self._lead
        assert lead is not None
        for name in set(members.voters) - set(now.voters):
            peer = lead.peers.get(name)
            if peer is None or peer.match < self.commit:
                return f"{name} has not caught up"
        return ""

    def _change(self, id: str, members: Members) -> None:
        if self._lead is None:
            self._effects.append(Rejected(id, NOT_LEADER, self.leader))
        elif why := self._may_change(members):
            self._effects.append(Rejected(id, why, self.me))
        else:
            self._enter(Entry(self.log.last + 1, self.term, Kind.MEMBERS, id, b"", members))
            self._advance()

    # Handing over

    def _hand_over(self, to: str) -> None:
        lead = self._lead
        if lead is not None and to in self.log.members.voters and to in lead.peers:
            lead.handover = _Handover(to, self._now + self._timing.election)
            self._go_on_handing_over()

    def _go_on_handing_over(self) -> None:
        lead = self._lead
        if lead is None or lead.handover is None or lead.handover.told:
            return
        if lead.peers[lead.handover.to].match == self.log.last:
            lead.handover.told = True
            self._send(lead.handover.to, TakeOver(self.term, self.me))

    # Messages

    def _received(self, message: Message) -> None:
        match message:
            case VoteAsked():
                self._vote_asked(message)
            case VoteGiven():
                self._count(message)
            case Append():
                self._append(message)
            case Install():
                self._install(message)
            case Appended():
                self._appended(message)
            case TakeOver(term):
                if term == self.term and self._lead is None:
                    self._stand(trial=False, told=True)
