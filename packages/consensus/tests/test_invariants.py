"""What must hold in any order of events."""

from __future__ import annotations

from random import Random

import pytest

from walnutpost.testsupport.consensus.cluster_simulation import Cluster


@pytest.mark.parametrize("seed", range(40))
def test_random_events_break_no_invariant_and_replicas_go_on_afterwards(seed: int) -> None:
    random = Random(seed)
    cluster = Cluster(("a", "b", "c"), seed, spare=("d", "e"))
    for _ in range(1500):
        cluster.step(random)
    for name in cluster.replicas:
        if cluster.replicas[name].raft is None:
            cluster.restart(name)
    committed = len(cluster.committed)
    for _ in range(40):
        cluster.settle()
        if cluster.leader:
            cluster.propose(cluster.leader)
        cluster.tick_at_deadline(cluster.first_due(tuple(cluster.replicas)))
    cluster.settle()
    assert len(cluster.committed) > committed
