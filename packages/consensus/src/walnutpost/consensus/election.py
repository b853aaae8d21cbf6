"""Elections: pre-votes (thesis 9.6), votes, and how a leader begins."""

from __future__ import annotations

from walnutpost.consensus.effects import Role, RoleChanged
from walnutpost.consensus.log_entries import EntryKind
from walnutpost.consensus.messages import TimeoutNow, VoteRequest, VoteResponse
from walnutpost.consensus.persistence import PersistenceGate
from walnutpost.consensus.replication import Replication
from walnutpost.consensus.roles import Roles
from walnutpost.consensus.safety import SafetyRules
from walnutpost.consensus.state import LeaderState, RaftState


class Election:
    """Asks for votes, grants them and counts them."""

    __slots__ = ("_gate", "_replication", "_roles", "_rules", "_state")

    def __init__(
        self,
        state: RaftState,
        rules: SafetyRules,
        gate: PersistenceGate,
        roles: Roles,
        replication: Replication,
    ) -> None:
        self._state = state
        self._rules = rules
        self._gate = gate
        self._roles = roles
        self._replication = replication

    def start_pre_vote(self) -> None:
        """Ask whether an election could be won: who can't win must not raise the term and depose a leader."""
        if self._is_voter():
            self._become(Role.PRE_CANDIDATE)
            self._request_votes(self._vote_request(self._state.term + 1, pre_vote=True))

    def start_election(self, leadership_transfer: bool = False) -> None:
        """Ask for votes in a new term."""
        state = self._state
        if self._is_voter():
            state.term += 1
            state.voted_for = state.replica_id
            self._gate.write_vote()
            self._become(Role.CANDIDATE)
            self._request_votes(self._vote_request(state.term, leadership_transfer=leadership_transfer))

    def on_timeout_now(self, message: TimeoutNow) -> None:
        """Start an election at once, as the leader of this term wants it."""
        if message.term == self._state.term and self._state.leadership is None:
            self.start_election(leadership_transfer=True)

    def on_vote_request(self, request: VoteRequest) -> None:
        """Grant or refuse a vote; no answer if this replica hears a leader."""
        state = self._state
        if not request.leadership_transfer and self._rules.has_live_leader(state):
            return
        if request.term > state.term and not request.pre_vote:
            self._roles.become_follower(request.term, "")
        granted = self._rules.may_vote(state, request)
        if granted and not request.pre_vote:
            if state.voted_for != request.sender:
                state.voted_for = request.sender
                self._gate.write_vote()
            self._roles.reset_election_timer()
        term = request.term if granted else state.term
        self._gate.send(request.sender, VoteResponse(term, state.replica_id, granted, request.pre_vote))

    def on_vote_response(self, vote: VoteResponse) -> None:
        """Count a vote for what this replica stands for now; a refusal may carry a newer term."""
        state = self._state
        if not vote.granted:
            if vote.term > state.term:
                self._roles.become_follower(vote.term, "")
            return
        if not self._is_current(vote):
            return
        state.votes.add(vote.sender)
        if not state.has_quorum(state.votes):
            return
        if vote.pre_vote:
            self.start_election()
        else:
            self._become_leader()

    def _is_voter(self) -> bool:
        return self._state.replica_id in self._state.log.members.voters

    def _is_current(self, vote: VoteResponse) -> bool:
        """Whether a vote is for the present candidacy."""
        state = self._state
        if vote.pre_vote:
            return state.role is Role.PRE_CANDIDATE and vote.term == state.term + 1
        return state.role is Role.CANDIDATE and vote.term == state.term

    def _become(self, role: Role) -> None:
        """Begin a candidacy without votes."""
        state = self._state
        state.role = role
        state.leader = ""
        state.leader_heard_us = None
        state.votes = set()
        state.effects.append(RoleChanged(role, state.term, ""))

    def _vote_request(
        self, term: int, pre_vote: bool = False, leadership_transfer: bool = False
    ) -> VoteRequest:
        state = self._state
        return VoteRequest(
            term=term,
            sender=state.replica_id,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre_vote=pre_vote,
            leadership_transfer=leadership_transfer,
        )

    def _request_votes(self, request: VoteRequest) -> None:
        """Send the request to all other voters. The own vote counts once it is durable."""
        state = self._state
        for name in state.log.members.voters:
            if name != state.replica_id:
                self._gate.send(name, request)
        own_vote = VoteResponse(request.term, state.replica_id, True, request.pre_vote)
        if not self._gate.defer(own_vote):
            self.on_vote_response(own_vote)

    def _become_leader(self) -> None:
        """Lead, and append an entry whose commit brings along what older terms have left."""
        state = self._state
        state.role = Role.LEADER
        state.leader = state.replica_id
        state.leadership = LeaderState(state.now_us)
        state.effects.append(RoleChanged(state.role, state.term, state.replica_id))
        self._replication.append(state.leadership, EntryKind.OPENING)
