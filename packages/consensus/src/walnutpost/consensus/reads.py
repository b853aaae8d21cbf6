"""Linearizable reads by ReadIndex (thesis 6.4): no log entry, but a round that a quorum answers."""

from __future__ import annotations

from walnutpost.consensus.effects import (
    LEADER_NOT_READY,
    NOT_LEADER,
    ReadReady,
    Rejected,
)
from walnutpost.consensus.persistence import PersistenceGate
from walnutpost.consensus.replication import Replication
from walnutpost.consensus.state import PendingRead, RaftState


class Reads:
    """Accepts reads while this replica leads, and answers each once it can miss nothing."""

    __slots__ = ("_gate", "_replication", "_state")

    def __init__(self, state: RaftState, gate: PersistenceGate, replication: Replication) -> None:
        self._state = state
        self._gate = gate
        self._replication = replication

    def request(self, request_id: str) -> None:
        """Start a round for a read: a quorum must answer after the request that it follows this leader."""
        state, leadership = self._state, self._state.leadership
        if leadership is None:
            state.effects.append(Rejected(request_id, NOT_LEADER, state.leader))
        elif not state.has_committed_in_term:
            state.effects.append(Rejected(request_id, LEADER_NOT_READY, state.replica_id))
        else:
            self._replication.start_round(leadership)
            leadership.pending_reads.append(PendingRead(request_id, state.commit_index, leadership.round))
            self._replication.send_heartbeats(leadership)
            self.answer_confirmed()

    def answer_confirmed(self) -> None:
        """Answer the reads, in order, whose round a quorum has answered and whose index is applied."""
        state, leadership = self._state, self._state.leadership
        while leadership is not None and leadership.pending_reads:
            read = leadership.pending_reads[0]
            answered = {name for name, peer in leadership.peers.items() if peer.answered_round >= read.round}
            answered.add(state.replica_id)
            if not state.has_quorum(answered) or state.last_applied < read.index:
                return
            leadership.pending_reads.pop(0)
            self._gate.emit(ReadReady(read.id, read.index))
