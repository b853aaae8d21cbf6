"""What the fleet agrees on: never too many out in any order of events, plans by steps, and their way back."""

from __future__ import annotations

from random import Random

import pytest

from walnutpost.fleet import (
    FRONT_END,
    WORKER,
    Answer,
    Ask,
    Back,
    Began,
    Budget,
    Command,
    Enter,
    Figures,
    Fleet,
    Forget,
    Halt,
    Heard,
    Holder,
    Judge,
    Keep,
    Leases,
    Remove,
    Resume,
    SetBudgets,
    Silent,
    Stand,
    Start,
    Terms,
    Unbegun,
    Verdict,
    encode,
    judge,
)

WITHIN, HALF = 1000, 500


class Keeper:
    """A fleet whose commands are agreed on at once."""

    def __init__(self, members: int = 6, *budgets: Budget, fleet: type[Fleet] = Fleet) -> None:
        self.fleet, self.index = fleet(), 0
        for n in range(members):
            self.do(Enter(f"m{n}", FRONT_END, "ab"[n % 2], f"m{n}.1", "v1"))
        self.do(SetBudgets(budgets or (Budget(FRONT_END, most=2),)))
        for version in ("v1", "v2"):
            self.do(Keep(version, version.encode()))

    def do(self, command: Command, id: str = "") -> Answer:
        self.index += 1
        return self.fleet.apply(self.index, id or f"i{self.index}", encode(command))

    def ask(self, member: str, plan: str = "", holder: str = "") -> Answer:
        return self.do(Ask(member, holder or f"agent-{member}", "test", plan))

    def replace(self, member: str, plan: str, version: str = "v2") -> None:
        permit = self.ask(member, plan)
        assert permit.done, permit.why
        self.do(Began(permit.permit, f"agent-{member}"))
        back = Back(permit.permit, f"agent-{member}", f"{member}.{self.index}", version)
        assert self.do(back).done


# Any order, with holders that are paused and answers that come late


class PermitsLapse(Fleet):
    def apply(self, index: int, id: str, data: bytes) -> Answer:
        for permit in [p for p in self.state.permits.values() if index - p.at > 12]:
            self._returned(permit)
        return super().apply(index, id, data)


class AppliesTwice(Fleet):
    def apply(self, index: int, id: str, data: bytes) -> Answer:
        self.state.answers.clear()
        return super().apply(index, id, data)


class CountsFromTheAnswer(Holder):
    def granted(self, now: int, permit: str) -> None:
        self._until = now + WITHIN
        super().granted(now, permit)


class World:
    """Members with agents; the history takes commands in any order, again, and answers late. What is out is
    counted at the members themselves."""

    def __init__(self, seed: int, fleet: type[Fleet], holder: type[Holder]) -> None:
        self.random, self.now, self.holder = Random(seed), 0, holder
        self.keeper = Keeper(8, Budget(FRONT_END, most=3), Budget(FRONT_END, "*", most=2), fleet=fleet)
        self.holders: dict[str, tuple[str, Holder]] = {}
        self.really_out: dict[str, str] = {}  # member -> permit
        self.wire: list[tuple[str, str, Command]] = []  # agent, id, command
        self.answers: list[tuple[str, str, Answer]] = []
        self.halted_at: int | None = None
        self.ids = 0
        self.first: dict[str, Answer] = {}

    def send(self, member: str, command: Command) -> None:
        self.ids += 1
        self.wire.append((member, f"{member}-{self.ids}", command))

    def step(self) -> None:
        random, member = self.random, f"m{self.random.randrange(8)}"
        self.now += random.randrange(60)
        dice = random.random()
        holder = self.holders.get(member)
        if dice < 0.35 and self.wire:
            place = random.randrange(len(self.wire))
            agent, id, command = self.wire[place]
            if random.random() < 0.8:  # else it comes again
                self.wire.pop(place)
            answer = self.keeper.do(command, id)
            assert self.first.setdefault(id, answer) == answer, "answered twice"
            self.answers.append((agent, id, answer))
        elif dice < 0.6 and self.answers:
            agent, id, answer = self.answers.pop(random.randrange(len(self.answers)))
            known = self.holders.get(agent)
            if known is not None and known[0] == id and answer.permit:
                known[1].granted(self.now, answer.permit)
        elif dice < 0.9:
            self._act(member, holder[1] if holder else None)
        elif dice < 0.93 and self.halted_at is None:
            self.halted_at = self.now
            self.keeper.do(Halt("try"))
        elif self.halted_at is not None and dice < 0.95:
            self.halted_at = None
            self.keeper.do(Resume())
        here = [m for m in self.really_out if int(m[1:]) % 2 == 0]
        assert len(self.really_out) <= 3 and max(len(here), len(self.really_out) - len(here)) <= 2, "too many"

    def _act(self, member: str, holder: Holder | None) -> None:
        if member in self.really_out:
            if self.random.random() < 0.3:
                permit = self.really_out.pop(member)
                self.holders.pop(member, None)
                self.send(member, Back(permit, f"agent-{member}", f"{member}.{self.now}", "v1"))
        elif holder is None or holder.stand is Stand.GIVEN_UP:
            if holder is not None and holder.owes_back:
                self.send(member, Unbegun(holder.permit, f"agent-{member}"))
            self.send(member, Ask(member, f"agent-{member}", "test"))
            self.holders[member] = self.wire[-1][1], self.holder(self.now, WITHIN)
        elif holder.begin(self.now):
            late = self.halted_at is not None and self.now - self.halted_at >= WITHIN
            assert not late, "it began after the halt had taken effect"
            self.really_out[member] = holder.permit
            self.send(member, Began(holder.permit, f"agent-{member}"))


def played(seed: int, fleet: type[Fleet] = Fleet, holder: type[Holder] = Holder) -> int:
    world, most = World(seed, fleet, holder), 0
    for _ in range(1500):
        world.step()
        most = max(most, len(world.really_out))
    again = Fleet.restore(world.keeper.fleet.snapshot())
    assert again.snapshot() == world.keeper.fleet.snapshot()
    return most


def test_never_too_many_are_out_and_nothing_begins_after_a_halt() -> None:
    assert max(played(seed) for seed in range(20)) == 3


@pytest.mark.parametrize(
    ("fleet", "holder", "why"),
    [
        (PermitsLapse, Holder, "too many"),
        (AppliesTwice, Holder, "answered twice"),
        (Fleet, CountsFromTheAnswer, "began after"),
    ],
)
def test_wrong_rules_for_permits_are_found(fleet: type[Fleet], holder: type[Holder], why: str) -> None:
    found = []
    for seed in range(20):
        try:
            played(seed, fleet, holder)
        except AssertionError as error:
            found.append(str(error))
    assert any(why in text for text in found)


# Budgets and permits


def test_permits_and_silence_use_up_the_budgets_in_all_and_by_zone() -> None:
    keeper = Keeper(8, Budget(FRONT_END, share=0.5), Budget(FRONT_END, "*", most=2), Budget(WORKER, most=0))
    assert keeper.ask("m0").done
    keeper.do(Silent("m2", "m2.1"))
    assert "2 of 2 front_ends in a are out: m0, m2" in keeper.ask("m4").why
    assert keeper.ask("m2").done, "what is out already may be brought back"
    assert keeper.ask("m1").done and keeper.ask("m3").done
    assert "4 of 4 front_ends are out" in keeper.ask("m5").why or "in b" in keeper.ask("m5").why
    keeper.do(Enter("w", WORKER, "a", "w.1"))
    assert "0 of 0 workers" in keeper.ask("w").why


def test_a_permit_comes_back_by_proof_only_and_from_its_holder() -> None:
    keeper = Keeper(2, Budget(FRONT_END, most=1))
    permit = keeper.ask("m0").permit
    assert "agent-m0" in keeper.ask("m0", holder="another agent").why
    for command in (
        Back(permit, "another agent", "m0.2"),
        Unbegun(permit, "another agent"),
        Enter("m0", FRONT_END, "a", "m0.2"),
        Heard("m0", "m0.2"),
    ):
        keeper.do(command)
        assert not keeper.ask("m1").done
    keeper.do(Began(permit, "agent-m0"))
    assert not keeper.do(Unbegun(permit, "agent-m0")).done, "what has begun is out"
    assert keeper.do(Remove(permit, "operator")).done and keeper.ask("m1").done
    keeper.do(Forget("m1"))
    assert keeper.ask("m0").done


def test_a_command_that_comes_again_gets_its_first_answer_and_bad_ones_change_nothing() -> None:
    keeper = Keeper(4, Budget(FRONT_END, most=1))
    first = keeper.do(Ask("m0", "agent", "test"), "x")
    assert first.done and keeper.do(Ask("m0", "agent", "test"), "x") == first
    before = keeper.fleet.state.permits.copy()
    for data in (b"", b"noise", encode(Halt("x")).replace(b"\x01", b"\x02", 1)):
        assert not keeper.fleet.apply(99, "", data).done
    assert keeper.fleet.state.permits == before and not keeper.fleet.state.halted


def test_a_small_share_still_lets_one_go() -> None:
    assert Budget(FRONT_END, share=0.1).allowed(3) == 1 and Budget(FRONT_END, share=0.1).allowed(35) == 3


# Plans


def test_a_release_goes_by_steps_over_zones_and_only_after_a_judgement() -> None:
    keeper = Keeper(8, Budget(FRONT_END, most=4))
    names = tuple(f"m{n}" for n in range(8))
    assert keeper.do(Start("r", names, "v2", (0.5, 1.0))).done
    plan = keeper.fleet.state.plans["r"]
    assert plan.order[:4] == ["m0", "m1", "m2", "m3"], "each zone in turn"
    assert "step 1" in keeper.ask("m1", "r").why
    assert not keeper.do(Judge("r", 0, True)).done, "its first member is not back"
    for step, members in enumerate((("m0",), ("m1", "m2", "m3"), ("m4", "m5", "m6", "m7"))):
        for member in members:
            keeper.replace(member, "r")
        assert "done" in keeper.ask(members[0], "r").why
        assert keeper.do(Judge("r", step, True)).done
    assert plan.ended == "done" and not keeper.ask("m0", "r").done


def test_a_bad_judgement_halts_and_goes_back_under_the_same_budgets() -> None:
    keeper = Keeper(6, Budget(FRONT_END, most=1))
    keeper.do(Start("r", tuple(f"m{n}" for n in range(6)), "v2", (1.0,), "v1"))
    keeper.replace("m0", "r")
    keeper.do(Judge("r", 0, True))
    keeper.replace("m1", "r")
    going = keeper.ask("m2", "r")
    assert keeper.do(Judge("r", 1, False, "a fifth fails")).done
    state = keeper.fleet.state
    assert state.plans["r"].ended == "gone back: a fifth fails" and not keeper.ask("m3", "r").done
    back = state.plans["r.back"]
    assert back.version == "v1" and sorted(back.order) == ["m0", "m1", "m2"]
    assert not keeper.ask("m0", "r.back").done, "m2 is still out"
    assert back.reached() == 3, "the way back waits for no judgement"
    keeper.do(Back(going.permit, "agent-m2", "m2.9", "v2"))
    keeper.replace("m0", "r.back", "v1")
    assert (
        "another" in keeper.do(Start("s", ("m0",), "v2")).why
        or "under way" in keeper.do(Start("s", ("m0",))).why
    )


def test_a_release_that_does_not_start_goes_back_by_itself() -> None:
    keeper = Keeper(4)
    keeper.do(Start("r", ("m0", "m1"), "v2", (1.0,), "v1"))
    keeper.replace("m0", "r", version="v1")  # its agent was restarted: nothing was tried
    assert not keeper.fleet.state.plans["r"].done and not keeper.fleet.state.plans["r"].halted
    permit = keeper.ask("m0", "r").permit
    keeper.do(Back(permit, "agent-m0", "m0.9", "v1", "v2 does not come up"))
    assert keeper.fleet.state.plans["r"].ended == "gone back: m0: v2 does not come up"


def test_crashes_that_use_up_the_budget_halt_the_plan_until_an_operator_resumes() -> None:
    keeper = Keeper(6, Budget(FRONT_END, most=2))
    keeper.do(Start("d", ("m0", "m1")))
    keeper.do(Silent("m4", "m4.1"))
    assert not keeper.fleet.state.plans["d"].halted
    keeper.do(Silent("m5", "m5.1"))
    assert "m4, m5" in keeper.fleet.state.plans["d"].halted
    keeper.do(Heard("m5", "m5.1"))
    assert not keeper.ask("m0", "d").done
    assert keeper.do(Resume("d")).done and keeper.ask("m0", "d").done
    keeper.do(Enter("w", WORKER, "a", "w.1"))
    keeper.do(SetBudgets((Budget(FRONT_END, most=2), Budget(WORKER, most=1))))
    keeper.do(Silent("w", "w.1"))  # no matter of a plan that takes out front ends
    keeper.do(Silent("m0", "m0.1"))  # as agreed: it is being replaced, and takes its time
    assert not keeper.fleet.state.plans["d"].halted


@pytest.mark.parametrize(
    ("start", "why"),
    [
        (Start("r", ("m0",), "v9"), "v9 is not kept"),
        (Start("r", ("m0", "x"), "v2"), "no member x"),
        (Start("r", (), "v2"), "wanted"),
        (Start("r", ("m0",), "v2", (0.5,)), "rise to 1"),
        (Start("r", ("m0",), "v2", (1.0, 0.5)), "rise to 1"),
        (Start("r", ("m0",), "v2", (1.0,), "v8"), "v8 to go back to"),
    ],
)
def test_a_plan_that_can_not_be_carried_out_is_not_begun(start: Start, why: str) -> None:
    keeper = Keeper()
    assert why in keeper.do(start).why and not keeper.fleet.state.plans


# Leases and judgement


def test_a_new_leader_calls_nobody_silent_before_a_whole_lease() -> None:
    members = Keeper(2).fleet.state.members
    leases = Leases(1000, 100)
    assert leases.look(1099, members) == []
    leases.report(1099, "m0", "m0.1")
    assert leases.look(1100, members) == [Silent("m1", "m1.1")]
    members["m1"].silent = True
    leases.report(1150, "m1", "another")  # two under one name: the agreed one is still silent
    assert leases.look(1160, members) == []
    leases.report(1170, "m1", "m1.1")
    assert leases.look(1180, members) == [Heard("m1", "m1.1")]


@pytest.mark.parametrize(
    ("new", "old", "verdict"),
    [
        (Figures(1000, 0, 0, 990), Figures(5000, 0, 0, 4950), Verdict.GOOD),
        (Figures(100, 0, 0, 100), Figures(5000, 0, 0, 5000), Verdict.NOT_YET),
        (Figures(5000, 0, 0, 5000), Figures(100, 0, 0, 100), Verdict.NOT_YET),
        (Figures(800, 0, 200, 800), Figures(5000, 0, 0, 4990), Verdict.BAD),
        (Figures(800, 200, 0, 800), Figures(4900, 100, 0, 4900), Verdict.BAD),
        (Figures(1000, 0, 0, 500), Figures(5000, 0, 0, 4950), Verdict.BAD),
        (Figures(250, 0, 0, 240), Figures(5000, 0, 0, 4950), Verdict.NOT_YET),
        (Figures(400, 0, 100, 400), Figures(4000, 0, 1000, 4000), Verdict.NOT_YET),
        (Figures(8000, 0, 2000, 8000), Figures(40000, 0, 10000, 40000), Verdict.GOOD),
    ],
)
def test_a_step_is_judged_against_the_members_on_the_old_version(
    new: Figures, old: Figures, verdict: Verdict
) -> None:
    assert judge([new], [old], Terms())[0] is verdict
