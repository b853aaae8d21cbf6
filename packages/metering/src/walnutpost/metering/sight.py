"""A front end's own sight of copies, for workers that report no usage: an estimate and its bounds.

No I/O. Least: the lanes that its calls took, as if every copy's lanes were full. Most: each call and each
copy ordered on a copy of its own, loaded for it and kept alive after it. Between them: as many copies as
its calls in flight need, or as the worker's answers to orders told, idle time to the last user.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from walnutpost.metering.charge import split
from walnutpost.metering.ledger import Amount, Seen
from walnutpost.metering.records import HOUR, UNATTRIBUTED


@dataclass(frozen=True, slots=True)
class Size:
    """Of a function: memory in MB, lanes of a copy, time to load in microseconds."""

    memory_mb: int
    lanes: int
    load: int


@dataclass(slots=True, eq=False)
class _Place:
    """A function on a worker. Counters are of the hour in which `at` lies."""

    size: Size
    at: int
    running: dict[str, int] = field(default_factory=dict)
    out: int = 0
    copies: int = 0
    idle_since: int = 0
    last: str = UNATTRIBUTED
    best: dict[str, int] = field(default_factory=dict)
    lanes: dict[str, int] = field(default_factory=dict)
    most: dict[str, int] = field(default_factory=dict)

    @property
    def needed(self) -> int:
        """Copies whose lanes the calls in flight fill."""
        return -(-self.out // self.size.lanes)


class Sight:
    def __init__(self, run: int, sizes: Mapping[str, Size], keep_alive: int) -> None:
        self._run = run
        self._exact: set[str] = set()
        self._sizes = sizes
        self._keep_alive = keep_alive
        self._places: dict[tuple[str, str], _Place] = {}
        self._over: list[Seen] = []  # of hours that have passed

    def began(self, now: int, worker: str, function: str, tenant: str) -> None:
        place = self._place(now, worker, function)
        if place is not None:
            place.out += 1
            place.running[tenant] = place.running.get(tenant, 0) + 1
            place.most[tenant] = place.most.get(tenant, 0) + place.size.load + self._keep_alive
            place.copies = max(place.copies, place.needed)

    def ended(self, now: int, worker: str, function: str, tenant: str) -> None:
        place = self._place(now, worker, function)
        if place is None or tenant not in place.running:
            return
        place.out -= 1
        place.running[tenant] -= 1
        if not place.running[tenant]:
            del place.running[tenant]
        place.last, place.idle_since = tenant, now

    def stood(self, now: int, worker: str, function: str, copies: int) -> None:
        """The worker says how many copies stand."""
        place = self._place(now, worker, function)
        if place is not None:
            more = max(0, copies - place.copies)
            place.copies = max(copies, place.needed)
            place.idle_since = now
            held = more * (place.size.load + self._keep_alive)
            if held:
                place.most[UNATTRIBUTED] = place.most.get(UNATTRIBUTED, 0) + held

    def stands(self, now: int, function: str) -> bool:
        """Whether a copy of the function is believed to stand anywhere."""
        return any(
            place.out or (place.copies and now < place.idle_since + self._keep_alive)
            for (_, name), place in self._places.items()
            if name == function
        )

    def askers(self, function: str) -> set[str]:
        """Tenants whose calls of it are in flight."""
        return {t for (_, name), place in self._places.items() if name == function for t in place.running}

    def estimates(self, worker: str) -> bool:
        return worker not in self._exact

    def counts_itself(self, worker: str) -> None:
        """The worker reports usage: no estimate of it is wanted from now on."""
        self._exact.add(worker)

    def take(self, now: int) -> list[Seen]:
        """The hour's figures so far, and those of hours that have passed since the last taking."""
        out, self._over = self._over, []
        for (worker, function), place in list(self._places.items()):
            self._count(place, worker, function, now)
            out += self._figures(place, worker, function)
            if not (place.out or place.copies or place.most or place.best):
                del self._places[worker, function]
        over, self._over = self._over, []
        return [seen for seen in out + over if self.estimates(seen.worker)]

    def at_risk(self, now: int) -> int:
        """What may be running unseen from now on if this front end died: MB of all that stands here."""
        return sum(
            place.size.memory_mb * place.copies
            for (worker, _), place in self._places.items()
            if self.estimates(worker) and (place.out or now < place.idle_since + self._keep_alive)
        )

    def _place(self, now: int, worker: str, function: str) -> _Place | None:
        place = self._places.get((worker, function))
        if place is None:
            size = self._sizes.get(function)
            if size is None:
                return None
            place = self._places[worker, function] = _Place(size, now)
        elif now > place.at:
            self._count(place, worker, function, now)
        return place

    def _count(self, place: _Place, worker: str, function: str, now: int) -> None:
        while place.at < now:
            end = min(now, place.at // HOUR * HOUR + HOUR)
            time = end - place.at
            if place.out:
                copies = max(place.copies, place.needed)
                for tenant, part in split(time, place.running).items():
                    place.best[tenant] = place.best.get(tenant, 0) + part * copies
                for tenant, lanes in place.running.items():
                    place.lanes[tenant] = place.lanes.get(tenant, 0) + time * lanes
                    place.most[tenant] = place.most.get(tenant, 0) + time * lanes
            elif place.copies:
                idle = min(end, place.idle_since + self._keep_alive) - place.at
                if idle > 0:
                    place.best[place.last] = place.best.get(place.last, 0) + idle * place.copies
                if end >= place.idle_since + self._keep_alive:
                    place.copies = 0
            place.at = end
            if end % HOUR == 0:
                self._over += self._figures(place, worker, function, end - HOUR)
                place.best, place.lanes, place.most = {}, {}, {}

    def _figures(self, place: _Place, worker: str, function: str, hour: int | None = None) -> list[Seen]:
        hour = place.at // HOUR * HOUR if hour is None else hour
        memory = place.size.memory_mb
        out = []
        for tenant in {*place.best, *place.most}:
            best = place.best.get(tenant, 0)
            least = place.lanes.get(tenant, 0) // place.size.lanes
            most = max(best, place.most.get(tenant, 0))
            amount = Amount(memory * max(best, least), memory * least, memory * most)
            out.append(Seen(self._run, hour, worker, function, tenant, amount))
        return out
