"""A whole fleet as processes, with faults between them: who is out is asked of the processes themselves."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from benchmarks.fleet import DAY_SECONDS, play_day, random_day
from walnutpost.config import parse
from walnutpost.faultinjection import table
from walnutpost.faultinjection.fleet_run import FleetOutcome
from walnutpost.faultinjection.fleet_script import FleetScript

BASE = random_day(0)
WARM = 60  # calls


def day(folder: Path, acts: list[dict[str, Any]], **more: Any) -> FleetOutcome:
    """No call may be refused or lost unless `versions` or a kill is to blame, which the test says."""
    told = BASE.model_dump(mode="json", by_alias=True) | {"acts": acts, "duration_s": 12} | more
    out = play_day(parse(json.dumps(told), "day", FleetScript), folder)
    assert out.good, (out.broken, out.failures, table.rules_table(out.verdict))
    return out


def lost(out: FleetOutcome) -> list[str]:
    """Beyond the first, for which nothing is loaded yet."""
    return [
        f"{r.call} of {r.function}: {r.kind}"
        for r in out.results
        if r.kind != "served" and int(r.call[1:]) > WARM
    ]


@pytest.mark.parametrize("seed", [3, 8, 14])
def test_random_faults_never_have_too_many_out_and_break_no_rule(tmp_path: Path, seed: int) -> None:
    script = random_day(seed)
    assert script.duration_s == DAY_SECONDS
    out = play_day(script, tmp_path)
    assert out.good, (out.broken, out.failures, table.rules_table(out.verdict))


def test_a_drain_holds_a_worker_out_and_costs_no_call(tmp_path: Path) -> None:
    """A quorum is lost and regained while the first drain waits; its worker ends all the same, and comes
    back. The second holds its own out."""
    acts: list[dict[str, Any]] = [
        {"what": "drain", "on": ["worker-1"], "plan": "d", "at_s": 1},
        {"what": "cut", "on": ["k1", "k2"], "for_s": 2, "when": "permit"},
        {"what": "slow", "on": ["f0"], "for_s": 3, "by_ms": 300, "when": "permit"},
        {"what": "return", "on": ["worker-1"], "when": "cleared", "at_s": 1},
        {"what": "drain", "on": ["worker-2"], "plan": "e", "when": "ended", "of": "d"},
    ]
    out = day(tmp_path, acts, budgets=[{"kind": "worker", "most": 1}], duration_s=28)
    assert out.most_out["worker"] == 1 and not lost(out)
    assert out.state.plans["d"].end_reason == "done"
    (permit,) = out.state.permits.values()
    assert permit.member == "worker-2" and len(permit.acknowledgements) == 4, "each front end had acted on it"


def test_a_release_that_fails_a_fifth_goes_back_by_itself_over_a_restart_of_all_keepers(
    tmp_path: Path,
) -> None:
    hasty = {"site": {"classes": {"reservation": {"aim_ms": 5, "deadline_ms": 5}}}}
    acts: list[dict[str, Any]] = [
        {"what": "release", "content": "hasty", "plan": "r", "at_s": 1},
        {"what": "kill", "on": ["k1", "k2", "k3"], "for_s": 1, "when": "plan open", "of": "r.back"},
    ]
    judge = {"calls": 40, "worse": 0.05}
    out = day(tmp_path, acts, versions={"hasty": hasty}, judge=judge, duration_s=26)
    plans = out.state.plans
    assert plans["r"].end_reason.startswith("gone back") and plans["r.back"].end_reason == "done"
    assert {m.version for m in out.state.members.values() if m.kind == "front_end"} == {
        plans["r"].rollback_version
    }
    assert all("reserve-copy" in call for call in lost(out))


def test_a_halt_against_a_grant_in_flight_and_a_holder_that_was_paused(tmp_path: Path) -> None:
    """Its answer lies in a socket while the first one's agent is paused past its time: it begins nothing."""
    acts: list[dict[str, Any]] = [
        {"what": "deaf", "on": ["f0"], "for_s": 6, "at_s": 0.5},
        {"what": "cycle", "on": ["f0", "f1"], "plan": "c", "at_s": 1},
        {"what": "halt", "when": "permit", "of": "c"},
    ]
    out = day(tmp_path, acts, begin_within_ms=1500, budgets=[{"kind": "front_end", "most": 1}])
    assert out.most_out["front_end"] <= 1 and out.state.halt_reason and not out.state.permits
    assert not lost(out)


def test_two_agents_under_one_name_take_out_no_more_than_one(tmp_path: Path) -> None:
    acts: list[dict[str, Any]] = [
        # It stays to the end: one that is ended with a permit leaves its place out until an operator vouches.
        {"what": "second", "on": ["f1"], "for_s": 600, "at_s": 0},
        {"what": "cycle", "on": ["f1", "f2"], "plan": "c", "at_s": 3},
    ]
    out = day(tmp_path, acts, budgets=[{"kind": "front_end", "most": 1}])
    assert out.most_out["front_end"] <= 1
