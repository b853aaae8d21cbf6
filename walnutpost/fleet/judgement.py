"""Whether a step of a release went well: members on the new version against those on the old. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Figures:
    """Of one member since its step began: calls by how they ended, and those served within their aim."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    in_aim: int = 0

    def __add__(self, other: Figures) -> Figures:
        return Figures(
            self.served + other.served,
            self.refused + other.refused,
            self.failed + other.failed,
            self.in_aim + other.in_aim,
        )

    @property
    def calls(self) -> int:
        return self.served + self.refused + self.failed


class Verdict(Enum):
    GOOD = "good"
    BAD = "bad"
    NOT_YET = "not yet"


@dataclass(frozen=True, slots=True)
class Terms:
    """`calls`: so many on either side before anything is said. `worse`: the difference in a share that is
    borne. `sure`: deviations by which a difference must be beyond it, or within it, to be taken for one."""

    calls: int = 200
    worse: float = 0.02
    sure: float = 2.0


def judge(new: Iterable[Figures], old: Iterable[Figures], terms: Terms) -> tuple[Verdict, str]:
    """Too few calls mean not yet, never yes. Where no old members are left, `old` are the members' figures
    of before the release."""
    n, o = sum(new, Figures()), sum(old, Figures())
    if min(n.calls, o.calls) < terms.calls:
        return Verdict.NOT_YET, f"{n.calls} and {o.calls} calls, {terms.calls} wanted on either side"
    unsure = ""
    for what, mine, theirs in (
        ("failed", n.failed / n.calls, o.failed / o.calls),
        ("refused", n.refused / n.calls, o.refused / o.calls),
        ("late", 1 - n.in_aim / n.calls, 1 - o.in_aim / o.calls),
    ):
        more, chance = mine - theirs, _deviation(mine, n.calls) + _deviation(theirs, o.calls)
        if more - terms.sure * chance > terms.worse:
            return Verdict.BAD, f"{what}: {mine:.3f} of {n.calls} calls, {theirs:.3f} of {o.calls} before"
        if more + terms.sure * chance > 2 * terms.worse:
            unsure = unsure or f"{what}: {mine:.3f} against {theirs:.3f}, too few calls to tell"
    return (Verdict.NOT_YET, unsure) if unsure else (Verdict.GOOD, f"{n.calls} calls no worse than {o.calls}")


def _deviation(share: float, calls: int) -> float:
    """With one call of each kind added, since none seen does not mean none to come."""
    p = (share * calls + 1) / (calls + 2)
    return math.sqrt(p * (1 - p) / calls)
