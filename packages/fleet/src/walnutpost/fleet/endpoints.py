"""The fleet's list of workers as front ends are sent it, and how a front end merges it into its own list.

No I/O; clocks are passed in, as microseconds of the monotonic clock of the caller's machine.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from walnutpost.fleet.commands import WORKER
from walnutpost.fleet.state import FleetState


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """A worker as agreed on. `is_draining`: somebody holds a permit to take it out.

    `age_us`: how long its process has been registered at the least. Spans are sent, since clocks of two
    machines can't be compared.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    age_us: int
    is_draining: bool


class EndpointSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All workers as of log entry `index`, the last one that changed the list."""

    index: int
    workers: tuple[Endpoint, ...]


class EndpointAges:
    """Since when a replica has known each worker's process, by its own monotonic clock.

    A process that it finds in the state when it starts is taken to begin then: a worker that seems too young
    is merely warmed up again.
    """

    def __init__(self) -> None:
        self._since: dict[str, tuple[str, int]] = {}  # incarnation and time, by name
        self._index = -1

    def observe(self, now_us: int, state: FleetState) -> None:
        """To be called after each change of the state."""
        if state.endpoints_index == self._index:
            return
        self._index = state.endpoints_index
        workers = {name: member for name, member in state.members.items() if member.kind == WORKER}
        for name, member in workers.items():
            if self._since.get(name, ("", 0))[0] != member.incarnation:
                self._since[name] = member.incarnation, now_us
        for name in [name for name in self._since if name not in workers]:
            del self._since[name]

    def age_us(self, now_us: int, name: str) -> int:
        """Return the age of a worker's process; 0 where it is not known."""
        known = self._since.get(name)
        return now_us - known[1] if known is not None else 0


def endpoint_snapshot(state: FleetState, now_us: int, ages: EndpointAges) -> EndpointSnapshot:
    """Return the list of workers that front ends are sent."""
    draining = {permit.member for permit in state.permits.values()}
    workers = (
        Endpoint(name, m.zone, m.address, m.incarnation, ages.age_us(now_us, name), name in draining)
        for name, m in sorted(state.members.items())
        if m.kind == WORKER
    )
    return EndpointSnapshot(state.endpoints_index, tuple(workers))


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """A worker in a front end's list. `started_at_us`: by the front end's own clock, 0 for long ago."""

    name: str
    address: str
    zone: str | None
    started_at_us: int
    is_draining: bool


class EndpointFollower:
    """A front end's view of the fleet: the list of workers that it acts on, and what it reports.

    It never waits for the control plane: without it, the front end goes on with the list that it has.
    """

    def __init__(self, member: str, incarnation: str, registered: bool) -> None:
        """Begin without a list. `registered`: by its agent; otherwise the front end registers itself."""
        self.member, self.incarnation = member, incarnation
        self.snapshot: EndpointSnapshot | None = None
        self.applied_index = 0
        self.must_register = not registered
        self._registers_itself = not registered
        self._started: dict[str, tuple[str, int]] = {}  # incarnation and start, by name

    def receive(self, now_us: int, snapshot: EndpointSnapshot | None, known: bool) -> bool:
        """Take the answer to a report, and return whether the front end has to rebuild its list.

        `known`: the control plane knows this incarnation. An older snapshot than the one in force is ignored:
        it comes from a former leader, or was delayed.
        """
        self.must_register = self._registers_itself and not known
        if snapshot is None or snapshot.index <= self.applied_index:
            return False
        self.snapshot = snapshot
        self._started = {w.name: self._start_of(now_us, w) for w in snapshot.workers}
        return True

    def _start_of(self, now_us: int, worker: Endpoint) -> tuple[str, int]:
        """Compute it once for each process, since another replica may know it for a different time."""
        known = self._started.get(worker.name)
        if known is not None and known[0] == worker.incarnation:
            return known
        return worker.incarnation, max(1, now_us - worker.age_us)

    def mark_applied(self) -> None:
        """To be called once no new work goes by an older list: only then may this one be acknowledged."""
        if self.snapshot is not None:
            self.applied_index = self.snapshot.index

    def merge(self, own: Iterable[ListedEndpoint]) -> list[ListedEndpoint]:
        """Return the front end's own list with the fleet's merged in.

        A worker drains where either list says so, the later start counts, and workers that only the fleet
        knows are added where their address is known. No worker of the own list is removed: a fleet that knows
        fewer workers has only just been set up.
        """
        agreed = {w.name: w for w in self.snapshot.workers} if self.snapshot is not None else {}
        merged = []
        for line in own:
            worker = agreed.pop(line.name, None)
            merged.append(line if worker is None else self._merge_one(line, worker))
        merged += [
            ListedEndpoint(w.name, w.address, w.zone, self._started[w.name][1], w.is_draining)
            for w in agreed.values()
            if w.address
        ]
        return merged

    def _merge_one(self, line: ListedEndpoint, worker: Endpoint) -> ListedEndpoint:
        started_at_us = max(line.started_at_us, self._started[line.name][1])
        is_draining = line.is_draining or worker.is_draining
        return ListedEndpoint(
            line.name, worker.address or line.address, line.zone, started_at_us, is_draining
        )
