"""The agreed history: what must hold in any order of events, and that rules broken on purpose are found."""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterator
from random import Random

import msgspec
import pytest

from cluster_simulation import TIMING, Cluster
from walnutpost.consensus import (
    ChangeMembership,
    Compact,
    Effect,
    Members,
    MessageReceived,
    PersistentState,
    Raft,
    Role,
    Tick,
    TransferLeadership,
    VoteRequest,
    VoteResponse,
)
from walnutpost.consensus.messages import AppendEntries, AppendEntriesResponse

THREE = ("a", "b", "c")


# Any order


@pytest.mark.parametrize("seed", range(40))
def test_any_order_of_events_gives_one_history(seed: int) -> None:
    """The rig looks at each step: one leader in a term, one history, applied once, no old answer."""
    random = Random(seed)
    cluster = Cluster(THREE, seed, spare=("d", "e"))
    for _ in range(1500):
        cluster.step(random)
    # And once all is well again, it goes on.
    for name in cluster.replicas:
        if cluster.replicas[name].raft is None:
            cluster.restart(name)
    before = len(cluster.agreed)
    for _ in range(40):
        cluster.settle()
        if cluster.leader:
            cluster.propose(cluster.leader)
        raft = [r.raft for r in cluster.replicas.values() if r.raft is not None]
        cluster.due(min(raft, key=lambda r: r.next_deadline_us).replica_id)
    cluster.settle()
    assert len(cluster.agreed) > before


def test_every_order_of_votes_after_a_tie_gives_one_leader_in_a_term() -> None:
    """All ways to go on, seven steps deep, from two candidates whose questions are under way."""
    assert not any(_found(Raft))


class VotesBeforeItIsDurable(Raft):
    def _send_after_persist(self, effect: Effect | VoteResponse) -> None:
        if isinstance(effect, VoteResponse):
            self._count_vote(effect)
        else:
            self._effects.append(effect)


class VotesTwice(Raft):
    def _may_vote(self, ask: VoteRequest) -> bool:
        return (ask.last_term, ask.last_index) >= (self.log.last_term, self.log.last_index)


@pytest.mark.parametrize("wrong", [VotesBeforeItIsDurable, VotesTwice])
def test_a_vote_that_can_be_given_twice_is_found_by_trying_every_order(wrong: type[Raft]) -> None:
    assert any(_found(wrong))


def _tie(kind: type[Raft]) -> Cluster:
    """a and b both stand in term 1; c has not been reached yet."""
    cluster = Cluster(THREE, kind=kind)
    cluster.now += 2 * TIMING.election_timeout_us
    for name in ("a", "b"):
        cluster.feed(name, MessageReceived(name, VoteResponse(0, "c", False, True)))
        cluster.due(name)
        cluster.feed(name, MessageReceived(name, VoteResponse(1, "c", True, True)))
        if cluster.replicas[name].writes:
            cluster.written(name)
    cluster.wire = [
        (to, m) for to, m in cluster.wire if isinstance(m, VoteRequest) and not m.pre_vote and to == "c"
    ]
    assert len(cluster.wire) == 2
    return cluster


def _found(kind: type[Raft], depth: int = 7) -> Iterator[bool]:
    """Breadth first: whether a step breaks what the rig looks at, once for each state not seen before."""
    seen: set[str] = set()
    states = [_tie(kind)]
    for _ in range(depth):
        states, before = [], states
        for state in before:
            for step in _steps(state):
                following = copy.deepcopy(state)
                try:
                    step(following)
                except AssertionError:
                    yield True
                    continue
                key = _look(following)
                if key not in seen:
                    seen.add(key)
                    states.append(following)
        yield False


def _steps(state: Cluster) -> list[Callable[[Cluster], None]]:
    steps: list[Callable[[Cluster], None]] = [
        lambda c, place=place: c.deliver(place)  # type: ignore[misc]
        for place in range(len(state.wire))
    ]
    if state.replicas["c"].writes:
        steps.append(lambda c: c.written("c"))
    return [*steps, _lose_c]


def _lose_c(cluster: Cluster) -> None:
    cluster.crash("c")
    cluster.restart("c")


def _look(state: Cluster) -> str:
    looks = [
        (r.name, r.kept, r.writes, raft.term, raft._voted_for, raft.role, sorted(raft._votes))
        for r in state.replicas.values()
        if (raft := r.raft) is not None
    ]
    return repr((looks, sorted(map(repr, state.wire))))


# Wrong rules


class CommitsOlderTermsByCount(Raft):
    def _may_commit(self, index: int) -> bool:
        return True


def test_an_older_terms_entry_counts_only_with_one_of_the_own_term() -> None:
    """Figure 8 of the paper: on a majority, and replaced after all."""
    cluster = Cluster(("a", "b", "c", "d", "e"))
    cluster.elect("a")
    cluster.propose("a")
    cluster.settle("a", "b")
    old = cluster.replicas["a"].raft
    assert old is not None and old.commit_index == 1 and old.log.last_index == 2
    for kind, agreed in ((Raft, 1), (CommitsOlderTermsByCount, 2)):
        again = kind("a", PersistentState(5, "a", old.log.snapshot, old.log.entries_after(0)), TIMING, 1)
        again.handle(0, Tick())
        again.role = Role.CANDIDATE
        again.commit_index = 1
        again._become_leader()
        assert again._leading is not None
        for peer in ("b", "c"):
            again._leading.peers[peer].match_index = 2
        again._durable_index = 2
        again._advance_commit_index()
        assert again.commit_index == agreed


class ChangesBeforeTheLastIsAgreed(Raft):
    def _membership_change_error(self, members: Members) -> str:
        return ""


def _two_changes(kind: type[Raft]) -> Cluster:
    """a, cut off, makes itself the only member in two steps; b and c go on by what they know."""
    cluster = Cluster(THREE, kind=kind)
    cluster.elect("a")
    for id, voters in (("m1", ("a", "b")), ("m2", ("a",))):
        cluster.feed("a", ChangeMembership(id, Members(voters)))
    cluster.settle("a")
    cluster.elect("b", "b", "c")
    cluster.propose("b")
    cluster.settle("b", "c")
    return cluster


def test_a_change_of_members_waits_until_the_one_before_it_is_agreed() -> None:
    assert [r.id for r in _two_changes(Raft).rejected] == ["m2"]
    with pytest.raises(AssertionError, match="two histories"):
        _two_changes(ChangesBeforeTheLastIsAgreed)


def test_members_change_one_voter_at_a_time_and_only_who_has_caught_up_votes() -> None:
    cluster = Cluster(THREE, spare=("d", "e"))
    cluster.elect("a")
    for voters, learners, why in (
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
        assert why in "".join(r.reason for r in cluster.rejected) and bool(why) == bool(cluster.rejected)
    raft = cluster.replicas["a"].raft
    assert raft is not None and raft.role is Role.FOLLOWER, "a leader that is taken out leads no longer"
    cluster.elect("d", "b", "c", "d")


class HearsAnybody(Raft):
    def _has_live_leader(self) -> bool:
        return False


@pytest.mark.parametrize(("kind", "disturbed"), [(Raft, False), (HearsAnybody, True)])
def test_a_removed_replica_disturbs_nobody(kind: type[Raft], disturbed: bool) -> None:
    cluster = Cluster((*THREE, "d"), kind=kind)
    cluster.elect("a")
    cluster.feed("a", ChangeMembership("m", Members(THREE)))
    cluster.settle("a", "b", "c")  # d never learns of it
    term = max(cluster.leaders)
    raft = cluster.replicas["d"].raft
    assert raft is not None
    newest = VoteRequest(term + 5, "d", 99, term)  # as if it had all, and skipped the trial
    for name in THREE:
        cluster.feed(name, MessageReceived(name, newest))
    cluster.settle()
    assert (cluster.leader != "a") is disturbed


# How old what is applied may be


class VouchesFromTheAnswer(Raft):
    def _confirm_quorum_contact(self) -> None:
        if self._leading is not None and self._leading.unanswered_rounds:
            self._leading.unanswered_rounds = deque(
                (number, self._now_us) for number, _ in self._leading.unanswered_rounds
            )
        super()._confirm_quorum_contact()


class TakesAMessageForNew(Raft):
    def _take_leader_freshness(self, m: AppendEntries) -> None:
        if m.quorum_contact_age_us >= 0:
            self._add_freshness_bound(m.commit_index, self._now_us)


class VouchesBeforeItKnowsAll(Raft):
    def _has_committed_in_term(self) -> bool:
        return True


class LeavesOutTheLeadersAge(Raft):
    def _quorum_contact_age_us(self) -> int:
        return min(0, super()._quorum_contact_age_us())


class VouchesForWhatItLacks(Raft):
    def fresh_as_of(self, applied: int) -> int | None:
        return super().fresh_as_of(1 << 60)


@pytest.mark.parametrize("wrong", [TakesAMessageForNew, VouchesBeforeItKnowsAll, VouchesForWhatItLacks])
def test_a_state_said_to_be_newer_than_it_is_is_found(wrong: type[Raft]) -> None:
    found = False
    for seed in range(40):
        random, cluster = Random(seed), Cluster(THREE, seed, kind=wrong, spare=("d", "e"))
        try:
            for _ in range(1500):
                cluster.step(random)
        except AssertionError as error:
            found = str(error).startswith("older than it says")
            break
    assert found


@pytest.mark.parametrize(("kind", "found"), [(Raft, False), (VouchesFromTheAnswer, True)])
def test_an_answer_that_comes_after_another_was_elected_vouches_from_its_question(
    kind: type[Raft], found: bool
) -> None:
    cluster = Cluster(THREE, kind=kind)
    cluster.elect("a")
    _beats(cluster, 3)
    cluster.now += TIMING.heartbeat_interval_us
    cluster.feed("a", Tick())
    cluster.settle("b", "c")  # drops what they answer; but b's answer is still on its way
    answer = _answer_of_b(cluster)
    cluster.elect("b", "b", "c")
    cluster.propose("b")
    cluster.settle("b", "c")
    cluster.now += 1
    try:
        cluster.feed("a", MessageReceived("a", answer))
    except AssertionError as error:
        assert found and str(error) == "older than it says"
    else:
        assert not found


def _answer_of_b(cluster: Cluster) -> AppendEntriesResponse:
    a, b = (cluster.replicas[name].raft for name in ("a", "b"))
    assert a is not None and b is not None and a._leading is not None
    stamp = cluster.now + b._clock_offset_us
    return AppendEntriesResponse(a.term, "b", True, b.log.last_index, a._leading.round, stamp)


@pytest.mark.parametrize(("kind", "found"), [(Raft, False), (LeavesOutTheLeadersAge, True)])
def test_who_hears_a_leader_that_has_lost_its_quorum_and_does_not_know_counts_its_age(
    kind: type[Raft], found: bool
) -> None:
    """Of five, c and d answer a late, so that it still leads for a while when c has been elected."""
    cluster = Cluster(("a", "b", "c", "d", "e"), kind=kind)
    cluster.elect("a")
    _beats(cluster, 3)
    cluster.now += TIMING.heartbeat_interval_us
    cluster.feed("a", Tick())
    began = cluster.now
    while cluster.wire and any(to != "a" for to, _ in cluster.wire):
        cluster.deliver(next(n for n, (to, _) in enumerate(cluster.wire) if to != "a"))
    late, cluster.wire = cluster.wire, []
    cluster.now = began + TIMING.election_timeout_us - TIMING.heartbeat_interval_us - 1
    for _, message in late:
        cluster.feed("a", MessageReceived("a", message))
    others = ("c", "d", "e")
    first = min(others, key=lambda n: cluster.replicas[n].raft.next_deadline_us)  # type: ignore[union-attr]
    cluster.due(first)
    cluster.settle(*others)
    assert cluster.leader == first
    cluster.propose(first)
    cluster.settle(*others)
    try:
        for _ in range(2):
            cluster.now += TIMING.heartbeat_interval_us
            cluster.feed("a", Tick())
            cluster.settle("a", "b")
    except AssertionError as error:
        assert found and str(error) == "older than it says"
    else:
        assert not found
        a, b = (cluster.replicas[name].raft for name in ("a", "b"))
        assert a is not None and a.role is Role.LEADER, "it didn't know"
        assert b is not None and b.leader == "a"
        assert min(_ages(cluster, "a", "b")) >= TIMING.election_timeout_us // TIMING.heartbeat_interval_us


def _ages(cluster: Cluster, *names: str) -> list[int]:
    """How old what each holds may be, in heartbeats; where nothing is known it fails."""
    out = []
    for name in names:
        replica = cluster.replicas[name]
        assert replica.raft is not None
        at = replica.raft.fresh_as_of(replica.applied)
        assert at is not None, f"{name} knows nothing"
        out.append((cluster.now - at) // TIMING.heartbeat_interval_us)
    return out


def _beats(cluster: Cluster, number: int, *names: str) -> None:
    """So many heartbeats pass, and what is said among these arrives at once."""
    for _ in range(number):
        cluster.now += TIMING.heartbeat_interval_us
        for name in cluster.replicas:
            cluster.feed(name, Tick())
        cluster.settle(*names)


def test_in_touch_all_of_them_know_that_what_they_hold_is_new() -> None:
    cluster = Cluster(THREE)
    raft = cluster.replicas["a"].raft
    assert raft is not None and raft.fresh_as_of(0) is None, "nothing was heard of yet"
    cluster.elect("a")
    for _ in range(20):
        cluster.propose("a")
        _beats(cluster, 1)
        assert max(_ages(cluster, *THREE)) <= 2
    _beats(cluster, 50)
    assert max(_ages(cluster, *THREE)) <= 2, "at rest too"


def test_a_leader_without_its_quorum_and_who_hears_it_alone_grow_old() -> None:
    """Of five, a and b are cut off from the rest: a goes on for an election, and b hears it."""
    names = ("a", "b", "c", "d", "e")
    cluster = Cluster(names)
    cluster.elect("a")
    _beats(cluster, 5)
    before = cluster.now
    for _ in range(4):
        cluster.now += TIMING.heartbeat_interval_us
        cluster.feed("a", Tick())
        cluster.feed("b", Tick())
        cluster.settle("a", "b")
        least = (cluster.now - before) // TIMING.heartbeat_interval_us
        ages = _ages(cluster, "a", "b")
        assert least <= min(ages) and max(ages) <= least + 3
    assert cluster.leader == "a"
    _beats(cluster, 20, "a", "b")
    assert min(_ages(cluster, "a", "b")) >= 24, "and after it has stepped down"


def test_a_follower_that_hears_nothing_grows_old_and_knows_again_once_it_has_caught_up() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    _beats(cluster, 3)
    _beats(cluster, 10, "a", "b")
    assert _ages(cluster, "c")[0] >= 10 and max(_ages(cluster, "a", "b")) <= 2
    for _ in range(30):
        cluster.propose("a")
    cluster.settle("a", "b")
    _beats(cluster, 5)
    assert max(_ages(cluster, *THREE)) <= 2 and cluster.replicas["c"].applied == cluster.replicas["a"].applied


def test_a_message_that_lay_in_a_socket_while_its_reader_was_paused_makes_nothing_new() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    _beats(cluster, 5)
    cluster.now += TIMING.heartbeat_interval_us
    cluster.feed("a", Tick())
    late = [m for to, m in cluster.wire if to == "c" and isinstance(m, AppendEntries)]
    cluster.wire.clear()
    cluster.now += 100 * TIMING.heartbeat_interval_us  # c is paused, and the others have long gone on
    for message in late:
        cluster.feed("c", MessageReceived("c", message))
    assert late and _ages(cluster, "c")[0] >= 100


def test_what_a_former_process_had_sent_vouches_for_nothing_in_its_next_life() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    _beats(cluster, 5)
    cluster.crash("c")
    cluster.restart("c")
    cluster.now += TIMING.heartbeat_interval_us
    cluster.feed("a", Tick())
    for _, message in [(to, m) for to, m in cluster.wire if to == "c"]:
        cluster.feed("c", MessageReceived("c", message))
    replica = cluster.replicas["c"]
    assert replica.raft is not None and replica.raft.fresh_as_of(replica.applied) is None
    cluster.settle()
    _beats(cluster, 2)
    assert _ages(cluster, "c")[0] <= 2


def test_messages_of_a_version_that_knows_no_ages_vouch_for_nothing() -> None:
    raft = Raft("c", PersistentState(), TIMING, 1)
    raft.handle(0, MessageReceived("c", AppendEntries(1, "a", 0, 0, (), 0, 1)))
    assert raft.fresh_as_of(0) is None
    for kind, tag, old in (
        (AppendEntries, "Append", (1, "a", 0, 0, (), 0, 1)),
        (AppendEntriesResponse, "Appended", (1, "a", True, 0, 1)),
    ):
        data = msgspec.msgpack.encode((tag, *old))
        assert msgspec.msgpack.decode(data, type=kind) == kind(*old)


# Each by itself


def test_a_replica_with_an_empty_disk_votes_only_once_it_is_taken_in() -> None:
    """Its new disk gives it a new name: a vote or an entry of the old one is not counted for it."""
    cluster = Cluster(THREE, spare=("c#2",))
    cluster.elect("a")
    cluster.propose("a")
    cluster.settle("a", "c")
    cluster.crash("a")
    cluster.crash("c")
    cluster.now += 3 * TIMING.election_timeout_us
    for _ in range(3):
        for name in ("b", "c#2"):
            cluster.due(name)
        cluster.settle("b", "c#2")
    assert not cluster.leader, "b lacks what was agreed, and nobody may help it to win"
    cluster.restart("a")
    cluster.elect("a", "a", "b")
    for members in (Members(THREE, ("c#2",)), Members((*THREE, "c#2")), Members(("a", "b", "c#2"))):
        cluster.feed("a", ChangeMembership("m", members))
        cluster.settle("a", "b", "c#2")
    assert cluster.replicas["c#2"].state == cluster.replicas["a"].state
    cluster.crash("a")
    cluster.elect("c#2", "b", "c#2")


def test_one_that_missed_more_than_the_log_holds_gets_the_whole_state() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.crash("c")
    for _ in range(20):
        cluster.propose("a")
    cluster.settle("a", "b")
    a = cluster.replicas["a"]
    cluster.feed("a", Compact(a.applied, ",".join(a.state).encode()))
    cluster.settle("a", "b")
    assert a.raft is not None and not a.raft.log.entries_after(0)
    cluster.restart("c")
    cluster.propose("a")
    cluster.settle()
    cluster.due("a")
    cluster.settle()
    assert cluster.replicas["c"].state == a.state and len(a.state) == 22
    cluster.crash("c")
    cluster.restart("c")
    cluster.feed("c", Tick())
    assert cluster.replicas["c"].applied == a.kept.snapshot.index, "the state outlives its process"


def test_a_leader_that_is_cut_off_answers_no_question_and_steps_down() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.ask("a")
    cluster.settle("a")
    assert not cluster.ready
    cluster.elect("b", "b", "c")
    cluster.propose("b")
    cluster.settle("b", "c")
    cluster.ask("b")
    cluster.settle("b", "c")
    assert [r.index for r in cluster.ready] == [max(cluster.agreed)]
    cluster.now += TIMING.election_timeout_us
    cluster.feed("a", Tick())
    raft = cluster.replicas["a"].raft
    assert raft is not None and raft.role is Role.FOLLOWER
    assert [r.reason for r in cluster.rejected] == ["no longer the leader"]


def test_one_that_was_cut_off_comes_back_without_raising_the_term() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    term = max(cluster.leaders)
    for _ in range(40):
        cluster.due("a")
        cluster.settle("a", "b")
        cluster.feed("c", Tick())
        cluster.settle("c")
    cluster.due("a")
    cluster.settle()
    assert cluster.leader == "a" and max(cluster.leaders) == term


def test_a_leader_hands_over_at_once_and_takes_nothing_meanwhile() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.feed("a", TransferLeadership("b"))
    id = cluster.propose("a")
    cluster.settle()
    assert cluster.leader == "b" and [r.id for r in cluster.rejected] == [id]


def test_transfer_whose_target_is_removed_while_it_lags_ends_and_the_leader_goes_on() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.propose("a")  # "b" has not got it yet: the transfer waits for that
    cluster.feed("a", TransferLeadership("b"))
    cluster.feed("a", ChangeMembership("m", Members(("a", "c"))))
    cluster.settle("a", "c")
    id = cluster.propose("a")
    cluster.settle("a", "c")
    assert cluster.leader == "a" and not cluster.rejected
    assert cluster.replicas["a"].state[-1] == id


def test_nothing_is_sent_or_answered_before_what_it_rests_on_is_durable() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.wire.clear()
    id = cluster.propose("a")
    assert not cluster.wire, "the others hear of it once the leader holds it"
    cluster.written("a")
    sent = cluster.wire[:]
    cluster.wire.clear()
    for to, message in sent:
        cluster.feed(to, MessageReceived(to, message))
    assert not cluster.wire, "no word back before their disks have it"
    cluster.settle()
    cluster.due("a")
    cluster.settle()
    assert all(r.state[-1] == id for r in cluster.replicas.values())


def test_a_message_for_a_process_that_had_the_address_before_is_not_heard() -> None:
    raft = Raft("c#2", PersistentState(), TIMING, 1)
    assert raft.handle(0, MessageReceived("c", VoteRequest(3, "a", 9, 2))) == [] and raft.term == 0


def test_no_leader_no_change_and_the_asker_hears_who_leads() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.propose("b")
    cluster.feed("b", ChangeMembership("m", Members(("a", "b"))))
    cluster.ask("b")
    assert [(r.reason, r.leader) for r in cluster.rejected] == [("not the leader", "a")] * 3
