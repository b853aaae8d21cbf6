"""Propagation latency, and the status for operators."""

from __future__ import annotations

from walnutpost.configstore.fleet_progress import FleetProgress
from walnutpost.configstore.lag_tracker import LAG_GRACE_US
from walnutpost.configstore.member_registry import SECOND_US
from walnutpost.testsupport.configstore.progress_fixtures import FakeStore, Fleet, ask


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
