"""Members to be registered or removed by what relays report."""

from __future__ import annotations

from walnutpost.configstore import report_changes
from walnutpost.configstore.member_registry import MEMBER_GONE_AFTER_US, SECOND_US, MemberRegistry
from walnutpost.configstore.member_state import MEMBER_SILENT_AFTER_US
from walnutpost.configstore.registration_changes import RELAY_SILENT_AFTER_US
from walnutpost.testsupport.configstore.progress_fixtures import Fleet, ask, tell


def test_reports_of_an_unregistered_process_prove_nothing_until_it_is_registered() -> None:
    fleet = Fleet(2)
    (relay,) = fleet.relays
    relay.observe(0, ask("m0000", 0, incarnation="m0000.2"))
    relay.observe(0, ask("new", 10))
    fleet.tell(10)
    assert fleet.leader.min_applied_revision == 10  # the agreed process of m0000 had come to it
    assert fleet.leader.unregistered_members(0) == [("m0000", "m0000.2"), ("new", "new.1")]
    fleet.leader.set_members(0, fleet.agreed | dict(fleet.leader.unregistered_members(0)))
    assert fleet.leader.unregistered_members(0) == []
    assert fleet.leader.min_applied_revision == 0


def test_a_registered_process_that_is_heard_is_not_replaced() -> None:
    fleet = Fleet(2, relays=2)
    there = fleet.relays[1]
    there.observe(0, ask("m0000", 10, incarnation="m0000.2"))
    fleet.tell(10)
    assert fleet.leader.unregistered_members(0) == []
    fleet.now = MEMBER_SILENT_AFTER_US
    fleet.ask(10, "m0000")
    there.observe(fleet.now, ask("m0000", 10, incarnation="m0000.2"))
    fleet.tell(10)
    assert fleet.leader.unregistered_members(MEMBER_SILENT_AFTER_US) == [("m0000", "m0000.2")]
    fleet.leader.set_members(0, {**fleet.agreed, "m0000": "m0000.2"})
    assert fleet.leader.unregistered_members(MEMBER_SILENT_AFTER_US) == []


def test_a_silent_relay_does_not_keep_a_process_registered() -> None:
    fleet = Fleet(2, relays=2)
    there = fleet.relays[1]
    for now in (0, RELAY_SILENT_AFTER_US):
        there.observe(now, ask("m0000", 10, incarnation="m0000.2"))
        tell(now, there, fleet.leader, 10)
        found = fleet.leader.unregistered_members(now)
        assert found == ([("m0000", "m0000.2")] if now else [])


def test_ended_processes_are_reported_until_confirmed() -> None:
    fleet = Fleet(3)
    (relay,) = fleet.relays
    relay.observe(0, ask("m0000", 10, is_leaving=True))
    relay.observe(0, ask("m0001", 10, incarnation="m0001.0", is_leaving=True))  # not the agreed process
    summary = relay.next_summary(0, 10)
    assert set(summary.ended_processes) == {("m0000", "m0000.1"), ("m0001", "m0001.0")}
    assert summary.left == ("m0000",)
    assert relay.next_summary(0, 10).ended_processes == summary.ended_processes
    fleet.tell(10)
    assert fleet.leader.ended_members() == ["m0000"]
    assert relay.next_summary(0, 10).ended_processes == ()
    assert fleet.leader.min_applied_revision == 10
    relay.observe(0, ask("m0000", 0, incarnation="m0000.2"))
    fleet.tell(10)
    assert fleet.leader.ended_members() == []
    assert fleet.leader.unregistered_members(0) == [("m0000", "m0000.2")]
    fleet.leader.set_members(0, {**fleet.agreed, "m0000": "m0000.2"})
    relay.observe(0, ask("m0000", 0, incarnation="m0000.2", is_leaving=True))
    fleet.tell(10)
    assert fleet.leader.ended_members() == ["m0000"]
    fleet.leader.set_members(0, {name: i for name, i in fleet.agreed.items() if name != "m0000"})
    assert fleet.leader.ended_members() == []
    assert fleet.leader.min_applied_revision == 10


def test_ended_processes_are_remembered_up_to_a_limit() -> None:
    registry = MemberRegistry("r1", "x")
    for n in range(report_changes.MAX_ENDED_PROCESSES + 5):
        registry.observe(0, ask("a", 1, incarnation=f"a.{n}", is_leaving=True))
    assert registry.next_summary(0, 1).ended_processes[0] == ("a", "a.5")
    assert len(registry.next_summary(0, 1).ended_processes) == report_changes.MAX_CHANGES_PER_REPORT


def test_members_without_a_report_are_absent_after_the_given_time() -> None:
    fleet = Fleet(2)
    fleet.leader.set_members(0, {**fleet.agreed, "never": "never.1"})
    for fleet.now in (5 * SECOND_US, 5 * SECOND_US + MEMBER_GONE_AFTER_US):
        fleet.ask(10, *["m0001"] * (fleet.now > 5 * SECOND_US))
        fleet.tell(10)
        assert fleet.leader.absent_members(fleet.now, MEMBER_GONE_AFTER_US + 1) == ["never"] * (
            fleet.now > MEMBER_GONE_AFTER_US
        )
    assert fleet.leader.absent_members(fleet.now, MEMBER_GONE_AFTER_US) == ["m0001", "never"]
    assert fleet.leader.min_applied_revision == 0
    assert fleet.leader.applied_revision("m0001", "m0001.1") == 10
