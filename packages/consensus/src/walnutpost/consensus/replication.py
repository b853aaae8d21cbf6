"""The leader's side of replication: appending entries, and sending them to each peer."""

from __future__ import annotations

from walnutpost.consensus.effects import NOT_LEADER, Rejected
from walnutpost.consensus.freshness import Freshness
from walnutpost.consensus.log_entries import EntryKind, LogEntry, Members
from walnutpost.consensus.messages import AppendEntries, InstallSnapshot
from walnutpost.consensus.persistence import PersistenceGate
from walnutpost.consensus.state import LeaderState, PeerProgress, RaftState, Round

MAX_ENTRIES_PER_MESSAGE = 256
NO_MEMBERS = Members()


class Replication:
    """Appends entries to a leader's log and sends peers the entries that they lack."""

    __slots__ = ("_freshness", "_gate", "_state")

    def __init__(self, state: RaftState, gate: PersistenceGate, freshness: Freshness) -> None:
        self._state = state
        self._gate = gate
        self._freshness = freshness

    def propose(self, request_id: str, data: bytes) -> None:
        """Append a command, or reject it: also during a transfer, when the next leader is unknown."""
        state = self._state
        if state.leadership is None:
            state.effects.append(Rejected(request_id, NOT_LEADER, state.leader))
        elif state.leadership.transfer is not None:
            state.effects.append(Rejected(request_id, NOT_LEADER, ""))
        else:
            self.append(state.leadership, EntryKind.COMMAND, request_id, data)

    def append(
        self,
        leadership: LeaderState,
        kind: EntryKind,
        request_id: str = "",
        data: bytes = b"",
        members: Members = NO_MEMBERS,
    ) -> None:
        """Append an entry of the own term. It is sent once it is durable here, see `send_new_entries`."""
        state = self._state
        entry = LogEntry(state.log.last_index + 1, state.term, kind, request_id, data, members)
        state.log.append((entry,))
        self._gate.write(entry.index - 1, (entry,))
        self._update_peers(leadership)

    def send_heartbeats(self, leadership: LeaderState) -> None:
        """Start a round: send each peer the entries that it lacks, at least a heartbeat."""
        leadership.next_heartbeat_us = self._state.now_us + self._state.timing.heartbeat_interval_us
        self.start_round(leadership)
        for name in leadership.peers:
            self.replicate_to(leadership, name)

    def start_round(self, leadership: LeaderState) -> None:
        """Count a new round, which begins now."""
        leadership.round += 1
        leadership.unanswered_rounds.append(Round(leadership.round, self._state.now_us))

    def send_new_entries(self, leadership: LeaderState) -> None:
        """Send each peer the entries that it was not sent yet: proposals of one write share a message."""
        last_index = self._state.log.last_index
        for name, peer in leadership.peers.items():
            if peer.next_index <= last_index:
                self.replicate_to(leadership, name)

    def replicate_to(self, leadership: LeaderState, name: str) -> None:
        """Send a peer the entries from its `next_index` on, if any, or the snapshot before them."""
        state, peer = self._state, leadership.peers[name]
        prev_index = peer.next_index - 1
        prev_term = state.log.term_at(prev_index)
        if prev_term is None:
            snapshot = state.log.snapshot
            self._gate.send(name, InstallSnapshot(state.term, state.replica_id, snapshot, leadership.round))
            peer.next_index = snapshot.index + 1
            return
        entries = state.log.entries_after(prev_index, MAX_ENTRIES_PER_MESSAGE)
        message = AppendEntries(
            term=state.term,
            sender=state.replica_id,
            prev_index=prev_index,
            prev_term=prev_term,
            entries=entries,
            commit_index=state.commit_index,
            round=leadership.round,
            quorum_contact_age_us=self._freshness.quorum_contact_age_us(),
            echoed_sent_at_us=peer.response_sent_at_us,
        )
        self._gate.send(name, message)
        peer.next_index += len(entries)

    def _update_peers(self, leadership: LeaderState) -> None:
        """Follow the membership. A transfer ends if its target was removed: this leader stays."""
        state, members = self._state, self._state.log.members.all
        for name in members:
            if name != state.replica_id and name not in leadership.peers:
                leadership.peers[name] = PeerProgress(state.log.last_index, last_heard_us=state.now_us)
        for name in [name for name in leadership.peers if name not in members]:
            del leadership.peers[name]
        if leadership.transfer is not None and leadership.transfer.target not in leadership.peers:
            leadership.transfer = None
