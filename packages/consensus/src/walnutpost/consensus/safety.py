"""The decisions on which safety rests, in one place.

`Raft` takes them as an object, so that tests can break one rule at a time and show that it is noticed. All
methods only read.
"""

from __future__ import annotations

from walnutpost.consensus.effects import LEADER_NOT_READY
from walnutpost.consensus.log_entries import Members
from walnutpost.consensus.messages import AppendEntries, VoteRequest
from walnutpost.consensus.state import FreshnessBound, LeaderState, RaftState, Round

CONTACT_UNKNOWN_US = -1
"""In place of an age, if a leader has had no contact with a quorum that counts."""


class SafetyRules:
    """Raft's rules, and those for staleness bounds (`Raft.fresh_as_of`)."""

    def are_writes_durable(self, state: RaftState) -> bool:
        """Whether all writes are durable, so that what depends on them may be sent, answered and counted."""
        return state.completed_write_number >= state.last_write_number

    def may_vote(self, state: RaftState, request: VoteRequest) -> bool:
        """Whether to grant a vote: one in a term, and only to a log that has all that can be committed."""
        own = (state.log.last_term, state.log.last_index)
        is_up_to_date = (request.last_term, request.last_index) >= own
        if request.pre_vote:
            return is_up_to_date and request.term > state.term
        has_vote_left = state.voted_for in ("", request.sender)
        return is_up_to_date and request.term == state.term and has_vote_left

    def has_live_leader(self, state: RaftState) -> bool:
        """Whether to ignore vote requests: a removed or isolated replica must not depose a live leader."""
        if state.leadership is not None:
            return True  # it steps down if no quorum answers
        if state.leader_heard_us is None:
            return False
        return state.now_us - state.leader_heard_us < state.timing.election_timeout_us

    def may_commit(self, state: RaftState, index: int) -> bool:
        """Whether an entry that a quorum has is committed.

        Only one of the own term is: an older term's entry on a majority can still be replaced (section 5.4.2
        of the paper).
        """
        return state.log.term_at(index) == state.term

    def membership_change_error(self, state: RaftState, leadership: LeaderState, members: Members) -> str:
        """Return why the membership may not change to `members`, empty if it may.

        One voter at a time, so that any two quorums overlap, and only once the former change and an entry of
        this term are committed (thesis 4.1, and Ongaro's correction of 2015).
        """
        current = state.log.members
        if state.commit_index < state.log.members_index:
            return "the change before it is not agreed yet"
        if not state.has_committed_in_term:
            return LEADER_NOT_READY
        if len(set(members.voters) ^ set(current.voters)) > 1 or not members.voters:
            return "one voter more or less at a time"
        for name in set(members.voters) - set(current.voters):
            peer = leadership.peers.get(name)
            if peer is None or peer.match_index < state.commit_index:
                return f"{name} has not caught up"
        return ""

    def knows_all_committed(self, state: RaftState) -> bool:
        """Whether a leader's commit index is a bound: it knows all that former leaders have committed."""
        return state.has_committed_in_term

    def quorum_contact_us(self, _state: RaftState, answered: Round) -> int:
        """Return when a leader was in contact with the quorum that answered a round: at its start.

        The answers may have waited in a socket while this process was paused.
        """
        return answered.started_at_us

    def quorum_contact_age_us(self, state: RaftState, leadership: LeaderState) -> int:
        """Return the age of a leader's last contact with a quorum, or CONTACT_UNKNOWN_US."""
        if leadership.quorum_contact_us is None or not self.knows_all_committed(state):
            return CONTACT_UNKNOWN_US
        return state.now_us - leadership.quorum_contact_us

    def leader_quorum_contact_us(self, state: RaftState, message: AppendEntries) -> int | None:
        """Return when the sender was certainly in contact with a quorum, by this replica's clock.

        It wrote the message after it had this replica's echoed response, so its contact is at least as new as
        that response less the age, however long the message took. None if the age is unknown, or the
        echoed time is not of this process.
        """
        if message.quorum_contact_age_us < 0 or state.started_at_us is None:
            return None
        echoed_us = message.echoed_sent_at_us - state.clock_offset_us
        if not state.started_at_us <= echoed_us <= state.now_us:
            return None
        return echoed_us - message.quorum_contact_age_us

    def is_covered(self, bound: FreshnessBound, applied_index: int) -> bool:
        """Whether a state that has `applied_index` applied has all that the bound is about."""
        return bound.index <= applied_index


RAFT_RULES = SafetyRules()
"""The rules as they are."""
