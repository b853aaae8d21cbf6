"""Membership changes, one voter at a time (thesis, chapter 4)."""

from __future__ import annotations

from walnutpost.consensus.commitment import Commitment
from walnutpost.consensus.effects import NOT_LEADER, Rejected
from walnutpost.consensus.log_entries import EntryKind, Members
from walnutpost.consensus.replication import Replication
from walnutpost.consensus.safety import SafetyRules
from walnutpost.consensus.state import RaftState


class Membership:
    """Appends membership changes that `SafetyRules` allows, and rejects others."""

    __slots__ = ("_commitment", "_replication", "_rules", "_state")

    def __init__(
        self, state: RaftState, rules: SafetyRules, replication: Replication, commitment: Commitment
    ) -> None:
        self._state = state
        self._rules = rules
        self._replication = replication
        self._commitment = commitment

    def change(self, request_id: str, members: Members) -> None:
        """Append a change, which is in force from then on; it may commit entries of the log."""
        state, leadership = self._state, self._state.leadership
        if leadership is None:
            state.effects.append(Rejected(request_id, NOT_LEADER, state.leader))
            return
        error = self._rules.membership_change_error(state, leadership, members)
        if error:
            state.effects.append(Rejected(request_id, error, state.replica_id))
            return
        self._replication.append(leadership, EntryKind.MEMBERS, request_id, members=members)
        self._commitment.advance()
