"""Reports of members' progress from relays to the leader."""

from __future__ import annotations

from itertools import pairwise

from walnutpost.configstore import (
    ApplyOutcome,
    encode,
)
from walnutpost.testsupport.relay.tier import FakeControlPlane, RelayTier, run_with_relays
from walnutpost.testsupport.watch.harness import (
    SECOND,
    put_keys,
    until,
)


def test_a_change_reaches_all_members_and_the_leader_knows_it() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        assert sorted(len(relay.registry) for relay in tier.relays.values())[0] > 0
        for n in range(5):
            loop.sleep(SECOND)
            encoded, changed_us = tier.counts("pages_encoded"), loop.now()
            revision = control_plane.change(put_keys(n, 3))
            until(loop, tier.is_applied_everywhere)
            assert loop.now() - changed_us < 3 * SECOND
            assert tier.counts("pages_encoded") - encoded == len(
                tier.relays
            )  # once at each relay, for all its members
            assert {t.revision: t.latency_us for t in control_plane.status().latencies}[revision] is not None
        assert not control_plane.status().lagging

    run_with_relays(script, 40)


def test_requests_to_the_leader_do_not_grow_with_the_members() -> None:
    """The same changes with ten and eighty members: as many requests and reports."""
    counts: list[tuple[int, int, int]] = []

    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        control_plane.loop.sleep(5 * SECOND)
        requests_before, reports_before = len(control_plane.requests), len(control_plane.reports)
        for n in range(10):
            control_plane.change(put_keys(n, 3))
            until(control_plane.loop, tier.is_applied_everywhere)
            control_plane.loop.sleep(3 * SECOND)
        size = max(len(encode(summary)) for _, summary in control_plane.reports[reports_before:])
        counts.append(
            (len(control_plane.requests) - requests_before, len(control_plane.reports) - reports_before, size)
        )

    for count in (10, 80):
        run_with_relays(script, count)
    (few_requests, few_reports, few_size), (requests, reports, size) = counts
    assert requests <= few_requests + 4, counts
    assert reports <= few_reports + 20, counts
    assert size <= few_size + 200, counts


def test_reports_are_paced_with_and_without_changes() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        loop.sleep(5 * SECOND)
        reports_before, began_us = len(control_plane.reports), loop.now()
        loop.sleep(20 * SECOND)
        report_count = len(control_plane.reports) - reports_before
        assert 16 <= report_count <= 22  # two relays, one in two seconds each
        reports_before, began_us = len(control_plane.reports), loop.now()
        for n in range(100):
            control_plane.change(put_keys(n))
            loop.sleep(SECOND // 10)
        until(loop, tier.is_applied_everywhere)
        passed_us = loop.now() - began_us
        report_times = [at for at, summary in control_plane.reports[reports_before:] if summary.relay == "r1"]
        assert len(report_times) <= passed_us // (SECOND // 4) + 1
        assert min(b - a for a, b in pairwise(report_times)) >= SECOND // 4 - 10_000

    run_with_relays(script)


def test_a_new_leader_gets_complete_reports() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        loop.sleep(5 * SECOND)
        control_plane.elect("k2")
        elected_us = loop.now()
        assert control_plane.status().min_applied_revision < control_plane.table.revision
        until(loop, tier.is_applied_everywhere)
        assert loop.now() - elected_us < 4 * SECOND
        assert any(
            summary.since_number == 0 and summary.joined
            for at, summary in control_plane.reports
            if at > elected_us
        )

    run_with_relays(script, 20)


def test_a_disconnected_member_leaves_the_report_at_once() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        member = tier.members.pop()
        name, relay = member.state.member, tier.relays[member.watcher.server]
        assert name in relay.registry
        member.task.cancel()
        disconnected_us = loop.now()
        until(loop, lambda: name not in relay.registry)
        assert loop.now() - disconnected_us < SECOND
        until(
            loop,
            lambda: name in control_plane.reports[-1][1].left or name in control_plane.reports[-2][1].left,
        )
        assert loop.now() - disconnected_us < 2 * SECOND
        control_plane.change(put_keys(1))
        loop.sleep(5 * SECOND)
        # It is registered, but no relay reports it: the leader does not assume its progress.
        assert [m.member for m in control_plane.status().lagging] == [name]
        assert control_plane.status().min_applied_revision < control_plane.table.revision

    run_with_relays(script)


def test_a_member_that_announces_its_end_is_reported_as_ended() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        member = tier.members.pop()
        member.watcher.stop()
        until(control_plane.loop, lambda: member.state.member not in control_plane.followers)
        control_plane.change(put_keys(1))
        until(control_plane.loop, tier.is_applied_everywhere)

    run_with_relays(script)


def test_a_blocked_member_is_listed_and_does_not_delay_the_others() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        blocked_member = tier.members[0]

        def mark_blocked(outcome: ApplyOutcome) -> None:
            blocked_member.outcomes.append(outcome)
            blocked_member.state.mark_blocked(blocked_member.table.revision, "no class fast here")

        blocked_member.on_outcome = mark_blocked  # type: ignore[method-assign]
        revision = control_plane.change(put_keys(1))
        others = tier.members[1:]
        until(loop, lambda: all(m.state.applied_revision == revision for m in others))
        until(loop, lambda: control_plane.status().lagging)
        until(loop, lambda: control_plane.status().lagging[0].blocked_reason)
        reports_before = control_plane.status()
        assert [(m.member, m.blocked_reason) for m in reports_before.lagging] == [
            (blocked_member.state.member, "no class fast here")
        ]
        assert reports_before.min_applied_revision == revision - 1

    run_with_relays(script)
