"""Snapshots: a leader's in place of the own log, and the state machine's in place of old entries."""

from __future__ import annotations

from walnutpost.consensus.following import Following
from walnutpost.consensus.log_entries import Snapshot
from walnutpost.consensus.messages import InstallSnapshot
from walnutpost.consensus.persistence import PersistenceGate
from walnutpost.consensus.state import RaftState


class Snapshots:
    """Installs and takes snapshots. `Commitment.apply` restores the state machine from them."""

    __slots__ = ("_following", "_gate", "_state")

    def __init__(self, state: RaftState, gate: PersistenceGate, following: Following) -> None:
        self._state = state
        self._gate = gate
        self._following = following

    def on_install_snapshot(self, message: InstallSnapshot) -> None:
        """Accept a leader's snapshot if it is newer than the entries committed here."""
        if not self._following.accept_leader(message):
            return
        state, snapshot = self._state, message.snapshot
        if snapshot.index > state.commit_index:
            state.log.compact(snapshot)
            state.commit_index = snapshot.index
            self._gate.write(state.log.last_index, (), snapshot)
        self._following.respond(message, True, snapshot.index)

    def compact(self, index: int, data: bytes) -> None:
        """Replace the log up to `index`, which must be applied, by `data`; ignored if it is not newer."""
        state, log = self._state, self._state.log
        term = log.term_at(index)
        if term is None or not log.snapshot.index < index <= state.last_applied:
            return
        log.compact(Snapshot(index, term, log.members_as_of(index), data))
        self._gate.write(log.last_index, (), log.snapshot)
