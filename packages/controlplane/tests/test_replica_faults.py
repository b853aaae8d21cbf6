"""Replicas as processes: killed, paused, cut off one way, slow, their disks lost."""

from __future__ import annotations

import json
import resource
import signal
from contextlib import suppress
from pathlib import Path

import pytest

from walnutpost.consensus import Members
from walnutpost.controlplane import ControlPlaneUnavailableError
from walnutpost.fleet import FRONT_END, DisruptionBudget, Fleet, RegisterMember, RequestPermit, SetBudgets
from walnutpost.testsupport.controlplane.replica_processes import (
    NAMES,
    SECOND,
    ReplicaProcesses,
    create_fleet,
    play,
)


def test_leader_that_is_killed_during_a_grant_leaves_one_permit(tmp_path: Path) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        create_fleet(cluster)
        leader = cluster.leader()
        for (_, dialled), link in cluster.network.links.items():
            if dialled == leader:
                link.forward.block()  # its followers' messages don't arrive: it can't answer
        task = cluster.loop.spawn(
            lambda: cluster.client(timeout_us=30 * SECOND).command(
                "ask-1", RequestPermit("m0", "agent", "test")
            )
        )
        cluster.loop.sleep(50_000)
        cluster.kill(leader)
        cluster.network.heal()
        answer = task.join()
        assert answer.ok
        assert cluster.client().command("ask-1", RequestPermit("m0", "agent", "test")) == answer
        assert (
            "1 of 1 front_ends are out: m0"
            in cluster.client().command("ask-2", RequestPermit("m1", "b", "t")).error
        )
        cluster.start(leader)
        cluster.wait_until(lambda: cluster.address_of(leader))
        newest = cluster.client().state()[0].index
        cluster.wait_until(lambda: cluster.client().local_status(leader).index >= newest)

    play(tmp_path, script)


def test_leader_that_cannot_send_is_replaced_and_its_stale_state_is_not_returned(tmp_path: Path) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        create_fleet(cluster)
        old = cluster.leader()
        cluster.network.mute(old)
        others = tuple(n for n in NAMES if n != old)
        new = cluster.leader(*others)
        assert new != old
        assert cluster.client(*others).command("x", RequestPermit("m0", "agent", "test")).ok
        with pytest.raises(ControlPlaneUnavailableError):
            cluster.client(old, timeout_us=SECOND).state()
        cluster.network.heal()
        cluster.network.cut(new)  # and then the next one, both ways
        last = cluster.leader(*(n for n in NAMES if n != new))
        client = cluster.client(last)
        assert not client.command("y", RequestPermit("m0", "other", "test")).ok
        assert cluster.client().local_status(new).index < client.state()[0].index
        cluster.network.heal()
        cluster.wait_until(lambda: cluster.client().local_status(new).index >= client.state()[0].index)

    play(tmp_path, script)


def test_command_without_a_quorum_is_not_answered_and_is_committed_once_there_is_one(tmp_path: Path) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        create_fleet(cluster)
        leader = cluster.leader()
        others = [n for n in NAMES if n != leader]
        for name in others:
            cluster.signal(name, signal.SIGSTOP)
        with pytest.raises(ControlPlaneUnavailableError):
            cluster.client(leader, timeout_us=3 * SECOND).command(
                "lost", RequestPermit("m0", "agent", "test")
            )
        for name in others:
            cluster.signal(name, signal.SIGCONT)
        answer = cluster.client().command("lost", RequestPermit("m0", "agent", "test"))
        assert answer.ok
        assert len(cluster.client().state()[1].state.permits) == 1

    play(tmp_path, script)


def test_replica_that_lost_its_disk_does_not_count_until_it_is_added(tmp_path: Path) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        client = create_fleet(cluster)
        for n in range(60):  # more than the log holds
            client.command(f"e{n}", RegisterMember("m9", FRONT_END, "a", str(n)))
        leader = cluster.leader()
        lost, other = (n for n in NAMES if n != leader)
        cluster.kill(lost)
        for file in (tmp_path / "keepers").glob(f"{lost}.db*"):
            file.unlink()
        cluster.start(lost)
        cluster.wait_until(lambda: cluster.address_of(lost))
        replica = cluster.replica_id(lost)
        assert replica.startswith(f"{lost}#")
        cluster.kill(other)
        with pytest.raises(ControlPlaneUnavailableError):
            cluster.client(leader, lost, timeout_us=3 * SECOND).state()
        cluster.start(other)
        cluster.wait_until(lambda: cluster.address_of(other))
        client = cluster.client()
        client.state()
        rest = tuple(n for n in NAMES if n != lost)
        for n, members in enumerate(
            (Members(NAMES, (replica,)), Members((*NAMES, replica)), Members((*rest, replica)))
        ):
            cluster.wait_until(lambda m=members, n=n: client.change_members(f"c{n}", m).ok)  # type: ignore[misc]
        newest = client.state()[0].index
        cluster.wait_until(lambda: cluster.client().local_status(lost).index >= newest)
        cluster.kill(other)
        view, fleet = cluster.client(leader, lost).state()
        assert view.index >= newest
        assert fleet.state.members["m9"].incarnation == "59"

    play(tmp_path, script)


def test_slow_links_and_a_break_within_a_message_only_delay_commands(tmp_path: Path) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        client = create_fleet(cluster)
        cluster.leader()
        cluster.network.slow_down(40_000)
        for link in cluster.network.links.values():
            link.forward.reset_after_bytes = 700
        for n in range(10):
            assert client.command(f"s{n}", RegisterMember(f"m{n}", FRONT_END, "b", "2")).ok
        for link in cluster.network.links.values():
            link.heal()
        newest = client.state()[0].index
        cluster.wait_until(lambda: all(cluster.client().local_status(n).index >= newest for n in NAMES))
        states = {cluster.client().local_status(n).state for n in NAMES}
        assert len(states) == 1

    play(tmp_path, script)


def test_replica_with_a_full_disk_waits_for_space_and_one_with_a_torn_log_catches_up(
    tmp_path: Path,
) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        client = cluster.client()
        assert client.command("1", SetBudgets((DisruptionBudget(FRONT_END, max_unavailable=1),))).ok
        full = next(n for n in NAMES if n != cluster.leader())
        process = cluster.running[full]
        former_limits = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (4096, former_limits[1]))
        for n in range(40):
            assert client.command(f"m{n}", RegisterMember(f"f{n}", FRONT_END, "a", f"f{n}.1")).ok
        cluster.wait_until(lambda: full in client.failing_disks())
        assert f"keeper {full}: its disk fails" in cluster.operator("status")
        named = json.loads(cluster.operator("status", "--format", "json"))["failing_disks"]
        assert list(named) == [full]
        with pytest.raises(ControlPlaneUnavailableError):  # it answers nothing that it does not hold
            cluster.client(full, timeout_us=SECOND).state()
        assert not _holds(cluster, full, 40)
        assert process.poll() is None
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, former_limits)
        torn = next(n for n in NAMES if n not in (full, cluster.leader()))
        cluster.wait_until(lambda: _holds(cluster, full, 40))
        cluster.kill(torn)
        log = tmp_path / "keepers" / f"{torn}.db-wal"
        with log.open("r+b") as file:
            file.truncate(log.stat().st_size - 777)  # within the last of its pages
        cluster.start(torn)
        cluster.wait_until(lambda: cluster.address_of(torn))
        assert client.command("last", RegisterMember("f40", FRONT_END, "a", "f40.1")).ok
        cluster.wait_until(lambda: all(_holds(cluster, name, 41) for name in NAMES))
        histories = [cluster.client(name).history(name, 0, 1000) for name in NAMES]
        last = {h.entries[-1] for h in histories}
        assert len(last) == 1
        assert max(len(h.entries) for h in histories) > 41
        newest = last.pop().index
        assert newest >= 43  # each election on the way has added an entry
        for history in histories:  # one that received a snapshot returns where its history begins
            assert [entry.index for entry in history.entries] == list(range(history.first_index, newest + 1))

    play(tmp_path, script)


def _holds(cluster: ReplicaProcesses, name: str, members: int) -> bool:
    if cluster.address_of(name) is None:
        return False
    with suppress(ControlPlaneUnavailableError):
        return len(Fleet.restore(cluster.client(name).local_status(name).state).state.members) == members
    return False
