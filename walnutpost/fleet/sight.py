"""What front ends are told of workers, and what they make of their own lists by it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from walnutpost.fleet.commands import WORKER
from walnutpost.fleet.state import State


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """A worker as the fleet has agreed on it; `leaving`: somebody has the permit to take it out."""

    name: str
    zone: str
    address: str
    began: float
    leaving: bool


class Sight(msgspec.Struct, frozen=True, array_like=True):
    """The agreed workers by entry `index`, the last one that changed any of this."""

    index: int
    workers: tuple[Seen, ...]


def sight_of(state: State) -> Sight:
    leaving = {p.member for p in state.permits.values()}
    workers = (
        Seen(name, m.zone, m.address, m.began, name in leaving)
        for name, m in sorted(state.members.items())
        if m.kind == WORKER
    )
    return Sight(state.listed, tuple(workers))


@dataclass(frozen=True, slots=True)
class Listed:
    """A line of a worker list, of any source."""

    name: str
    address: str
    zone: str | None
    began: float
    leaving: bool


def joined(lines: Iterable[Listed], sight: Sight | None) -> list[Listed]:
    """The front end's own list with what is agreed on: a worker that leaves by either leaves, one that is up
    anew is cold, and one that only the fleet knows is added where it says its address. Nothing that the own
    list names is taken out: a fleet that knows fewer workers has just been set up."""
    agreed: Mapping[str, Seen] = {w.name: w for w in sight.workers} if sight is not None else {}
    out = []
    for line in lines:
        seen = agreed.get(line.name)
        if seen is not None:
            leaving, began = line.leaving or seen.leaving, max(line.began, seen.began)
            line = Listed(line.name, seen.address or line.address, line.zone, began, leaving)
        out.append(line)
    known = {line.name for line in out}
    out += [
        Listed(w.name, w.address, w.zone, w.began, w.leaving)
        for w in agreed.values()
        if w.name not in known and w.address
    ]
    return out


class Follower:
    """One front end's place in the fleet: which list it acts on, and what it says of itself. It never waits
    for a keeper: without one it goes on with what it has."""

    def __init__(self, member: str, incarnation: str, entered: bool) -> None:
        """`entered`: its agent tells the keepers of it; else it enters itself."""
        self.member, self.incarnation = member, incarnation
        self.sight: Sight | None = None
        self.acts = 0
        self.must_enter = not entered
        self._enters_itself = not entered

    def told(self, sight: Sight | None, known: bool) -> bool:
        """The answer to a report; whether its list is to be made anew. An older sight comes from a keeper
        that led before, or lay in a socket: it changes nothing, as a front end must not go back."""
        self.must_enter = self._enters_itself and not known
        if sight is None or sight.index <= self.acts:
            return False
        self.sight = sight
        return True

    def acting(self) -> None:
        """From here on no new work goes by an older list: only now may it be said."""
        if self.sight is not None:
            self.acts = self.sight.index
