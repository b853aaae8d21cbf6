"""Clocks. Times are whole microseconds since the Unix epoch, and never run back."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from walnutpost.eventloop.errors import ClockNotVirtualError

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
VIRTUAL_START_US = 1_000_000_000_000  # where a virtual clock begins, unless a test says otherwise


@dataclass(frozen=True, slots=True)
class BootTime:
    """A moment on the machine's own clock, which outlives a process and is not moved by the wall clock.

    Two moments can be compared only where `boot_id` is the same and known (not empty).
    """

    boot_id: str
    since_boot_us: int


class Clock(Protocol):
    """Where a loop takes its time from."""

    is_virtual: bool

    def now(self) -> int:
        """Return the present time."""

    def boot_time(self) -> BootTime:
        """Return the present time on the machine's own clock."""

    def advance_to(self, time_us: int) -> None:
        """Move a virtual clock forward. Raises ClockNotVirtualError of a real one."""


class RealClock:
    """The wall clock read once, then the monotonic one: a corrected wall clock moves no timer."""

    is_virtual = False

    def __init__(self) -> None:
        self._base_ns = time.time_ns() - time.monotonic_ns()
        self._boot_id = _read_boot_id()

    def now(self) -> int:
        """Return the present time."""
        return (self._base_ns + time.monotonic_ns()) // 1000

    def boot_time(self) -> BootTime:
        """Return the present time on the machine's own clock."""
        return BootTime(self._boot_id, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)

    def advance_to(self, time_us: int) -> None:
        """Raise ClockNotVirtualError."""
        raise ClockNotVirtualError(time_us)


class VirtualClock:
    """A clock for tests: stands still while anything can run, then jumps to the next timer."""

    is_virtual = True

    def __init__(self, start_us: int = VIRTUAL_START_US, boot: BootTime | None = None) -> None:
        """Start at `start_us`; `boot` is the machine's clock at that moment.

        A test that steps the wall clock over a restart gives both.
        """
        self._start_us = start_us
        self._now_us = start_us
        self._boot = boot or BootTime("virtual", start_us)

    def now(self) -> int:
        """Return the present time."""
        return self._now_us

    def boot_time(self) -> BootTime:
        """Return the present time on the machine's own clock."""
        elapsed_us = self._now_us - self._start_us
        return BootTime(self._boot.boot_id, self._boot.since_boot_us + elapsed_us)

    def advance_to(self, time_us: int) -> None:
        """Move forward to `time_us`; never back."""
        self._now_us = max(self._now_us, time_us)


def _read_boot_id() -> str:
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""
