"""Snapshots and compaction."""

from __future__ import annotations

from walnutpost.consensus import Tick
from walnutpost.testsupport.consensus.cluster_simulation import Cluster

THREE = ("a", "b", "c")


def test_replica_that_lacks_entries_which_the_leader_compacted_gets_the_snapshot() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.crash("c")
    for _ in range(20):
        cluster.propose("a")
    cluster.settle("a", "b")
    cluster.compact("a")
    cluster.settle("a", "b")
    a, c = cluster.replicas["a"], cluster.replicas["c"]
    assert not a.running.log.entries_after(0)
    cluster.restart("c")
    cluster.propose("a")
    cluster.settle()
    cluster.tick_at_deadline("a")
    cluster.settle()
    assert c.state == a.state
    assert len(a.state) == 22
    cluster.crash("c")
    cluster.restart("c")
    cluster.feed("c", Tick())
    assert c.applied == a.persistent.snapshot.index, "the snapshot outlives its process"
