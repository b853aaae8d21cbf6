"""A replica whose disk fails for a while is out of service, reads back what is proven, follows again."""

from __future__ import annotations

import sqlite3
import time
from pathlib import Path
from random import Random

import pytest

from walnutpost.configstore import messages as config_messages
from walnutpost.configstore.messages import WatchRequest
from walnutpost.consensus import NOT_LEADER, Role
from walnutpost.controlplane import ControlPlaneUnavailableError, wire
from walnutpost.controlplane.disk_recovery import MIN_BACKOFF_US
from walnutpost.fleet import FRONT_END, RegisterMember, encode
from walnutpost.testsupport.controlplane.disk_simulation import NAMES, SECOND, Cluster, Disk, Fault, play

EVERY_FAULT = pytest.mark.parametrize("fault", list(Fault), ids=lambda fault: fault.name.lower())


def command_request(request_id: str) -> bytes:
    return wire.encode(
        wire.CommandRequest(request_id, encode(RegisterMember(request_id, FRONT_END, "a", "1"), 0.0))
    )


@EVERY_FAULT
def test_leader_whose_disk_fails_for_a_while_recovers_and_nothing_acknowledged_is_lost(
    tmp_path: Path, fault: Fault
) -> None:
    def script(cluster: Cluster) -> None:
        cluster.register("before")
        leader = cluster.leader()
        cluster.disks[leader].fail_span(fault, commits=1, reopenings=3)
        during = cluster.register_all(f"during-{number}" for number in range(20))
        cluster.wait_until(lambda: cluster.recoveries(leader) == 1)
        during.join()
        assert cluster.disks[leader].failures == 1
        assert [fields["attempts"] for fields in cluster.logs[leader].fields("disk_recovered")] == [4]
        assert len(cluster.logs[leader].fields("disk_failed")) == 1
        cluster.check()
        assert not cluster.lost

    play(tmp_path, script)


@EVERY_FAULT
def test_all_three_replicas_recover_after_failing_at_once(tmp_path: Path, fault: Fault) -> None:
    def script(cluster: Cluster) -> None:
        for number in range(5):
            cluster.register(f"before-{number}")
        for disk in cluster.disks.values():
            disk.commit_fault = lambda _: fault
        during = cluster.register_all(["during"])
        cluster.wait_until(lambda: all(disk.failures for disk in cluster.disks.values()))
        for disk in cluster.disks.values():
            disk.reopen_blocked = True
        with pytest.raises(ControlPlaneUnavailableError):
            cluster.client(timeout_us=SECOND).state()
        for disk in cluster.disks.values():
            disk.heal()
        during.join()
        cluster.check()
        assert not cluster.lost
        assert not cluster.client().failing_disks()

    play(tmp_path, script)


def test_replica_whose_disk_fails_answers_at_once_with_an_unknown_outcome_or_that_it_does_not_lead(
    tmp_path: Path,
) -> None:
    def script(cluster: Cluster) -> None:
        cluster.register("before")
        leader = cluster.leader()
        disk, replica = cluster.disks[leader], cluster.replicas[leader]
        store = replica.fleet.config_store
        request = config_messages.encode(
            WatchRequest("", "", 1, store.revision, 0, store.digest, 10 * SECOND)
        )
        watcher = cluster.loop.spawn(lambda: cluster.post(leader, config_messages.WATCH_PATH, request))
        cluster.wait_until(lambda: replica.watches.waiting)
        disk.fail_span(Fault.UNSYNCED, commits=1)
        disk.reopen_blocked = True
        response = cluster.post(leader, wire.COMMANDS_PATH, command_request("during"))
        unknown = wire.decode(response.body, wire.CommandReply)
        assert not unknown.outcome_known
        assert "its disk failed" in unknown.reason
        assert watcher.join().status == 503, "sent to another replica, which has a store to serve"
        response = cluster.post(leader, wire.COMMANDS_PATH, command_request("later"))
        rejected = wire.decode(response.body, wire.CommandReply)
        assert rejected.outcome_known
        assert rejected.reason == NOT_LEADER
        assert not rejected.leader
        status = cluster.client().local_status(leader)
        assert isinstance(status.disk_failure, str)
        assert "disk I/O error" in status.disk_failure
        assert not status.leader
        assert set(cluster.client().failing_disks()) == {leader}
        others = [name for name in NAMES if name != leader]
        cluster.wait_until(lambda: any(cluster.replicas[name].raft.role is Role.LEADER for name in others))
        votes = {term: set(voted) for term, voted in replica.votes.items()}
        cluster.register("without it")
        assert replica.votes == votes
        assert not cluster.recoveries(leader)
        disk.heal()
        cluster.wait_until(lambda: cluster.recoveries(leader) == 1)
        cluster.check()

    play(tmp_path, script)


def test_replica_uses_nothing_that_it_read_back_before_a_sync_has_proven_it(tmp_path: Path) -> None:
    """The commit is visible in the opened file, and is not on the disk."""

    def script(cluster: Cluster) -> None:
        cluster.register("before")
        follower = next(name for name in NAMES if name != cluster.leader())
        disk = cluster.disks[follower]
        disk.fail_span(Fault.UNSYNCED, commits=1)
        cluster.register("during")
        cluster.wait_until(lambda: cluster.recoveries(follower) == 1)
        (loaded, proven) = disk.read_back[0]
        assert any(entry.id == "during" for entry in loaded.entries), "the fault has not exposed it"
        assert proven == loaded
        cluster.check()

    play(tmp_path, script)


def _garbage(path: Path) -> None:
    path.write_bytes(b"no such format" * 1000)


def _emptied(path: Path) -> None:
    path.unlink(missing_ok=True)


def _less_than_acknowledged(path: Path) -> None:
    with sqlite3.connect(path) as db:
        db.execute("delete from entries where place = (select max(place) from entries)")
        db.execute("delete from entries where place = (select max(place) from entries)")
    db.close()


def _vote_forgotten(path: Path) -> None:
    with sqlite3.connect(path) as db:
        db.execute("update replica set term = term - 1, voted = ''")
    db.close()


@pytest.mark.parametrize("damage", [_garbage, _emptied, _less_than_acknowledged, _vote_forgotten])
def test_state_that_cannot_be_read_back_is_a_lost_disk(tmp_path: Path, damage: object) -> None:
    def script(cluster: Cluster) -> None:
        for number in range(4):
            cluster.register(f"before-{number}")
        follower = next(name for name in NAMES if name != cluster.leader())
        disk = cluster.disks[follower]

        def before_reopen(path: Path) -> None:
            for side in ("-wal", "-shm"):
                Path(f"{path}{side}").unlink(missing_ok=True)
            damage(path)  # type: ignore[operator]

        with sqlite3.connect(tmp_path / f"{follower}.db") as db:  # the main file holds all
            db.execute("pragma wal_checkpoint(truncate)")
        db.close()
        disk.before_reopen = before_reopen
        disk.fail_span(Fault.REFUSED, commits=1)
        cluster.register("during")
        cluster.wait_until(lambda: follower in cluster.lost)
        assert cluster.replicas[follower].has_ended
        assert not cluster.recoveries(follower)
        assert len(cluster.logs[follower].fields("disk_lost")) == 1
        cluster.check([name for name in NAMES if name != follower])

    play(tmp_path, script)


@pytest.mark.parametrize("seed", range(6))
def test_random_write_failures_lose_nothing_acknowledged_and_cause_no_second_vote(
    tmp_path: Path, seed: int
) -> None:
    def script(cluster: Cluster) -> None:
        rng = Random(seed)

        def at_random(_: int) -> Fault | None:
            return rng.choice(list(Fault)) if rng.random() < 0.1 else None

        for disk in cluster.disks.values():
            disk.commit_fault = at_random
        commands = cluster.register_all(f"m{number}" for number in range(60))
        cluster.wait_until(
            lambda: sum(disk.failures for disk in cluster.disks.values()) >= 8 or commands.is_done
        )
        for disk in cluster.disks.values():
            disk.heal()
        commands.join()
        cluster.wait_until(cluster.in_service)
        cluster.check()
        assert not cluster.lost
        assert sum(disk.failures for disk in cluster.disks.values()) > 0

    play(tmp_path, script, seed)


def test_disk_that_keeps_failing_is_retried_with_backoff(tmp_path: Path) -> None:
    def script(cluster: Cluster) -> None:
        cluster.register("before")
        follower = next(name for name in NAMES if name != cluster.leader())
        disk: Disk = cluster.disks[follower]
        disk.reopen_blocked = True
        disk.fail_span(Fault.REFUSED, commits=1)
        disk.reopen_blocked = True
        opened_at_s: list[float] = []
        disk.before_reopen = lambda _: opened_at_s.append(time.monotonic())
        cluster.register("during")
        cluster.wait_until(lambda: len(opened_at_s) >= 5)
        assert opened_at_s[4] - opened_at_s[3] > 10 * MIN_BACKOFF_US / SECOND
        disk.heal()
        cluster.wait_until(lambda: cluster.recoveries(follower) == 1)
        cluster.check()

    play(tmp_path, script)
