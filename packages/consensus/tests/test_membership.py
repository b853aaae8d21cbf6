"""Membership changes."""

from __future__ import annotations

from walnutpost.consensus import ChangeMembership, Members, Role
from walnutpost.testsupport.consensus.cluster_simulation import TIMING, Cluster

THREE = ("a", "b", "c")


def test_membership_changes_by_one_voter_and_only_a_replica_that_has_caught_up_becomes_one() -> None:
    cluster = Cluster(THREE, spare=("d", "e"))
    cluster.elect("a")
    for voters, learners, error in (
        (("a",), (), "one voter"),
        ((*THREE, "d"), (), "caught up"),
        (THREE, ("d",), ""),
        ((*THREE, "d"), (), ""),
        ((*THREE, "d", "e"), (), "caught up"),
        (("b", "c", "d"), (), ""),
    ):
        cluster.rejected.clear()
        cluster.feed("a", ChangeMembership("m", Members(voters, learners)))
        cluster.settle()
        reasons = "".join(rejected.reason for rejected in cluster.rejected)
        assert error in reasons
        assert bool(error) == bool(cluster.rejected)
    assert cluster.raft("a").role is Role.FOLLOWER, "a removed leader steps down"
    cluster.elect("d", "b", "c", "d")


def test_replica_with_an_empty_disk_votes_only_once_it_is_added() -> None:
    """Its new disk gives it a new id: a vote or an entry of the former one does not count for it."""
    cluster = Cluster(THREE, spare=("c#2",))
    cluster.elect("a")
    cluster.propose("a")
    cluster.settle("a", "c")
    cluster.crash("a")
    cluster.crash("c")
    cluster.now_us += 3 * TIMING.election_timeout_us
    for _ in range(3):
        for name in ("b", "c#2"):
            cluster.tick_at_deadline(name)
        cluster.settle("b", "c#2")
    assert not cluster.leader, "b lacks what is committed, and c#2 may not help it to win"
    cluster.restart("a")
    cluster.elect("a", "a", "b")
    for members in (Members(THREE, ("c#2",)), Members((*THREE, "c#2")), Members(("a", "b", "c#2"))):
        cluster.feed("a", ChangeMembership("m", members))
        cluster.settle("a", "b", "c#2")
    assert cluster.replicas["c#2"].state == cluster.replicas["a"].state
    cluster.crash("a")
    cluster.elect("c#2", "b", "c#2")
