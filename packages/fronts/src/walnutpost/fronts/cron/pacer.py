"""Limits on concurrent firings and on their rate. Times are microseconds of the event loop's clock."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.eventloop import Loop

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class FiringLimits:
    """How many firings may wait for acceptance at the same time, and how many are sent per second."""

    max_concurrent: int
    firings_per_s: float


class Pacer:
    """Spaces firings evenly, so that thousands due in the same second do not displace client calls.

    The last of many firings are sent late. The deadline of a firing starts when it is sent.
    """

    def __init__(self, loop: Loop, firings_per_s: float) -> None:
        """Allow `firings_per_s` firings per second."""
        self._loop = loop
        self._interval_us = round(SECOND_US / firings_per_s)
        self._next_slot_us = 0

    def wait(self) -> None:
        """Wait until the next firing may be sent."""
        now_us = self._loop.now()
        slot_us = max(now_us, self._next_slot_us)
        self._next_slot_us = slot_us + self._interval_us
        if slot_us > now_us:
            self._loop.sleep(slot_us - now_us)
