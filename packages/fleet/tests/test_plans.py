"""Plans: releases by steps, rollbacks, halts, and how many plans and versions are retained."""

from __future__ import annotations

import pytest

from walnutpost.fleet import (
    FRONT_END,
    WORKER,
    CompletePermit,
    DisruptionBudget,
    ForgetMember,
    MarkResponsive,
    MarkUnresponsive,
    RecordStepVerdict,
    RegisterMember,
    ResumePlan,
    SetBudgets,
    StartPlan,
    StoreVersion,
)
from walnutpost.fleet.retention import MAX_PLANS, MAX_VERSIONS
from walnutpost.testsupport.fleet.state_machine_harness import (
    FleetHarness,
)


def test_release_when_a_step_has_no_verdict_yet_takes_out_no_member_of_the_next() -> None:
    harness = FleetHarness(8, DisruptionBudget(FRONT_END, max_unavailable=4))
    names = tuple(f"m{n}" for n in range(8))
    assert harness.do(StartPlan("r", names, "v2", (0.5, 1.0))).ok
    plan = harness.fleet.state.plans["r"]
    assert plan.members[:4] == ["m0", "m1", "m2", "m3"], "each zone in turn"
    assert "step 1" in harness.request_permit("m1", "r").error
    assert not harness.do(RecordStepVerdict("r", 0, True)).ok, "its first member is not back"
    for step, members in enumerate((("m0",), ("m1", "m2", "m3"), ("m4", "m5", "m6", "m7"))):
        for member in members:
            harness.replace(member, "r")
        assert "done" in harness.request_permit(members[0], "r").error
        assert harness.do(RecordStepVerdict("r", step, True)).ok
    assert plan.end_reason == "done"
    assert not harness.request_permit("m0", "r").ok


def test_release_when_a_step_fails_is_rolled_back_within_the_same_budgets() -> None:
    harness = FleetHarness(6, DisruptionBudget(FRONT_END, max_unavailable=1))
    harness.do(StartPlan("r", tuple(f"m{n}" for n in range(6)), "v2", (1.0,), "v1"))
    harness.replace("m0", "r")
    harness.do(RecordStepVerdict("r", 0, True))
    harness.replace("m1", "r")
    permit = harness.request_permit("m2", "r").permit
    assert harness.do(RecordStepVerdict("r", 1, False, "a fifth fails")).ok
    state = harness.fleet.state
    assert state.plans["r"].end_reason == "gone back: a fifth fails"
    assert not harness.request_permit("m3", "r").ok
    rollback = state.plans["r.back"]
    assert rollback.version == "v1"
    assert sorted(rollback.members) == ["m0", "m1", "m2"]
    assert not harness.request_permit("m0", "r.back").ok, "m2 is still unavailable"
    assert rollback.eligible_count() == 3, "a rollback needs no verdict"
    harness.do(CompletePermit(permit, "agent-m2", "m2.9", "v2"))
    harness.replace("m0", "r.back", "v1")
    assert (
        "another" in harness.do(StartPlan("s", ("m0",), "v2")).error
        or "under way" in harness.do(StartPlan("s", ("m0",))).error
    )


def test_release_when_its_version_does_not_become_ready_is_rolled_back() -> None:
    harness = FleetHarness(4)
    harness.do(StartPlan("r", ("m0", "m1"), "v2", (1.0,), "v1"))
    harness.replace("m0", "r", version="v1")  # its agent was restarted: the version was not tried
    assert not harness.fleet.state.plans["r"].completed
    assert not harness.fleet.state.plans["r"].halt_reason
    permit = harness.request_permit("m0", "r").permit
    harness.do(CompletePermit(permit, "agent-m0", "m0.9", "v1", "v2 does not come up"))
    assert harness.fleet.state.plans["r"].end_reason == "gone back: m0: v2 does not come up"


def test_plan_when_crashes_use_up_its_budget_is_halted_until_resumed() -> None:
    harness = FleetHarness(6, DisruptionBudget(FRONT_END, max_unavailable=2))
    harness.do(StartPlan("d", ("m0", "m1")))
    harness.do(MarkUnresponsive("m4", "m4.1"))
    assert not harness.fleet.state.plans["d"].halt_reason
    harness.do(MarkUnresponsive("m5", "m5.1"))
    assert "m4, m5" in harness.fleet.state.plans["d"].halt_reason
    harness.do(MarkResponsive("m5", "m5.1"))
    assert not harness.request_permit("m0", "d").ok
    assert harness.do(ResumePlan("d")).ok
    assert harness.request_permit("m0", "d").ok
    harness.do(RegisterMember("w", WORKER, "a", "w.1"))
    harness.do(
        SetBudgets(
            (DisruptionBudget(FRONT_END, max_unavailable=2), DisruptionBudget(WORKER, max_unavailable=1))
        )
    )
    harness.do(MarkUnresponsive("w", "w.1"))  # a worker does not affect a plan that takes out front ends
    harness.do(MarkUnresponsive("m0", "m0.1"))  # it has a permit: it is being replaced
    assert not harness.fleet.state.plans["d"].halt_reason


@pytest.mark.parametrize(
    ("command", "error"),
    [
        (StartPlan("r", ("m0",), "v9"), "v9 is not kept"),
        (StartPlan("r", ("m0", "x"), "v2"), "no member x"),
        (StartPlan("r", (), "v2"), "wanted"),
        (StartPlan("r", ("m0",), "v2", (0.5,)), "rise to 1"),
        (StartPlan("r", ("m0",), "v2", (1.0, 0.5)), "rise to 1"),
        (StartPlan("r", ("m0",), "v2", (1.0,), "v8"), "v8 to go back to"),
    ],
)
def test_plan_when_invalid_is_rejected(command: StartPlan, error: str) -> None:
    harness = FleetHarness()
    assert error in harness.do(command).error
    assert not harness.fleet.state.plans


def test_rollback_when_it_replaces_a_running_plan_takes_only_members_on_other_versions() -> None:
    harness = FleetHarness(4, DisruptionBudget(FRONT_END, max_unavailable=2))
    names = tuple(f"m{n}" for n in range(4))
    harness.do(StartPlan("r", names, "v2"))
    harness.replace("m0", "r")
    assert "under way" in harness.do(StartPlan("b", names, "v1")).error
    harness.do(RegisterMember("w", WORKER, "a", "w.1"))
    assert "under way" in harness.do(StartPlan("d", ("m1",))).error, "one member, two plans"
    assert harness.do(StartPlan("d", ("w",))).ok, "others may be drained meanwhile"
    assert harness.do(StartPlan("b", names, "v1", replaces="r", requires_verdict=False)).ok
    plans = harness.fleet.state.plans
    assert plans["r"].end_reason == "replaced by b"
    assert plans["b"].members == ["m0"]
    assert not harness.request_permit("m1", "r").ok
    harness.replace("m0", "b", "v1")
    assert plans["b"].end_reason == "done"
    assert harness.do(StartPlan("again", names, "v1")).ok
    assert plans["again"].end_reason.startswith("done")


def test_plan_when_its_last_member_is_forgotten_ends() -> None:
    harness = FleetHarness(2)
    harness.do(StartPlan("c", ("m0", "m1")))
    harness.replace("m0", "c")
    harness.do(ForgetMember("m1"))
    assert harness.fleet.state.plans["c"].end_reason == "done"


def test_retention_when_limits_are_exceeded_removes_only_unneeded_plans_and_versions() -> None:
    harness = FleetHarness(2)
    for n in range(MAX_PLANS + 20):
        harness.do(StoreVersion(f"x{n}", b""))
        harness.do(StartPlan(f"c{n}", ("m0",)))
        harness.replace("m0", f"c{n}", "v1")
    state = harness.fleet.state
    assert len(state.versions) == MAX_VERSIONS
    assert "v1" in state.versions
    assert len(state.plans) == MAX_PLANS
    assert f"c{MAX_PLANS + 19}" in state.plans
