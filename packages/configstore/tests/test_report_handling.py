"""Reports that are missed, old, duplicated or inconsistent."""

from __future__ import annotations

from typing import Any

import pytest

from walnutpost.configstore.fleet_progress import FleetProgress
from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.configstore.messages import (
    MemberProgress,
    ProgressSummary,
    ProgressSummaryResponse,
)
from walnutpost.configstore.report_handler import RELAY_GONE_AFTER_US
from walnutpost.testsupport.configstore.progress_fixtures import FakeStore, Fleet, ask, tell


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
