"""A worker's own book of its copies: counts every microsecond of each, and cuts them at full hours.

No I/O and no clock. Any worker that can say when a copy begins, is ready, runs and goes can keep one.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from walnutpost.metering.charge import split
from walnutpost.metering.records import HOUR, Report, Slice

KEPT = 20_000  # slices of copies that are gone, or of hours that are over


@dataclass(slots=True, eq=False)
class _Copy:
    number: int
    function: str
    memory_mb: int
    at: int  # counted up to then
    ready: bool = False
    first: str | None = None
    last: str | None = None
    running: Counter[str] = field(default_factory=Counter)  # lanes by tenant
    loading: int = 0
    unused: int = 0
    runs: dict[str, int] = field(default_factory=dict)
    after: dict[str, int] = field(default_factory=dict)


class Book:
    """One life of a worker. `kept` bounds the final slices that are remembered; the oldest go first, and
    what goes is summed, so that a reader who came too late knows how much it missed at the most."""

    def __init__(self, worker: str, started: int, memory_mb: int, kept: int = KEPT) -> None:
        self._worker, self._started, self._memory_mb, self._kept = worker, started, memory_mb, kept
        self._copies: dict[int, _Copy] = {}
        self._final: OrderedDict[int, Slice] = OrderedDict()  # by change
        self._change = self._forgotten = self._forgotten_mb_us = 0
        self._now = started

    def begin(self, now: int, copy: int, function: str, memory_mb: int) -> None:
        """The copy takes its memory from here on, and loads."""
        self._copies[copy] = _Copy(copy, function, memory_mb, self._time(now))

    def ready(self, now: int, copy: int) -> None:
        self._count(self._copies[copy], self._time(now))
        self._copies[copy].ready = True

    def ran(self, now: int, copy: int, tenant: str) -> None:
        """A call takes a lane."""
        c = self._copies[copy]
        self._count(c, self._time(now))
        if c.first is None:
            c.first = tenant
        c.running[tenant] += 1

    def rested(self, now: int, copy: int, tenant: str) -> None:
        """A call leaves its lane."""
        c = self._copies[copy]
        self._count(c, self._time(now))
        c.running[tenant] -= 1
        c.running += Counter()  # only those above 0
        c.last = tenant

    def gone(self, now: int, copy: int) -> None:
        """The copy's memory is free again."""
        c = self._copies.pop(copy)
        self._count(c, self._time(now))
        self._finish(c, c.at // HOUR * HOUR, c.at)

    def report(self, now: int, after: int = 0, started: int | None = None, draining: bool = False) -> Report:
        """All that is newer than change `after`; all there is to a reader who knows another start. A copy
        that stands is told each time."""
        now = self._time(now)
        for c in self._copies.values():
            self._count(c, now)
        known = after if started in (None, self._started) else 0
        final = [s for change, s in self._final.items() if change > known]
        open_ones = [self._slice(c, now // HOUR * HOUR, now, False) for c in self._copies.values()]
        return Report(
            self._worker,
            self._started,
            now,
            self._change,
            self._memory_mb,
            [*final, *open_ones],
            draining,
            self._forgotten,
            self._forgotten_mb_us,
        )

    def _time(self, now: int) -> int:
        """A clock that steps back counts nothing twice."""
        self._now = max(self._now, now)
        return self._now

    def _count(self, c: _Copy, now: int) -> None:
        while c.at < now:
            end = min(now, c.at // HOUR * HOUR + HOUR)
            time = end - c.at
            if not c.ready:
                c.loading += time
            elif c.running:
                for tenant, part in split(time, c.running).items():
                    c.runs[tenant] = c.runs.get(tenant, 0) + part
            elif c.last is None:
                c.unused += time
            else:
                c.after[c.last] = c.after.get(c.last, 0) + time
            c.at = end
            if end % HOUR == 0:
                self._finish(c, end - HOUR, end)
                c.loading = c.unused = 0
                c.runs, c.after = {}, {}

    def _slice(self, c: _Copy, hour: int, heard: int, ended: bool) -> Slice:
        return Slice(
            self._worker,
            self._started,
            c.number,
            hour,
            c.function,
            c.memory_mb,
            heard,
            ended,
            c.loading,
            c.unused,
            dict(c.runs),
            dict(c.after),
            c.first,
        )

    def _finish(self, c: _Copy, hour: int, heard: int) -> None:
        if heard == hour:
            return  # gone at the stroke of the hour: nothing of it lies in the new one
        self._change += 1
        self._final[self._change] = self._slice(c, hour, heard, True)
        while len(self._final) > self._kept:
            self._forgotten, old = self._final.popitem(last=False)
            self._forgotten_mb_us += old.whole
