"""Permits and disruption budgets: the limits under any order of messages, and who may end a permit."""

from __future__ import annotations

from random import Random

import pytest

from state_machine_rig import (
    FleetRig,
)
from walnutpost.fleet import (
    FRONT_END,
    WORKER,
    AbandonPermit,
    BeginPermit,
    Command,
    CommandResult,
    CompletePermit,
    DisruptionBudget,
    Fleet,
    ForgetMember,
    HaltPlan,
    MarkResponsive,
    MarkUnresponsive,
    PermitHolder,
    PermitPhase,
    RegisterMember,
    RequestPermit,
    ResumePlan,
    RevokePermit,
)
from walnutpost.fleet.permits import release_permit

WITHIN, HALF = 1000, 500


class PermitsLapse(Fleet):
    def apply(self, index: int, id: str, data: bytes) -> CommandResult:
        for permit in [p for p in self.state.permits.values() if index - p.granted_index > 12]:
            release_permit(self, permit)
        return super().apply(index, id, data)


class AppliesTwice(Fleet):
    def apply(self, index: int, id: str, data: bytes) -> CommandResult:
        self.state.results.clear()
        return super().apply(index, id, data)


class CountsFromTheAnswer(PermitHolder):
    def granted(self, now: int, permit: str) -> None:
        self._deadline_us = now + WITHIN
        super().granted(now, permit)


class World:
    """Members with agents; the history takes commands in any order, again, and answers late. What is out is
    counted at the members themselves."""

    def __init__(self, seed: int, fleet: type[Fleet], holder: type[PermitHolder]) -> None:
        self.random, self.now, self.holder = Random(seed), 0, holder
        self.rig = FleetRig(
            8,
            DisruptionBudget(FRONT_END, max_unavailable=3),
            DisruptionBudget(FRONT_END, "*", max_unavailable=2),
            fleet=fleet,
        )
        self.holders: dict[str, tuple[str, PermitHolder]] = {}
        self.really_out: dict[str, str] = {}  # member -> permit
        self.wire: list[tuple[str, str, Command]] = []  # agent, id, command
        self.answers: list[tuple[str, str, CommandResult]] = []
        self.halted_at: int | None = None
        self.ids = 0
        self.first: dict[str, CommandResult] = {}

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
            answer = self.rig.do(command, id)
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
            self.rig.do(HaltPlan("try"))
        elif self.halted_at is not None and dice < 0.95:
            self.halted_at = None
            self.rig.do(ResumePlan())
        here = [m for m in self.really_out if int(m[1:]) % 2 == 0]
        assert len(self.really_out) <= 3 and max(len(here), len(self.really_out) - len(here)) <= 2, "too many"

    def _act(self, member: str, holder: PermitHolder | None) -> None:
        if member in self.really_out:
            if self.random.random() < 0.3:
                permit = self.really_out.pop(member)
                self.holders.pop(member, None)
                self.send(member, CompletePermit(permit, f"agent-{member}", f"{member}.{self.now}", "v1"))
        elif holder is None or holder.phase is PermitPhase.ABANDONED:
            if holder is not None and holder.must_return:
                self.send(member, AbandonPermit(holder.permit, f"agent-{member}"))
            self.send(member, RequestPermit(member, f"agent-{member}", "test"))
            self.holders[member] = self.wire[-1][1], self.holder(self.now, WITHIN)
        elif holder.begin(self.now):
            late = self.halted_at is not None and self.now - self.halted_at >= WITHIN
            assert not late, "it began after the halt had taken effect"
            self.really_out[member] = holder.permit
            self.send(member, BeginPermit(holder.permit, f"agent-{member}"))


def play(seed: int, fleet: type[Fleet] = Fleet, holder: type[PermitHolder] = PermitHolder) -> int:
    world, most = World(seed, fleet, holder), 0
    for _ in range(1500):
        world.step()
        most = max(most, len(world.really_out))
    again = Fleet.restore(world.rig.fleet.snapshot())
    assert again.snapshot() == world.rig.fleet.snapshot()
    return most


def test_permits_under_any_order_of_messages_never_exceed_a_budget_or_begin_after_a_halt() -> None:
    assert max(play(seed) for seed in range(20)) == 3


@pytest.mark.parametrize(
    ("fleet", "holder", "why"),
    [
        (PermitsLapse, PermitHolder, "too many"),
        (AppliesTwice, PermitHolder, "answered twice"),
        (Fleet, CountsFromTheAnswer, "began after"),
    ],
)
def test_permits_under_a_wrong_rule_violate_an_invariant(
    fleet: type[Fleet], holder: type[PermitHolder], why: str
) -> None:
    found = []
    for seed in range(20):
        try:
            play(seed, fleet, holder)
        except AssertionError as error:
            found.append(str(error))
    assert any(why in text for text in found)


def test_request_when_permits_and_unresponsive_members_use_up_a_budget_is_rejected() -> None:
    rig = FleetRig(
        8,
        DisruptionBudget(FRONT_END, max_unavailable_ratio=0.5),
        DisruptionBudget(FRONT_END, "*", max_unavailable=2),
        DisruptionBudget(WORKER, max_unavailable=0),
    )
    assert rig.ask("m0").ok
    rig.do(MarkUnresponsive("m2", "m2.1"))
    assert "2 of 2 front_ends in a are out: m0, m2" in rig.ask("m4").error
    assert rig.ask("m2").ok, "what is out already may be brought back"
    assert rig.ask("m1").ok
    assert rig.ask("m3").ok
    assert "4 of 4 front_ends are out" in rig.ask("m5").error or "in b" in rig.ask("m5").error
    rig.do(RegisterMember("w", WORKER, "a", "w.1"))
    assert "0 of 0 workers" in rig.ask("w").error


def test_permit_when_others_claim_the_member_is_back_stays_until_its_holder_or_an_operator_ends_it() -> None:
    rig = FleetRig(2, DisruptionBudget(FRONT_END, max_unavailable=1))
    permit = rig.ask("m0").permit
    assert "agent-m0" in rig.ask("m0", holder="another agent").error
    for command in (
        CompletePermit(permit, "another agent", "m0.2"),
        AbandonPermit(permit, "another agent"),
        RegisterMember("m0", FRONT_END, "a", "m0.2"),
        MarkResponsive("m0", "m0.2"),
    ):
        rig.do(command)
        assert not rig.ask("m1").ok
    rig.do(BeginPermit(permit, "agent-m0"))
    assert not rig.do(AbandonPermit(permit, "agent-m0")).ok, "what has begun is out"
    assert rig.do(RevokePermit(permit, "operator")).ok
    assert rig.ask("m1").ok
    rig.do(ForgetMember("m1"))
    assert rig.ask("m0").ok


def test_budget_when_its_ratio_is_below_one_member_still_allows_one() -> None:
    assert DisruptionBudget(FRONT_END, max_unavailable_ratio=0.1).limit(3) == 1
    assert DisruptionBudget(FRONT_END, max_unavailable_ratio=0.1).limit(35) == 3
