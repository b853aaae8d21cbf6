"""The cores of a fake worker, shared by the calls that run."""

from __future__ import annotations

from walnutpost.fakes.calls import Call
from walnutpost.fakes.cold_start import ColdStart
from walnutpost.fakes.faults import Faults
from walnutpost.fakes.specs import WorkerSpec

CAPACITY_REVIEW_INTERVAL_US = 50_000  # how often the growing capacity of a worker that warms up counts
MIN_RATE = 1e-6
DONE_BELOW_US = 1e-6  # what is left of a call's work when rounding alone has kept it from its end


class Processor:
    """Runs calls: first their work, with an even share of the cores each, then their wait."""

    def __init__(self, spec: WorkerSpec, faults: Faults, cold_start: ColdStart) -> None:
        self._spec = spec
        self._faults = faults
        self._cold_start = cold_start
        self._working: list[Call] = []
        self._waiting: list[Call] = []

    @property
    def call_count(self) -> int:
        """How many calls run, those that wait for other systems too."""
        return len(self._working) + len(self._waiting)

    @property
    def utilization(self) -> float:
        """The ratio of the cores that are busy."""
        return min(1.0, len(self._working) / self._spec.cores)

    def start(self, call: Call) -> None:
        """Begin a call's work."""
        self._working.append(call)

    def due_times_us(self, now_us: int) -> list[int]:
        """Return the times at which something ends, or the capacity is to be looked at again."""
        times = [call.waits_until_us for call in self._waiting if call.waits_until_us is not None]
        if self._working:
            shortest = min(call.work_left_us for call in self._working)
            times.append(now_us + max(1, round(shortest / self._rate(now_us))))
            if self._cold_start.is_warming_up(now_us):
                times.append(now_us + CAPACITY_REVIEW_INTERVAL_US)
        return times

    def advance(self, from_us: int, to_us: int) -> None:
        """Do the work of a stretch of time in which nothing else changes."""
        done = (to_us - from_us) * self._rate(from_us)
        for call in self._working:
            call.work_left_us -= done
        for call in [c for c in self._working if c.work_left_us <= DONE_BELOW_US]:
            self._working.remove(call)
            call.waits_until_us = to_us + call.wait_us
            self._waiting.append(call)

    def pop_ended(self, now_us: int) -> list[Call]:
        """Return the calls whose waits are over, and forget them."""
        ended = [c for c in self._waiting if c.waits_until_us is not None and c.waits_until_us <= now_us]
        for call in ended:
            self._waiting.remove(call)
        return ended

    def _rate(self, now_us: int) -> float:
        """Return the work done for one running call in a microsecond."""
        share = min(1.0, self._spec.cores / max(1, len(self._working)))
        capacity = self._spec.speed * self._cold_start.capacity_ratio(now_us)
        return max(MIN_RATE, share * capacity / self._faults.slow)
