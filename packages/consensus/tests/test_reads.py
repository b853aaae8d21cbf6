"""Linearizable reads."""

from __future__ import annotations

from walnutpost.consensus import Role, Tick
from walnutpost.testsupport.consensus.cluster_simulation import TIMING, Cluster

THREE = ("a", "b", "c")


def test_isolated_leader_answers_no_read_and_steps_down() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.request_read("a")
    cluster.settle("a")
    assert not cluster.ready
    cluster.elect("b", "b", "c")
    cluster.propose("b")
    cluster.settle("b", "c")
    cluster.request_read("b")
    cluster.settle("b", "c")
    assert [ready.index for ready in cluster.ready] == [max(cluster.committed)]
    cluster.now_us += TIMING.election_timeout_us
    cluster.feed("a", Tick())
    assert cluster.raft("a").role is Role.FOLLOWER
    assert [rejected.reason for rejected in cluster.rejected] == ["no longer the leader"]
