"""What several copies of one journal say together: a function of the set of lines, whatever their order.

Each call is a join of what its lines say: nothing earlier takes the place of a later state, and a line that
comes twice, or late, changes nothing. Two fates for one call are told apart by their place in the journal:
the first that was written holds, since it may have been told.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from walnutpost.journal.records import Accepted, BadLine, Ended, Intended, Line, Purged, Withdrawn
from walnutpost.journal.spans import Spans


class Reached(Enum):
    """How far a call got, by what is known; in order."""

    UNKNOWN = 0  # lines of it, but not the first
    ACCEPTED = 1
    INTENDED = 2
    WITHDRAWN = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class Call:
    """`intents`: attempt and worker. `ended_seq` orders fates."""

    accepted: Accepted | None = None
    intents: frozenset[tuple[int, str]] = frozenset()
    withdrawn: bool = False
    ended: Ended | None = None
    ended_seq: int = 0

    @property
    def reached(self) -> Reached:
        if self.ended is not None:
            return Reached.ENDED
        if self.withdrawn:
            return Reached.WITHDRAWN
        if self.accepted is None:
            return Reached.UNKNOWN
        return Reached.INTENDED if self.intents else Reached.ACCEPTED

    def joined(self, other: Call) -> Call:
        """Commutative, associative, idempotent."""
        fates = [(c.ended_seq, c.ended) for c in (self, other) if c.ended is not None]
        seq, ended = min(fates, key=lambda f: f[0]) if fates else (0, None)
        return Call(
            self.accepted if self.accepted is not None else other.accepted,
            self.intents | other.intents,
            self.withdrawn or other.withdrawn,
            ended,
            seq,
        )


@dataclass(slots=True)
class Joined:
    """One origin's journal, as far as copies of it tell. `bad`: lines whose bytes are not those written."""

    calls: dict[str, Call] = field(default_factory=dict)
    covered: Spans = field(default_factory=Spans)
    bad: set[int] = field(default_factory=set)
    _good: set[int] = field(default_factory=set)
    purged_before: int = 0

    def take(self, covered: Spans, lines: Iterable[Line]) -> None:
        """A copy: the numbers that it accounts for, and the lines among them that still matter."""
        self.covered.merge(covered)
        for found in lines:
            try:
                record = found.record()
            except BadLine:
                if found.seq not in self._good:
                    self.bad.add(found.seq)
                continue
            self._good.add(found.seq)
            self.bad.discard(found.seq)
            match record:
                case Accepted(call=id):
                    said = Call(accepted=record)
                case Intended(id, attempt, worker):
                    said = Call(intents=frozenset({(attempt, worker)}))
                case Withdrawn(id):
                    said = Call(withdrawn=True)
                case Ended(call=id):
                    said = Call(ended=record, ended_seq=found.seq)
                case Purged(before):
                    self.purged_before = max(self.purged_before, before)
                    continue
            self.calls[id] = self.calls.get(id, Call()).joined(said)

    @property
    def gaps(self) -> list[tuple[int, int]]:
        """Ranges (after, upto] that no copy accounts for, lines that no copy has whole among them. What
        follows the last line known is a gap without an end, and is not in here."""
        missing = Spans(self.covered.gaps())
        for seq in self.bad:
            missing.add(seq - 1, seq)
        return list(missing)

    def kept(self) -> dict[str, Call]:
        """Without what was withdrawn, and what is so old that its fate is no longer kept."""
        return {
            id: c
            for id, c in self.calls.items()
            if c.reached is not Reached.WITHDRAWN and _age(c) >= self.purged_before
        }


def _age(call: Call) -> int:
    """When it ended, or must have."""
    if call.ended is not None:
        return call.ended.ended_at
    return call.accepted.expires_at if call.accepted is not None else 0
