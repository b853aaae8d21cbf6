"""Drains over the whole fleet, without processes: who must have acted before a worker may end, what front
ends make of what they are told, and how a step is judged by what they tell."""

from __future__ import annotations

from collections.abc import Set
from random import Random

import pytest

from test_fleet import Keeper
from test_steward import SECOND, Place
from walnutpost.fleet import (
    FRONT_END,
    WORKER,
    Acted,
    Ages,
    Began,
    Budget,
    Clear,
    Enter,
    Figures,
    Fleet,
    Follower,
    Forget,
    Judge,
    Keep,
    Listed,
    Report,
    Return,
    Sight,
    Silent,
    Start,
    Terms,
    Watch,
    sight_of,
)
from walnutpost.fleet.machine import PLANS_MOST, VERSIONS_MOST
from walnutpost.fleet.state import State
from walnutpost.fleet.steward import ByHand, Ended, Phase, Saw

LEASE = 1000


def fleet_of(fronts: int = 3, workers: int = 2, fleet: type[Fleet] = Fleet) -> Keeper:
    keeper = Keeper(0, Budget(WORKER, most=1), Budget(FRONT_END, most=1), fleet=fleet)
    for n in range(fronts):
        keeper.do(Enter(f"f{n}", FRONT_END, "ab"[n % 2], f"f{n}.1", "v1", follows=True))
    for n in range(workers):
        keeper.do(Enter(f"w{n}", WORKER, "a", f"w{n}.1", "v1", address=f"127.0.0.1:{n + 1}"))
    return keeper


def leaving(keeper: Keeper, worker: str = "w0") -> str:
    permit = keeper.ask(worker).permit
    keeper.do(Began(permit, f"agent-{worker}"))
    return permit


def test_a_worker_is_cleared_only_by_every_front_end_that_is_there() -> None:
    keeper = fleet_of()
    permit = leaving(keeper)
    at = keeper.fleet.state.permits[permit].at
    both = (Acted("f0", "f0.1", at), Acted("f1", "f1.1", at + 1))
    for acted, why in (
        (both, "f2 has not said"),
        ((*both, Acted("f2", "f2.1", at - 1)), "f2 has not said"),
        ((*both, Acted("f2", "f2.0", at)), "f2 has not said"),  # the process before the one that is there
    ):
        assert why in keeper.do(Clear(permit, acted)).why
    keeper.do(Silent("f2", "f2.1"))
    keeper.do(Enter("f3", FRONT_END, "a", "f3.1", "v1", follows=True))  # came up since the leader looked
    assert "f3 has not said" in keeper.do(Clear(permit, both)).why
    keeper.do(Enter("f4", FRONT_END, "a", "f4.1", "v1"))  # follows no list, and can say nothing
    assert keeper.do(Clear(permit, (*both, Acted("f3", "f3.1", at)))).done
    assert keeper.fleet.state.permits[permit].cleared and len(keeper.fleet.state.permits[permit].acted) == 3


# Any order of reports, drains, restarts and pauses


class Trusting(Fleet):
    """Takes the leader's word for who has acted."""

    def _clear(self, clear: Clear) -> object:  # type: ignore[override]
        self.state.permits[clear.permit].cleared = self.state.index
        return self._yes()


class Hasty(Follower):
    """Says that it acts on a list before it does."""

    def told(self, now: int, sight: Sight | None, known: bool) -> bool:
        new = super().told(now, sight, known)
        self.acting()
        return new


class Forgetful(Follower):
    """Takes up an older list that comes late."""

    def told(self, now: int, sight: Sight | None, known: bool) -> bool:
        self.acts = 0
        return super().told(now, sight, known)


class Process:
    """A front end: what it was told lies in a queue until it is carried out, as a busy process would."""

    def __init__(self, kind: type[Follower], name: str, life: int) -> None:
        self.follower = kind(name, f"{name}.{life}", True)
        self.avoids: set[str] = set()
        self.todo: list[set[str]] = []
        self.paused = False


def played(seed: int, fleet: type[Fleet] = Fleet, kind: type[Follower] = Follower) -> int:
    """Each worker that ends is one that no front end which is heard of still calls. How many ended."""
    rng, now, ended = Random(seed), 0, 0
    keeper = fleet_of(4, 2, fleet)
    processes = {f"f{n}": Process(kind, f"f{n}", 1) for n in range(4)}
    watch = Watch(now, LEASE, Terms())
    late: list[tuple[Process, Sight]] = []
    for step in range(600):
        now += rng.randrange(40)
        state = keeper.fleet.state
        name = rng.choice(list(processes))
        process = processes[name]
        dice = rng.random()
        if dice < 0.5 and not process.paused:
            follower = process.follower
            known = watch.report(now, Report(name, follower.incarnation, follower.acts), state)
            sight = sight_of(state, now, Ages())
            late.append((process, sight))
            if rng.random() < 0.8:
                process, sight = late.pop(rng.randrange(len(late)))
            if process.follower.told(now, sight, known):
                assert process.follower.sight is not None
                process.todo.append({w.name for w in process.follower.sight.workers if w.leaving})
                if rng.random() < 0.7:
                    process.avoids = process.todo.pop()
                    process.follower.acting()
        elif dice < 0.55:
            process.paused = not process.paused
        elif dice < 0.58:
            processes[name] = Process(kind, name, step + 2)
            keeper.do(Enter(name, FRONT_END, "a", f"{name}.{step + 2}", "v1", follows=True))
        elif dice < 0.63:
            watch = Watch(now, LEASE, Terms())  # another leader
        elif dice < 0.73 and not state.permits:
            leaving(keeper, rng.choice(["w0", "w1"]))
        else:
            for command in watch.look(now, state):
                if rng.random() < 0.8:
                    keeper.do(command)
        for permit in [p for p in state.permits.values() if p.cleared]:
            for other in processes.values():
                member = state.members[other.follower.member]
                heard = not member.silent and member.incarnation == other.follower.incarnation
                acted = any(a.incarnation == other.follower.incarnation for a in permit.acted)
                assert not (heard and acted) or permit.member in other.avoids, "still called"
                assert acted or not heard or other.follower.incarnation.endswith(f".{step + 2}"), "not asked"
            ended += 1
            keeper.fleet._returned(permit)
    return ended


def test_no_worker_ends_that_a_front_end_which_is_heard_of_still_calls() -> None:
    assert sum(played(seed) for seed in range(30)) > 60


@pytest.mark.parametrize(
    ("fleet", "kind", "why"),
    [(Trusting, Follower, "not asked"), (Fleet, Hasty, "still called"), (Fleet, Forgetful, "still called")],
)
def test_wrong_rules_for_drains_are_found(fleet: type[Fleet], kind: type[Follower], why: str) -> None:
    found = []
    for seed in range(30):
        try:
            played(seed, fleet, kind)
        except AssertionError as error:
            found.append(str(error))
    assert any(why in text for text in found)


def test_what_is_agreed_joins_a_front_ends_own_list() -> None:
    keeper = fleet_of()
    leaving(keeper)
    own = [
        Listed("w0", "127.0.0.1:9", "a", 0, False),
        Listed("w1", "127.0.0.1:2", "a", 800, True),
        Listed("own", "127.0.0.1:7", None, 0, False),
    ]
    follower = Follower("f0", "f0.1", True)
    assert follower.joined(own) == own
    keeper.do(Enter("w2", WORKER, "b", "w2.1", "v1"))  # says no address: nobody could call it
    follower.told(700, sight_of(keeper.fleet.state, 0, Ages()), True)
    by_name = {w.name: w for w in follower.joined(own[1:])}
    assert set(by_name) == {"w0", "w1", "own"}
    assert by_name["w0"] == Listed("w0", "127.0.0.1:1", "a", 700, True)
    assert by_name["w1"] == Listed("w1", "127.0.0.1:2", "a", 800, True), "it leaves by the own list"


def test_a_workers_age_is_told_as_a_span_and_stays_for_a_process() -> None:
    """A clock that is a day ahead would make a worker cold for a day, one that is behind would hide a
    start."""
    keeper, ages, follower = fleet_of(), Ages(), Follower("f0", "f0.1", True)

    def began(now: int, at: int) -> int:
        ages.saw(at, keeper.fleet.state)
        follower.told(now, sight_of(keeper.fleet.state, at, ages), True)
        return next(w.began for w in follower.joined([]) if w.name == "w0")

    ages.saw(100, keeper.fleet.state)
    assert began(now=10**9, at=5100) == 10**9 - 5000
    leaving(keeper)
    ages = Ages()  # another keeper, which has just come up
    assert began(now=10**9 + 7000, at=0) == 10**9 - 5000
    keeper.do(Enter("w0", WORKER, "a", "w0.2", "v1", address="127.0.0.1:1"))
    assert began(now=10**9 + 9000, at=40) == 10**9 + 9000


# The agent of a worker


class Worker(Place):
    """A worker in an agent's care; one front end, which says what it acts on when asked."""

    kind = WORKER

    def __init__(self) -> None:
        super().__init__()
        self.agree(Enter("f", FRONT_END, "a", "f.1", "v1", follows=True))

    def acted(self) -> None:
        for permit in self.fleet.state.permits.values():
            self.agree(Clear(permit.id, (Acted("f", "f.1", permit.at),)))
        self.look()


def test_a_worker_ends_once_it_is_cleared_and_a_drain_holds_it_out_over_its_agents_restart() -> None:
    place = Worker()
    place.agree(Start("d", ("m",), stay=True))
    place.look()
    place.look()
    assert place.stands() is Phase.LEAVING and place.launched == ["v1"]
    place.acted()
    assert place.stands() is Phase.DOWN and place.steward.held
    held, place.steward = place.steward.held, place.agent()
    place.steward.held = held
    place.do(place.steward.start(place.now))
    place.look()
    assert place.stands() is Phase.DOWN and place.launched == ["v1"]
    place.agree(Return("m", "operator"))
    place.look()
    assert place.launched == ["v1", "v1"] and place.fleet.state.plans["d"].ended == "done"
    assert not place.fleet.state.permits and not place.steward.held


def test_a_worker_that_crashes_while_it_leaves_is_out_and_its_drain_goes_on() -> None:
    place = Worker()
    place.agree(Start("d", ("m",), stay=True))
    place.look()
    place.feed(Ended())
    assert place.stands() is Phase.DOWN
    place = Worker()
    place.agree(Start("c", ("m",)))
    place.look()
    place.feed(Ended())
    assert place.launched == ["v1", "v1"] and place.fleet.state.plans["c"].ended == "done"


def test_a_drain_taken_back_before_its_worker_ended_leaves_it_running() -> None:
    place = Worker()
    place.agree(Start("d", ("m",), stay=True))
    place.look()
    place.agree(Return("m", "operator"))
    place.look()
    assert place.stands() is Phase.RUNNING and place.launched == ["v1"]
    assert place.fleet.state.plans["d"].ended == "done" and not place.fleet.state.permits


def test_a_state_older_than_one_it_has_seen_takes_nothing_back() -> None:
    place = Worker()
    old = Fleet.restore(place.fleet.snapshot()).state
    place.agree(Start("d", ("m",), stay=True))
    place.look()
    place.feed(Saw(old))
    assert place.stands() is Phase.LEAVING
    place.acted()
    place.feed(Saw(old))
    assert place.stands() is Phase.DOWN


def test_by_hand_goes_without_a_permit_and_is_told_afterwards() -> None:
    place = Worker()
    place.feed(ByHand("jo", "no quorum", 7.0, "v2"))
    assert place.launched == ["v1", "v2"] and place.steward.current == "v2"
    assert [a.why for a in place.fleet.state.alone] == ["no quorum"] and not place.fleet.state.permits
    assert place.fleet.state.members["m"].version == "v2"
    place = Worker()
    place.bad = ("v2",)
    place.feed(ByHand("jo", "no quorum", 7.0, "v2"))
    place.pass_time(60 * SECOND)
    assert place.steward.current == "v1" and place.stands() is Phase.RUNNING


# Plans


def test_a_rollback_takes_the_place_of_the_plan_under_way_and_passes_by_who_is_there() -> None:
    keeper = Keeper(4, Budget(FRONT_END, most=2))
    names = tuple(f"m{n}" for n in range(4))
    keeper.do(Start("r", names, "v2"))
    keeper.replace("m0", "r")
    assert "under way" in keeper.do(Start("b", names, "v1")).why
    keeper.do(Enter("w", WORKER, "a", "w.1"))
    assert "under way" in keeper.do(Start("d", ("m1",))).why, "one member, two plans"
    assert keeper.do(Start("d", ("w",))).done, "others may be drained meanwhile"
    assert keeper.do(Start("b", names, "v1", replaces="r", judged=False)).done
    plans = keeper.fleet.state.plans
    assert plans["r"].ended == "replaced by b" and plans["b"].order == ["m0"]
    assert not keeper.ask("m1", "r").done
    keeper.replace("m0", "b", "v1")
    assert plans["b"].ended == "done"
    assert keeper.do(Start("again", names, "v1")).done and plans["again"].ended.startswith("done")


def test_a_member_that_is_forgotten_holds_up_no_plan() -> None:
    keeper = Keeper(2)
    keeper.do(Start("c", ("m0", "m1")))
    keeper.replace("m0", "c")
    keeper.do(Forget("m1"))
    assert keeper.fleet.state.plans["c"].ended == "done"


def test_old_plans_and_versions_go_but_none_that_is_needed() -> None:
    keeper = Keeper(2)
    for n in range(PLANS_MOST + 20):
        keeper.do(Keep(f"x{n}", b""))
        keeper.do(Start(f"c{n}", ("m0",)))
        keeper.replace("m0", f"c{n}", "v1")
    state = keeper.fleet.state
    assert len(state.versions) == VERSIONS_MOST and "v1" in state.versions
    assert len(state.plans) == PLANS_MOST and f"c{PLANS_MOST + 19}" in state.plans


# Judgement


class Judged:
    """Front ends that tell their calls; six a zone."""

    def __init__(self) -> None:
        self.keeper = fleet_of(12, 0)
        self.watch = Watch(0, LEASE, Terms(calls=100, worse=0.02))
        self.calls = {n: Figures() for n in self.state.members}
        self.keeper.do(Start("r", tuple(self.state.members), "v2", (0.5, 1.0), "v1"))

    @property
    def state(self) -> State:
        return self.keeper.fleet.state

    def serve(self, bad: Set[str] = frozenset()) -> list[Judge]:
        """A thousand calls each; `bad` members fail a fifth. What the leader proposes then."""
        for _ in range(2):
            for name, member in self.state.members.items():
                self.watch.report(1, Report(name, member.incarnation, 0, self.calls[name]), self.state)
            proposed = [c for c in self.watch.look(1, self.state) if isinstance(c, Judge)]
            if proposed:
                return proposed
            for name in self.calls:
                failed = 200 if name in bad else 0
                self.calls[name] += Figures(1000 - failed, 0, failed, 1000 - failed)
        return proposed

    def replace(self) -> list[str]:
        plan = self.state.plans["r"]
        names = [m for m in plan.order[: plan.reached()] if m not in plan.done]
        for name in names:
            self.keeper.replace(name, "r")
            self.calls[name] = Figures()
        return names


def test_a_step_is_judged_by_what_its_members_tell_and_the_last_one_by_the_steps_before() -> None:
    day = Judged()
    for _ in range(3):
        assert not day.serve(), "its members are not back"
        day.replace()
        (judge,) = day.serve()
        assert judge.good, judge.why
        day.keeper.do(judge)
        day.watch = Watch(1, LEASE, Terms(calls=100))  # another leader each time: it knows what is agreed
    assert day.state.plans["r"].ended == "done" and day.state.plans["r"].before[0] > 1000


def test_a_version_that_is_bad_in_one_zone_alone_is_found() -> None:
    day = Judged()
    first = day.replace()
    (judge,) = day.serve()
    day.keeper.do(judge)
    second = day.replace()
    in_b = {n for n in [*first, *second] if day.state.members[n].zone == "b"}
    (judge,) = day.serve(in_b)
    assert not judge.good and judge.why.endswith("in b") and "failed" in judge.why
    day.keeper.do(judge)
    assert day.state.plans["r"].ended.startswith("gone back")


def test_members_that_tell_nothing_are_no_yes() -> None:
    day = Judged()
    (name,) = day.replace()
    member = day.state.members[name]
    day.watch.report(1, Report(name, member.incarnation), day.state)
    day.calls.pop(name)
    silent = day.state.members.pop(name)
    day.serve()
    day.state.members[name] = silent
    assert not [c for c in day.watch.look(1, day.state) if isinstance(c, Judge)]
    assert "0 and" in day.watch.waits["r"]


def test_an_agents_word_does_not_hide_a_front_end_that_is_stuck() -> None:
    keeper = fleet_of(1, 0)
    watch = Watch(0, LEASE, Terms())
    for now in range(0, 3 * LEASE, 100):
        watch.report(now, Report("f0", "f0.1"), keeper.fleet.state)
    assert watch.look(3 * LEASE, keeper.fleet.state) == [Silent("f0", "f0.1")]
    assert not watch.report(3 * LEASE, Report("f0", "f0.9", 4), keeper.fleet.state), "another process"
