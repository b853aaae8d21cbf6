"""The leader's side of replication: what the answers of its peers change."""

from __future__ import annotations

from walnutpost.consensus.commitment import Commitment
from walnutpost.consensus.leadership_transfer import LeadershipTransfers
from walnutpost.consensus.messages import AppendEntriesResponse
from walnutpost.consensus.reads import Reads
from walnutpost.consensus.replication import Replication
from walnutpost.consensus.roles import Roles
from walnutpost.consensus.state import LeaderState, PeerProgress, RaftState


class AppendResponses:
    """Takes the answers to AppendEntries and InstallSnapshot."""

    __slots__ = ("_commitment", "_reads", "_replication", "_roles", "_state", "_transfers")

    def __init__(
        self,
        state: RaftState,
        roles: Roles,
        replication: Replication,
        reads: Reads,
        commitment: Commitment,
        transfers: LeadershipTransfers,
    ) -> None:
        self._state = state
        self._roles = roles
        self._replication = replication
        self._reads = reads
        self._commitment = commitment
        self._transfers = transfers

    def on_response(self, message: AppendEntriesResponse) -> None:
        """Record a peer's progress, send it what it lacks, and resume what waited for the response."""
        state = self._state
        if message.term > state.term:
            self._roles.become_follower(message.term, "")
            return
        leadership = state.leadership
        if leadership is None or message.term < state.term or message.sender not in leadership.peers:
            return
        peer = leadership.peers[message.sender]
        peer.last_heard_us = state.now_us
        peer.answered_round = max(peer.answered_round, message.round)
        peer.response_sent_at_us = message.sent_at_us
        if message.success:
            self._on_match(peer, message)
        else:
            self._on_mismatch(leadership, peer, message)
        if state.leadership is leadership and peer.next_index <= state.log.last_index:
            self._replication.replicate_to(leadership, message.sender)
        self._reads.answer_confirmed()
        self._transfers.advance()

    def _on_match(self, peer: PeerProgress, message: AppendEntriesResponse) -> None:
        peer.match_index = max(peer.match_index, message.match_index)
        peer.match_round = max(peer.match_round, message.round)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        self._commitment.advance()

    def _on_mismatch(
        self, leadership: LeaderState, peer: PeerProgress, message: AppendEntriesResponse
    ) -> None:
        """Go back to where the peer's log may equal the own one.

        An index below the last match in a newer round: its disk has lost entries, or the answers came in
        another order. They are sent again either way, as a match assumed too low costs nothing else.
        """
        if message.match_index < peer.match_index and message.round > peer.match_round:
            peer.match_index = message.match_index
            peer.next_index = message.match_index + 1
        elif message.match_index + 1 < peer.next_index:
            peer.next_index = max(message.match_index, peer.match_index) + 1
        else:
            return
        self._replication.replicate_to(leadership, message.sender)
