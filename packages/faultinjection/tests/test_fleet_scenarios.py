"""A fleet as processes, with faults between them: who is down is asked of the processes themselves."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from benchmarks.fleet import DAY_SECONDS, play_day, random_day
from walnutpost.config import parse
from walnutpost.faultinjection import text_tables
from walnutpost.faultinjection.call_results import CallResultKind
from walnutpost.faultinjection.fleet_run import FleetOutcome
from walnutpost.faultinjection.fleet_scenario import FleetScenario

BASE = random_day(0)
WARM = 60  # calls


def play_without_violations(folder: Path, acts: list[dict[str, Any]], **more: Any) -> FleetOutcome:
    """No call may be rejected or lost unless `versions` or a kill is to blame, which the test asserts."""
    scenario = BASE.model_dump(mode="json", by_alias=True) | {"acts": acts, "duration_s": 12} | more
    out = play_day(parse(json.dumps(scenario), "day", FleetScenario), folder)
    assert out.has_passed, (out.violations, out.failures, text_tables.rules_table(out.verdict))
    return out


def lost_calls(out: FleetOutcome) -> list[str]:
    """Beyond the first, for which nothing is loaded yet."""
    return [
        f"{r.call} of {r.function}: {r.kind}"
        for r in out.results
        if r.kind is not CallResultKind.SERVED and int(r.call[1:]) > WARM
    ]


@pytest.mark.parametrize("seed", [3, 8, 14])
def test_random_faults_keep_budgets_and_rules(tmp_path: Path, seed: int) -> None:
    script = random_day(seed)
    assert script.duration_s == DAY_SECONDS
    out = play_day(script, tmp_path)
    assert out.has_passed, (out.violations, out.failures, text_tables.rules_table(out.verdict))


def test_drain_over_a_lost_quorum_keeps_a_worker_out_and_costs_no_call(tmp_path: Path) -> None:
    """A quorum is lost and regained while the first drain waits; its worker ends all the same, and comes
    back. The second holds its own out."""
    acts: list[dict[str, Any]] = [
        {"what": "drain", "on": ["worker-1"], "plan": "d", "at_s": 1},
        {"what": "cut", "on": ["k1", "k2"], "for_s": 2, "when": "permit"},
        {"what": "slow", "on": ["f0"], "for_s": 3, "by_ms": 300, "when": "permit"},
        {"what": "return", "on": ["worker-1"], "when": "cleared", "at_s": 1},
        {"what": "drain", "on": ["worker-2"], "plan": "e", "when": "ended", "of": "d"},
    ]
    out = play_without_violations(tmp_path, acts, budgets=[{"kind": "worker", "most": 1}], duration_s=28)
    assert out.max_unavailable["worker"] == 1
    assert not lost_calls(out)
    assert out.state.plans["d"].end_reason == "done"
    (permit,) = out.state.permits.values()
    assert permit.member == "worker-2" and len(permit.acknowledgements) == 4, "each front end had acted on it"


def test_release_that_fails_calls_is_reverted_over_a_restart_of_the_control_plane(
    tmp_path: Path,
) -> None:
    hasty = {"site": {"classes": {"reservation": {"aim_ms": 5, "deadline_ms": 5}}}}
    acts: list[dict[str, Any]] = [
        {"what": "release", "content": "hasty", "plan": "r", "at_s": 1},
        {"what": "kill", "on": ["k1", "k2", "k3"], "for_s": 1, "when": "plan open", "of": "r.back"},
    ]
    judge = {"calls": 40, "worse": 0.05}
    out = play_without_violations(tmp_path, acts, versions={"hasty": hasty}, judge=judge, duration_s=26)
    plans = out.state.plans
    assert plans["r"].end_reason.startswith("gone back")
    assert plans["r.back"].end_reason == "done"
    assert {m.version for m in out.state.members.values() if m.kind == "front_end"} == {
        plans["r"].rollback_version
    }
    assert all("reserve-copy" in call for call in lost_calls(out))


def test_halt_when_a_grant_is_in_flight_to_a_cut_off_holder_lets_nothing_begin(tmp_path: Path) -> None:
    """Its answer lies in a socket while the first one's agent is paused past its time: it begins nothing."""
    acts: list[dict[str, Any]] = [
        {"what": "deaf", "on": ["f0"], "for_s": 6, "at_s": 0.5},
        {"what": "cycle", "on": ["f0", "f1"], "plan": "c", "at_s": 1},
        {"what": "halt", "when": "permit", "of": "c"},
    ]
    out = play_without_violations(
        tmp_path, acts, begin_within_ms=1500, budgets=[{"kind": "front_end", "most": 1}]
    )
    assert out.max_unavailable["front_end"] <= 1
    assert out.state.halt_reason
    assert not out.state.permits
    assert not lost_calls(out)


def test_two_agents_under_one_name_take_down_no_more_than_one(tmp_path: Path) -> None:
    acts: list[dict[str, Any]] = [
        # It stays to the end: one that is ended with a permit leaves its place out until an operator vouches.
        {"what": "second", "on": ["f1"], "for_s": 600, "at_s": 0},
        {"what": "cycle", "on": ["f1", "f2"], "plan": "c", "at_s": 3},
    ]
    out = play_without_violations(tmp_path, acts, budgets=[{"kind": "front_end", "most": 1}])
    assert out.max_unavailable["front_end"] <= 1
