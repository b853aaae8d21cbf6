"""Members and relays continue elsewhere if a relay or a replica is lost."""

from __future__ import annotations

from walnutpost.testsupport.relay.tier import FakeControlPlane, RelayTier, run_with_relays
from walnutpost.testsupport.watch.harness import (
    SECOND,
    filled,
    large,
    put_keys,
    until,
)


def test_members_of_a_killed_relay_continue_at_the_other_without_a_snapshot() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        before = [(m.watcher.server, m.watcher.counts.server_changes) for m in tier.members]
        snapshots_before = sum(t.is_store_replaced for m in tier.members for t in m.outcomes)
        tier.kill("r1")
        killed_us = loop.now()
        for n in range(10):
            control_plane.change(put_keys(n))
            loop.sleep(SECOND // 5)
        until(loop, tier.is_applied_everywhere)
        assert loop.now() - killed_us < 9 * SECOND
        assert {m.watcher.server for m in tier.members} == {"r2"}
        assert sum(t.is_store_replaced for m in tier.members for t in m.outcomes) == snapshots_before
        for member, (server, failovers) in zip(tier.members, before, strict=True):
            assert member.watcher.counts.server_changes - failovers == (server == "r1")
        assert not any(m.log.count("config_stale") for m in tier.members)
        assert all(m.applied_revisions == sorted(set(m.applied_revisions)) for m in tier.members)
        assert {server for server, _ in before} == {"r1", "r2"}
        tier.start("r1")
        loop.sleep(130 * SECOND)  # and back at the preferred relay
        assert all(m.watcher.server == m.selector.preferred_relay for m in tier.members)
        assert tier.is_applied_everywhere()

    run_with_relays(script, 30, large(300))


def test_restarted_relays_send_no_snapshot_to_members_behind() -> None:
    """Changes were committed meanwhile: the members are behind the revision that the new relays load."""

    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        for name in tier.names:
            tier.kill(name)
        snapshots_before = sum(t.is_store_replaced for m in tier.members for t in m.outcomes)
        for n in range(20):
            control_plane.change(put_keys(n))
        loop.sleep(20 * SECOND)
        assert all(m.log.count("config_stale") == 1 for m in tier.members)
        assert all(m.state.applied_revision == control_plane.table.revision - 20 for m in tier.members)
        for name in tier.names:
            tier.start(name)
        began_us = loop.now()
        until(loop, tier.is_applied_everywhere)
        assert loop.now() - began_us < 9 * SECOND
        assert sum(t.is_store_replaced for m in tier.members for t in m.outcomes) == snapshots_before
        loop.sleep(SECOND)
        assert all(m.log.count("config_fresh") == 1 for m in tier.members)

    run_with_relays(script, 20, filled(30))


def test_a_replica_cut_off_from_the_others_is_left_before_members_are_stale() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        failovers = [m.watcher.counts.server_changes for m in tier.members]
        cut = tier.relays["r1"].watcher.server
        control_plane.isolated.add(cut)
        if control_plane.leader == cut:
            control_plane.elect(next(name for name in control_plane.tables if name != cut))
        until(loop, lambda: all(relay.watcher.server != cut for relay in tier.relays.values()))
        revision = control_plane.change(put_keys(1))
        until(loop, tier.is_applied_everywhere)
        loop.sleep(20 * SECOND)
        assert control_plane.tables[cut].revision < revision
        assert failovers == [m.watcher.counts.server_changes for m in tier.members]
        assert not any(m.log.count("config_stale") for m in tier.members)

    run_with_relays(script)


def test_a_relay_of_a_lost_replica_changes_to_another() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        for name, server in control_plane.servers.items():
            if name != "k3":
                server.stop_accepting()
                for stream in list(server.streams):
                    stream.reset()
        control_plane.elect("k3")
        revision = control_plane.change(put_keys(1))
        until(loop, tier.is_applied_everywhere)
        assert control_plane.status().min_applied_revision == revision
        assert {relay.watcher.server for relay in tier.relays.values()} == {"k3"}
        assert all(log.count("watch_connected") >= 1 for log in tier.logs.values())

    run_with_relays(script)


def test_stop_ends_the_relay_and_members_find_another() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop

        relay = tier.relays.pop("r1")

        def messages_of_r1() -> tuple[int, int]:
            requests = sum(request.incarnation == relay.incarnation for request in control_plane.requests)
            reports = sum(summary.relay == "r1" for _, summary in control_plane.reports)
            return requests, reports

        tier.places["r1"] = ("127.0.0.1", 1)
        relay.stop()
        messages_at_stop = messages_of_r1()
        assert all(messages_at_stop)
        control_plane.change(put_keys(1))
        until(loop, tier.is_applied_everywhere)
        loop.sleep(20 * SECOND)
        assert relay.watches.waiting == 0
        assert relay.open_connections == 0
        assert messages_of_r1() == messages_at_stop

    run_with_relays(script)
