"""One Raft replica as a state machine: `(now_us, input)` in, effects out; no I/O and no clock.

Invariants:
- `persistence.py`: nothing is sent, answered or counted before the writes it depends on are durable.
- `safety.py`: all decisions on which safety rests.
- `freshness.py`: bounds of the age of the applied state; each stays true under any later leader.
- A replica's id includes its disk: one that lost it comes back under another id, which counts for nothing
  until a membership change adds it.

The parts share one `RaftState` and are given to each other in the order in which `Raft` builds them.
"""

from __future__ import annotations

from walnutpost.consensus.append_responses import AppendResponses
from walnutpost.consensus.commitment import Commitment
from walnutpost.consensus.effects import Effect, Role
from walnutpost.consensus.election import Election
from walnutpost.consensus.following import Following
from walnutpost.consensus.freshness import Freshness
from walnutpost.consensus.inputs import (
    ChangeMembership,
    Compact,
    Input,
    MessageReceived,
    Propose,
    ReadIndex,
    Tick,
    TransferLeadership,
    WriteCompleted,
)
from walnutpost.consensus.leadership_transfer import LeadershipTransfers
from walnutpost.consensus.log import Log
from walnutpost.consensus.log_entries import Members
from walnutpost.consensus.membership import Membership
from walnutpost.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    Message,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from walnutpost.consensus.persistence import PersistenceGate
from walnutpost.consensus.reads import Reads
from walnutpost.consensus.replication import Replication
from walnutpost.consensus.roles import Roles
from walnutpost.consensus.safety import RAFT_RULES, SafetyRules
from walnutpost.consensus.snapshots import Snapshots
from walnutpost.consensus.state import PersistentState, RaftState, Timing
from walnutpost.consensus.timers import Timers


class Raft:
    """A Raft replica.

    Restore and Apply for the persistent state come with the first inputs, since the state machine starts
    empty. It starts as a follower. `seed` is for election timeouts, which must differ between replicas.
    `state` is for tests and diagnosis: only `handle` may change it.
    """

    def __init__(
        self,
        replica_id: str,
        persistent: PersistentState,
        timing: Timing,
        seed: int,
        rules: SafetyRules = RAFT_RULES,
    ) -> None:
        self.state = state = RaftState.load(replica_id, persistent, timing, seed)
        self._gate = gate = PersistenceGate(state, rules)
        self._freshness = freshness = Freshness(state, rules)
        roles = Roles(state, gate)
        self._replication = replication = Replication(state, gate, freshness)
        self._reads = reads = Reads(state, gate, replication)
        self._commitment = commitment = Commitment(state, rules, gate, roles, replication, reads)
        self._membership = Membership(state, rules, replication, commitment)
        self._transfers = transfers = LeadershipTransfers(state, gate)
        self._append_responses = AppendResponses(state, roles, replication, reads, commitment, transfers)
        self._following = following = Following(state, gate, roles, freshness)
        self._snapshots = Snapshots(state, gate, following)
        self._election = election = Election(state, rules, gate, roles, replication)
        self._timers = Timers(state, roles, replication, election, transfers)

    @property
    def replica_id(self) -> str:
        """This replica's id, which includes its disk."""
        return self.state.replica_id

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def role(self) -> Role:
        """The current role."""
        return self.state.role

    @property
    def leader(self) -> str:
        """The leader of the current term, empty if it is unknown."""
        return self.state.leader

    @property
    def log(self) -> Log:
        """The snapshot and the entries after it."""
        return self.state.log

    @property
    def members(self) -> Members:
        """The membership in force, which may not be committed yet."""
        return self.state.log.members

    @property
    def commit_index(self) -> int:
        """The last index known to be committed."""
        return self.state.commit_index

    @property
    def last_applied(self) -> int:
        """The last index given out by Apply or Restore."""
        return self.state.last_applied

    @property
    def next_deadline_us(self) -> int:
        """When it needs a Tick at the latest."""
        return self._timers.next_deadline_us

    def fresh_as_of(self, applied_index: int) -> int | None:
        """Return the time at which a state with entry `applied_index` applied was certainly the newest.

        By this replica's clock: a leader in contact with a quorum had committed nothing after that entry by
        then. None if nothing is known of it since this process began. `applied_index` never falls from
        call to call.
        """
        return self._freshness.fresh_as_of(applied_index)

    def handle(self, now_us: int, event: Input) -> list[Effect]:
        """Handle an input at `now_us`, which never falls, and return the effects, to be executed in order.

        Raises CommittedEntryConflictError if a leader contradicts entries that are committed here.
        """
        state = self.state
        state.now_us = now_us
        state.effects = []
        self._timers.start()
        self._on_input(event)
        self._timers.check()
        self._commitment.apply()
        self._freshness.add_bound_from_quorum()
        effects, state.effects = state.effects, []
        return effects

    def _on_input(self, event: Input) -> None:
        match event:
            case WriteCompleted(number):
                self._on_write_completed(number)
            case MessageReceived(to, message):
                if to == self.replica_id:  # else for a former process at this address, with another disk
                    self._on_message(message)
            case Propose(request_id, data):
                self._replication.propose(request_id, data)
            case ReadIndex(request_id):
                self._reads.request(request_id)
            case ChangeMembership(request_id, members):
                self._membership.change(request_id, members)
            case TransferLeadership(to):
                self._transfers.start(to)
            case Compact(index, data):
                self._snapshots.compact(index, data)
            case Tick():
                pass

    def _on_message(self, message: Message) -> None:
        match message:
            case VoteRequest():
                self._election.on_vote_request(message)
            case VoteResponse():
                self._election.on_vote_response(message)
            case AppendEntries():
                self._following.on_append_entries(message)
            case InstallSnapshot():
                self._snapshots.on_install_snapshot(message)
            case AppendEntriesResponse():
                self._append_responses.on_response(message)
            case TimeoutNow():
                self._election.on_timeout_now(message)

    def _on_write_completed(self, number: int) -> None:
        """Release the effects that waited for the write, count the own vote and continue replication."""
        for effect in self._gate.complete_writes(number):
            if isinstance(effect, VoteResponse):
                self._election.on_vote_response(effect)
            else:
                self.state.effects.append(effect)
        self._commitment.advance()
        if self.state.leadership is not None:
            self._replication.send_new_entries(self.state.leadership)
