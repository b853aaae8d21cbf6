"""Deadlines: elections, heartbeats, and a leader's check that a quorum still answers."""

from __future__ import annotations

from walnutpost.consensus.election import Election
from walnutpost.consensus.leadership_transfer import LeadershipTransfers
from walnutpost.consensus.replication import Replication
from walnutpost.consensus.roles import Roles
from walnutpost.consensus.state import LeaderState, RaftState


class Timers:
    """Starts elections, sends heartbeats and steps down when these are due."""

    __slots__ = ("_election", "_replication", "_roles", "_state", "_transfers")

    def __init__(
        self,
        state: RaftState,
        roles: Roles,
        replication: Replication,
        election: Election,
        transfers: LeadershipTransfers,
    ) -> None:
        self._state = state
        self._roles = roles
        self._replication = replication
        self._election = election
        self._transfers = transfers

    @property
    def next_deadline_us(self) -> int:
        """The time of the next heartbeat or election."""
        if self._state.leadership is not None:
            return self._state.leadership.next_heartbeat_us
        return self._state.election_deadline_us or 0

    def start(self) -> None:
        """Begin to wait for a leader, at the first input."""
        if self._state.started_at_us is None:
            self._state.started_at_us = self._state.now_us
            self._roles.reset_election_timer()

    def check(self) -> None:
        """Start an election, step down or send heartbeats, if it is time for it."""
        state, leadership = self._state, self._state.leadership
        if leadership is None:
            if state.now_us >= self.next_deadline_us:
                self._roles.reset_election_timer()
                self._election.start_pre_vote()
            return
        self._transfers.cancel_overdue()
        if self._has_lost_quorum(leadership):
            self._roles.step_down()  # another may lead, and reads here would wait without end
        elif state.now_us >= leadership.next_heartbeat_us:
            self._replication.send_heartbeats(leadership)

    def _has_lost_quorum(self, leadership: LeaderState) -> bool:
        """Whether this replica has led for an election timeout and heard no quorum within the last one."""
        state = self._state
        since_us = state.now_us - state.timing.election_timeout_us
        if leadership.since_us > since_us:
            return False
        heard = {name for name, peer in leadership.peers.items() if peer.last_heard_us > since_us}
        heard.add(state.replica_id)
        return not state.has_quorum(heard)
