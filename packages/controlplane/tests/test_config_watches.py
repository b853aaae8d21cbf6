"""Watches of the configuration at replicas as processes: a killed leader, a lost disk, a replica cut off."""

from __future__ import annotations

from pathlib import Path

import pytest

from walnutpost.consensus import Members
from walnutpost.controlplane import ControlPlaneUnavailableError
from walnutpost.testsupport.controlplane.config_harness import CheckedProcesses, ReplicaWatcher, entries, op
from walnutpost.testsupport.controlplane.replica_processes import NAMES, SECOND, ReplicaProcesses, play


def test_watch_at_a_follower_continues_after_the_leader_was_killed(tmp_path: Path) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        committed, _ = cluster.client().submit_change_set("1", [op("limit/a", "1")])
        leader = cluster.leader()
        first, second = (name for name in NAMES if name != leader)
        watcher = ReplicaWatcher(cluster, first)
        watcher.reach(committed.index)  # a state that was confirmed within a second may still lack it
        watcher.become_fresh()
        revision = watcher.state.store.revision
        assert revision > 0
        assert watcher.state.store.entries["limit/a"].value == b"1"
        task = cluster.loop.spawn(lambda: watcher.ask(wait_timeout_us=10 * SECOND))
        cluster.loop.sleep(100_000)
        cluster.kill(leader)
        answer, _ = cluster.client(first, second, timeout_us=30 * SECOND).submit_change_set(
            "2", [op("limit/a", "2")]
        )
        page = task.join()
        if page is None:  # the election took longer than the wait timeout
            page = watcher.ask(wait_timeout_us=10 * SECOND)
        assert page is not None
        assert [change.revision for change in page.changes] == [answer.index]
        assert not page.is_snapshot
        assert watcher.state.store.entries["limit/a"].value == b"2"
        task = cluster.loop.spawn(lambda: watcher.ask(wait_timeout_us=10 * SECOND))
        cluster.loop.sleep(100_000)
        answer, _ = cluster.client(first, second).submit_change_set("waiting", [op("function/f", "x")])
        later = ReplicaWatcher(cluster, first)
        later.reach(answer.index)
        assert later.ask(wait_timeout_us=2 * SECOND) is None
        assert task.is_done, "the request waited, and the change woke it"
        page = task.join()
        assert page is not None
        assert page.revision == answer.index
        # At another replica it continues where it is.
        watcher.name = second
        answer, _ = cluster.client(first, second).submit_change_set("3", [op("limit/a", "3")])
        watcher.reach(answer.index)
        watcher.become_fresh()

    play(tmp_path, script, CheckedProcesses)


def restart_without_disk(cluster: ReplicaProcesses, name: str, folder: Path) -> None:
    """Restart a replica with an empty disk, behind a slow link."""
    cluster.kill(name)
    for file in folder.glob(f"{name}.db*"):
        file.unlink()
    for (_, dialled), link in cluster.network.links.items():
        if dialled == name:
            link.forward.rate = 2_000_000
    cluster.start(name)
    cluster.wait_until(lambda: cluster.address_of(name))


def restart_all(cluster: ReplicaProcesses) -> None:
    """Kill all replicas at once, and start them with their disks."""
    for name in NAMES:
        cluster.kill(name)
    for name in NAMES:
        cluster.start(name)
    cluster.wait_until(lambda: all(cluster.address_of(name) for name in NAMES))


def test_replica_with_a_lost_disk_gets_the_configuration_over_a_slow_link_and_serves_watches(
    tmp_path: Path,
) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        client = cluster.client()
        for n in range(14):  # more than the log holds, and more than a link carries in an election's time
            ops = [op(f"function/f{n}-{m}", "x" * 16_000) for m in range(7)]
            assert client.submit_change_set(f"c{n}", ops)[0].ok
        leader = cluster.leader()
        lost = next(name for name in NAMES if name != leader)
        restart_without_disk(cluster, lost, tmp_path / "keepers")
        replica = cluster.replica_id(lost)
        watcher = ReplicaWatcher(cluster, lost)
        watcher.ask()
        assert watcher.age_us >= 10**15, "no leader confirms an empty state"
        assert not watcher.state.store.entries
        rest = tuple(name for name in NAMES if name != lost)
        client = cluster.client()
        cluster.wait_until(lambda: client.change_members("m0", Members(NAMES, (replica,))).ok)
        revision, configuration = client.entries()
        watcher.reach(revision)
        watcher.become_fresh()
        for link in cluster.network.links.values():
            link.forward.rate = 0
        for n, members in enumerate((Members((*NAMES, replica)), Members((*rest, replica)))):
            cluster.wait_until(lambda m=members, n=n: client.change_members(f"m{n + 1}", m).ok)  # type: ignore[misc]
        assert len(configuration) == 14 * 7
        assert [watcher.state.store.entries[e.key] for e in configuration] == configuration
        digests = {client.status().digest, watcher.state.store.digest}
        for name in rest:
            other = ReplicaWatcher(cluster, name)
            other.reach(revision)
            digests.add(other.state.store.digest)
        assert len(digests) == 1
        assert len(client.local_status(leader).state) < 100_000, (
            "the state of the fleet is without the configuration"
        )
        restart_all(cluster)
        cluster.leader()
        assert cluster.client().status().digest in digests

    play(tmp_path, script, CheckedProcesses)


@pytest.mark.parametrize("is_leader", [True, False])
def test_replica_that_is_cut_off_returns_its_age_and_nothing_uncommitted(
    is_leader: bool, tmp_path: Path
) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        committed, _ = cluster.client().submit_change_set("1", [op("limit/a", "1")])
        leader = cluster.leader()
        cut = leader if is_leader else next(name for name in NAMES if name != leader)
        rest = tuple(name for name in NAMES if name != cut)
        watcher = ReplicaWatcher(cluster, cut)
        watcher.reach(committed.index)
        watcher.become_fresh()
        cluster.network.cut(cut)
        cut_at_us = cluster.loop.now()
        task = cluster.loop.spawn(lambda: _try_change(cluster, cut))
        answer, _ = cluster.client(*rest, timeout_us=30 * SECOND).submit_change_set("2", [op("limit/a", "2")])
        assert answer.ok
        assert task.join() is None, "without a quorum nothing is committed"
        ages = []
        for _ in range(3):
            cluster.loop.sleep(300_000)
            asked_at_us = cluster.loop.now()
            assert watcher.ask() is None
            assert watcher.state.store.revision == committed.index
            assert watcher.age_us >= asked_at_us - cut_at_us - 100_000
            ages.append(watcher.age_us)
        assert ages[0] < ages[1] < ages[2]
        assert watcher.state.store.entries["limit/a"].value == b"1"
        cluster.network.heal()
        watcher.reach(answer.index)
        watcher.become_fresh()
        assert watcher.state.store.entries["limit/a"].value == b"2"
        assert entries(cluster) == {"limit/a": b"2"}

    play(tmp_path, script, CheckedProcesses)


def _try_change(cluster: ReplicaProcesses, name: str) -> object:
    try:
        return cluster.client(name, timeout_us=2 * SECOND).submit_change_set("lost", [op("limit/a", "7")])
    except ControlPlaneUnavailableError:
        return None
