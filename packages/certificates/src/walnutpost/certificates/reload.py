"""When certificate files are read again, and when their expiry is warned of. No I/O, no clock.

All times are microseconds since the epoch.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

HOUR_US = 3_600_000_000
DAY_US = 24 * HOUR_US
WARNING_LIFETIME_DIVISOR = 3
"""Warnings begin when less than one of so many parts of the lifetime is left."""


@dataclass(frozen=True, slots=True)
class FileState:
    """Distinguishes one state of a file from another; all zeros where there is no file."""

    modified_ns: int
    inode: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class ExpiryWarning:
    """The certificate in use expires at `valid_until_us`; `time_left_us` is negative once it has."""

    valid_until_us: int
    time_left_us: int


class ReloadTracker:
    """Tracks the files of one certificate set.

    A set that was rejected is not tried again before a file changes; the one in use stays.
    """

    def __init__(self, files: Sequence[FileState], valid_from_us: int, valid_until_us: int) -> None:
        self._files = tuple(files)
        self._valid_from_us = valid_from_us
        self._valid_until_us = valid_until_us
        self._warned_us = 0

    def should_reload(self, files: Sequence[FileState]) -> bool:
        """Whether the files differ from those that were last read; they count as read from now on."""
        if tuple(files) == self._files:
            return False
        self._files = tuple(files)
        return True

    def record_reload(self, valid_from_us: int, valid_until_us: int) -> None:
        """Record that another set is in use now."""
        self._valid_from_us = valid_from_us
        self._valid_until_us = valid_until_us
        self._warned_us = 0

    def expiry_warning(self, now_us: int) -> ExpiryWarning | None:
        """Return a warning if one is due: daily from a third of the lifetime on, hourly in the last day."""
        if not self._valid_until_us:
            return None
        lifetime_us = self._valid_until_us - self._valid_from_us
        if now_us < self._valid_until_us - lifetime_us // WARNING_LIFETIME_DIVISOR:
            return None
        time_left_us = self._valid_until_us - now_us
        interval_us = DAY_US if time_left_us > DAY_US else HOUR_US
        if self._warned_us and now_us - self._warned_us < interval_us:
            return None
        self._warned_us = now_us
        return ExpiryWarning(self._valid_until_us, time_left_us)
