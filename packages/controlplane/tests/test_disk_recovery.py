"""A replica whose disk fails for a while stops, reads back what a sync has proven, and comes back as a
follower."""

from __future__ import annotations

import sqlite3
from pathlib import Path
from random import Random

import pytest

from disk_rig import NAMES, SECOND, Cluster, Disk, Fault, play
from walnutpost.configstore import messages as table
from walnutpost.configstore.messages import WatchRequest
from walnutpost.consensus import NOT_LEADER, Role
from walnutpost.controlplane import NoAnswer, wire
from walnutpost.fleet import FRONT_END, RegisterMember, encode

EVERY_FAULT = pytest.mark.parametrize("fault", list(Fault), ids=lambda fault: fault.name.lower())


def order(id: str) -> bytes:
    return wire.encode(wire.Order(id, encode(RegisterMember(id, FRONT_END, "a", "1"), 0.0)))


@EVERY_FAULT
def test_a_leader_whose_disk_fails_for_a_while_comes_back_and_nothing_acknowledged_is_lost(
    tmp_path: Path, fault: Fault
) -> None:
    def script(cluster: Cluster) -> None:
        cluster.enter("before")
        leader = cluster.leader()
        cluster.disks[leader].fail_span(fault, commits=1, reopenings=3)
        during = cluster.enter_all(f"during-{number}" for number in range(20))
        cluster.until(lambda: cluster.recoveries(leader) == 1)
        during.join()
        assert cluster.disks[leader].failures == 1
        assert [fields["attempts"] for fields in cluster.logs[leader].fields("disk_recovered")] == [4]
        assert len(cluster.logs[leader].fields("disk_failed")) == 1
        cluster.check()
        assert not cluster.lost

    play(tmp_path, script)


@EVERY_FAULT
def test_all_three_fail_at_once_and_come_back(tmp_path: Path, fault: Fault) -> None:
    def script(cluster: Cluster) -> None:
        for number in range(5):
            cluster.enter(f"before-{number}")
        for disk in cluster.disks.values():
            disk.commit_fault = lambda _: fault
        during = cluster.enter_all(["during"])
        cluster.until(lambda: all(disk.failures for disk in cluster.disks.values()))
        for disk in cluster.disks.values():
            disk.reopen_blocked = True
        with pytest.raises(NoAnswer):
            cluster.client(patience=SECOND).state()
        for disk in cluster.disks.values():
            disk.heal()
        during.join()
        cluster.check()
        assert not cluster.lost and not cluster.client().failing_disks()

    play(tmp_path, script)


def test_while_its_disk_fails_a_replica_answers_at_once_that_it_does_not_know_or_does_not_lead(
    tmp_path: Path,
) -> None:
    def script(cluster: Cluster) -> None:
        cluster.enter("before")
        leader = cluster.leader()
        disk, keeper = cluster.disks[leader], cluster.keepers[leader]
        held = keeper.fleet.table
        question = table.encode(WatchRequest("", "", 1, held.revision, 0, held.digest, 10 * SECOND))
        watcher = cluster.loop.spawn(lambda: cluster.post(leader, table.WATCH_PATH, question))
        cluster.until(lambda: keeper.watches.waiting)
        disk.fail_span(Fault.UNSYNCED, commits=1)
        disk.reopen_blocked = True
        unknown = wire.decode(cluster.post(leader, wire.COMMANDS, order("during")).body, wire.Told)
        assert not unknown.sure and "its disk failed" in unknown.why
        assert watcher.join().status == 503, "sent to another, which has a table to tell of"
        refused = wire.decode(cluster.post(leader, wire.COMMANDS, order("later")).body, wire.Told)
        assert refused.sure and refused.why == NOT_LEADER and not refused.leader
        told = cluster.client().here(leader)
        assert isinstance(told.disk, str) and "disk I/O error" in told.disk and not told.leader
        assert set(cluster.client().failing_disks()) == {leader}
        others = [name for name in NAMES if name != leader]
        cluster.until(lambda: any(cluster.keepers[name].raft.role is Role.LEADER for name in others))
        sent = {term: set(voted) for term, voted in keeper.votes.items()}
        cluster.enter("without it")
        assert keeper.votes == sent and not cluster.recoveries(leader)
        disk.heal()
        cluster.until(lambda: cluster.recoveries(leader) == 1)
        cluster.check()

    play(tmp_path, script)


def test_a_replica_acts_on_nothing_that_it_read_back_before_a_sync_has_proven_it(tmp_path: Path) -> None:
    """The commit shows in the opened file, and is not on the disk."""

    def script(cluster: Cluster) -> None:
        cluster.enter("before")
        follower = next(name for name in NAMES if name != cluster.leader())
        disk = cluster.disks[follower]
        disk.fail_span(Fault.UNSYNCED, commits=1)
        cluster.enter("during")
        cluster.until(lambda: cluster.recoveries(follower) == 1)
        (acted_on, proven) = disk.read_back[0]
        assert any(entry.id == "during" for entry in acted_on.entries), "the fault has not shown it"
        assert proven == acted_on
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
def test_a_state_that_cannot_be_read_back_is_a_lost_disk(tmp_path: Path, damage: object) -> None:
    def script(cluster: Cluster) -> None:
        for number in range(4):
            cluster.enter(f"before-{number}")
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
        cluster.enter("during")
        cluster.until(lambda: follower in cluster.lost)
        assert cluster.keepers[follower].ended and not cluster.recoveries(follower)
        assert len(cluster.logs[follower].fields("disk_lost")) == 1
        cluster.check([name for name in NAMES if name != follower])

    play(tmp_path, script)


@pytest.mark.parametrize("seed", range(6))
def test_whatever_writes_fail_nothing_acknowledged_is_lost_and_nobody_votes_twice(
    tmp_path: Path, seed: int
) -> None:
    def script(cluster: Cluster) -> None:
        rng = Random(seed)

        def at_random(_: int) -> Fault | None:
            return rng.choice(list(Fault)) if rng.random() < 0.1 else None

        for disk in cluster.disks.values():
            disk.commit_fault = at_random
        orders = cluster.enter_all(f"m{number}" for number in range(60))
        cluster.until(lambda: sum(disk.failures for disk in cluster.disks.values()) >= 8 or orders.is_done)
        for disk in cluster.disks.values():
            disk.heal()
        orders.join()
        cluster.until(cluster.in_service)
        cluster.check()
        assert not cluster.lost and sum(disk.failures for disk in cluster.disks.values()) > 0

    play(tmp_path, script, seed)


def test_a_disk_that_fails_again_and_again_is_tried_with_growing_pauses(tmp_path: Path) -> None:
    def script(cluster: Cluster) -> None:
        cluster.enter("before")
        follower = next(name for name in NAMES if name != cluster.leader())
        disk: Disk = cluster.disks[follower]
        disk.reopen_blocked = True
        disk.fail_span(Fault.REFUSED, commits=1)
        disk.reopen_blocked = True
        opened = disk.reopenings
        cluster.enter("during")
        cluster.until(lambda: disk.reopenings >= opened + 5)
        assert cluster.keepers[follower]._disk._backoff > 10 * 20_000
        disk.heal()
        cluster.until(lambda: cluster.recoveries(follower) == 1)
        cluster.check()

    play(tmp_path, script)
