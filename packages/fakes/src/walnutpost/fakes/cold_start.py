"""A worker after its restart: how much capacity it has, and what makes it collapse."""

from __future__ import annotations

from collections import deque

from walnutpost.fakes.specs import WorkerSpec

NEVER_RESTARTED_US = 0


class ColdStart:
    """The time since a restart at `restarted_us`; NEVER_RESTARTED_US is a worker that was warm all along."""

    def __init__(self, spec: WorkerSpec, restarted_us: int) -> None:
        self._spec = spec
        self._restarted_us = restarted_us
        self._arrivals: deque[tuple[int, float]] = deque()  # time, work

    def is_warming_up(self, now_us: int) -> bool:
        """Whether it lacks some of its capacity."""
        has_restarted = self._restarted_us != NEVER_RESTARTED_US
        return has_restarted and now_us - self._restarted_us < self._spec.warm_up_us

    def capacity_ratio(self, now_us: int) -> float:
        """Return the part of its capacity that it has, from `start_capacity` to 1."""
        if not self.is_warming_up(now_us):
            return 1.0
        progress = (now_us - self._restarted_us) / self._spec.warm_up_us
        return self._spec.start_capacity + (1 - self._spec.start_capacity) * progress

    def collapses_under(self, now_us: int, work_us: int) -> bool:
        """Count work that arrives, rejected or not; whether it is more than a worker that warms up bears."""
        spec = self._spec
        can_collapse = spec.overload_window_us > 0 and spec.overload_factor > 0
        if not self.is_warming_up(now_us) or not can_collapse:
            return False
        self._arrivals.append((now_us, float(work_us)))
        while self._arrivals[0][0] < now_us - spec.overload_window_us:
            self._arrivals.popleft()
        capacity = spec.cores * spec.speed * self.capacity_ratio(now_us)
        limit = capacity * spec.overload_window_us * spec.overload_factor
        return sum(work for _, work in self._arrivals) > limit
