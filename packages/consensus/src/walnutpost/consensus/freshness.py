"""Staleness bounds: the time at which the applied state was certainly the newest.

A bound is an entry and a time at which a leader in contact with a quorum had committed nothing after it. A
bound stays true under any later leader. `SafetyRules` decides what counts as a bound.
"""

from __future__ import annotations

from operator import attrgetter

from walnutpost.consensus.messages import AppendEntries
from walnutpost.consensus.safety import CONTACT_UNKNOWN_US, SafetyRules
from walnutpost.consensus.state import FreshnessBound, LeaderState, RaftState

MAX_FRESHNESS_BOUNDS = 64
NEVER_ANSWERED_ROUND = -1


class Freshness:
    """Collects freshness bounds from the own quorum's answers and from a leader's messages."""

    __slots__ = ("_rules", "_state")

    def __init__(self, state: RaftState, rules: SafetyRules) -> None:
        self._state = state
        self._rules = rules

    def fresh_as_of(self, applied_index: int) -> int | None:
        """Return the time of the newest bound that covers the state (see `Raft`) and drop older ones."""
        bounds = self._state.freshness_bounds
        covered = sum(self._rules.is_covered(bound, applied_index) for bound in bounds)
        if not covered:
            return None
        del bounds[: covered - 1]
        return bounds[0].at_us

    def add_bound_from_quorum(self) -> None:
        """Add a bound from the rounds of this leader that a quorum has answered."""
        state, leadership = self._state, self._state.leadership
        if leadership is None:
            return
        answered_round = self._round_answered_by_quorum(leadership)
        while leadership.unanswered_rounds and leadership.unanswered_rounds[0].number <= answered_round:
            answered = leadership.unanswered_rounds.popleft()
            leadership.quorum_contact_us = self._rules.quorum_contact_us(state, answered)
        if leadership.quorum_contact_us is not None and self._rules.knows_all_committed(state):
            self._add_bound(FreshnessBound(state.commit_index, leadership.quorum_contact_us))

    def quorum_contact_age_us(self) -> int:
        """Return the age of this leader's last contact with a quorum, negative if it is unknown."""
        leadership = self._state.leadership
        if leadership is None:
            return CONTACT_UNKNOWN_US
        return self._rules.quorum_contact_age_us(self._state, leadership)

    def add_bound_from_leader(self, message: AppendEntries) -> None:
        """Add a bound from a leader's message."""
        contact_us = self._rules.leader_quorum_contact_us(self._state, message)
        if contact_us is not None:
            self._add_bound(FreshnessBound(message.commit_index, contact_us))

    def _round_answered_by_quorum(self, leadership: LeaderState) -> int:
        """Return the newest round that a quorum has answered; the leader itself answers each."""
        rounds = {name: peer.answered_round for name, peer in leadership.peers.items()}
        rounds[self._state.replica_id] = leadership.round
        voters = self._state.log.members.voters
        newest_first = sorted((rounds.get(name, NEVER_ANSWERED_ROUND) for name in voters), reverse=True)
        return newest_first[len(voters) // 2]

    def _add_bound(self, new: FreshnessBound) -> None:
        """Add a bound, unless another implies it, and drop those that it implies."""
        bounds = self._state.freshness_bounds
        if any(bound.index <= new.index and bound.at_us >= new.at_us for bound in reversed(bounds)):
            return
        retained = [bound for bound in bounds if bound.index < new.index or bound.at_us > new.at_us]
        retained.append(new)
        retained.sort(key=attrgetter("index"))
        if len(retained) > MAX_FRESHNESS_BOUNDS:
            # The first may be all that covers a state that lags; the last is the newest.
            del retained[1]
        self._state.freshness_bounds = retained
