"""The list of workers that the control plane sends to front ends, and how these merge it into their own.

No I/O; clocks are passed in, as microseconds of the monotonic clock of the caller's machine.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from walnutpost.fleet.commands import WORKER
from walnutpost.fleet.state import FleetState


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """A worker in the committed state. `is_draining`: there is a permit to take it out.

    `age_us`: for how long at least its process has been registered. A span is sent, because clocks of two
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


@dataclass(frozen=True, slots=True)
class _ProcessStart:
    """A worker's process and when it began, by the monotonic clock of this machine."""

    incarnation: str
    at_us: int


class EndpointAges:
    """Since when a replica has known each worker's process, by its own monotonic clock.

    A process that is in the state when the replica starts counts as started then: a worker that seems too
    young is only warmed up again.
    """

    def __init__(self) -> None:
        self._starts: dict[str, _ProcessStart] = {}  # by name
        self._index = -1

    def observe(self, now_us: int, state: FleetState) -> None:
        """Record new processes; to be called after each change of the state."""
        if state.endpoints_index == self._index:
            return
        self._index = state.endpoints_index
        workers = {name: member for name, member in state.members.items() if member.kind == WORKER}
        for name, member in workers.items():
            known = self._starts.get(name)
            if known is None or known.incarnation != member.incarnation:
                self._starts[name] = _ProcessStart(member.incarnation, now_us)
        for name in [name for name in self._starts if name not in workers]:
            del self._starts[name]

    def age_us(self, now_us: int, name: str) -> int:
        """Return the age of a worker's process; 0 if it is not known."""
        known = self._starts.get(name)
        return now_us - known.at_us if known is not None else 0


def endpoint_snapshot(state: FleetState, now_us: int, ages: EndpointAges) -> EndpointSnapshot:
    """Return the list of workers to be sent to front ends."""
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

    It never waits for the control plane: without it, the front end continues with the list that it has.
    `registered`: its agent registers it; otherwise the front end registers itself.
    """

    def __init__(self, member: str, incarnation: str, registered: bool) -> None:
        self.member, self.incarnation = member, incarnation
        self.snapshot: EndpointSnapshot | None = None
        self.applied_index = 0
        self.must_register = not registered
        self._registers_itself = not registered
        self._starts: dict[str, _ProcessStart] = {}  # by name

    def receive(self, now_us: int, snapshot: EndpointSnapshot | None, known: bool) -> bool:
        """Handle the answer to a report; return whether the front end has to rebuild its list.

        `known`: the control plane knows this incarnation. An older snapshot than the one in force is ignored:
        it comes from a former leader, or was delayed.
        """
        self.must_register = self._registers_itself and not known
        if snapshot is None or snapshot.index <= self.applied_index:
            return False
        self.snapshot = snapshot
        self._starts = {w.name: self._process_start(now_us, w) for w in snapshot.workers}
        return True

    def _process_start(self, now_us: int, worker: Endpoint) -> _ProcessStart:
        """Return the start known for this process, or compute it: another replica may send another age."""
        known = self._starts.get(worker.name)
        if known is not None and known.incarnation == worker.incarnation:
            return known
        return _ProcessStart(worker.incarnation, max(1, now_us - worker.age_us))

    def mark_applied(self) -> None:
        """Acknowledge the list in the next report; to be called once no new call uses an older list."""
        if self.snapshot is not None:
            self.applied_index = self.snapshot.index

    def merge(self, own: Iterable[ListedEndpoint]) -> list[ListedEndpoint]:
        """Return the front end's own list with the fleet's merged into it.

        A worker drains if either list says so, the later start counts, and workers that only the fleet knows
        are added if their address is known. No worker of the own list is removed: a fleet that knows fewer
        workers has only just been set up.
        """
        committed = {w.name: w for w in self.snapshot.workers} if self.snapshot is not None else {}
        merged = []
        for line in own:
            worker = committed.pop(line.name, None)
            merged.append(line if worker is None else self._merge_one(line, worker))
        merged += [
            ListedEndpoint(w.name, w.address, w.zone, self._starts[w.name].at_us, w.is_draining)
            for w in committed.values()
            if w.address
        ]
        return merged

    def _merge_one(self, line: ListedEndpoint, worker: Endpoint) -> ListedEndpoint:
        started_at_us = max(line.started_at_us, self._starts[line.name].at_us)
        is_draining = line.is_draining or worker.is_draining
        return ListedEndpoint(
            line.name, worker.address or line.address, line.zone, started_at_us, is_draining
        )
