"""How stored times survive a step of the wall clock across a restart. No I/O, no clock.

A process's clock is an epoch read once at its start and carried on by the monotonic clock, so the wall clock
can step only between two processes. Such a step must not age what is stored. So times are written in
*stored time*: an axis that advances across restarts by the time that certainly passed, however the wall clock
was set. `offset_us` is the process's epoch less stored time, constant while a process runs.

Within one boot the machine's own clock measures the passed time exactly. Across boots (or machines) nothing
does: a downtime of an hour and a step of an hour can't be distinguished. Then only what the wall clock shows
beyond `MAX_STEP_US` counts as passed, so that nothing ends or is purged early; what is stored may live up to
twice that longer (once for the step assumed, once for a step back that was real).
"""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.eventloop import BootTime

MAX_STEP_US = 3_600_000_000  # the largest error of a wall clock that is assumed, in either direction
READ_TOLERANCE_US = 100_000  # between the reads of two clocks; a smaller difference is not a step


@dataclass(frozen=True, slots=True)
class TimeMark:
    """One moment by the machine's clock, the process's clock, and in stored time."""

    boot: BootTime
    epoch_us: int
    stored_us: int

    @property
    def offset_us(self) -> int:
        """The process's epoch less stored time."""
        return self.epoch_us - self.stored_us


def elapsed_us(mark: TimeMark, boot: BootTime, epoch_us: int) -> int:
    """Return the time that certainly passed since `mark`, never more."""
    since_mark_us = boot.since_boot_us - mark.boot.since_boot_us
    if boot.boot_id and boot.boot_id == mark.boot.boot_id and since_mark_us >= 0:
        return since_mark_us
    return max(0, epoch_us - mark.epoch_us - MAX_STEP_US)


def next_offset_us(mark: TimeMark | None, boot: BootTime, epoch_us: int) -> int:
    """Return the offset of a process that starts at `epoch_us` on a file whose last mark is `mark`."""
    if mark is None:
        return 0
    step_us = epoch_us - mark.epoch_us - elapsed_us(mark, boot, epoch_us)
    return mark.offset_us + (step_us if abs(step_us) > READ_TOLERANCE_US else 0)
