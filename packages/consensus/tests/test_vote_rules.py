"""Rules of votes: each one broken on purpose is noticed, and the true rules pass the same test."""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator

import pytest

from walnutpost.consensus import (
    ChangeMembership,
    CommittedEntryConflictError,
    Members,
    MessageReceived,
    SafetyRules,
    VoteRequest,
    VoteResponse,
)
from walnutpost.consensus.messages import TimeoutNow
from walnutpost.testsupport.consensus.cluster_simulation import (
    TIMING,
    Cluster,
    Invariant,
    InvariantViolatedError,
)
from walnutpost.testsupport.consensus.faulty_safety_rules import (
    IgnoresLiveLeader,
    ReleasesBeforePersisted,
    VotesForOlderLogs,
    VotesTwiceInATerm,
)

THREE = ("a", "b", "c")
MAX_EXPLORED_STEPS = 7


def test_votes_after_a_tie_in_any_order_give_one_leader_in_a_term() -> None:
    assert not any(_violations(SafetyRules()))


@pytest.mark.parametrize("broken", [ReleasesBeforePersisted, VotesTwiceInATerm])
def test_votes_after_a_tie_by_a_broken_rule_give_two_leaders_in_a_term(broken: type[SafetyRules]) -> None:
    violations = set(_violations(broken()))
    assert Invariant.ONE_LEADER_PER_TERM in violations


def _tie(rules: SafetyRules) -> Cluster:
    """Return a cluster in which a and b ask for votes in term 1, and c was not reached yet."""
    cluster = Cluster(THREE, rules=rules)
    cluster.now_us += 2 * TIMING.election_timeout_us
    for name in ("a", "b"):
        cluster.feed(name, MessageReceived(name, VoteResponse(0, "c", False, True)))
        cluster.tick_at_deadline(name)
        cluster.feed(name, MessageReceived(name, VoteResponse(1, "c", True, True)))
        if cluster.replicas[name].writes:
            cluster.complete_writes(name)
    cluster.in_flight = [
        send
        for send in cluster.in_flight
        if send.to == "c" and isinstance(send.message, VoteRequest) and not send.message.pre_vote
    ]
    assert len(cluster.in_flight) == 2
    return cluster


def _violations(rules: SafetyRules) -> Iterator[Invariant]:
    """Explore all orders of events after a tie, breadth first, each state once; yield violated invariants."""
    explored: set[str] = set()
    states = [_tie(rules)]
    for _ in range(MAX_EXPLORED_STEPS):
        states, former_states = [], states
        for state in former_states:
            for step in _possible_steps(state):
                following = copy.deepcopy(state)
                try:
                    step(following)
                except InvariantViolatedError as error:
                    yield error.invariant
                    continue
                key = _state_key(following)
                if key not in explored:
                    explored.add(key)
                    states.append(following)


def _possible_steps(state: Cluster) -> list[Callable[[Cluster], None]]:
    steps: list[Callable[[Cluster], None]] = [
        lambda cluster, position=position: cluster.deliver(position)  # type: ignore[misc]
        for position in range(len(state.in_flight))
    ]
    if state.replicas["c"].writes:
        steps.append(lambda cluster: cluster.complete_writes("c"))
    return [*steps, _restart_c]


def _restart_c(cluster: Cluster) -> None:
    cluster.crash("c")
    cluster.restart("c")


def _state_key(cluster: Cluster) -> str:
    """Return a key that differs between two different states."""
    replicas = [
        (
            replica.name,
            replica.persistent,
            replica.writes,
            raft.term,
            raft.state.voted_for,
            raft.role,
            sorted(raft.state.votes),
        )
        for replica in cluster.replicas.values()
        if (raft := replica.raft) is not None
    ]
    return repr((replicas, sorted(map(repr, cluster.in_flight))))


@pytest.mark.parametrize(("rules", "is_deposed"), [(SafetyRules, False), (IgnoresLiveLeader, True)])
def test_leader_when_a_removed_replica_asks_for_votes_is_deposed_only_by_a_broken_rule(
    rules: type[SafetyRules], is_deposed: bool
) -> None:
    cluster = Cluster((*THREE, "d"), rules=rules())
    cluster.elect("a")
    cluster.feed("a", ChangeMembership("m", Members(THREE)))
    cluster.settle(*THREE)  # d never learns of it
    term = max(cluster.leaders)
    request = VoteRequest(term + 5, "d", 99, term)  # as if it had all entries, and without a pre-vote
    for name in THREE:
        cluster.feed(name, MessageReceived(name, request))
    cluster.settle()
    assert (cluster.leader != "a") is is_deposed


@pytest.mark.parametrize(("rules", "is_elected"), [(SafetyRules, False), (VotesForOlderLogs, True)])
def test_replica_that_lacks_a_committed_entry_is_elected_only_by_a_broken_rule(
    rules: type[SafetyRules], is_elected: bool
) -> None:
    """By TimeoutNow: without a pre-vote, and without regard to the live leader."""
    cluster = Cluster(THREE, rules=rules())
    cluster.elect("a")
    cluster.propose("a")
    cluster.settle("a", "b")
    assert max(cluster.committed) == 2
    assert cluster.raft("c").log.last_index == 1
    cluster.feed("c", MessageReceived("c", TimeoutNow(cluster.raft("a").term, "a")))
    if is_elected:
        with pytest.raises(CommittedEntryConflictError):
            cluster.settle()
    else:
        cluster.settle()
    assert (cluster.leader == "c") is is_elected
