"""Canary analysis of a release's steps."""

from __future__ import annotations

from collections.abc import Set

import pytest

from walnutpost.fleet import (
    AnalysisPolicy,
    CallCounts,
    FleetMonitor,
    FleetState,
    MemberReport,
    RecordStepVerdict,
    StartPlan,
    Verdict,
    analyze,
)
from walnutpost.testsupport.fleet.state_machine_harness import (
    LEASE,
    fleet_with,
)


@pytest.mark.parametrize(
    ("new", "old", "verdict"),
    [
        (CallCounts(1000, 0, 0, 990), CallCounts(5000, 0, 0, 4950), Verdict.PASSED),
        (CallCounts(100, 0, 0, 100), CallCounts(5000, 0, 0, 5000), Verdict.INCONCLUSIVE),
        (CallCounts(5000, 0, 0, 5000), CallCounts(100, 0, 0, 100), Verdict.INCONCLUSIVE),
        (CallCounts(800, 0, 200, 800), CallCounts(5000, 0, 0, 4990), Verdict.FAILED),
        (CallCounts(800, 200, 0, 800), CallCounts(4900, 100, 0, 4900), Verdict.FAILED),
        (CallCounts(1000, 0, 0, 500), CallCounts(5000, 0, 0, 4950), Verdict.FAILED),
        (CallCounts(250, 0, 0, 240), CallCounts(5000, 0, 0, 4950), Verdict.INCONCLUSIVE),
        (CallCounts(400, 0, 100, 400), CallCounts(4000, 0, 1000, 4000), Verdict.INCONCLUSIVE),
        (CallCounts(8000, 0, 2000, 8000), CallCounts(40000, 0, 10000, 40000), Verdict.PASSED),
    ],
)
def test_analyze_given_counts_of_both_versions_returns_the_verdict(
    new: CallCounts, old: CallCounts, verdict: Verdict
) -> None:
    assert analyze([new], [old], AnalysisPolicy()).verdict is verdict


class ReleaseUnderAnalysis:
    """A release of twelve front ends in two zones, which report their calls to a leader."""

    def __init__(self) -> None:
        self.fleet_harness = fleet_with(12, 0)
        self.monitor = FleetMonitor(0, LEASE, AnalysisPolicy(min_calls=100, max_regression=0.02))
        self.calls = {n: CallCounts() for n in self.state.members}
        self.fleet_harness.do(StartPlan("r", tuple(self.state.members), "v2", (0.5, 1.0), "v1"))

    @property
    def state(self) -> FleetState:
        return self.fleet_harness.fleet.state

    def serve(self, failing: Set[str] = frozenset()) -> list[RecordStepVerdict]:
        """Serve a thousand calls at each member, and return the leader's verdicts.

        Of the calls at `failing` members a fifth fails.
        """
        for _ in range(2):
            for name, member in self.state.members.items():
                self.monitor.report(
                    1, MemberReport(name, member.incarnation, 0, self.calls[name]), self.state
                )
            proposed = [c for c in self.monitor.propose(1, self.state) if isinstance(c, RecordStepVerdict)]
            if proposed:
                return proposed
            for name in self.calls:
                failed = 200 if name in failing else 0
                self.calls[name] += CallCounts(1000 - failed, 0, failed, 1000 - failed)
        return proposed

    def replace(self) -> list[str]:
        """Install the version on the members of the current step, and return their names."""
        plan = self.state.plans["r"]
        names = [m for m in plan.members[: plan.eligible_count()] if m not in plan.completed]
        for name in names:
            self.fleet_harness.replace(name, "r")
            self.calls[name] = CallCounts()
        return names


def test_step_analysis_when_no_member_runs_the_old_version_uses_the_baseline_of_earlier_steps() -> None:
    release = ReleaseUnderAnalysis()
    for _ in range(3):
        assert not release.serve(), "its members are not back"
        release.replace()
        (verdict,) = release.serve()
        assert verdict.passed, verdict.reason
        release.fleet_harness.do(verdict)
        release.monitor = FleetMonitor(
            1, LEASE, AnalysisPolicy(min_calls=100)
        )  # another leader each time: it knows the committed state
    assert release.state.plans["r"].end_reason == "done"
    assert release.state.plans["r"].baseline[0] > 1000


def test_step_analysis_when_one_zone_regresses_fails_and_names_the_zone() -> None:
    release = ReleaseUnderAnalysis()
    first = release.replace()
    (verdict,) = release.serve()
    release.fleet_harness.do(verdict)
    second = release.replace()
    in_zone_b = {n for n in [*first, *second] if release.state.members[n].zone == "b"}
    (verdict,) = release.serve(in_zone_b)
    assert not verdict.passed
    assert verdict.reason.endswith("in b")
    assert "failed" in verdict.reason
    release.fleet_harness.do(verdict)
    assert release.state.plans["r"].end_reason.startswith("gone back")


def test_step_analysis_when_members_report_no_counts_is_inconclusive() -> None:
    release = ReleaseUnderAnalysis()
    (name,) = release.replace()
    member = release.state.members[name]
    release.monitor.report(1, MemberReport(name, member.incarnation), release.state)
    release.calls.pop(name)
    without_report = release.state.members.pop(name)
    release.serve()
    release.state.members[name] = without_report
    assert not [c for c in release.monitor.propose(1, release.state) if isinstance(c, RecordStepVerdict)]
    assert "0 and" in release.monitor.pending_verdicts["r"]
