"""Clocks. Microseconds since the Unix epoch, only ever forward."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    virtual: bool

    def now(self) -> int: ...

    def jump(self, to: int) -> None: ...


class RealClock:
    """The wall clock read once, then the monotonic one: a corrected wall clock moves no timer."""

    virtual = False

    def __init__(self) -> None:
        self._base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (self._base + time.monotonic_ns()) // 1000

    def jump(self, to: int) -> None:
        raise RuntimeError("real time does not jump")


class VirtualClock:
    """For tests: stands still while anything can run, then jumps to the next timer."""

    virtual = True

    def __init__(self, start: int = 1_000_000_000_000) -> None:
        self._now = start

    def now(self) -> int:
        return self._now

    def jump(self, to: int) -> None:
        self._now = max(self._now, to)
