"""The follower's side of replication: entries and snapshots that a leader sends."""

from __future__ import annotations

from walnutpost.consensus.effects import Role
from walnutpost.consensus.errors import CommittedEntryConflictError
from walnutpost.consensus.freshness import Freshness
from walnutpost.consensus.log_entries import LogEntry
from walnutpost.consensus.messages import AppendEntries, AppendEntriesResponse, InstallSnapshot
from walnutpost.consensus.persistence import PersistenceGate
from walnutpost.consensus.roles import Roles
from walnutpost.consensus.state import RaftState


class Following:
    """Takes a leader's messages."""

    __slots__ = ("_freshness", "_gate", "_roles", "_state")

    def __init__(self, state: RaftState, gate: PersistenceGate, roles: Roles, freshness: Freshness) -> None:
        self._state = state
        self._gate = gate
        self._roles = roles
        self._freshness = freshness

    def on_append_entries(self, message: AppendEntries) -> None:
        """Take entries that continue the own log, and the commit index.

        Raises CommittedEntryConflictError if they would replace a committed entry.
        """
        if not self.accept_leader(message):
            return
        self._freshness.add_bound_from_leader(message)
        state, log = self._state, self._state.log
        entries, prev_index = message.entries, message.prev_index
        if prev_index < log.snapshot.index:  # the snapshot covers the first of them
            entries = tuple(entry for entry in entries if entry.index > log.snapshot.index)
            prev_index = log.snapshot.index
        elif log.term_at(prev_index) != message.prev_term:
            self.respond(message, False, self._index_to_try(prev_index))
            return
        self._append_missing(entries)
        match_index = max(prev_index, message.prev_index + len(message.entries))
        state.commit_index = max(state.commit_index, min(message.commit_index, match_index))
        self.respond(message, True, match_index)

    def accept_leader(self, message: AppendEntries | InstallSnapshot) -> bool:
        """Follow the sender if it leads in this term or a newer one; else answer it with the newer term."""
        state = self._state
        if message.term < state.term:
            response = AppendEntriesResponse(state.term, state.replica_id, False, 0, message.round)
            self._gate.send(message.sender, response)
            return False
        is_followed = state.role is Role.FOLLOWER and state.leader == message.sender
        if message.term > state.term or not is_followed:
            self._roles.become_follower(message.term, message.sender)
        state.leader_heard_us = state.now_us
        self._roles.reset_election_timer()
        return True

    def respond(self, message: AppendEntries | InstallSnapshot, success: bool, match_index: int) -> None:
        """Answer a leader once what the answer reports is durable."""
        state = self._state
        response = AppendEntriesResponse(
            term=state.term,
            sender=state.replica_id,
            success=success,
            match_index=match_index,
            round=message.round,
            sent_at_us=state.now_us + state.clock_offset_us,
        )
        self._gate.send(message.sender, response)

    def _index_to_try(self, prev_index: int) -> int:
        """Return where the leader should try next: entry `prev_index` is missing or of another term."""
        log = self._state.log
        if log.term_at(prev_index) is None:
            return min(log.last_index, prev_index - 1)
        return log.last_index_before_term_run(prev_index)

    def _append_missing(self, entries: tuple[LogEntry, ...]) -> None:
        """Append the entries from the first that this log doesn't have, in place of its entries there."""
        state, log = self._state, self._state.log
        missing = self._missing(entries)
        if not missing:
            return
        last_retained_index = missing[0].index - 1
        if last_retained_index < state.commit_index:
            raise CommittedEntryConflictError(state.replica_id, missing[0].index, state.commit_index)
        if last_retained_index < log.last_index:
            log.truncate(last_retained_index)
        log.append(missing)
        self._gate.write(last_retained_index, missing)

    def _missing(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        for position, entry in enumerate(entries):
            if self._state.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()
