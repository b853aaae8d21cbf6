"""One Raft replica as a state machine: `(now_us, input)` in, effects out; no I/O and no clock.

Invariants:
- `_send_after_persist`: nothing is sent, answered or counted before the writes it depends on are durable.
- `_may_vote`, `_may_commit`, `_membership_change_error`: the three places where safety is decided.
- `_freshness_bounds`: what is known of the age of the applied state; each bound stays true, whoever leads.
- A replica's id includes its disk: one that lost it comes back under another id, which counts for nothing
  until a membership change adds it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from walnutpost.consensus.log import Log
from walnutpost.consensus.messages import (
    LEADER_NOT_READY,
    LEADERSHIP_LOST,
    NOT_LEADER,
    AppendEntries,
    AppendEntriesResponse,
    Apply,
    ChangeMembership,
    Compact,
    Effect,
    EntryKind,
    Input,
    InstallSnapshot,
    LogEntry,
    Members,
    Message,
    MessageReceived,
    Propose,
    ReadIndex,
    ReadReady,
    Rejected,
    Restore,
    Role,
    RoleChanged,
    Send,
    Snapshot,
    Tick,
    TimeoutNow,
    TransferLeadership,
    VoteRequest,
    VoteResponse,
    Write,
    WriteCompleted,
)

MAX_ENTRIES_PER_MESSAGE = 256
MAX_FRESHNESS_BOUNDS = 64
EMPTY_SNAPSHOT = Snapshot(0, 0, Members(), b"")


@dataclass(frozen=True, slots=True)
class Timing:
    """A follower that hears no leader for one to two `election_timeout_us` starts an election; a leader that
    hears no quorum for one of them steps down. `heartbeat_interval_us`: between a leader's messages."""

    election_timeout_us: int
    heartbeat_interval_us: int


@dataclass(frozen=True, slots=True)
class PersistentState:
    """What was durable when the process ended. `PersistentState()` knows no members: such a replica waits
    until a membership change adds it."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: tuple[LogEntry, ...] = ()


@dataclass(slots=True)
class _PeerProgress:
    """What a leader knows of another replica."""

    next_index: int
    match_index: int = 0
    match_round: int = 0  # the last round that it answered with a match
    answered_round: int = 0
    last_heard_us: int = 0
    last_sent_at_us: int = 0  # of its newest response, by its own clock


@dataclass(slots=True)
class _PendingRead:
    id: str
    index: int
    round: int


@dataclass(slots=True)
class _LeadershipTransfer:
    target: str
    deadline_us: int
    timeout_now_sent: bool = False


@dataclass(slots=True)
class _LeaderState:
    since_us: int
    peers: dict[str, _PeerProgress] = field(default_factory=dict)
    round: int = 0
    unanswered_rounds: deque[tuple[int, int]] = field(default_factory=deque)  # number and start
    quorum_contact_us: int | None = None  # when the last round began that a quorum has answered
    pending_reads: list[_PendingRead] = field(default_factory=list)
    transfer: _LeadershipTransfer | None = None
    next_heartbeat_us: int = 0


class Raft:
    """A Raft replica. `next_deadline_us`: when it needs a Tick at the latest. Restore and Apply for the
    persistent state come with the first input, since the state machine starts empty."""

    def __init__(self, replica_id: str, persistent: PersistentState, timing: Timing, seed: int) -> None:
        self.replica_id = replica_id
        self._timing = timing
        self._random = Random(f"{seed} {replica_id}")
        self.term, self._voted_for = persistent.term, persistent.voted_for
        self.log = Log(persistent.snapshot, persistent.entries)
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit_index = persistent.snapshot.index
        self.last_applied = 0
        self._now_us = 0
        self._effects: list[Effect] = []
        self._completed_write = self._last_write = 0
        self._waiting_for_persist: deque[tuple[int, Effect | VoteResponse]] = (
            deque()
        )  # by the write that each rests on
        self._durable_index = self.log.last_index
        self._unpersisted_writes: deque[tuple[int, int]] = deque()  # not yet durable; the last index then
        self._votes: set[str] = set()
        self._leading: _LeaderState | None = None
        self._leader_heard_us: int | None = None
        self._election_deadline_us: int | None = None
        # An entry and a time when nothing after it was agreed; both rise from one to the next.
        self._freshness_bounds: list[tuple[int, int]] = []
        self._started_at_us: int | None = None
        self._clock_offset_us = Random(f"{seed} {replica_id} stamps").getrandbits(48)

    # In and out

    def handle(self, now_us: int, event: Input) -> list[Effect]:
        self._now_us, self._effects = now_us, []
        if self._election_deadline_us is None or self._started_at_us is None:
            self._started_at_us = now_us
            self._reset_election_timer()
        match event:
            case WriteCompleted(number):
                self._on_persisted(number)
            case MessageReceived(to, message):
                if (
                    to == self.replica_id
                ):  # else for a process that had this address before, with another disk
                    self._on_message(message)
            case Propose(id, data):
                self._propose(id, data)
            case ReadIndex(id):
                self._request_read(id)
            case ChangeMembership(id, members):
                self._change_membership(id, members)
            case TransferLeadership(to):
                self._transfer_leadership(to)
            case Compact(index, data):
                self._compact(index, data)
            case Tick():
                pass
        self._check_timers()
        self._apply_committed()
        self._confirm_quorum_contact()
        effects, self._effects = self._effects, []
        return effects

    @property
    def next_deadline_us(self) -> int:
        if self._leading is not None:
            return self._leading.next_heartbeat_us
        return self._election_deadline_us or 0

    @property
    def members(self) -> Members:
        return self.log.members

    def fresh_as_of(self, applied: int) -> int | None:
        """The newest time, by this replica's clock, of which it is known that a leader in touch with a quorum
        had agreed on nothing after entry `applied`: a state that holds it was the newest then. None where
        nothing is known of it since this process began. `applied` never falls from call to call."""
        known = sum(index <= applied for index, _ in self._freshness_bounds)
        if not known:
            return None
        del self._freshness_bounds[: known - 1]
        return self._freshness_bounds[0][1]

    def _send_after_persist(self, effect: Effect | VoteResponse) -> None:
        """It leaves once all that has been given out to be written is durable; the own vote counts then."""
        if self._completed_write < self._last_write:
            self._waiting_for_persist.append((self._last_write, effect))
        else:
            self._emit(effect)

    def _emit(self, effect: Effect | VoteResponse) -> None:
        if isinstance(effect, VoteResponse):
            self._count_vote(effect)
        else:
            self._effects.append(effect)

    def _send(self, to: str, message: Message) -> None:
        self._send_after_persist(Send(to, message))

    def _write(
        self, last_retained_index: int, entries: tuple[LogEntry, ...] = (), snapshot: Snapshot | None = None
    ) -> None:
        self._last_write += 1
        self._durable_index = min(self._durable_index, last_retained_index)
        self._unpersisted_writes = deque(
            (number, min(last, last_retained_index)) for number, last in self._unpersisted_writes
        )
        self._unpersisted_writes.append((self._last_write, self.log.last_index))
        self._effects.append(
            Write(self._last_write, self.term, self._voted_for, last_retained_index, entries, snapshot)
        )

    def _on_persisted(self, number: int) -> None:
        self._completed_write = max(self._completed_write, number)
        while self._unpersisted_writes and self._unpersisted_writes[0][0] <= number:
            self._durable_index = self._unpersisted_writes.popleft()[1]
        ready = [held for held in self._waiting_for_persist if held[0] <= self._completed_write]
        for _ in ready:
            self._waiting_for_persist.popleft()
        for _, effect in ready:
            self._emit(effect)
        self._advance_commit_index()
        if self._leading is not None:  # many proposals that came meanwhile leave as one message
            for name in [
                n for n, peer in self._leading.peers.items() if peer.next_index <= self.log.last_index
            ]:
                self._replicate_to(name)

    # Time

    def _reset_election_timer(self) -> None:
        self._election_deadline_us = (
            self._now_us
            + self._timing.election_timeout_us
            + self._random.randrange(self._timing.election_timeout_us)
        )

    def _check_timers(self) -> None:
        if self._leading is None:
            if self._now_us >= (self._election_deadline_us or 0):
                self._reset_election_timer()
                self._start_election(pre_vote=True)
            return
        leading, since = self._leading, self._now_us - self._timing.election_timeout_us
        if leading.transfer is not None and self._now_us >= leading.transfer.deadline_us:
            leading.transfer = None
        heard = {self.replica_id} | {
            name for name, peer in leading.peers.items() if peer.last_heard_us > since
        }
        if leading.since_us <= since and not self._has_quorum(heard):
            self._become_follower(
                self.term, ""
            )  # cut off: another may lead, and questions here would wait for ever
        elif self._now_us >= leading.next_heartbeat_us:
            self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        leading = self._leading
        assert leading is not None
        leading.next_heartbeat_us = self._now_us + self._timing.heartbeat_interval_us
        self._start_round(leading)
        for name in leading.peers:
            self._replicate_to(name)

    def _start_round(self, leading: _LeaderState) -> None:
        leading.round += 1
        leading.unanswered_rounds.append((leading.round, self._now_us))

    # How old what is applied may be

    def _add_freshness_bound(self, index: int, at: int) -> None:
        """Nothing after entry `index` was agreed at `at`. Messages come in any order: what says less than
        another claim is left out."""
        if any(i <= index and a >= at for i, a in reversed(self._freshness_bounds)):
            return
        self._freshness_bounds = sorted(
            [(i, a) for i, a in self._freshness_bounds if i < index or a > at] + [(index, at)]
        )
        if len(self._freshness_bounds) > MAX_FRESHNESS_BOUNDS:
            del self._freshness_bounds[
                1
            ]  # the first may be all that holds of a state that lags; the last is the news

    def _confirm_quorum_contact(self) -> None:
        """A leader's claim counts from the beginning of the last round that a quorum has answered, not from
        the answers, which may have lain in a socket while this process was paused."""
        leading = self._leading
        if leading is None:
            return
        rounds = {name: peer.answered_round for name, peer in leading.peers.items()} | {
            self.replica_id: leading.round
        }
        voters = self.log.members.voters
        answered = sorted((rounds.get(name, -1) for name in voters), reverse=True)[len(voters) // 2]
        while leading.unanswered_rounds and leading.unanswered_rounds[0][0] <= answered:
            leading.quorum_contact_us = leading.unanswered_rounds.popleft()[1]
        if leading.quorum_contact_us is not None and self._has_committed_in_term():
            self._add_freshness_bound(self.commit_index, leading.quorum_contact_us)

    def _has_committed_in_term(self) -> bool:
        """Whether this leader knows all that was agreed: a former one may have agreed on more than it knows
        of until an entry of its own is."""
        return self.log.term_at(self.commit_index) == self.term

    def _quorum_contact_age_us(self) -> int:
        leading = self._leading
        if leading is None or leading.quorum_contact_us is None or not self._has_committed_in_term():
            return -1
        return self._now_us - leading.quorum_contact_us

    def _take_leader_freshness(self, m: AppendEntries) -> None:
        """The leader wrote this after this replica's stamp, so it was in touch with a quorum `age` before the
        stamp at the earliest, however long the message has been on its way. A stamp of a former process
        with this name tells nothing here."""
        sent = m.echoed_sent_at_us - self._clock_offset_us
        if m.quorum_contact_age_us >= 0 and (self._started_at_us or 0) <= sent <= self._now_us:
            self._add_freshness_bound(m.commit_index, sent - m.quorum_contact_age_us)

    # Roles

    def _has_quorum(self, names: set[str]) -> bool:
        voters = self.log.members.voters
        return 2 * len(names.intersection(voters)) > len(voters)

    def _become_follower(self, term: int, leader: str) -> None:
        leading, self._leading = self._leading, None
        if term > self.term:
            self.term, self._voted_for = term, ""
            self._write(self.log.last_index)
        before = self.role, self.leader
        self.role, self.leader = Role.FOLLOWER, leader
        if leading is not None:
            self._reset_election_timer()
            for read in leading.pending_reads:
                self._effects.append(Rejected(read.id, LEADERSHIP_LOST, leader))
        if before != (self.role, self.leader):
            self._effects.append(RoleChanged(self.role, self.term, leader))

    def _start_election(self, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """A pre-vote first: a replica that can't win must not raise the term and depose a live leader."""
        if self.replica_id not in self.log.members.voters:
            return
        self.role, self.leader, self._leader_heard_us = (
            Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE,
            "",
            None,
        )
        term = self.term + 1
        if not pre_vote:
            self.term, self._voted_for = term, self.replica_id
            self._write(self.log.last_index)
        self._effects.append(RoleChanged(self.role, self.term, ""))
        self._votes = set()
        ask = VoteRequest(
            term, self.replica_id, self.log.last_index, self.log.last_term, pre_vote, leadership_transfer
        )
        for name in self.log.members.voters:
            if name != self.replica_id:
                self._send(name, ask)
        self._send_after_persist(VoteResponse(term, self.replica_id, True, pre_vote))

    def _may_vote(self, ask: VoteRequest) -> bool:
        """At most one vote in a term, and only for whoever holds all that can have been agreed."""
        newest = (ask.last_term, ask.last_index) >= (self.log.last_term, self.log.last_index)
        if ask.pre_vote:
            return newest and ask.term > self.term
        return newest and ask.term == self.term and self._voted_for in ("", ask.sender)

    def _has_live_leader(self) -> bool:
        """A removed replica, or one that was cut off, must not disturb those that hear their leader."""
        if self._leading is not None:
            return True  # steps down by itself where no quorum answers
        return (
            self._leader_heard_us is not None
            and self._now_us - self._leader_heard_us < self._timing.election_timeout_us
        )

    def _on_vote_request(self, ask: VoteRequest) -> None:
        if not ask.leadership_transfer and self._has_live_leader():
            return
        if ask.term > self.term and not ask.pre_vote:
            self._become_follower(ask.term, "")
        granted = self._may_vote(ask)
        if granted and not ask.pre_vote:
            if self._voted_for != ask.sender:
                self._voted_for = ask.sender
                self._write(self.log.last_index)
            self._reset_election_timer()
        term = ask.term if granted else self.term
        self._send(ask.sender, VoteResponse(term, self.replica_id, granted, ask.pre_vote))

    def _count_vote(self, vote: VoteResponse) -> None:
        if not vote.granted:
            if vote.term > self.term:
                self._become_follower(vote.term, "")
            return
        wanted = (Role.PRE_CANDIDATE, self.term + 1) if vote.pre_vote else (Role.CANDIDATE, self.term)
        if (self.role, vote.term) != wanted:
            return
        self._votes.add(vote.sender)
        if self._has_quorum(self._votes):
            self._start_election(pre_vote=False) if vote.pre_vote else self._become_leader()

    def _become_leader(self) -> None:
        self.role, self.leader = Role.LEADER, self.replica_id
        self._leading = _LeaderState(self._now_us)
        self._effects.append(RoleChanged(self.role, self.term, self.replica_id))
        self._append_to_log(LogEntry(self.log.last_index + 1, self.term, EntryKind.OPENING))

    # Entries

    def _append_to_log(self, entry: LogEntry) -> None:
        self.log.append((entry,))
        self._write(entry.index - 1, (entry,))
        self._update_peers()

    def _update_peers(self) -> None:
        leading = self._leading
        assert leading is not None
        for name in self.log.members.all:
            if name != self.replica_id:
                leading.peers.setdefault(name, _PeerProgress(self.log.last_index, last_heard_us=self._now_us))
        for name in [n for n in leading.peers if n not in self.log.members.all]:
            del leading.peers[name]
        if leading.transfer is not None and leading.transfer.target not in leading.peers:
            leading.transfer = None  # its target was removed while it lagged: this leader goes on

    def _replicate_to(self, name: str) -> None:
        """What this replica lacks, as far as is known; a question for a sign of life if that is nothing."""
        leading = self._leading
        assert leading is not None
        peer, log = leading.peers[name], self.log
        prev_term = log.term_at(peer.next_index - 1)
        if prev_term is None:
            self._send(name, InstallSnapshot(self.term, self.replica_id, log.snapshot, leading.round))
            peer.next_index = log.snapshot.index + 1
            return
        entries = log.entries_after(peer.next_index - 1, MAX_ENTRIES_PER_MESSAGE)
        prev = peer.next_index - 1
        self._send(
            name,
            AppendEntries(
                self.term,
                self.replica_id,
                prev,
                prev_term,
                entries,
                self.commit_index,
                leading.round,
                self._quorum_contact_age_us(),
                peer.last_sent_at_us,
            ),
        )
        peer.next_index += len(entries)

    def _propose(self, id: str, data: bytes) -> None:
        if self._leading is None or self._leading.transfer is not None:
            self._effects.append(Rejected(id, NOT_LEADER, self.leader if self._leading is None else ""))
            return
        self._append_to_log(LogEntry(self.log.last_index + 1, self.term, EntryKind.COMMAND, id, data))

    def _accept_leader(self, m: AppendEntries | InstallSnapshot) -> bool:
        """Whether the sender leads in the present term; this replica follows it, or tells of the newer."""
        if m.term < self.term:
            self._send(m.sender, AppendEntriesResponse(self.term, self.replica_id, False, 0, m.round))
            return False
        if m.term > self.term or self.role is not Role.FOLLOWER or self.leader != m.sender:
            self._become_follower(m.term, m.sender)
        self._leader_heard_us = self._now_us
        self._reset_election_timer()
        return True

    def _on_append_entries(self, m: AppendEntries) -> None:
        if not self._accept_leader(m):
            return
        self._take_leader_freshness(m)
        log, entries, prev = self.log, m.entries, m.prev_index
        if prev < log.snapshot.index:  # the snapshot covers the first of them
            entries = tuple(e for e in entries if e.index > log.snapshot.index)
            prev = log.snapshot.index
        elif log.term_at(prev) != m.prev_term:
            look = (
                min(log.last_index, prev - 1)
                if log.term_at(prev) is None
                else log.last_index_before_term_run(prev)
            )
            self._respond(m, False, look)
            return
        match = max(prev, m.prev_index + len(m.entries))
        new = next((n for n, e in enumerate(entries) if log.term_at(e.index) != e.term), len(entries))
        if new < len(entries):
            keep = entries[new].index - 1
            if keep < self.commit_index:
                raise RuntimeError(f"{self.replica_id}: entry {keep + 1} was agreed and would be replaced")
            if keep < log.last_index:
                log.truncate(keep)
            log.append(entries[new:])
            self._write(keep, entries[new:])
        self.commit_index = max(self.commit_index, min(m.commit_index, match))
        self._respond(m, True, match)

    def _on_install_snapshot(self, m: InstallSnapshot) -> None:
        if not self._accept_leader(m):
            return
        if m.snapshot.index > self.commit_index:
            self.log.compact(m.snapshot)
            self.commit_index = m.snapshot.index
            self._write(self.log.last_index, (), m.snapshot)
        self._respond(m, True, m.snapshot.index)

    def _respond(self, m: AppendEntries | InstallSnapshot, success: bool, match_index: int) -> None:
        sent_at_us = self._now_us + self._clock_offset_us
        self._send(
            m.sender,
            AppendEntriesResponse(self.term, self.replica_id, success, match_index, m.round, sent_at_us),
        )

    def _on_append_entries_response(self, m: AppendEntriesResponse) -> None:
        if m.term > self.term:
            return self._become_follower(m.term, "")
        leading = self._leading
        if leading is None or m.term < self.term or m.sender not in leading.peers:
            return None
        peer = leading.peers[m.sender]
        peer.last_heard_us, peer.answered_round, peer.last_sent_at_us = (
            self._now_us,
            max(peer.answered_round, m.round),
            m.sent_at_us,
        )
        if m.success:
            peer.match_index, peer.match_round = (
                max(peer.match_index, m.match_index),
                max(peer.match_round, m.round),
            )
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            self._advance_commit_index()
        elif m.match_index < peer.match_index and m.round > peer.match_round:
            # Its disk has lost what it said it held, or the answers came in another order: sent again, either
            # way, since a match that is taken for too low costs nothing but that.
            peer.match_index, peer.next_index = m.match_index, m.match_index + 1
            self._replicate_to(m.sender)
        elif m.match_index + 1 < peer.next_index:
            peer.next_index = max(m.match_index, peer.match_index) + 1
            self._replicate_to(m.sender)
        if self._leading is leading and peer.next_index <= self.log.last_index:
            self._replicate_to(m.sender)
        self._confirm_reads()
        self._continue_transfer()
        return None

    def _may_commit(self, index: int) -> bool:
        """By count only in the own term: an older term's entry on a majority can still be replaced."""
        return self.log.term_at(index) == self.term

    def _advance_commit_index(self) -> None:
        """The leader commits what a quorum holds durably, itself included only where that is so here."""
        if self._leading is None:
            return
        held = {self.replica_id: self._durable_index} | {
            name: peer.match_index for name, peer in self._leading.peers.items()
        }
        index = next(
            (
                i
                for i in range(self.log.last_index, self.commit_index, -1)
                if self._has_quorum({n for n, m in held.items() if m >= i}) and self._may_commit(i)
            ),
            self.commit_index,
        )
        if index > self.commit_index:
            self.commit_index = index
            self._send_heartbeats()  # the others may apply it
            self._confirm_reads()
            if self.replica_id not in self.log.members.voters and self.commit_index >= self.log.members_index:
                self._become_follower(self.term, "")  # taken out: the rest elects one of its own

    def _apply_committed(self) -> None:
        """What is agreed and durable here."""
        if self.last_applied < self.log.snapshot.index:
            snapshot = self.log.snapshot
            self.last_applied = snapshot.index
            self._send_after_persist(Restore(snapshot))
        until = min(self.commit_index, self._durable_index)
        if until > self.last_applied:
            entries = self.log.entries_after(self.last_applied, until - self.last_applied)
            self.last_applied = until
            self._send_after_persist(Apply(entries))
            self._confirm_reads()

    def _compact(self, index: int, data: bytes) -> None:
        term = self.log.term_at(index)
        if not self.log.snapshot.index < index <= self.last_applied or term is None:
            return
        self.log.compact(Snapshot(index, term, self.log.members_as_of(index), data))
        self._write(self.log.last_index, (), self.log.snapshot)

    # Reads

    def _request_read(self, id: str) -> None:
        """A quorum has to say, after the question, that it still follows: else another may have led on."""
        leading = self._leading
        if leading is None:
            self._effects.append(Rejected(id, NOT_LEADER, self.leader))
        elif self.log.term_at(self.commit_index) != self.term:
            self._effects.append(Rejected(id, LEADER_NOT_READY, self.replica_id))
        else:
            self._start_round(leading)
            leading.pending_reads.append(_PendingRead(id, self.commit_index, leading.round))
            self._send_heartbeats()
            self._confirm_reads()

    def _confirm_reads(self) -> None:
        leading = self._leading
        while leading is not None and leading.pending_reads:
            read = leading.pending_reads[0]
            heard = {self.replica_id} | {
                name for name, peer in leading.peers.items() if peer.answered_round >= read.round
            }
            if not self._has_quorum(heard) or self.last_applied < read.index:
                return
            leading.pending_reads.pop(0)
            self._send_after_persist(ReadReady(read.id, read.index))

    # Members

    def _membership_change_error(self, members: Members) -> str:
        """Why not, or nothing. One voter at a time keeps any two quorums in touch, but only once the change
        before it and an entry of this term are agreed."""
        now = self.log.members
        if self.commit_index < self.log.members_index:
            return "the change before it is not agreed yet"
        if self.log.term_at(self.commit_index) != self.term:
            return LEADER_NOT_READY
        if len(set(members.voters) ^ set(now.voters)) > 1 or not members.voters:
            return "one voter more or less at a time"
        leading = self._leading
        assert leading is not None
        for name in set(members.voters) - set(now.voters):
            peer = leading.peers.get(name)
            if peer is None or peer.match_index < self.commit_index:
                return f"{name} has not caught up"
        return ""

    def _change_membership(self, id: str, members: Members) -> None:
        if self._leading is None:
            self._effects.append(Rejected(id, NOT_LEADER, self.leader))
        elif why := self._membership_change_error(members):
            self._effects.append(Rejected(id, why, self.replica_id))
        else:
            self._append_to_log(
                LogEntry(self.log.last_index + 1, self.term, EntryKind.MEMBERS, id, b"", members)
            )
            self._advance_commit_index()

    # Handing over

    def _transfer_leadership(self, to: str) -> None:
        leading = self._leading
        if leading is not None and to in self.log.members.voters and to in leading.peers:
            leading.transfer = _LeadershipTransfer(to, self._now_us + self._timing.election_timeout_us)
            self._continue_transfer()

    def _continue_transfer(self) -> None:
        leading = self._leading
        if leading is None or leading.transfer is None or leading.transfer.timeout_now_sent:
            return
        if leading.peers[leading.transfer.target].match_index == self.log.last_index:
            leading.transfer.timeout_now_sent = True
            self._send(leading.transfer.target, TimeoutNow(self.term, self.replica_id))

    # Messages

    def _on_message(self, message: Message) -> None:
        match message:
            case VoteRequest():
                self._on_vote_request(message)
            case VoteResponse():
                self._count_vote(message)
            case AppendEntries():
                self._on_append_entries(message)
            case InstallSnapshot():
                self._on_install_snapshot(message)
            case AppendEntriesResponse():
                self._on_append_entries_response(message)
            case TimeoutNow(term):
                if term == self.term and self._leading is None:
                    self._start_election(pre_vote=False, leadership_transfer=True)
