"""Following and stepping down, and the election timer that goes with them."""

from __future__ import annotations

from walnutpost.consensus.effects import (
    LEADERSHIP_LOST,
    Rejected,
    Role,
    RoleChanged,
)
from walnutpost.consensus.persistence import PersistenceGate
from walnutpost.consensus.state import RaftState


class Roles:
    """Turns a replica into a follower, from any role."""

    __slots__ = ("_gate", "_state")

    def __init__(self, state: RaftState, gate: PersistenceGate) -> None:
        self._state = state
        self._gate = gate

    def reset_election_timer(self) -> None:
        """Wait one to two election timeouts from now, at random so that elections seldom collide."""
        state, timeout_us = self._state, self._state.timing.election_timeout_us
        state.election_deadline_us = state.now_us + timeout_us + state.random.randrange(timeout_us)

    def become_follower(self, term: int, leader: str) -> None:
        """Follow `leader`, empty if it is unknown, and adopt a newer `term`.

        The pending reads of a leader are rejected.
        """
        state = self._state
        leadership, state.leadership = state.leadership, None
        if term > state.term:
            state.term = term
            state.voted_for = ""
            self._gate.write_vote()
        is_changed = state.role is not Role.FOLLOWER or state.leader != leader
        state.role = Role.FOLLOWER
        state.leader = leader
        if leadership is not None:
            self.reset_election_timer()
            for read in leadership.pending_reads:
                state.effects.append(Rejected(read.id, LEADERSHIP_LOST, leader))
        if is_changed:
            state.effects.append(RoleChanged(state.role, state.term, leader))

    def step_down(self) -> None:
        """Stop leading in this term; who leads next is unknown."""
        self.become_follower(self._state.term, "")
