"""A fake worker's load reports, which may be late or wrong on command."""

from __future__ import annotations

from collections import deque

from walnutpost.fakes.faults import Faults


class LoadReports:
    """Remembers what was true, for reports that are late."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._history: deque[tuple[int, dict[str, float]]] = deque()

    def report(self, now_us: int, truth: dict[str, float]) -> dict[str, float]:
        """Return what is reported while `truth` is so."""
        self._history.append((now_us, truth))
        while len(self._history) > 1 and self._history[1][0] <= now_us - self._faults.reports_by:
            self._history.popleft()
        return dict(self._history[0][1])
