"""Clocks. Microseconds since the Unix epoch, only ever forward."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class BootTime:
    """A moment on the machine's own clock, which no setting of the wall clock moves and which outlives a
    process. Two moments can be compared only where `boot_id` is the same and known (not empty)."""

    boot_id: str
    since_boot_us: int


class Clock(Protocol):
    virtual: bool

    def now(self) -> int: ...

    def boot_time(self) -> BootTime: ...

    def jump(self, to: int) -> None: ...


class RealClock:
    """The wall clock read once, then the monotonic one: a corrected wall clock moves no timer."""

    virtual = False

    def __init__(self) -> None:
        self._base = time.time_ns() - time.monotonic_ns()
        self._boot_id = _boot_id()

    def now(self) -> int:
        return (self._base + time.monotonic_ns()) // 1000

    def boot_time(self) -> BootTime:
        return BootTime(self._boot_id, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)

    def jump(self, to: int) -> None:
        raise RuntimeError("real time does not jump")


class VirtualClock:
    """For tests: stands still while anything can run, then jumps to the next timer. `boot` is the machine's
    clock at the start; a test that steps the wall clock over a restart gives both."""

    virtual = True

    def __init__(self, start: int = 1_000_000_000_000, boot: BootTime | None = None) -> None:
        self._now = self._start = start
        self._boot = boot or BootTime("virtual", start)

    def now(self) -> int:
        return self._now

    def boot_time(self) -> BootTime:
        return BootTime(self._boot.boot_id, self._boot.since_boot_us + self._now - self._start)

    def jump(self, to: int) -> None:
        self._now = max(self._now, to)


def _boot_id() -> str:
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""
