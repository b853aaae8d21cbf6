"""Canary analysis of a release's steps."""

from __future__ import annotations

from collections.abc import Set

import pytest

from state_machine_rig import (
    LEASE,
    rig_with,
)
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


class AnalysisRig:
    """Front ends that tell their calls; six a zone."""

    def __init__(self) -> None:
        self.fleet_rig = rig_with(12, 0)
        self.watch = FleetMonitor(0, LEASE, AnalysisPolicy(min_calls=100, max_regression=0.02))
        self.calls = {n: CallCounts() for n in self.state.members}
        self.fleet_rig.do(StartPlan("r", tuple(self.state.members), "v2", (0.5, 1.0), "v1"))

    @property
    def state(self) -> FleetState:
        return self.fleet_rig.fleet.state

    def serve(self, bad: Set[str] = frozenset()) -> list[RecordStepVerdict]:
        """A thousand calls each; `bad` members fail a fifth. What the leader proposes then."""
        for _ in range(2):
            for name, member in self.state.members.items():
                self.watch.report(1, MemberReport(name, member.incarnation, 0, self.calls[name]), self.state)
            proposed = [c for c in self.watch.propose(1, self.state) if isinstance(c, RecordStepVerdict)]
            if proposed:
                return proposed
            for name in self.calls:
                failed = 200 if name in bad else 0
                self.calls[name] += CallCounts(1000 - failed, 0, failed, 1000 - failed)
        return proposed

    def replace(self) -> list[str]:
        plan = self.state.plans["r"]
        names = [m for m in plan.members[: plan.eligible_count()] if m not in plan.completed]
        for name in names:
            self.fleet_rig.replace(name, "r")
            self.calls[name] = CallCounts()
        return names


def test_step_analysis_when_no_member_runs_the_old_version_uses_the_baseline_of_earlier_steps() -> None:
    rig = AnalysisRig()
    for _ in range(3):
        assert not rig.serve(), "its members are not back"
        rig.replace()
        (verdict,) = rig.serve()
        assert verdict.passed, verdict.reason
        rig.fleet_rig.do(verdict)
        rig.watch = FleetMonitor(
            1, LEASE, AnalysisPolicy(min_calls=100)
        )  # another leader each time: it knows what is agreed
    assert rig.state.plans["r"].end_reason == "done"
    assert rig.state.plans["r"].baseline[0] > 1000


def test_step_analysis_when_one_zone_regresses_fails_and_names_the_zone() -> None:
    rig = AnalysisRig()
    first = rig.replace()
    (verdict,) = rig.serve()
    rig.fleet_rig.do(verdict)
    second = rig.replace()
    in_b = {n for n in [*first, *second] if rig.state.members[n].zone == "b"}
    (verdict,) = rig.serve(in_b)
    assert not verdict.passed
    assert verdict.reason.endswith("in b")
    assert "failed" in verdict.reason
    rig.fleet_rig.do(verdict)
    assert rig.state.plans["r"].end_reason.startswith("gone back")


def test_step_analysis_when_members_report_no_counts_is_inconclusive() -> None:
    rig = AnalysisRig()
    (name,) = rig.replace()
    member = rig.state.members[name]
    rig.watch.report(1, MemberReport(name, member.incarnation), rig.state)
    rig.calls.pop(name)
    silent = rig.state.members.pop(name)
    rig.serve()
    rig.state.members[name] = silent
    assert not [c for c in rig.watch.propose(1, rig.state) if isinstance(c, RecordStepVerdict)]
    assert "0 and" in rig.watch.pending_verdicts["r"]
