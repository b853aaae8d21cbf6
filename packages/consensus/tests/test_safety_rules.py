"""Each safety rule broken on purpose is noticed, and the true rules pass the same test."""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from random import Random

import pytest

from walnutpost.consensus import (
    ChangeMembership,
    CommittedEntryConflictError,
    Members,
    MessageReceived,
    PersistentState,
    Raft,
    Role,
    SafetyRules,
    Tick,
    VoteRequest,
    VoteResponse,
    WriteCompleted,
)
from walnutpost.consensus.messages import AppendEntriesResponse, TimeoutNow
from walnutpost.testsupport.consensus.cluster_simulation import (
    TIMING,
    Cluster,
    Invariant,
    InvariantViolatedError,
)
from walnutpost.testsupport.consensus.faulty_safety_rules import (
    BROKEN_RULES,
    AllowsAnyMembershipChange,
    CommitsOlderTermsByCount,
    CountsCommitsOfUnknownTerms,
    CoversWhatIsNotApplied,
    DatesContactByTheAnswer,
    DatesContactByTheArrival,
    IgnoresLiveLeader,
    OmitsTheContactAge,
    ReleasesBeforePersisted,
    VotesForOlderLogs,
    VotesTwiceInATerm,
)

THREE = ("a", "b", "c")
FIVE = ("a", "b", "c", "d", "e")
MAX_EXPLORED_STEPS = 7


def test_every_safety_rule_has_a_broken_version() -> None:
    rules = {name for name in vars(SafetyRules) if not name.startswith("_")}
    broken = {name for kind in BROKEN_RULES for name in vars(kind) if not name.startswith("_")}
    assert set(broken) == rules


# Votes: all orders of events


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
    """Explore all orders of events after a tie, breadth first, each state once; yield what is violated."""
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
    """Return what tells two states apart."""
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


# Commits and membership changes


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
    """Let a, isolated, make itself the only member in two steps, while b and c go on without it."""
    cluster = Cluster(THREE, rules=rules)
    cluster.elect("a")
    for request_id, voters in (("m1", ("a", "b")), ("m2", ("a",))):
        cluster.feed("a", ChangeMembership(request_id, Members(voters)))
    cluster.settle("a")
    cluster.elect("b", "b", "c")
    cluster.propose("b")
    cluster.settle("b", "c")
    return cluster


# Freshness


@pytest.mark.parametrize(
    "broken", [DatesContactByTheArrival, CountsCommitsOfUnknownTerms, CoversWhatIsNotApplied]
)
def test_state_claimed_too_fresh_by_a_broken_rule_is_noticed_in_random_runs(
    broken: type[SafetyRules],
) -> None:
    violated = None
    for seed in range(40):
        random, cluster = Random(seed), Cluster(THREE, seed, broken(), spare=("d", "e"))
        try:
            for _ in range(1500):
                cluster.step(random)
        except InvariantViolatedError as error:
            violated = error.invariant
            break
    assert violated is Invariant.TRUE_FRESHNESS


@pytest.mark.parametrize(("rules", "is_noticed"), [(SafetyRules, False), (DatesContactByTheAnswer, True)])
def test_answer_that_arrives_after_the_next_election_counts_from_the_start_of_its_round(
    rules: type[SafetyRules], is_noticed: bool
) -> None:
    cluster = Cluster(THREE, rules=rules())
    cluster.elect("a")
    cluster.pass_heartbeats(3)
    cluster.now_us += TIMING.heartbeat_interval_us
    cluster.feed("a", Tick())
    cluster.settle("b", "c")  # drops their answers; that of b is still on its way
    answer = _answer_to_the_last_round(cluster, "a", "b")
    cluster.elect("b", "b", "c")
    cluster.propose("b")
    cluster.settle("b", "c")
    cluster.now_us += 1
    violated = _violated_by(lambda: cluster.feed("a", MessageReceived("a", answer)))
    assert violated is (Invariant.TRUE_FRESHNESS if is_noticed else None)


def _answer_to_the_last_round(cluster: Cluster, leader: str, follower: str) -> AppendEntriesResponse:
    leading, answering = cluster.raft(leader), cluster.raft(follower)
    assert leading.state.leadership is not None
    return AppendEntriesResponse(
        term=leading.term,
        sender=follower,
        success=True,
        match_index=answering.log.last_index,
        round=leading.state.leadership.round,
        sent_at_us=cluster.now_us + answering.state.clock_offset_us,
    )


@pytest.mark.parametrize(("rules", "is_noticed"), [(SafetyRules, False), (OmitsTheContactAge, True)])
def test_follower_of_a_leader_that_has_lost_its_quorum_unnoticed_counts_the_age_of_its_contact(
    rules: type[SafetyRules], is_noticed: bool
) -> None:
    """Of five, c and d answer a late, so that it still leads for a while when c has been elected."""
    cluster = Cluster(FIVE, rules=rules())
    cluster.elect("a")
    cluster.pass_heartbeats(3)
    _delay_answers_to_a(cluster)
    others = ("c", "d", "e")
    elected = cluster.first_due(others)
    cluster.tick_at_deadline(elected)
    cluster.settle(*others)
    assert cluster.leader == elected
    cluster.propose(elected)
    cluster.settle(*others)

    def pass_heartbeats_of_a() -> None:
        for _ in range(2):
            cluster.now_us += TIMING.heartbeat_interval_us
            cluster.feed("a", Tick())
            cluster.settle("a", "b")

    violated = _violated_by(pass_heartbeats_of_a)
    assert violated is (Invariant.TRUE_FRESHNESS if is_noticed else None)
    if not is_noticed:
        assert cluster.raft("a").role is Role.LEADER, "it has not noticed"
        assert cluster.raft("b").leader == "a"
        min_staleness = TIMING.election_timeout_us // TIMING.heartbeat_interval_us
        assert min(cluster.staleness("a", "b")) >= min_staleness


def _delay_answers_to_a(cluster: Cluster) -> None:
    """Send a heartbeat of a; deliver the answers just before the followers' election timeout."""
    cluster.now_us += TIMING.heartbeat_interval_us
    cluster.feed("a", Tick())
    sent_at_us = cluster.now_us
    while any(send.to != "a" for send in cluster.in_flight):
        cluster.deliver(next(n for n, send in enumerate(cluster.in_flight) if send.to != "a"))
    late, cluster.in_flight = cluster.in_flight, []
    cluster.now_us = sent_at_us + TIMING.election_timeout_us - TIMING.heartbeat_interval_us - 1
    for send in late:
        cluster.feed("a", MessageReceived("a", send.message))


def _violated_by(act: Callable[[], None]) -> Invariant | None:
    try:
        act()
    except InvariantViolatedError as error:
        return error.invariant
    return None
