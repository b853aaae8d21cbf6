"""Limits of how many firings are sent at a time. Times are microseconds of the loop's clock."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.eventloop import Loop

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class FiringLimits:
    """How many firings wait for acceptance at the same time, and how many are sent in a second."""

    max_concurrent: int
    per_s: float


class Pacer:
    """Spaces firings out evenly, so that thousands due in one second don't displace the calls of clients.

    A firing's own deadline begins when it is sent; the last ones of many are late.
    """

    def __init__(self, loop: Loop, per_s: float) -> None:
        """Allow `per_s` firings in a second."""
        self._loop = loop
        self._interval_us = round(SECOND_US / per_s)
        self._next_slot_us = 0

    def wait(self) -> None:
        """Return when the next firing may be sent."""
        now_us = self._loop.now()
        slot_us = max(now_us, self._next_slot_us)
        self._next_slot_us = slot_us + self._interval_us
        if slot_us > now_us:
            self._loop.sleep(slot_us - now_us)
