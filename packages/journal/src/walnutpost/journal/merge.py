"""Merging replicas of one journal: the result depends on the set of entries, not on order or repetition.

The state of a call is the join of what its entries say, in the sense of a join semilattice: `CallState.join`
is commutative, associative and idempotent, and a call's stage never goes back. An intact entry replaces a
corrupt one of the same number. Of two outcomes the one written first wins, since a client may have got it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from walnutpost.journal.intervals import IntervalSet
from walnutpost.journal.records import (
    AttemptIntended,
    CallAccepted,
    CallEnded,
    CallRecord,
    CallWithdrawn,
    CorruptEntryError,
    JournalEntry,
    ResultsPurged,
)


class CallStage(Enum):
    """The latest stage of a call that its known entries prove; in order."""

    UNKNOWN = 0  # there are entries of it, but not the first
    ACCEPTED = 1
    INTENDED = 2
    WITHDRAWN = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class CallState:
    """What the known entries say of one call.

    `intents` holds pairs (attempt, worker). `ended_seq` is the number of the entry `ended`: the lower
    one wins.
    """

    accepted: CallAccepted | None = None
    intents: frozenset[tuple[int, str]] = frozenset()
    is_withdrawn: bool = False
    ended: CallEnded | None = None
    ended_seq: int = 0

    @property
    def stage(self) -> CallStage:
        """The latest stage that is proved."""
        if self.ended is not None:
            return CallStage.ENDED
        if self.is_withdrawn:
            return CallStage.WITHDRAWN
        if self.accepted is None:
            return CallStage.UNKNOWN
        return CallStage.INTENDED if self.intents else CallStage.ACCEPTED

    def join(self, other: CallState) -> CallState:
        """Return the least upper bound of both: commutative, associative, idempotent."""
        outcomes = [(state.ended_seq, state.ended) for state in (self, other) if state.ended is not None]
        ended_seq, ended = min(outcomes, key=lambda outcome: outcome[0]) if outcomes else (0, None)
        return CallState(
            self.accepted if self.accepted is not None else other.accepted,
            self.intents | other.intents,
            self.is_withdrawn or other.is_withdrawn,
            ended,
            ended_seq,
        )


@dataclass(slots=True)
class MergedJournal:
    """The journal of one origin, as far as the added replicas have it.

    `covered` are the numbers that some replica accounts for; `corrupt` those of entries of which no intact
    copy was added.
    """

    calls: dict[str, CallState] = field(default_factory=dict)
    covered: IntervalSet = field(default_factory=IntervalSet)
    corrupt: set[int] = field(default_factory=set)
    _intact: set[int] = field(default_factory=set)
    purged_before_us: int = 0

    def add(self, covered: IntervalSet, entries: Iterable[JournalEntry]) -> None:
        """Add a replica: the numbers that it accounts for, and its entries among them."""
        self.covered.update(covered)
        for entry in entries:
            self._add_entry(entry)

    def _add_entry(self, entry: JournalEntry) -> None:
        try:
            record = entry.decode()
        except CorruptEntryError:
            if entry.seq not in self._intact:
                self.corrupt.add(entry.seq)
            return
        self._intact.add(entry.seq)
        self.corrupt.discard(entry.seq)
        if isinstance(record, ResultsPurged):
            self.purged_before_us = max(self.purged_before_us, record.ended_before_us)
            return
        state = _state_by(record, entry.seq)
        self.calls[record.call_id] = self.calls.get(record.call_id, CallState()).join(state)

    @property
    def gaps(self) -> list[tuple[int, int]]:
        """Intervals (after, upto] of which no replica has an intact entry or says that it was purged.

        What follows the largest known number is unknown, and not among them.
        """
        missing = IntervalSet(self.covered.gaps())
        for seq in self.corrupt:
            missing.add(seq - 1, seq)
        return list(missing)

    def retained_calls(self) -> dict[str, CallState]:
        """Return the calls that were neither withdrawn nor ended before the latest purge."""
        return {
            call_id: call
            for call_id, call in self.calls.items()
            if call.stage is not CallStage.WITHDRAWN and _latest_end_us(call) >= self.purged_before_us
        }


def _state_by(record: CallRecord, seq: int) -> CallState:
    """Return what one record alone says of its call."""
    match record:
        case CallAccepted():
            return CallState(accepted=record)
        case AttemptIntended(_, attempt, worker):
            return CallState(intents=frozenset({(attempt, worker)}))
        case CallWithdrawn():
            return CallState(is_withdrawn=True)
        case CallEnded():
            return CallState(ended=record, ended_seq=seq)


def _latest_end_us(call: CallState) -> int:
    """Return when the call ended, or must have ended at the latest."""
    if call.ended is not None:
        return call.ended.ended_at_us
    return call.accepted.expires_at_us if call.accepted is not None else 0
