"""What a leader claims of the registered members."""

from __future__ import annotations

from walnutpost.configstore.fleet_progress import FleetProgress
from walnutpost.configstore.lag_tracker import LAG_GRACE_US
from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.configstore.messages import (
    MemberProgress,
    ProgressSummary,
)
from walnutpost.testsupport.configstore.progress_fixtures import FakeStore, Fleet, ask, tell


def test_min_applied_revision_is_over_all_registered_members() -> None:
    leader, registry = FleetProgress(0, 10), MemberRegistry("r1", "x")
    assert leader.min_applied_revision == 10
    leader.set_members(0, {"a": "a.1", "b": "b.1"})
    registry.observe(0, ask("a", 10))
    tell(0, registry, leader, 10)
    assert leader.min_applied_revision == 0  # b was never heard of
    registry.observe(0, ask("b", 9))
    tell(0, registry, leader, 10)
    assert leader.min_applied_revision == 9
    registry.observe(0, ask("b", 10))
    tell(0, registry, leader, 10)
    assert leader.min_applied_revision == 10


def test_a_member_reported_by_two_relays_counts_once_by_its_highest_session() -> None:
    fleet = Fleet(6, relays=2)
    old, new = fleet.relays
    fleet.leader.revision_committed(0, 11)
    fleet.ask(11, "m0000")
    new.observe(0, ask("m0000", 11, session=2))
    fleet.tell(11)
    assert fleet.leader.applied_revision("m0000", "m0000.1") == 11
    status = fleet.leader.status(0, FakeStore(11), fleet.agreed)
    assert (status.member_count, [relay[2] for relay in status.relays]) == (6, [3, 4])
    tell(0, old, fleet.leader, 11)  # what it told the old relay comes again, later than the newer word
    assert fleet.leader.applied_revision("m0000", "m0000.1") == 11


def test_a_moved_member_holds_back_its_former_relay_until_listed_or_left() -> None:
    for seen in (True, False):
        fleet = Fleet(6, relays=2)
        old, new = fleet.relays
        last = ask("m0000", 10)
        old.observe(0, last)
        fleet.leader.revision_committed(0, 11)
        fleet.ask(11, "m0000")
        new.observe(0, ask("m0000", 11, session=2))
        if seen:
            old.connection_closed(last)
        fleet.tell(11)
        assert fleet.leader.min_applied_revision == (11 if seen else 10)
        fleet.now += LAG_GRACE_US
        fleet.tell(11)
        assert fleet.leader.min_applied_revision == 11


def test_proved_revisions_of_a_process_never_decrease() -> None:
    fleet = Fleet(4, relays=2)
    a, b = fleet.relays
    whole = a.next_summary(0, 10)
    fleet.leader.handle_summary(0, whole)
    again = MemberRegistry("r0", "r0.2")  # restarted; members come back one by one, to either
    again.observe(0, ask("m0000", 4, session=2))
    tell(0, again, fleet.leader, 4)
    b.observe(0, ask("m0002", 3, session=2))
    tell(0, b, fleet.leader, 10)
    assert fleet.leader.min_applied_revision == 10
    fleet.leader.revision_committed(0, 11)
    assert fleet.leader.min_applied_revision == 10


def test_another_incarnation_starts_with_nothing_proved() -> None:
    fleet = Fleet(2)
    (relay,) = fleet.relays
    fleet.leader.set_members(0, {**fleet.agreed, "m0000": "m0000.2"})
    assert fleet.leader.min_applied_revision == 0
    assert fleet.leader.applied_revision("m0000", "m0000.1") == 0
    fleet.tell(10)
    assert fleet.leader.min_applied_revision == 0
    relay.observe(0, ask("m0000", 8, incarnation="m0000.2"))
    fleet.tell(10)
    assert fleet.leader.applied_revision("m0000", "m0000.2") == fleet.leader.min_applied_revision == 8


def test_reports_beyond_the_committed_revision_prove_nothing_later() -> None:
    """A relay that is wrong about revisions would else prove all changes to come."""
    leader = FleetProgress(0, 10)
    leader.set_members(0, {"a": "a.1", "b": "b.1"})
    joined = (MemberProgress("a", "a.1", 1, 99), MemberProgress("b", "b.1", 1, 99))
    leader.handle_summary(
        0, ProgressSummary("r1", "x", 1, 0, 99, 99, 2, joined, lagging=(MemberProgress("b", "b.1", 1, 99),))
    )
    assert (
        leader.applied_revision("a", "a.1")
        == leader.applied_revision("b", "b.1")
        == leader.min_applied_revision
        == 10
    )
    leader.revision_committed(0, 11)
    assert (
        leader.applied_revision("a", "a.1")
        == leader.applied_revision("b", "b.1")
        == leader.min_applied_revision
        == 10
    )
