"""A configuration store as processes, with faults between them.

Replicas, relays, front ends under calls and simulated members: who is reported to act on a revision has
written so before, and all end with the same settings.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from walnutpost.faultinjection.config_faults import ConfigFault, ConfigFaultKind
from walnutpost.faultinjection.config_run import (
    ConfigOutcome,
    ConfigScenario,
    play_config,
    random_config_scenario,
)
from walnutpost.faultinjection.simulated_members import MemberFault

WATCH_TIMEOUT_S = 3.0  # for which a watch request waits where nothing changes


def play_without_violations(folder: Path, scenario: ConfigScenario) -> ConfigOutcome:
    """No rule broken, no call lost or rejected, and at the end all act on what is agreed on."""
    out = play_config(scenario, folder)
    assert not out.violations and not out.lost_calls, (out.violations, out.lost_calls)
    status = out.status
    assert status is not None
    assert status.min_applied_revision == status.revision
    assert not status.lagging
    assert out.changes > len(scenario.faults)
    assert out.calls > 10
    assert out.status_checks
    return out


def test_relays_and_leader_lost_amid_changes_and_snapshots_leave_all_agreed(tmp_path: Path) -> None:
    """Members that start anew load a snapshot of several pages while their relays' links are torn."""
    faults = (
        ConfigFault(ConfigFaultKind.RELAY_KILLED, "r1"),
        ConfigFault(ConfigFaultKind.LEADER_KILLED),
        ConfigFault(ConfigFaultKind.ALL_RELAYS_KILLED, for_s=1.5),
        ConfigFault(ConfigFaultKind.MEMBERS_RESTARTED, for_s=0.3),
        ConfigFault(ConfigFaultKind.LINKS_TORN),
    )
    play_without_violations(tmp_path, ConfigScenario(faults, padding=1200))


def test_regions_cut_off_and_a_disk_lost_leave_all_agreed_and_quiet(tmp_path: Path) -> None:
    faults = (
        ConfigFault(ConfigFaultKind.REGION_CUT, "one"),
        ConfigFault(ConfigFaultKind.REGION_MUTE, "two"),
        ConfigFault(ConfigFaultKind.REGION_DEAF, "three"),
        ConfigFault(ConfigFaultKind.DISK_LOST, "k2", for_s=0.5),
    )
    out = play_without_violations(tmp_path, ConfigScenario(faults, quiet_s=7))
    limit = out.quiet_s / WATCH_TIMEOUT_S + 1
    assert out.quiet_requests <= limit, "one request a timeout, where nothing changes"


@pytest.mark.parametrize("seed", [4])
def test_random_faults_leave_all_agreed(tmp_path: Path, seed: int) -> None:
    play_without_violations(tmp_path, random_config_scenario(seed))


def test_rules_that_members_break_on_purpose_are_found(tmp_path: Path) -> None:
    member_faults = {"h1-0": MemberFault.PARTIAL_CHANGE, "h2-0": MemberFault.EARLY_REPORT}
    faults = (ConfigFault(ConfigFaultKind.RELAY_KILLED, "r2", for_s=0.5),)
    out = play_config(ConfigScenario(faults, simulated_members=8, member_faults=member_faults), tmp_path)
    found = out.violations
    assert any(line.startswith("h1-0: acted on a part of a change set") for line in found), found
    assert any("told to be in force, h2-0 acts on" in line for line in found), found
    assert all("h1-0" in line or "h2-0" in line for line in found), found
