"""What front ends are told of workers, and what they make of their own lists by it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from walnutpost.fleet.commands import WORKER
from walnutpost.fleet.state import State


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """A worker as the fleet has agreed on it; `leaving`: somebody has the permit to take it out. `age`:
    microseconds that this process has been in for, at the least: spans are compared, never two machines'
    clocks."""

    name: str
    zone: str
    address: str
    incarnation: str
    age: int
    leaving: bool


class Sight(msgspec.Struct, frozen=True, array_like=True):
    """The agreed workers by entry `index`, the last one that changed any of this."""

    index: int
    workers: tuple[Seen, ...]


class Ages:
    """Since when a keeper knows of each worker's process, by its own monotonic clock. One that it finds
    when it starts is as old as the keeper at the least; a worker that seems too young is only spared for a
    while."""

    def __init__(self) -> None:
        self._since: dict[str, tuple[str, int]] = {}
        self._index = -1

    def saw(self, now: int, state: State) -> None:
        """After each change that was agreed on."""
        if state.listed == self._index:
            return
        self._index = state.listed
        workers = {n: m for n, m in state.members.items() if m.kind == WORKER}
        for name, member in workers.items():
            if self._since.get(name, ("", 0))[0] != member.incarnation:
                self._since[name] = member.incarnation, now
        for name in [n for n in self._since if n not in workers]:
            del self._since[name]

    def of(self, now: int, name: str) -> int:
        known = self._since.get(name)
        return now - known[1] if known is not None else 0


def sight_of(state: State, now: int, ages: Ages) -> Sight:
    leaving = {p.member for p in state.permits.values()}
    workers = (
        Seen(name, m.zone, m.address, m.incarnation, ages.of(now, name), name in leaving)
        for name, m in sorted(state.members.items())
        if m.kind == WORKER
    )
    return Sight(state.listed, tuple(workers))


@dataclass(frozen=True, slots=True)
class Listed:
    """A line of a worker list, of any source. `began`: microseconds of the front end's own clock, 0 where
    long ago."""

    name: str
    address: str
    zone: str | None
    began: int
    leaving: bool


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
        self._began: dict[str, tuple[str, int]] = {}

    def told(self, now: int, sight: Sight | None, known: bool) -> bool:
        """The answer to a report; whether its list is to be made anew. An older sight comes from a keeper
        that led before, or lay in a socket: it changes nothing, as a front end must not go back."""
        self.must_enter = self._enters_itself and not known
        if sight is None or sight.index <= self.acts:
            return False
        self.sight = sight
        before, self._began = self._began, {}
        for w in sight.workers:  # once for each process: another keeper knows it for another time
            held = before.get(w.name)
            same = held is not None and held[0] == w.incarnation
            self._began[w.name] = held if same and held is not None else (w.incarnation, max(1, now - w.age))
        return True

    def acting(self) -> None:
        """From here on no new work goes by an older list: only now may it be said."""
        if self.sight is not None:
            self.acts = self.sight.index

    def joined(self, lines: Iterable[Listed]) -> list[Listed]:
        """The front end's own list with what is agreed on: a worker that leaves by either leaves, one that is
        up anew is cold, and one that only the fleet knows is added where it says its address. Nothing that
        the own list names is taken out: a fleet that knows fewer workers has just been set up."""
        agreed = {w.name: w for w in self.sight.workers} if self.sight is not None else {}
        out = []
        for line in lines:
            seen = agreed.pop(line.name, None)
            if seen is not None:
                leaving, began = line.leaving or seen.leaving, max(line.began, self._began[line.name][1])
                line = Listed(line.name, seen.address or line.address, line.zone, began, leaving)
            out.append(line)
        out += [
            Listed(w.name, w.address, w.zone, self._began[w.name][1], w.leaving)
            for w in agreed.values()
            if w.address
        ]
        return out
