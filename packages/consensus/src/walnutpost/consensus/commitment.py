"""Committing entries, and giving them to the state machine."""

from __future__ import annotations

from walnutpost.consensus.effects import Apply, Restore
from walnutpost.consensus.persistence import PersistenceGate
from walnutpost.consensus.reads import Reads
from walnutpost.consensus.replication import Replication
from walnutpost.consensus.roles import Roles
from walnutpost.consensus.safety import SafetyRules
from walnutpost.consensus.state import LeaderState, RaftState


class Commitment:
    """Advances a leader's commit index, and applies committed entries on any replica."""

    __slots__ = ("_gate", "_reads", "_replication", "_roles", "_rules", "_state")

    def __init__(
        self,
        state: RaftState,
        rules: SafetyRules,
        gate: PersistenceGate,
        roles: Roles,
        replication: Replication,
        reads: Reads,
    ) -> None:
        self._state = state
        self._rules = rules
        self._gate = gate
        self._roles = roles
        self._replication = replication
        self._reads = reads

    def advance(self) -> None:
        """Commit the entries durable at a quorum, if this replica leads; it counts itself only up to there.

        A leader that is no longer a voter steps down once that change is committed.
        """
        state, leadership = self._state, self._state.leadership
        if leadership is None:
            return
        index = self._newest_committable(leadership)
        if index <= state.commit_index:
            return
        state.commit_index = index
        self._replication.send_heartbeats(leadership)  # the others may apply it
        self._reads.answer_confirmed()
        is_voter = state.replica_id in state.log.members.voters
        if not is_voter and state.commit_index >= state.log.members_index:
            self._roles.step_down()

    def apply(self) -> None:
        """Give the state machine the entries that are committed and durable here, at first the snapshot."""
        state = self._state
        if state.last_applied < state.log.snapshot.index:
            snapshot = state.log.snapshot
            state.last_applied = snapshot.index
            self._gate.emit(Restore(snapshot))
        until = min(state.commit_index, state.durable_index)
        if until > state.last_applied:
            entries = state.log.entries_after(state.last_applied, until - state.last_applied)
            state.last_applied = until
            self._gate.emit(Apply(entries))
            self._reads.answer_confirmed()

    def _newest_committable(self, leadership: LeaderState) -> int:
        """Return the newest index that a quorum has and that may be committed, else the commit index."""
        state = self._state
        match_indexes = {name: peer.match_index for name, peer in leadership.peers.items()}
        match_indexes[state.replica_id] = state.durable_index
        for index in range(state.log.last_index, state.commit_index, -1):
            replicas = {name for name, match_index in match_indexes.items() if match_index >= index}
            if state.has_quorum(replicas) and self._rules.may_commit(state, index):
                return index
        return state.commit_index
