"""What a leader may claim of its members by relays' reports."""

from __future__ import annotations

import sys
from types import FrameType
from typing import Any

import pytest

from walnutpost.configstore import report_changes
from walnutpost.configstore.fleet_progress import FleetProgress
from walnutpost.configstore.lag_tracker import LAG_GRACE_US
from walnutpost.configstore.member_registry import MEMBER_GONE_AFTER_US, SECOND_US, MemberRegistry
from walnutpost.configstore.member_state import MEMBER_SILENT_AFTER_US
from walnutpost.configstore.messages import (
    MemberProgress,
    ProgressSummary,
    ProgressSummaryResponse,
)
from walnutpost.configstore.registration_changes import RELAY_SILENT_AFTER_US
from walnutpost.configstore.report_handler import RELAY_GONE_AFTER_US
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


def test_a_missed_report_requires_a_complete_one() -> None:
    leader, registry = FleetProgress(0, 10), MemberRegistry("r1", "x")
    registry.observe(0, ask("a", 10))
    tell(0, registry, leader, 10)
    tell(0, registry, leader, 10)
    at = registry.next_summary(0, 10)
    assert leader.handle_summary(0, at) == ProgressSummaryResponse(at.number)
    missed = ProgressSummary("r1", "x", at.number + 5, at.number + 4, 10, 10, 1)
    assert leader.handle_summary(0, missed) == ProgressSummaryResponse(missed.number, needs_full_report=True)
    for other in (
        ProgressSummary("r2", "x", 9, 8, 10, 10, 1),
        ProgressSummary("r1", "y", 9, at.number, 10, 10, 1),
    ):
        assert leader.handle_summary(0, other) == ProgressSummaryResponse(9, needs_full_report=True)
    whole = ProgressSummary("r1", "x", 20, 0, 10, 10, 0)
    assert leader.handle_summary(0, whole) == ProgressSummaryResponse(20)
    before = ProgressSummary("r1", "x", 21, at.number, 10, 10, 0)  # goes on from a state before the whole
    assert leader.handle_summary(0, before) == ProgressSummaryResponse(21, needs_full_report=True)


def test_an_old_or_duplicated_report_changes_nothing() -> None:
    leader, registry = FleetProgress(0, 10), MemberRegistry("r1", "x")
    leader.set_members(0, {"a": "a.2"})
    registry.observe(0, ask("a", 5))
    old = registry.next_summary(0, 10)
    registry.handle_response(leader.handle_summary(0, old))
    registry.observe(0, ask("a", 9, incarnation="a.2"))
    new = registry.next_summary(0, 10)
    registry.handle_response(leader.handle_summary(0, new))
    for late in (old, new, old):
        assert leader.handle_summary(0, late) == ProgressSummaryResponse(new.number)
        assert leader.min_applied_revision == 9
    registry.observe(0, ask("a", 10, incarnation="a.2"))
    assert leader.handle_summary(0, registry.next_summary(0, 10)) == ProgressSummaryResponse(3)
    assert leader.min_applied_revision == 10


@pytest.mark.parametrize(
    "change",
    [
        {"member_count": 2},
        {"member_count": 0},
        {"joined": (MemberProgress("b", "b.1", 1, 9),)},
        {"joined": (MemberProgress("a", "a.1", 1, 9), MemberProgress("a", "a.2", 1, 9))},
        {"left": ("a",)},
        {"left": ("a",), "joined": (MemberProgress("a", "a.1", 1, 9),)},
        {"left": ("a",), "joined": (MemberProgress("a", "a.1", 1, 9),), "member_count": 0},
        {"left": ("a",), "member_count": 0, "lagging": (MemberProgress("a", "a.1", 1, 9),)},
        {"lagging": (MemberProgress("b", "b.1", 1, 9),)},
        {"lagging": (MemberProgress("a", "a.2", 1, 9),)},
        {"lagging": (MemberProgress("a", "a.1", 1, 9), MemberProgress("a", "a.1", 1, 9))},
        {"since_number": 0, "left": ("b",), "joined": (MemberProgress("a", "a.1", 1, 9),)},
        {"since_number": 0},
    ],
    ids=str,
)
def test_an_inconsistent_report_is_rejected_and_proves_nothing(change: dict[str, Any]) -> None:
    leader = FleetProgress(0, 10)
    leader.set_members(0, {"a": "a.1", "b": "b.1"})
    assert leader.handle_summary(
        0, ProgressSummary("r1", "x", 1, 0, 10, 5, 1, (MemberProgress("a", "a.1", 1, 5),))
    ) == ProgressSummaryResponse(1)
    fields = {
        "relay": "r1",
        "incarnation": "x",
        "number": 2,
        "since_number": 1,
        "revision": 10,
        "min_applied_revision": 9,
    }
    summary = ProgressSummary(**{**fields, "member_count": 1, **change})
    assert leader.handle_summary(0, summary) == ProgressSummaryResponse(2, needs_full_report=True)
    assert (leader.applied_revision("a", "a.1"), leader.applied_revision("b", "b.1")) == (5, 0)
    assert leader.handle_summary(0, ProgressSummary("r1", "x", 3, 1, 10, 6, 1)) == ProgressSummaryResponse(3)
    assert leader.applied_revision("a", "a.1") == 6


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


def test_propagation_latency_is_from_the_commit_to_the_last_member() -> None:
    fleet = Fleet(3)
    fleet.leader.revision_committed(SECOND_US, 11)
    fleet.leader.revision_committed(2 * SECOND_US, 12)
    fleet.leader.revision_committed(2 * SECOND_US, 12)
    assert timed(fleet) == [(11, None), (12, None)]
    fleet.now = 4 * SECOND_US
    fleet.ask(12, "m0001")
    fleet.at["m0001"].observe(fleet.now, ask("m0001", 11))
    fleet.tell(12)
    assert timed(fleet) == [(11, 3 * SECOND_US), (12, None)]
    fleet.now = 5 * SECOND_US
    fleet.ask(12)
    fleet.tell(12)
    assert timed(fleet) == [(11, 3 * SECOND_US), (12, 3 * SECOND_US)]
    for revision in range(13, 300):
        fleet.leader.revision_committed(fleet.now, revision)
    assert timed(fleet) == [(revision, None) for revision in range(200, 300)]


def timed(fleet: Fleet) -> list[tuple[int, int | None]]:
    status = fleet.leader.status(fleet.now, FakeStore(299), fleet.agreed)
    return [(change.revision, change.latency_us) for change in status.latencies]


def test_a_pending_change_completes_when_its_last_member_is_forgotten() -> None:
    fleet = Fleet(2)
    fleet.leader.revision_committed(SECOND_US, 11)
    for fleet.now in (SECOND_US, SECOND_US + LAG_GRACE_US):
        fleet.ask(11, "m0000")
        fleet.tell(11)
        assert timed(fleet) == [(11, None)]
    del fleet.agreed["m0000"]
    fleet.leader.set_members(6 * SECOND_US, fleet.agreed)
    assert timed(fleet) == [(11, 5 * SECOND_US)]


def test_without_members_each_revision_is_applied_at_once() -> None:
    leader = FleetProgress(0, 1)
    leader.revision_committed(SECOND_US, 2)
    status = leader.status(SECOND_US, FakeStore(2), {})
    assert (status.min_applied_revision, status.member_count, status.latencies[0].latency_us) == (2, 0, 0)


def test_status_lists_the_lagging_members() -> None:
    fleet = Fleet(250, relays=2)
    fleet.leader.revision_committed(0, 11)
    fleet.now = 2 * SECOND_US
    lacking = list(fleet.at)[120:]
    fleet.ask(11, *lacking)
    fleet.at["m0121"].observe(fleet.now, ask("m0121", 10, blocked_reason="no class xl"))
    fleet.agreed["m0000"] = "m0000.2"
    fleet.agreed["never"] = "never.1"
    fleet.tell(11)
    status = fleet.leader.status(3 * SECOND_US, FakeStore(11), fleet.agreed)
    assert (status.revision, status.digest, status.compacted_revision, status.entry_count) == (11, 7, 3, 2)
    assert (status.member_count, status.min_applied_revision, status.lagging_count) == (
        251,
        0,
        251,
    )  # both relays' summary are held back by some, not late yet
    first = status.lagging[0]
    assert (first.member, first.incarnation, first.applied_revision, first.relay) == (
        "m0000",
        "m0000.2",
        0,
        "",
    )
    assert first.silent_for_us is None
    assert len(status.lagging) == 100
    assert status.relays == (("r0", 11, 125, SECOND_US), ("r1", 11, 125, SECOND_US))
    fleet.now = 2 * SECOND_US + LAG_GRACE_US
    fleet.ask(11, "m0121", "m0249")
    fleet.at["m0249"].observe(fleet.now, ask("m0249", 10))
    fleet.tell(11)
    status = fleet.leader.status(fleet.now + SECOND_US, FakeStore(11), fleet.agreed)
    found = [
        (m.member, m.applied_revision, m.relay, m.blocked_reason, m.silent_for_us) for m in status.lagging
    ]
    assert found == [
        ("m0000", 0, "", "", None),
        ("m0121", 10, "r1", "no class xl", LAG_GRACE_US + SECOND_US),
        ("m0249", 10, "r1", "", SECOND_US),
        ("never", 0, "", "", None),
    ]
    assert status.lagging_count == 4


def test_status_is_of_the_members_given() -> None:
    """Even where a change of the agreed ones was not told before."""
    fleet = Fleet(2)
    assert fleet.leader.status(0, FakeStore(10), {**fleet.agreed, "late": "late.1"}).min_applied_revision == 0


def test_a_relay_gone_for_long_is_forgotten_and_its_proofs_stay() -> None:
    fleet = Fleet(4, relays=2)
    fleet.now = RELAY_GONE_AFTER_US
    tell(fleet.now, fleet.relays[1], fleet.leader, 10)
    status = fleet.leader.status(fleet.now, FakeStore(10), fleet.agreed)
    assert [relay[0] for relay in status.relays] == ["r1"]
    assert status.min_applied_revision == 10
    fleet.leader.revision_committed(fleet.now, 11)
    status = fleet.leader.status(fleet.now, FakeStore(11), fleet.agreed)
    assert [(m.member, m.relay, m.silent_for_us) for m in status.lagging][:1] == [
        ("m0000", "r0", RELAY_GONE_AFTER_US)
    ]


def test_handling_a_report_costs_the_same_for_any_number_of_members() -> None:
    """Counted in steps of the interpreter, at rest and as a change comes into force."""
    steps: dict[str, list[int]] = {"rest": [], "half": [], "done": []}
    for members in (100, 300, 900, 1800):
        fleet = Fleet(members, relays=5)
        relay = fleet.relays[0]
        relay.handle_response(ProgressSummaryResponse(0))
        steps["rest"].append(steps_of(fleet.leader, relay.next_summary(SECOND_US, 10)))
        fleet.leader.revision_committed(SECOND_US, 11)
        for name in list(fleet.at)[: members // 2]:
            fleet.at[name].observe(SECOND_US, ask(name, 11))
        steps["half"].append(steps_of(fleet.leader, relay.next_summary(SECOND_US, 11)))
        fleet.ask(11)
        steps["done"].append(steps_of(fleet.leader, relay.next_summary(SECOND_US, 11)))
        for other in fleet.relays[1:]:
            tell(SECOND_US, other, fleet.leader, 11)
        assert fleet.leader.min_applied_revision == 11
    assert all(len(set(found)) == 1 for found in steps.values()), steps


def test_sets_that_were_large_are_copied_before_iteration() -> None:
    """Steps don't show it: a set keeps its table as members leave it, and a walk goes over all of that."""
    sizes = []
    for members in (100, 1800):
        fleet = Fleet(members, relays=2)
        fleet.agreed = {name: f"{name}.2" for name in fleet.at}
        for name, relay in fleet.at.items():
            relay.observe(0, ask(name, 10, incarnation=f"{name}.2"))
        fleet.tell(10)
        assert len(fleet.leader.unregistered_members(0)) == members
        fleet.leader.set_members(0, fleet.agreed)
        fleet.tell(10)
        assert fleet.leader.min_applied_revision == 10
        leader = FleetProgress(0, 10)  # another, which knows the members before it hears of them
        leader.set_members(0, fleet.agreed)
        for relay in fleet.relays:
            tell(0, relay, leader, 10)
        for found in (fleet.leader, leader):
            walked = [
                found._fleet.unreported,
                found._registrations._mismatched,
                *(relay.individual for relay in found._fleet.relays.values()),
            ]
            sizes.append([sys.getsizeof(each) for each in walked])
    assert sizes == [[sys.getsizeof(set())] * 4] * 4


def test_a_restarted_relay_with_less_progress_is_handled_as_cheaply() -> None:
    steps = []
    for members in (100, 400):
        fleet = Fleet(members)
        relay = MemberRegistry("r0", "r0.2")
        fleet.agreed = {name: f"{name}.2" for name in fleet.at}
        fleet.leader.set_members(0, fleet.agreed)
        for name in fleet.at:
            relay.observe(0, ask(name, 4, incarnation=f"{name}.2"))
        tell(0, relay, fleet.leader, 10)
        steps.append(steps_of(fleet.leader, relay.next_summary(0, 10)))
        assert fleet.leader.min_applied_revision == 4
    assert len(set(steps)) == 1, steps


def steps_of(leader: FleetProgress, summary: ProgressSummary) -> int:
    """How many instructions of ours it takes to take a report."""
    count = 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        leader.handle_summary(SECOND_US, summary)
    finally:
        sys.settrace(before)
    return count
