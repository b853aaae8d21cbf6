"""The holder's side of a permit: whether it may still begin.

No I/O; the holder passes in its own monotonic clock in microseconds.
"""

from __future__ import annotations

from enum import Enum


class PermitPhase(Enum):
    """How far a holder is with its request for a permit."""

    REQUESTED = "asked"
    GRANTED = "may begin"
    BEGUN = "begun"
    ABANDONED = "given up"  # AbandonPermit has to be sent until it is answered


class PermitHolder:
    """One request for a permit, which may only be used for a limited time.

    The time limit runs from the request, not from the answer: an answer may wait in a socket while its reader
    is paused, but after a halt it must be certain at what time no holder can begin any more.
    """

    def __init__(self, requested_at_us: int, begin_timeout_us: int) -> None:
        self._deadline_us = requested_at_us + begin_timeout_us
        self.phase = PermitPhase.REQUESTED
        self.permit = ""

    def granted(self, now_us: int, permit: str) -> None:
        """Record that the request was granted with this permit."""
        if self.phase is PermitPhase.REQUESTED:
            self.permit = permit
            self.phase = PermitPhase.GRANTED if now_us < self._deadline_us else PermitPhase.ABANDONED

    def begin(self, now_us: int) -> bool:
        """Return whether the holder may begin now, True only once.

        To be called right before the first irrevocable act.
        """
        if self.phase is not PermitPhase.GRANTED:
            return False
        self.phase = PermitPhase.BEGUN if now_us < self._deadline_us else PermitPhase.ABANDONED
        return self.phase is PermitPhase.BEGUN

    @property
    def must_abandon(self) -> bool:
        """Whether there is a permit that will never be used."""
        return self.phase is PermitPhase.ABANDONED and bool(self.permit)
