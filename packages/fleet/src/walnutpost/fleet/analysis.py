"""Canary analysis: whether members on a release's version serve calls as well as the others. No I/O.

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
        """The counts in the order in which reports and `RecordStepVerdict.baseline` hold them."""
        return self.served, self.rejected, self.failed, self.within_objective

    @property
    def total(self) -> int:
        """Calls that have ended."""
        return self.served + self.rejected + self.failed


class Verdict(Enum):
    """Outcome of the analysis of a step."""

    PASSED = "good"
    FAILED = "bad"
    INCONCLUSIVE = "not yet"


@dataclass(frozen=True, slots=True)
class AnalysisResult:
    """A verdict and the reason for it."""

    verdict: Verdict
    reason: str


@dataclass(frozen=True, slots=True)
class ReportedCounts:
    """Calls of one process since it began."""

    incarnation: str
    counts: CallCounts


@dataclass(frozen=True, slots=True)
class AnalysisPolicy:
    """When a difference between two versions is significant.

    `min_calls`: needed of either version. `max_regression`: the tolerated difference of a ratio.
    `confidence`: by how many standard deviations the difference must exceed that, or stay below it.
    """

    min_calls: int = 200
    max_regression: float = 0.02
    confidence: float = 2.0


def analyze(
    canary: Iterable[CallCounts], baseline: Iterable[CallCounts], policy: AnalysisPolicy
) -> AnalysisResult:
    """Return the verdict; too few calls are inconclusive, never passed.

    The ratios of failed, rejected and late calls are compared, each as a difference of two proportions.
    """
    new, old = sum(canary, CallCounts()), sum(baseline, CallCounts())
    if min(new.total, old.total) < policy.min_calls:
        reason = f"{new.total} and {old.total} calls, {policy.min_calls} wanted on either side"
        return AnalysisResult(Verdict.INCONCLUSIVE, reason)
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
            return AnalysisResult(Verdict.FAILED, f"{name}: {found}")
        if not unsure and regression + policy.confidence * deviation > 2 * policy.max_regression:
            unsure = f"{name}: {new_ratio:.3f} against {old_ratio:.3f}, too few calls to tell"
    if unsure:
        return AnalysisResult(Verdict.INCONCLUSIVE, unsure)
    return AnalysisResult(Verdict.PASSED, f"{new.total} calls no worse than {old.total}")


@dataclass(frozen=True, slots=True)
class _MemberCounts:
    """Calls of one process since the step began."""

    is_canary: bool
    zone: str
    counts: CallCounts


@dataclass(frozen=True, slots=True)
class _ProcessKey:
    """Identifies one process among those that have run as a member."""

    member: str
    incarnation: str


class StepAnalysis:
    """One step of a release: the calls of each process since the step began, by version.

    `known_baseline`: the old version's counts in earlier steps, needed once no member runs that version.
    """

    def __init__(self, number: int, known_baseline: CallCounts) -> None:
        self.number = number
        self._known_baseline = known_baseline
        self._at_begin: dict[_ProcessKey, CallCounts] = {}
        self._since_begin: dict[_ProcessKey, _MemberCounts] = {}

    def update(
        self,
        members: Mapping[str, Member],
        version: str,
        reported: Mapping[str, ReportedCounts],
    ) -> None:
        """Update the counts from the last reports, by member.

        The calls of a process that started during the step all count; those of an earlier process count from
        the first update. Counts remain after their process has ended.
        """
        is_first = not self._at_begin
        for name, member in members.items():
            report = reported.get(name)
            key = _ProcessKey(name, member.incarnation)
            counts = CallCounts()  # this process has reported none: too few, if it is a canary
            if report is not None and report.incarnation == member.incarnation:
                at_begin = report.counts if is_first else CallCounts()
                counts = report.counts - self._at_begin.setdefault(key, at_begin)
            self._since_begin[key] = _MemberCounts(member.version == version, member.zone, counts)

    @property
    def baseline(self) -> CallCounts:
        """The old version's counts, in this step and those before it."""
        known = (each.counts for each in self._since_begin.values() if not each.is_canary)
        return sum(known, self._known_baseline)

    def analyze(self, policy: AnalysisPolicy) -> AnalysisResult:
        """Analyze each zone and all together: a regression in one zone must not be hidden by the others."""
        zones: dict[str, list[CallCounts]] = {}
        for each in self._since_begin.values():
            if each.is_canary:
                zones.setdefault(each.zone, []).append(each.counts)
        if not zones:
            return AnalysisResult(Verdict.INCONCLUSIVE, "no figures of the new version")
        baseline = [self.baseline]
        results = {zone: analyze(counts, baseline, policy) for zone, counts in sorted(zones.items())}
        for wanted in (Verdict.FAILED, Verdict.INCONCLUSIVE):
            for zone, result in results.items():
                if result.verdict is wanted and len(zones) > 1:
                    return AnalysisResult(wanted, f"{result.reason} in {zone}")
                if result.verdict is wanted:
                    return result
        return analyze([each for counts in zones.values() for each in counts], baseline, policy)


def _deviation(ratio: float, calls: int) -> float:
    """Return the standard deviation of a ratio that was measured over `calls` calls.

    One call of each outcome is added (Laplace's rule of succession): a ratio of 0 in a sample does not prove
    that the true ratio is 0.
    """
    smoothed = (ratio * calls + 1) / (calls + 2)
    return math.sqrt(smoothed * (1 - smoothed) / calls)
