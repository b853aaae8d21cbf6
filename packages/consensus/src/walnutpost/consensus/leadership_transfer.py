"""Leadership transfer (thesis 3.10): the target catches up, then starts an election at once."""

from __future__ import annotations

from walnutpost.consensus.messages import TimeoutNow
from walnutpost.consensus.persistence import PersistenceGate
from walnutpost.consensus.state import LeadershipTransfer, RaftState


class LeadershipTransfers:
    """Begins a leader's transfers, carries them on and ends those that take too long."""

    __slots__ = ("_gate", "_state")

    def __init__(self, state: RaftState, gate: PersistenceGate) -> None:
        self._state = state
        self._gate = gate

    def start(self, target: str) -> None:
        """Begin a transfer to a voter, if this replica leads. It has one election timeout for it."""
        state, leadership = self._state, self._state.leadership
        if leadership is not None and target in state.log.members.voters and target in leadership.peers:
            deadline_us = state.now_us + state.timing.election_timeout_us
            leadership.transfer = LeadershipTransfer(target, deadline_us)
            self.advance()

    def advance(self) -> None:
        """Ask the target to start an election, once, as soon as it has the complete log."""
        state, leadership = self._state, self._state.leadership
        if leadership is None or leadership.transfer is None or leadership.transfer.is_timeout_now_sent:
            return
        transfer = leadership.transfer
        if leadership.peers[transfer.target].match_index == state.log.last_index:
            transfer.is_timeout_now_sent = True
            self._gate.send(transfer.target, TimeoutNow(state.term, state.replica_id))

    def cancel_overdue(self) -> None:
        """Give up a transfer whose time is over."""
        leadership = self._state.leadership
        if leadership is None or leadership.transfer is None:
            return
        if self._state.now_us >= leadership.transfer.deadline_us:
            leadership.transfer = None
