"""Leadership transfer."""

from __future__ import annotations

from walnutpost.consensus import ChangeMembership, Members, TransferLeadership
from walnutpost.testsupport.consensus.cluster_simulation import Cluster

THREE = ("a", "b", "c")


def test_transfer_to_a_target_with_all_entries_is_immediate_and_proposals_meanwhile_are_rejected() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.feed("a", TransferLeadership("b"))
    request_id = cluster.propose("a")
    cluster.settle()
    assert cluster.leader == "b"
    assert [rejected.id for rejected in cluster.rejected] == [request_id]


def test_transfer_whose_target_is_removed_while_it_lags_ends_and_the_leader_stays() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.propose("a")  # "b" doesn't have it yet: the transfer waits for that
    cluster.feed("a", TransferLeadership("b"))
    cluster.feed("a", ChangeMembership("m", Members(("a", "c"))))
    cluster.settle("a", "c")
    request_id = cluster.propose("a")
    cluster.settle("a", "c")
    assert cluster.leader == "a"
    assert not cluster.rejected
    assert cluster.replicas["a"].state[-1] == request_id
