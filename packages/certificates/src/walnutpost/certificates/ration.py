"""How many handshakes may be made, to each worker and in all. No I/O, no clock.

A fleet's restart makes every connection anew at once, and a handshake costs the other end more than a call:
without a ration the first answers come late and are cancelled, and their handshakes are made again.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RationSettings:
    """`at_once`: handshakes out to one worker; `in_all`: to all of them. After a failed one a worker is left
    alone for `wait`, twice as long after each further one, up to `wait_most`. Times in microseconds."""

    at_once: int = 4
    in_all: int = 64
    wait: int = 50_000
    wait_most: int = 5_000_000


@dataclass(slots=True)
class _Worker:
    out: int = 0
    failures: int = 0
    until: int = 0  # no handshake before


class Ration:
    def __init__(self, settings: RationSettings) -> None:
        self._settings = settings
        self._workers: dict[str, _Worker] = {}
        self._out = 0

    @property
    def out(self) -> int:
        return self._out

    def take(self, now: int, worker: str) -> bool:
        """Whether a handshake may begin now; if so, `made` or `failed` must follow."""
        w = self._workers.setdefault(worker, _Worker())
        if self._out >= self._settings.in_all or now < w.until:
            return False
        # After a failure one at a time: the next tells whether the worker is well again.
        if w.out >= (1 if w.failures else self._settings.at_once):
            return False
        w.out += 1
        self._out += 1
        return True

    def made(self, worker: str) -> None:
        w = self._end(worker)
        w.failures, w.until = 0, 0

    def failed(self, now: int, worker: str) -> None:
        w = self._end(worker)
        w.failures += 1
        wait = min(self._settings.wait_most, self._settings.wait << min(w.failures - 1, 30))
        w.until = max(w.until, now + wait)

    def left(self, worker: str) -> None:
        """The handshake was given up here, which says nothing of the worker."""
        self._end(worker)

    def gone(self, worker: str) -> None:
        """The worker left, or is another process now: what was learnt of it is over."""
        w = self._workers.get(worker)
        if w is not None and not w.out:
            del self._workers[worker]
        elif w is not None:
            w.failures, w.until = 0, 0

    def _end(self, worker: str) -> _Worker:
        w = self._workers[worker]
        w.out -= 1
        self._out -= 1
        return w
