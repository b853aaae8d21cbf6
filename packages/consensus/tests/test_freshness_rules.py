"""Rules of freshness: each one broken on purpose is noticed, and the true rules pass the same test."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from walnutpost.consensus import (
    MessageReceived,
    Role,
    SafetyRules,
    Tick,
)
from walnutpost.consensus.messages import AppendEntriesResponse
from walnutpost.testsupport.consensus.cluster_simulation import (
    TIMING,
    Cluster,
    Invariant,
    InvariantViolatedError,
)
from walnutpost.testsupport.consensus.faulty_safety_rules import (
    CountsCommitsOfUnknownTerms,
    CoversWhatIsNotApplied,
    DatesContactByTheAnswer,
    DatesContactByTheArrival,
    OmitsTheContactAge,
)

THREE = ("a", "b", "c")
FIVE = ("a", "b", "c", "d", "e")


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
        assert cluster.raft("a").role is Role.LEADER, "a has not noticed"
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
