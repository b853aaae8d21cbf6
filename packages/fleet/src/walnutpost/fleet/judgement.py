"""Whether a step of a release went well: members on the new version against those on the old. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from walnutpost.fleet.state import Member


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

    def __sub__(self, other: Figures) -> Figures:
        return Figures(
            self.served - other.served,
            self.refused - other.refused,
            self.failed - other.failed,
            self.in_aim - other.in_aim,
        )

    @property
    def told(self) -> tuple[int, int, int, int]:
        return self.served, self.refused, self.failed, self.in_aim

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


class Step:
    """One step of a release under watch: what each member has answered since the step began, by what it runs.

    `before` is known from earlier steps: what the old version did, for when nobody runs it any more."""

    def __init__(self, number: int, before: Figures) -> None:
        self.number = number
        self._known = before
        self._base: dict[tuple[str, str], Figures] = {}
        self._now: dict[tuple[str, str], tuple[bool, str, Figures]] = {}

    def look(
        self, members: Mapping[str, Member], version: str, told: Mapping[str, tuple[str, Figures]]
    ) -> None:
        """`told`: by member, its incarnation and what that has answered since it began. A process that comes
        up during the step is counted from its beginning, one that was there from when it was first seen; what
        an incarnation did stays counted when it is gone."""
        first = not self._base
        for name, member in members.items():
            incarnation, figures = told.get(name, ("", Figures()))
            key, new = (name, member.incarnation), member.version == version
            if incarnation == member.incarnation:
                figures -= self._base.setdefault(key, figures if first else Figures())
            else:
                figures = Figures()  # it has told of none: too few, if it runs the new version
            self._now[key] = new, member.zone, figures

    @property
    def before(self) -> Figures:
        """The old version's figures, of this step where it had enough, and of the steps before it."""
        return sum((f for new, _, f in self._now.values() if not new), self._known)

    def judge(self, terms: Terms) -> tuple[Verdict, str]:
        """In all, and in each zone by itself: one that is bad in one zone alone must not hide behind
        others."""
        zones: dict[str, list[Figures]] = {}
        for new, zone, figures in self._now.values():
            if new:
                zones.setdefault(zone, []).append(figures)
        if not zones:
            return Verdict.NOT_YET, "no figures of the new version"
        found = [(f" in {zone}", judge(mine, [self.before], terms)) for zone, mine in sorted(zones.items())]
        for verdict in (Verdict.BAD, Verdict.NOT_YET):
            for where, (said, why) in found:
                if said is verdict:
                    return verdict, why + (where if len(zones) > 1 else "")
        return judge([f for mine in zones.values() for f in mine], [self.before], terms)


def _deviation(share: float, calls: int) -> float:
    """With one call of each kind added, since none seen does not mean none to come."""
    p = (share * calls + 1) / (calls + 2)
    return math.sqrt(p * (1 - p) / calls)
