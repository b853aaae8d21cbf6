"""Elections: who starts one, and whose requests count."""

from __future__ import annotations

import pytest

from walnutpost.consensus import (
    Members,
    MessageReceived,
    PersistentState,
    Raft,
    Send,
    Snapshot,
    Tick,
    VoteRequest,
    VoteResponse,
    WriteCompleted,
)
from walnutpost.testsupport.consensus.cluster_simulation import TIMING, Cluster

THREE = ("a", "b", "c")


def test_isolated_replica_that_comes_back_does_not_raise_the_term() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    term = max(cluster.leaders)
    for _ in range(40):
        cluster.tick_at_deadline("a")
        cluster.settle("a", "b")
        cluster.feed("c", Tick())
        cluster.settle("c")
    cluster.tick_at_deadline("a")
    cluster.settle()
    assert cluster.leader == "a"
    assert max(cluster.leaders) == term


@pytest.mark.parametrize("pre_vote", [True, False])
@pytest.mark.parametrize(
    ("last_term", "last_index", "granted"), [(1, 9, False), (2, 4, False), (2, 5, True), (3, 1, True)]
)
def test_vote_is_granted_only_to_a_log_with_a_newer_last_term_or_as_many_entries_of_it(
    pre_vote: bool, last_term: int, last_index: int, granted: bool
) -> None:
    raft = Raft("b", PersistentState(2, "", Snapshot(5, 2, Members(THREE), b"")), TIMING, 1)
    request = VoteRequest(3, "a", last_index, last_term, pre_vote)
    effects = raft.handle(0, MessageReceived("b", request))
    effects += raft.handle(0, WriteCompleted(2))  # a vote leaves once term and vote are durable
    assert raft.term == (2 if pre_vote else 3)
    answers = [effect.message for effect in effects if isinstance(effect, Send)]
    term = 3 if granted or not pre_vote else 2
    assert answers == [VoteResponse(term, "b", granted, pre_vote)]


def test_message_for_a_former_process_at_this_address_is_ignored() -> None:
    raft = Raft("c#2", PersistentState(), TIMING, 1)
    assert raft.handle(0, MessageReceived("c", VoteRequest(3, "a", 9, 2))) == []
    assert raft.term == 0
