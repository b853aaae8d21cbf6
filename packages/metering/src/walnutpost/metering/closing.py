"""Closed hours, and which of them may need a correction. Times are microseconds since the epoch."""

from __future__ import annotations

from collections.abc import Collection

from walnutpost.metering.units import HOUR_US, hour_start_us


class ClosedHours:
    """The hours before `closed_to_us`. A closed hour is stale if its statement may have changed since."""

    def __init__(self, closed_to_us: int, slice_retention_us: int) -> None:
        self.closed_to_us = closed_to_us
        self._slice_retention_us = slice_retention_us
        self._stale: set[int] = set()

    @property
    def stale(self) -> Collection[int]:
        """Return the stale hours."""
        return self._stale

    def mark_changed(self, hour_us: int) -> None:
        """Mark an hour as stale if it is closed."""
        if hour_us < self.closed_to_us:
            self._stale.add(hour_us)

    def mark_changed_since(self, time_us: int) -> None:
        """Mark the closed hours since a time as stale, as far back as slices are retained."""
        oldest_us = hour_start_us(max(time_us, self.closed_to_us - self._slice_retention_us))
        self._stale.update(range(oldest_us, self.closed_to_us, HOUR_US))

    def set_stale(self, hour_us: int, is_stale: bool) -> None:
        """Set whether an hour is stale."""
        if is_stale:
            self._stale.add(hour_us)
        else:
            self._stale.discard(hour_us)

    def clear_stale(self) -> None:
        """Mark all hours as not stale."""
        self._stale.clear()

    def drop_before(self, hour_us: int) -> None:
        """Remove the stale hours whose records are dropped."""
        self._stale = {hour for hour in self._stale if hour >= hour_us}
