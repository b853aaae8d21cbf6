"""Leases of members at the leader."""

from __future__ import annotations

from walnutpost.fleet import (
    AnalysisPolicy,
    FleetMonitor,
    MarkResponsive,
    MarkUnresponsive,
    MemberLeases,
    MemberReport,
)
from walnutpost.testsupport.fleet.state_machine_harness import (
    LEASE,
    FleetHarness,
    fleet_with,
)


def test_leases_when_a_leader_is_new_mark_no_member_unresponsive_before_a_full_lease() -> None:
    members = FleetHarness(2).fleet.state.members
    leases = MemberLeases(1000, 100)
    assert leases.check(1099, members) == []
    leases.report(1099, "m0", "m0.1")
    assert leases.check(1100, members) == [MarkUnresponsive("m1", "m1.1")]
    members["m1"].unresponsive = True
    leases.report(1150, "m1", "another")  # another process under its name: the registered one is still silent
    assert leases.check(1160, members) == []
    leases.report(1170, "m1", "m1.1")
    assert leases.check(1180, members) == [MarkResponsive("m1", "m1.1")]


def test_leases_when_only_its_agent_reports_mark_a_front_end_unresponsive() -> None:
    harness = fleet_with(1, 0)
    monitor = FleetMonitor(0, LEASE, AnalysisPolicy())
    for now in range(0, 3 * LEASE, 100):
        monitor.report(now, MemberReport("f0", "f0.1"), harness.fleet.state)
    assert monitor.propose(3 * LEASE, harness.fleet.state) == [MarkUnresponsive("f0", "f0.1")]
    assert not monitor.report(3 * LEASE, MemberReport("f0", "f0.9", 4), harness.fleet.state), (
        "another process"
    )
