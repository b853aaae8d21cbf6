"""Faulty safety rules, each with one deliberate fault that the tests must detect."""

from __future__ import annotations

from walnutpost.consensus import Members, SafetyRules, VoteRequest
from walnutpost.consensus.messages import AppendEntries
from walnutpost.consensus.state import FreshnessBound, LeaderState, RaftState, Round


class ReleasesBeforePersisted(SafetyRules):
    """Sends and counts what depends on writes before these are durable."""

    def are_writes_durable(self, _state: RaftState) -> bool:
        """Report every state as durable."""
        return True


class VotesTwiceInATerm(SafetyRules):
    """Votes again in a term in which it has voted."""

    def may_vote(self, state: RaftState, request: VoteRequest) -> bool:
        """Compare the logs only."""
        return (request.last_term, request.last_index) >= (state.log.last_term, state.log.last_index)


class VotesForOlderLogs(SafetyRules):
    """Votes for candidates whose log is older."""

    def may_vote(self, state: RaftState, request: VoteRequest) -> bool:
        """Check the term and the vote only, except in a pre-vote."""
        if request.pre_vote:
            return super().may_vote(state, request)
        return request.term == state.term and state.voted_for in ("", request.sender)


class IgnoresLiveLeader(SafetyRules):
    """Does not ignore vote requests while a leader is live."""

    def has_live_leader(self, _state: RaftState) -> bool:
        """Report that there is no live leader."""
        return False


class CommitsOlderTermsByCount(SafetyRules):
    """Commits entries of older terms by the number of replicas that have them."""

    def may_commit(self, _state: RaftState, _index: int) -> bool:
        """Allow each index."""
        return True


class AllowsAnyMembershipChange(SafetyRules):
    """Accepts membership changes of any size at any time."""

    def membership_change_error(self, _state: RaftState, _leadership: LeaderState, _members: Members) -> str:
        """Report no error."""
        return ""


class CountsCommitsOfUnknownTerms(SafetyRules):
    """Takes a leader's commit index as a bound before an entry of its term is committed."""

    def knows_all_committed(self, _state: RaftState) -> bool:
        """Report that all committed entries are known."""
        return True


class DatesContactByTheAnswer(SafetyRules):
    """Dates the contact to a quorum by the arrival of the responses, not by the sending of the requests."""

    def quorum_contact_us(self, state: RaftState, _answered: Round) -> int:
        """Return the present time."""
        return state.now_us


class OmitsTheContactAge(SafetyRules):
    """Reports a known age of the contact to a quorum as zero."""

    def quorum_contact_age_us(self, state: RaftState, leadership: LeaderState) -> int:
        """Return zero instead of a positive age."""
        return min(0, super().quorum_contact_age_us(state, leadership))


class DatesContactByTheArrival(SafetyRules):
    """Dates the leader's contact by the arrival of its message."""

    def leader_quorum_contact_us(self, state: RaftState, message: AppendEntries) -> int | None:
        """Return the present time if the message has a contact age."""
        return state.now_us if message.quorum_contact_age_us >= 0 else None


class CoversWhatIsNotApplied(SafetyRules):
    """Uses a freshness bound for states that have not applied its index."""

    def is_covered(self, _bound: FreshnessBound, _applied_index: int) -> bool:
        """Report each bound as covered."""
        return True


BROKEN_RULES: tuple[type[SafetyRules], ...] = (
    ReleasesBeforePersisted,
    VotesTwiceInATerm,
    VotesForOlderLogs,
    IgnoresLiveLeader,
    CommitsOlderTermsByCount,
    AllowsAnyMembershipChange,
    CountsCommitsOfUnknownTerms,
    DatesContactByTheAnswer,
    OmitsTheContactAge,
    DatesContactByTheArrival,
    CoversWhatIsNotApplied,
)
