"""The holder's side of a permit: whether it may still begin. No I/O; its own monotonic clock is passed in."""

from __future__ import annotations

from enum import Enum


class Stand(Enum):
    ASKED = "asked"
    MAY_BEGIN = "may begin"
    BEGUN = "begun"
    GIVEN_UP = "given up"  # to be told to the keepers, over and over, until one of them has it


class Holder:
    """One question for a permit. The time to begin runs from when it was *asked*: an answer may lie in a
    socket while its reader is paused, and a halt has to be sure when nothing can begin any more."""

    def __init__(self, asked: int, begin_within: int) -> None:
        self._until = asked + begin_within
        self.stand = Stand.ASKED
        self.permit = ""

    def granted(self, now: int, permit: str) -> None:
        if self.stand is Stand.ASKED:
            self.permit = permit
            self.stand = Stand.MAY_BEGIN if now < self._until else Stand.GIVEN_UP

    def begin(self, now: int) -> bool:
        """Whether it has begun with this. Called right before the first irrevocable act, and never twice."""
        if self.stand is Stand.MAY_BEGIN:
            self.stand = Stand.BEGUN if now < self._until else Stand.GIVEN_UP
            return self.stand is Stand.BEGUN
        return False

    @property
    def owes_back(self) -> bool:
        """It has a permit under which it will never begin."""
        return self.stand is Stand.GIVEN_UP and bool(self.permit)
