"""Safety rules broken on purpose, one each: the tests must notice every one of them."""

from __future__ import annotations

from walnutpost.consensus import Members, SafetyRules, VoteRequest
from walnutpost.consensus.messages import AppendEntries
from walnutpost.consensus.state import FreshnessBound, LeaderState, RaftState, Round


class ReleasesBeforePersisted(SafetyRules):
    def are_writes_durable(self, state: RaftState) -> bool:
        return True


class VotesTwiceInATerm(SafetyRules):
    def may_vote(self, state: RaftState, request: VoteRequest) -> bool:
        return (request.last_term, request.last_index) >= (state.log.last_term, state.log.last_index)


class VotesForOlderLogs(SafetyRules):
    def may_vote(self, state: RaftState, request: VoteRequest) -> bool:
        if request.pre_vote:
            return super().may_vote(state, request)
        return request.term == state.term and state.voted_for in ("", request.sender)


class IgnoresLiveLeader(SafetyRules):
    def has_live_leader(self, state: RaftState) -> bool:
        return False


class CommitsOlderTermsByCount(SafetyRules):
    def may_commit(self, state: RaftState, index: int) -> bool:
        return True


class AllowsAnyMembershipChange(SafetyRules):
    def membership_change_error(self, state: RaftState, leadership: LeaderState, members: Members) -> str:
        return ""


class CountsCommitsOfUnknownTerms(SafetyRules):
    def knows_all_committed(self, state: RaftState) -> bool:
        return True


class DatesContactByTheAnswer(SafetyRules):
    def quorum_contact_us(self, state: RaftState, answered: Round) -> int:
        return state.now_us


class OmitsTheContactAge(SafetyRules):
    def quorum_contact_age_us(self, state: RaftState, leadership: LeaderState) -> int:
        return min(0, super().quorum_contact_age_us(state, leadership))


class DatesContactByTheArrival(SafetyRules):
    def leader_quorum_contact_us(self, state: RaftState, message: AppendEntries) -> int | None:
        return state.now_us if message.quorum_contact_age_us >= 0 else None


class CoversWhatIsNotApplied(SafetyRules):
    def is_covered(self, bound: FreshnessBound, applied_index: int) -> bool:
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
