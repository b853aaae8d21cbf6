"""Rules of commits and membership changes: each one broken on purpose is noticed, the true ones pass."""

from __future__ import annotations

import pytest

from walnutpost.consensus import (
    ChangeMembership,
    Members,
    MessageReceived,
    PersistentState,
    Raft,
    Role,
    SafetyRules,
    Tick,
    VoteResponse,
    WriteCompleted,
)
from walnutpost.consensus.messages import AppendEntriesResponse
from walnutpost.testsupport.consensus.cluster_simulation import (
    TIMING,
    Cluster,
    Invariant,
    InvariantViolatedError,
)
from walnutpost.testsupport.consensus.faulty_safety_rules import (
    AllowsAnyMembershipChange,
    CommitsOlderTermsByCount,
)

THREE = ("a", "b", "c")
FIVE = ("a", "b", "c", "d", "e")


@pytest.mark.parametrize(("rules", "commit_index"), [(SafetyRules, 0), (CommitsOlderTermsByCount, 2)])
def test_older_terms_entry_on_a_majority_is_committed_alone_only_by_a_broken_rule(
    rules: type[SafetyRules], commit_index: int
) -> None:
    """Figure 8 of the paper: on a majority, and replaced after all."""
    raft = _leader_with_older_entries(rules())
    own_index = raft.log.last_index
    assert raft.log.last_term == raft.term
    assert raft.log.term_at(own_index - 1) != raft.term
    for peer in ("b", "c"):
        _acknowledge(raft, peer, own_index - 1)
    assert raft.commit_index == commit_index
    for peer in ("b", "c"):
        _acknowledge(raft, peer, own_index)
    assert raft.commit_index == commit_index, "two of five have the own term's entry on disk"
    raft.handle(raft.state.now_us, WriteCompleted(2))
    assert raft.commit_index == own_index, "a majority has it, which commits the older ones too"


def _leader_with_older_entries(rules: SafetyRules) -> Raft:
    """Return a new leader of five whose log has two entries of an older term; its own is not durable yet."""
    cluster = Cluster(FIVE)
    cluster.elect("a")
    cluster.propose("a")
    cluster.settle("a", "b")
    former = cluster.raft("a")
    assert former.commit_index == 1
    assert former.log.last_index == 2
    persistent = PersistentState(5, "a", former.log.snapshot, former.log.entries_after(0))
    raft = Raft("a", persistent, TIMING, 1, rules)
    raft.handle(0, Tick())
    raft.handle(raft.next_deadline_us, Tick())
    for peer in ("b", "c"):
        raft.handle(raft.state.now_us, MessageReceived("a", VoteResponse(6, peer, True, pre_vote=True)))
    raft.handle(raft.state.now_us, WriteCompleted(1))
    for peer in ("b", "c"):
        raft.handle(raft.state.now_us, MessageReceived("a", VoteResponse(6, peer, True)))
    assert raft.role is Role.LEADER
    assert raft.term == 6
    assert raft.log.last_index == 3
    return raft


def _acknowledge(raft: Raft, peer: str, match_index: int) -> None:
    response = AppendEntriesResponse(raft.term, peer, True, match_index, 1)
    raft.handle(raft.state.now_us, MessageReceived(raft.replica_id, response))


def test_membership_change_waits_until_the_former_one_is_committed() -> None:
    assert [rejected.id for rejected in _change_members_twice(SafetyRules()).rejected] == ["m2"]


def test_membership_change_before_the_former_one_is_committed_by_a_broken_rule_gives_two_histories() -> None:
    with pytest.raises(InvariantViolatedError) as caught:
        _change_members_twice(AllowsAnyMembershipChange())
    assert caught.value.invariant is Invariant.ONE_HISTORY


def _change_members_twice(rules: SafetyRules) -> Cluster:
    """Let a, isolated, make itself the only member in two steps, while b and c continue without it."""
    cluster = Cluster(THREE, rules=rules)
    cluster.elect("a")
    for request_id, voters in (("m1", ("a", "b")), ("m2", ("a",))):
        cluster.feed("a", ChangeMembership(request_id, Members(voters)))
    cluster.settle("a")
    cluster.elect("b", "b", "c")
    cluster.propose("b")
    cluster.settle("b", "c")
    return cluster
