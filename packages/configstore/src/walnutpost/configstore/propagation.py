"""How long change sets take from their commit until all members have applied them. No I/O.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from walnutpost.configstore.messages import PropagationLatency

MAX_LATENCIES = 100
"""The last change sets whose latency is remembered."""


@dataclass(slots=True)
class _CommittedRevision:
    revision: int
    committed_at_us: int
    latency_us: int | None = None


class PropagationTracker:
    """The latencies of the last change sets."""

    def __init__(self) -> None:
        self._recent: deque[_CommittedRevision] = deque(maxlen=MAX_LATENCIES)
        self._pending: deque[_CommittedRevision] = deque(maxlen=MAX_LATENCIES)

    @property
    def has_pending(self) -> bool:
        """Whether a change set has not been applied by all members yet."""
        return bool(self._pending)

    def record_commit(self, now: int, revision: int) -> None:
        """Start to measure the latency of a change set; revisions must increase."""
        committed = _CommittedRevision(revision, now)
        self._recent.append(committed)
        self._pending.append(committed)

    def record_applied(self, now: int, min_applied_revision: int) -> None:
        """End the measurement of all change sets up to this revision."""
        while self._pending and self._pending[0].revision <= min_applied_revision:
            committed = self._pending.popleft()
            committed.latency_us = now - committed.committed_at_us

    def latencies(self) -> tuple[PropagationLatency, ...]:
        """Return the latencies in order of their revisions."""
        return tuple(PropagationLatency(each.revision, each.latency_us) for each in self._recent)
