"""Clocks. Times are integers in microseconds since the Unix epoch, and never decrease."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from walnutpost.eventloop.errors import ClockNotVirtualError

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
VIRTUAL_START_US = 1_000_000_000_000  # default start time of a virtual clock


@dataclass(frozen=True, slots=True)
class BootTime:
    """A time since the machine booted, which survives process restarts and ignores wall clock changes.

    Two boot times are comparable only if they have the same, non-empty `boot_id`; an empty one is unknown.
    """

    boot_id: str
    since_boot_us: int


class Clock(Protocol):
    """The time source of a loop."""

    is_virtual: bool

    def now(self) -> int:
        """Return the current time."""

    def boot_time(self) -> BootTime:
        """Return the current time since boot."""

    def advance_to(self, time_us: int) -> None:
        """Move a virtual clock forward. Raises ClockNotVirtualError if the clock is real."""


class RealClock:
    """Reads the wall clock once and then follows the monotonic clock.

    Corrections of the wall clock therefore don't affect timers.
    """

    is_virtual = False

    def __init__(self) -> None:
        self._base_ns = time.time_ns() - time.monotonic_ns()
        self._boot_id = _read_boot_id()

    def now(self) -> int:
        """Return the current time."""
        return (self._base_ns + time.monotonic_ns()) // 1000

    def boot_time(self) -> BootTime:
        """Return the current time since boot."""
        return BootTime(self._boot_id, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)

    def advance_to(self, time_us: int) -> None:
        """Raise ClockNotVirtualError."""
        raise ClockNotVirtualError(time_us)


class VirtualClock:
    """A clock for tests: it stands still while any task can run, and then jumps to the next timer."""

    is_virtual = True

    def __init__(self, start_us: int = VIRTUAL_START_US, boot: BootTime | None = None) -> None:
        """Start at `start_us`; `boot` is the boot time at that moment.

        A test that changes the wall clock during a simulated restart passes both.
        """
        self._start_us = start_us
        self._now_us = start_us
        self._boot = boot or BootTime("virtual", start_us)

    def now(self) -> int:
        """Return the current time."""
        return self._now_us

    def boot_time(self) -> BootTime:
        """Return the current time since boot."""
        elapsed_us = self._now_us - self._start_us
        return BootTime(self._boot.boot_id, self._boot.since_boot_us + elapsed_us)

    def advance_to(self, time_us: int) -> None:
        """Move forward to `time_us`; do nothing if it is in the past."""
        self._now_us = max(self._now_us, time_us)


def _read_boot_id() -> str:
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""
