"""Canary analysis: whether members on a release's version serve as well as those on the old one. No I/O.

The texts of verdicts become part of the replicated state (`RecordStepVerdict.reason`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from walnutpost.fleet.state import Member


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Calls by how they ended, and how many of those served met their latency objective."""

    served: int = 0
    rejected: int = 0
    failed: int = 0
    within_objective: int = 0

    def __add__(self, other: CallCounts) -> CallCounts:
        """Add each count."""
        return CallCounts(
            self.served + other.served,
            self.rejected + other.rejected,
            self.failed + other.failed,
            self.within_objective + other.within_objective,
        )

    def __sub__(self, other: CallCounts) -> CallCounts:
        """Subtract each count."""
        return CallCounts(
            self.served - other.served,
            self.rejected - other.rejected,
            self.failed - other.failed,
            self.within_objective - other.within_objective,
        )

    @property
    def as_tuple(self) -> tuple[int, int, int, int]:
        """The counts in the order in which they are sent and stored."""
        return self.served, self.rejected, self.failed, self.within_objective

    @property
    def total(self) -> int:
        """Calls that have ended."""
        return self.served + self.rejected + self.failed


class Verdict(Enum):
    """What the analysis of a step says."""

    PASSED = "good"
    FAILED = "bad"
    INCONCLUSIVE = "not yet"


@dataclass(frozen=True, slots=True)
class AnalysisPolicy:
    """When a difference counts.

    `min_calls`: needed on either side. `max_regression`: the tolerated difference of a ratio. `confidence`:
    by how many standard deviations the difference must exceed that, or stay within it.
    """

    min_calls: int = 200
    max_regression: float = 0.02
    confidence: float = 2.0


def analyze(
    canary: Iterable[CallCounts], baseline: Iterable[CallCounts], policy: AnalysisPolicy
) -> tuple[Verdict, str]:
    """Return the verdict and its reason; too few calls are inconclusive, never passed.

    The ratios of failed, rejected and late calls are compared, each as a difference of two proportions.
    """
    new, old = sum(canary, CallCounts()), sum(baseline, CallCounts())
    if min(new.total, old.total) < policy.min_calls:
        reason = f"{new.total} and {old.total} calls, {policy.min_calls} wanted on either side"
        return Verdict.INCONCLUSIVE, reason
    unsure = ""
    for name, new_ratio, old_ratio in (
        ("failed", new.failed / new.total, old.failed / old.total),
        ("refused", new.rejected / new.total, old.rejected / old.total),
        ("late", 1 - new.within_objective / new.total, 1 - old.within_objective / old.total),
    ):
        regression = new_ratio - old_ratio
        deviation = _deviation(new_ratio, new.total) + _deviation(old_ratio, old.total)
        if regression - policy.confidence * deviation > policy.max_regression:
            found = f"{new_ratio:.3f} of {new.total} calls, {old_ratio:.3f} of {old.total} before"
            return Verdict.FAILED, f"{name}: {found}"
        if not unsure and regression + policy.confidence * deviation > 2 * policy.max_regression:
            unsure = f"{name}: {new_ratio:.3f} against {old_ratio:.3f}, too few calls to tell"
    if unsure:
        return Verdict.INCONCLUSIVE, unsure
    return Verdict.PASSED, f"{new.total} calls no worse than {old.total}"


@dataclass(frozen=True, slots=True)
class _MemberCounts:
    """What one process has served since the step began."""

    is_canary: bool
    zone: str
    counts: CallCounts


class StepAnalysis:
    """One step of a release: what each process has served since the step began, by its version."""

    def __init__(self, number: int, known_baseline: CallCounts) -> None:
        """`known_baseline`: the old version's counts in earlier steps, for when no member runs it."""
        self.number = number
        self._known_baseline = known_baseline
        self._at_begin: dict[tuple[str, str], CallCounts] = {}  # by member and incarnation
        self._since_begin: dict[tuple[str, str], _MemberCounts] = {}

    def update(
        self,
        members: Mapping[str, Member],
        version: str,
        reported: Mapping[str, tuple[str, CallCounts]],
    ) -> None:
        """Take in reports: by member, its incarnation and the counts since that incarnation began.

        A process that comes up during the step counts from its beginning, one that was there before from the
        first update. Counts of an incarnation remain when it is gone.
        """
        is_first = not self._at_begin
        for name, member in members.items():
            incarnation, counts = reported.get(name, ("", CallCounts()))
            key = (name, member.incarnation)
            if incarnation == member.incarnation:
                counts -= self._at_begin.setdefault(key, counts if is_first else CallCounts())
            else:
                counts = CallCounts()  # this process has reported none: too few, if it is a canary
            self._since_begin[key] = _MemberCounts(member.version == version, member.zone, counts)

    @property
    def baseline(self) -> CallCounts:
        """The old version's counts, in this step and those before it."""
        known = (each.counts for each in self._since_begin.values() if not each.is_canary)
        return sum(known, self._known_baseline)

    def analyze(self, policy: AnalysisPolicy) -> tuple[Verdict, str]:
        """Return the verdict over each zone and over all: other zones must not hide a regression in one."""
        zones: dict[str, list[CallCounts]] = {}
        for each in self._since_begin.values():
            if each.is_canary:
                zones.setdefault(each.zone, []).append(each.counts)
        if not zones:
            return Verdict.INCONCLUSIVE, "no figures of the new version"
        baseline = [self.baseline]
        by_zone = [(zone, *analyze(counts, baseline, policy)) for zone, counts in sorted(zones.items())]
        for wanted in (Verdict.FAILED, Verdict.INCONCLUSIVE):
            for zone, verdict, reason in by_zone:
                if verdict is wanted:
                    return verdict, f"{reason} in {zone}" if len(zones) > 1 else reason
        return analyze([each for counts in zones.values() for each in counts], baseline, policy)


def _deviation(ratio: float, calls: int) -> float:
    """Return the standard deviation of a ratio of so many calls.

    One call of each kind is added (Laplace's rule of succession), since none seen doesn't mean none to come.
    """
    smoothed = (ratio * calls + 1) / (calls + 2)
    return math.sqrt(smoothed * (1 - smoothed) / calls)
