"""A relay's reports of its members."""

from __future__ import annotations

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
    encode,
)
from walnutpost.testsupport.configstore.progress_fixtures import Fleet, ask, names_of, tell


def test_joins_and_leaves_are_reported_until_confirmed() -> None:
    registry = MemberRegistry("r1", "x", "127.0.0.1:7")
    registry.observe(0, ask("a", 5))
    first = registry.next_summary(0, 6)
    assert first == ProgressSummary(
        "r1", "x", 1, 0, 6, 5, 1, (MemberProgress("a", "a.1", 1, 5),), address="127.0.0.1:7"
    )
    again = registry.next_summary(SECOND_US, 6)  # the first was lost
    assert (again.number, again.since_number, names_of(again.joined)) == (2, 0, ["a"])
    registry.handle_response(ProgressSummaryResponse(2))
    registry.observe(SECOND_US, ask("b", 6))
    third = registry.next_summary(SECOND_US, 6)
    assert (third.since_number, names_of(third.joined), third.member_count) == (2, ["b"], 2)
    registry.observe(SECOND_US, ask("b", 6, is_leaving=True))
    fourth = registry.next_summary(SECOND_US, 6)  # it may know of b by the third
    assert (fourth.since_number, fourth.joined, fourth.left, fourth.member_count) == (2, (), ("b",), 1)
    registry.handle_response(ProgressSummaryResponse(4))
    fifth = registry.next_summary(SECOND_US, 6)
    assert (fifth.since_number, fifth.joined, fifth.left, fifth.member_count) == (4, (), (), 1)


def test_only_the_response_to_the_last_report_confirms_it() -> None:
    registry = MemberRegistry("r1", "x")
    registry.observe(0, ask("a", 5))
    registry.next_summary(0, 5)
    registry.observe(0, ask("b", 5))
    registry.next_summary(0, 5)
    registry.handle_response(ProgressSummaryResponse(1))
    assert registry.next_summary(0, 5).since_number == 0
    registry.handle_response(ProgressSummaryResponse(3))
    registry.next_summary(0, 5)
    registry.handle_response(ProgressSummaryResponse(3, needs_full_report=True))
    assert registry.next_summary(0, 5).since_number == 3
    registry.handle_response(ProgressSummaryResponse(5, needs_full_report=True))
    assert names_of(registry.next_summary(0, 5).joined) == ["a", "b"]


def test_changes_during_a_report_are_in_the_next() -> None:
    registry = MemberRegistry("r1", "x")
    registry.observe(0, ask("a", 5))
    registry.next_summary(0, 5)
    registry.observe(0, ask("a", 0, incarnation="a.2"))
    registry.handle_response(ProgressSummaryResponse(1))
    assert registry.has_changes
    assert [s.incarnation for s in registry.next_summary(0, 5).joined] == ["a.2"]


def test_has_changes_is_cleared_by_a_report() -> None:
    registry = MemberRegistry("r1", "x")
    assert not registry.has_changes
    for question in (
        ask("a", 5),
        ask("a", 6),
        ask("a", 6, blocked_reason="why"),
        ask("a", 6, 2, blocked_reason="why"),
    ):
        registry.observe(0, question)
        assert registry.has_changes
        registry.handle_response(ProgressSummaryResponse(registry.next_summary(0, 6).number))
        assert not registry.has_changes
        registry.observe(0, question)
        assert not registry.has_changes
    registry.observe(0, ask("", 1))  # a reader, as another relay
    assert not registry.has_changes
    assert len(registry) == 1
    assert "a" in registry
    assert "" not in registry


def test_a_member_is_lagging_only_after_the_grace_time() -> None:
    registry = MemberRegistry("r1", "x")
    registry.observe(0, ask("a", 5))
    registry.observe(0, ask("b", 5))
    assert not registry.next_summary(0, 5).lagging
    for now in range(SECOND_US, SECOND_US + LAG_GRACE_US, SECOND_US // 4):
        registry.observe(now, ask("a", 6))
        registry.observe(now, ask("b", 5))
        summary = registry.next_summary(now, 6)
        assert (summary.lagging, summary.min_applied_revision) == ((), 5)
    registry.observe(now, ask("b", 5))
    summary = registry.next_summary(SECOND_US + LAG_GRACE_US, 6)
    assert names_of(summary.lagging) == ["b"]
    assert (summary.min_applied_revision, summary.member_count) == (
        6,
        2,
    )
    registry.observe(SECOND_US + LAG_GRACE_US, ask("b", 6))
    assert not registry.next_summary(SECOND_US + LAG_GRACE_US, 6).lagging


def test_a_member_that_keeps_up_with_frequent_changes_is_never_lagging() -> None:
    registry = MemberRegistry("r1", "x")
    for revision in range(1, 60):
        registry.observe(revision * SECOND_US, ask("a", max(revision - 2, 1)))
        assert not registry.next_summary(revision * SECOND_US, revision).lagging


def test_a_silent_member_is_lagging_and_then_leaves() -> None:
    registry = MemberRegistry("r1", "x")
    registry.observe(0, ask("a", 5))
    registry.observe(0, ask("b", 5))
    registry.handle_response(ProgressSummaryResponse(registry.next_summary(0, 5).number))
    registry.observe(MEMBER_SILENT_AFTER_US, ask("b", 5))
    assert not registry.next_summary(MEMBER_SILENT_AFTER_US - 1, 5).lagging
    (named,) = registry.next_summary(MEMBER_SILENT_AFTER_US, 5).lagging
    assert named == MemberProgress("a", "a.1", 1, 5, "", MEMBER_SILENT_AFTER_US)
    registry.observe(MEMBER_GONE_AFTER_US, ask("b", 5))
    assert registry.next_summary(MEMBER_GONE_AFTER_US - 1, 5).left == ()
    summary = registry.next_summary(MEMBER_GONE_AFTER_US, 5)
    assert (summary.left, summary.lagging, summary.member_count, summary.ended_processes) == (
        ("a",),
        (),
        1,
        (),
    )


def test_a_blocked_member_is_lagging_at_once_with_its_reason() -> None:
    registry = MemberRegistry("r1", "x")
    registry.observe(0, ask("a", 5, blocked_reason="no class xl"))
    (named,) = registry.next_summary(0, 6).lagging
    assert (named.blocked_reason, named.applied_revision) == ("no class xl", 5)


def test_long_blocked_reasons_are_cut_so_reports_stay_small() -> None:
    """All proofs of its relay would wait."""
    registry = MemberRegistry("r1", "x")
    for letter in "xy":  # as they join, and later
        for n in range(300):
            registry.observe(0, ask(f"m{n}", 5, blocked_reason=letter * 60_000))
        summary = registry.next_summary(0, 6)
        assert len(summary.lagging) == 100
        assert len(encode(summary)) < 100_000
    registry.handle_response(ProgressSummaryResponse(2))
    registry.observe(0, ask("m0", 5, blocked_reason="y" * 60_000))
    assert not registry.has_changes


def test_the_hundred_furthest_behind_are_listed_and_the_others_summed() -> None:
    registry = MemberRegistry("r1", "x")
    for n in range(300):
        registry.observe(0, ask(f"m{n}", 1 + n))
    registry.next_summary(0, 1000)
    summary = registry.next_summary(LAG_GRACE_US, 1000)
    assert [s.applied_revision for s in summary.lagging] == list(range(1, 101))
    assert summary.min_applied_revision == 101


def test_report_size_does_not_grow_with_the_number_of_members() -> None:
    sizes: dict[str, set[int]] = {"rest": set(), "change": set(), "done": set()}
    for members in (100, 300, 450):
        fleet = Fleet(members)
        (summary,) = fleet.tell(10)
        sizes["rest"].add(len(encode(summary)) - len(encode_count(summary.member_count)))
        fleet.leader.revision_committed(0, 11)
        fleet.now += SECOND_US
        fleet.ask(11, *list(fleet.at)[: members // 2])
        (summary,) = fleet.tell(11)
        sizes["change"].add(len(encode(summary)) - len(encode_count(summary.member_count)))
        fleet.ask(11)
        (summary,) = fleet.tell(11)
        sizes["done"].add(len(encode(summary)) - len(encode_count(summary.member_count)))
        assert fleet.leader.min_applied_revision == 11
    assert all(len(found) == 1 and max(found) < 60 for found in sizes.values()), sizes


def encode_count(count: int) -> bytes:
    return encode(ProgressSummaryResponse(count))


def test_a_complete_report_in_pages_covers_the_members_reported_so_far() -> None:
    registry, leader = MemberRegistry("r1", "x"), FleetProgress(0, 10)
    for n in range(1800):
        registry.observe(0, ask(f"m{n}", 10 if n < 500 else 4))
    leader.set_members(0, {f"m{n}": f"m{n}.1" for n in range(1800)})
    told = tell(0, registry, leader, 10)
    assert [len(s.joined) for s in told] == [500, 500, 500, 300]
    assert [s.member_count for s in told] == [500, 1000, 1500, 1800]
    assert [s.min_applied_revision for s in told] == [10, 4, 4, 4]
    assert all(len(s.lagging) <= 100 for s in told)
    assert leader.min_applied_revision == 4
    assert leader.applied_revision("m0", "m0.1") == 10


def test_more_restarts_than_a_report_holds_make_it_complete() -> None:
    """The sum would else speak for processes that have ended, until a later page names them."""
    fleet = Fleet(700)
    for name, registry in fleet.at.items():
        registry.observe(0, ask(name, 10, incarnation=f"{name}.2"))
    (relay,) = fleet.relays
    summary = relay.next_summary(0, 10)
    assert (summary.since_number, summary.member_count, len(summary.joined)) == (0, 500, 500)
    relay.handle_response(fleet.leader.handle_summary(0, summary))
    fleet.tell(10)
    assert len(fleet.leader.unregistered_members(0)) == 700
    assert fleet.leader.min_applied_revision == 10


def test_a_member_that_left_between_pages_is_reported_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whom the leader may know, by a report whose answer was lost, comes before those that it can't know."""
    monkeypatch.setattr(report_changes, "MAX_CHANGES_PER_REPORT", 2)
    registry, leader = MemberRegistry("r1", "x"), FleetProgress(0, 20)
    leader.set_members(0, {"d": "d.1"})
    for name in ("a", "b"):
        registry.observe(0, ask(name, 5))
    tell(0, registry, leader, 5)
    for name in ("d", "e"):
        registry.observe(0, ask(name, 5))
    leader.handle_summary(0, registry.next_summary(0, 5))  # the answer is lost; d is known
    registry.observe(0, ask("a", 5, 2))
    registry.observe(0, ask("b", 5, 2))
    registry.observe(0, ask("d", 5, is_leaving=True))
    for name in ("a", "b", "e"):
        registry.observe(0, ask(name, 20, 2))
    assert [summary.since_number for summary in tell(0, registry, leader, 20)] == [
        0,
        3,
    ]  # none that the leader refuses
    assert leader.applied_revision("d", "d.1") == 5


def test_a_request_of_an_older_session_does_not_show_presence() -> None:
    registry = MemberRegistry("r1", "x")
    registry.observe(0, ask("a", 5, 3))
    registry.observe(4 * SECOND_US, ask("a", 4, 2))  # it was here, went away, and is back since
    registry.observe(5 * SECOND_US, ask("a", 7, 1, blocked_reason="then"))
    (named,) = registry.next_summary(MEMBER_SILENT_AFTER_US, 7).lagging
    assert named == MemberProgress("a", "a.1", 3, 7, "", MEMBER_SILENT_AFTER_US)


def test_a_request_with_a_lower_revision_takes_nothing_back() -> None:
    registry = MemberRegistry("r1", "x")
    registry.observe(0, ask("a", 5))
    registry.observe(0, ask("a", 4))
    assert registry.next_summary(0, 5).min_applied_revision == 5


def test_a_member_leaves_when_the_connection_of_its_last_request_closes() -> None:
    registry = MemberRegistry("r1", "x")
    first, again = ask("a", 5), ask("a", 5)
    registry.observe(0, first)
    registry.observe(0, again)  # on a new connection; the end of the first is seen late
    registry.connection_closed(first)
    assert "a" in registry
    registry.connection_closed(again)
    registry.connection_closed(again)
    assert "a" not in registry
    assert registry.next_summary(0, 5).ended_processes == ()


def test_a_new_member_is_lagging_and_does_not_lower_the_minimum() -> None:
    """It may load a whole state for a minute."""
    fleet = Fleet(3)
    (relay,) = fleet.relays
    relay.observe(0, ask("new", 0))
    (summary,) = fleet.tell(10)
    assert names_of(summary.lagging) == ["new"]
    assert summary.min_applied_revision == 10
    fleet.leader.revision_committed(0, 11)
    fleet.ask(11)
    fleet.tell(11)
    assert fleet.leader.min_applied_revision == 11
    fleet.leader.set_members(0, {**fleet.agreed, "new": "new.1"})
    assert fleet.leader.min_applied_revision == 0
    relay.observe(0, ask("new", 11))
    fleet.tell(11)
    assert fleet.leader.min_applied_revision == 11
    relay.observe(0, ask("last", 0))
    fleet.tell(11)
    relay.observe(0, ask("last", 11))
    fleet.tell(11)
    fleet.leader.set_members(
        0, {**fleet.agreed, "last": "last.1"}
    )  # what was told before it was agreed on holds
    assert fleet.leader.min_applied_revision == 11


def test_two_processes_of_one_name_do_not_replace_each_other_repeatedly() -> None:
    """A hand-over: the old one goes on to ask until it ends."""
    registry = MemberRegistry("r1", "x")
    registry.observe(0, ask("a", 5))
    registry.observe(SECOND_US, ask("a", 5, incarnation="a.2"))
    registry.handle_response(ProgressSummaryResponse(registry.next_summary(SECOND_US, 5).number))
    for now in range(2 * SECOND_US, 40 * SECOND_US, SECOND_US):
        registry.observe(now, ask("a", 5))
        assert not registry.has_changes
        registry.observe(now, ask("a", 5, incarnation="a.2"))
    registry.observe(now + MEMBER_SILENT_AFTER_US, ask("a", 5))  # but the one that is left counts
    assert [s.incarnation for s in registry.next_summary(now + MEMBER_SILENT_AFTER_US, 5).joined] == ["a.1"]
