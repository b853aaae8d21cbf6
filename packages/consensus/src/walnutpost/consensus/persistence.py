"""The persistence gate: nothing leaves a replica before the writes that it depends on are durable."""

from __future__ import annotations

from collections import deque

from walnutpost.consensus.effects import Effect, Send, Write
from walnutpost.consensus.log_entries import LogEntry, Snapshot
from walnutpost.consensus.messages import Message, VoteResponse
from walnutpost.consensus.safety import SafetyRules
from walnutpost.consensus.state import DeferredEffect, RaftState, UnpersistedWrite


class PersistenceGate:
    """Gives out writes, and holds back effects until all writes before them are durable."""

    __slots__ = ("_rules", "_state")

    def __init__(self, state: RaftState, rules: SafetyRules) -> None:
        self._state = state
        self._rules = rules

    def write(
        self, last_retained_index: int, entries: tuple[LogEntry, ...] = (), snapshot: Snapshot | None = None
    ) -> None:
        """Give out a write of term, vote and the given change of the log; see `Write`."""
        state = self._state
        state.last_write_number += 1
        state.durable_index = min(state.durable_index, last_retained_index)
        state.unpersisted_writes = deque(
            UnpersistedWrite(write.number, min(write.last_index, last_retained_index))
            for write in state.unpersisted_writes
        )
        state.unpersisted_writes.append(UnpersistedWrite(state.last_write_number, state.log.last_index))
        state.effects.append(
            Write(
                state.last_write_number, state.term, state.voted_for, last_retained_index, entries, snapshot
            )
        )

    def write_vote(self) -> None:
        """Give out a write of term and vote alone."""
        self.write(self._state.log.last_index)

    def send(self, to: str, message: Message) -> None:
        """Send a message once it may leave."""
        self.emit(Send(to, message))

    def emit(self, effect: Effect) -> None:
        """Give out an effect once it may leave."""
        if not self.defer(effect):
            self._state.effects.append(effect)

    def defer(self, effect: Effect | VoteResponse) -> bool:
        """Hold an effect, or the own vote, back until all writes are durable; False if they are."""
        state = self._state
        if self._rules.are_writes_durable(state):
            return False
        state.deferred_effects.append(DeferredEffect(state.last_write_number, effect))
        return True

    def complete_writes(self, number: int) -> list[Effect | VoteResponse]:
        """Note that the writes up to `number` are durable; return what may leave now, in order."""
        state = self._state
        state.completed_write_number = max(state.completed_write_number, number)
        while state.unpersisted_writes and state.unpersisted_writes[0].number <= number:
            state.durable_index = state.unpersisted_writes.popleft().last_index
        ready: list[Effect | VoteResponse] = []
        while (
            state.deferred_effects and state.deferred_effects[0].write_number <= state.completed_write_number
        ):
            ready.append(state.deferred_effects.popleft().effect)
        return ready
