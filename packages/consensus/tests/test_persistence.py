"""The persistence gate: nothing leaves before it is durable."""

from __future__ import annotations

from cluster_simulation import Cluster
from walnutpost.consensus import MessageReceived

THREE = ("a", "b", "c")


def test_entry_is_neither_sent_nor_acknowledged_before_it_is_durable() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.in_flight.clear()
    id = cluster.propose("a")
    assert not cluster.in_flight, "the others receive it once the leader has it on disk"
    cluster.complete_writes("a")
    sent = cluster.in_flight[:]
    cluster.in_flight.clear()
    for send in sent:
        cluster.feed(send.to, MessageReceived(send.to, send.message))
    assert not cluster.in_flight, "no answer before they have it on disk"
    cluster.settle()
    cluster.tick_at_deadline("a")
    cluster.settle()
    assert all(replica.state[-1] == id for replica in cluster.replicas.values())
