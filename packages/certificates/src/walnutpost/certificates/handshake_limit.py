"""A limit on TLS handshakes, for each worker and in all. No I/O, no clock.

A fleet's restart makes every connection anew at once, and a handshake costs the other end more than a call:
without a limit the first responses come late and are cancelled, and their handshakes are made again.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_BACKOFF_DOUBLINGS = 30
MAX_IN_FLIGHT_AFTER_FAILURE = 1
"""One at a time: the next handshake shows whether the worker has recovered."""


@dataclass(frozen=True, slots=True)
class HandshakeLimits:
    """How many handshakes may be in flight, and the backoff after failures, which doubles with each."""

    max_per_worker: int = 4
    max_total: int = 64
    min_backoff_us: int = 50_000
    max_backoff_us: int = 5_000_000


@dataclass(slots=True)
class _WorkerState:
    in_flight: int = 0
    failures: int = 0  # in a row
    not_before_us: int = 0  # when the backoff ends


class HandshakeLimiter:
    """Decides whether a handshake may begin. Times are microseconds of the caller's clock."""

    def __init__(self, limits: HandshakeLimits) -> None:
        self._limits = limits
        self._workers: dict[str, _WorkerState] = {}
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """How many handshakes are in flight, to all workers."""
        return self._in_flight

    def try_begin(self, now_us: int, worker: str) -> bool:
        """Whether a handshake may begin now; if so, one of the `record_...` methods must follow."""
        state = self._workers.setdefault(worker, _WorkerState())
        if self._in_flight >= self._limits.max_total or now_us < state.not_before_us:
            return False
        limit = MAX_IN_FLIGHT_AFTER_FAILURE if state.failures else self._limits.max_per_worker
        if state.in_flight >= limit:
            return False
        state.in_flight += 1
        self._in_flight += 1
        return True

    def record_success(self, worker: str) -> None:
        """Record that a handshake was completed."""
        state = self._end(worker)
        state.failures = 0
        state.not_before_us = 0

    def record_failure(self, now_us: int, worker: str) -> None:
        """Record that a handshake failed or took too long; start or double the backoff."""
        state = self._end(worker)
        state.failures += 1
        doublings = min(state.failures - 1, MAX_BACKOFF_DOUBLINGS)
        backoff_us = min(self._limits.max_backoff_us, self._limits.min_backoff_us << doublings)
        state.not_before_us = max(state.not_before_us, now_us + backoff_us)

    def record_abandoned(self, worker: str) -> None:
        """Record that a handshake was given up here, which proves nothing about the worker."""
        self._end(worker)

    def forget(self, worker: str) -> None:
        """Drop the failures of a worker that has gone, or is another process now."""
        state = self._workers.get(worker)
        if state is None:
            return
        if not state.in_flight:
            del self._workers[worker]
            return
        state.failures = 0
        state.not_before_us = 0

    def _end(self, worker: str) -> _WorkerState:
        state = self._workers[worker]
        state.in_flight -= 1
        self._in_flight -= 1
        return state
