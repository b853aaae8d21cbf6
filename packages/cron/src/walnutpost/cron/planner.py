"""What to do with each due time. Decides; no I/O, no clock: the wall time comes in, and may jump either
way."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from itertools import chain

from walnutpost.cron.schedule import SECOND, Missed, Overlap, Schedule, due_times, fires_at

ON_TIME = 60 * SECOND  # a due time is a minute; what is fired later than that after it was missed


@dataclass(frozen=True, slots=True)
class Fire:
    """`stop`: due times of earlier firings to be stopped first."""

    schedule: Schedule
    due: int
    stop: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Skip:
    """The fate of `count` due times from `due` to `last`, all for one reason."""

    schedule: Schedule
    due: int
    last: int
    count: int
    why: str


Decision = Fire | Skip


class _Line:
    """One schedule's place in time."""

    __slots__ = ("due", "generation", "schedule", "times")

    def __init__(self, schedule: Schedule, mark: int, generation: int) -> None:
        self.schedule = schedule
        self.generation = generation
        self.times: Iterator[int] = due_times(schedule, mark)
        self.due: int | None = next(self.times, None)


class Planner:
    """Each due time after a schedule's mark gets one decision, and then the mark is at it: a clock that
    steps back brings none again. `doubtful`: up to then firings may have gone out that the state does
    not know of, so unsafe functions are not fired for them."""

    def __init__(
        self, schedules: Iterable[Schedule], marks: Mapping[str, int], now: int, doubtful: int = 0
    ) -> None:
        """A schedule without a mark is new: it begins now, and has missed nothing."""
        self.marks = dict(marks)
        self._doubtful = doubtful
        self._lines: dict[str, _Line] = {}
        self._out: dict[str, dict[int, None]] = {}
        self._heap: list[tuple[int, int, str]] = []
        self._generation = 0
        self.replace(schedules, now)

    def replace(self, schedules: Iterable[Schedule], now: int) -> None:
        """Other schedules from now on. Firings that are out stay out; one whose schedule is gone or
        changed ends as it would have. A changed schedule goes on from its mark, a new name begins now."""
        wanted = {s.name: s for s in schedules}
        lines, self._lines = self._lines, {}
        for name, schedule in wanted.items():
            known = lines.get(name)
            if known is not None and known.schedule == schedule:
                self._lines[name] = known
                continue
            self._generation += 1
            # What a changed schedule would have had due before now was not asked for then.
            mark = max(self.marks.get(name, now), now) if known is not None else self.marks.get(name, now)
            self.marks[name] = mark
            self._lines[name] = _Line(schedule, mark, self._generation)
        self._heap = [
            (fires_at(line.schedule, line.due), line.generation, name)
            for name, line in self._lines.items()
            if line.due is not None
        ]
        heapify(self._heap)

    def next(self) -> int | None:
        """When something is due next."""
        return self._heap[0][0] if self._heap else None

    def out(self, name: str, due: int) -> None:
        """A firing is out, as after a restart."""
        self._out.setdefault(name, {})[due] = None

    def ended(self, name: str, due: int) -> None:
        out = self._out.get(name)
        if out is not None:
            out.pop(due, None)
            if not out:
                del self._out[name]

    def plan(self, now: int, most: int | None = None) -> list[Decision]:
        """Decides on what has come due, earliest first, for so many schedules at the most; firings are
        out from then on. Where more is due, `next` is not later than `now`."""
        decisions: list[Decision] = []
        left = most if most is not None else len(self._heap)
        while left > 0 and self._heap and self._heap[0][0] <= now:
            left -= 1
            _, generation, name = heappop(self._heap)
            line = self._lines.get(name)
            if line is None or line.generation != generation:
                continue
            decisions += self._come(line, now)
            if line.due is not None:
                heappush(self._heap, (fires_at(line.schedule, line.due), generation, name))
        return decisions

    def _come(self, line: _Line, now: int) -> list[Decision]:
        """All due times of one schedule up to now."""
        s = line.schedule
        missed: list[int] = []
        on_time: list[int] = []
        while line.due is not None and fires_at(s, line.due) <= now:
            (missed if now - fires_at(s, line.due) > ON_TIME else on_time).append(line.due)
            self.marks[s.name] = line.due
            line.due = next(line.times, None)
        if s.paused:
            return list(_skips(s, [*missed, *on_time], "paused"))
        doubtful = [due for due in (*missed, *on_time) if s.unsafe and due <= self._doubtful]
        missed = [due for due in missed if due not in doubtful]
        on_time = [due for due in on_time if due not in doubtful]
        old = [due for due in missed if s.missed is not Missed.SKIP and now - due > s.missed_age]
        young = missed[len(old) :]
        late: list[int] = []
        if s.missed is Missed.ALL:
            late = young
        elif s.missed is Missed.ONCE:
            late = young[-1:]
        passed = young[: len(young) - len(late)]
        passed_why = "missed" if s.missed is Missed.SKIP else "missed, and a later one stands for it"
        skipped = chain(
            _skips(s, doubtful, "the state is an older copy: it may have been fired"),
            _skips(s, old, "missed, and too old"),
            _skips(s, passed, passed_why),
        )
        return [*skipped, *(self._fire(s, due) for due in (*late, *on_time))]

    def _fire(self, s: Schedule, due: int) -> Decision:
        out = tuple(self._out.get(s.name, ()))
        if out and s.overlap is Overlap.FORBID:
            return Skip(s, due, due, 1, "an earlier firing is still out")
        self.out(s.name, due)
        return Fire(s, due, out if s.overlap is Overlap.REPLACE else ())


def _skips(schedule: Schedule, dues: list[int], why: str) -> Iterator[Skip]:
    if dues:
        yield Skip(schedule, dues[0], dues[-1], len(dues), why)
