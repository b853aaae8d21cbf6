"""Permits and disruption budgets: limits under any order of messages, and which commands end a permit."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest

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
from walnutpost.testsupport.fleet.state_machine_harness import (
    FleetHarness,
)

BEGIN_TIMEOUT_US = 1000


class ExpiringPermits(Fleet):
    """Ends permits after some entries, as leases end."""

    def apply(self, index: int, request_id: str, data: bytes) -> CommandResult:
        for permit in [p for p in self.state.permits.values() if index - p.granted_index > 12]:
            release_permit(self, permit)
        return super().apply(index, request_id, data)


class NoRememberedResults(Fleet):
    """Applies a repeated command again."""

    def apply(self, index: int, request_id: str, data: bytes) -> CommandResult:
        self.state.results.clear()
        return super().apply(index, request_id, data)


class TimeLimitFromTheAnswer(PermitHolder):
    """Counts the time limit from the answer instead of the request."""

    def granted(self, now_us: int, permit: str) -> None:
        self._deadline_us = now_us + BEGIN_TIMEOUT_US
        super().granted(now_us, permit)


@dataclass(frozen=True)
class Message:
    """A command on its way from the agent of a member."""

    member: str
    request_id: str
    command: Command


@dataclass(frozen=True)
class Answer:
    """The result of a command on its way back."""

    member: str
    request_id: str
    result: CommandResult


@dataclass(frozen=True)
class PendingRequest:
    """The last request for a permit of a member's agent."""

    request_id: str
    holder: PermitHolder


class PermitSimulation:
    """Eight members with agents. Commands and answers arrive in any order, late, and commands repeatedly.

    `unavailable`: the members that are really stopped, with the permit used.
    """

    def __init__(self, seed: int, fleet: type[Fleet], holder: type[PermitHolder]) -> None:
        self.random, self.now_us, self.holder = Random(seed), 0, holder
        self.harness = FleetHarness(
            8,
            DisruptionBudget(FRONT_END, max_unavailable=3),
            DisruptionBudget(FRONT_END, "*", max_unavailable=2),
            fleet=fleet,
        )
        self.pending: dict[str, PendingRequest] = {}
        self.unavailable: dict[str, str] = {}
        self.messages: list[Message] = []
        self.answers: list[Answer] = []
        self.halted_at_us: int | None = None
        self.request_count = 0
        self.first_results: dict[str, CommandResult] = {}

    def send(self, member: str, command: Command) -> str:
        """Queue a command, and return its request id."""
        self.request_count += 1
        request_id = f"{member}-{self.request_count}"
        self.messages.append(Message(member, request_id, command))
        return request_id

    def step(self) -> None:
        """Do one random thing, and check the budgets against the members that are really stopped."""
        member = f"m{self.random.randrange(8)}"
        self.now_us += self.random.randrange(60)
        dice = self.random.random()
        if dice < 0.35 and self.messages:
            self._deliver_command()
        elif dice < 0.6 and self.answers:
            self._deliver_answer()
        elif dice < 0.9:
            self._act(member)
        elif dice < 0.93 and self.halted_at_us is None:
            self.halted_at_us = self.now_us
            self.harness.do(HaltPlan("try"))
        elif self.halted_at_us is not None and dice < 0.95:
            self.halted_at_us = None
            self.harness.do(ResumePlan())
        in_zone_a = sum(int(name[1:]) % 2 == 0 for name in self.unavailable)
        in_zone_b = len(self.unavailable) - in_zone_a
        assert len(self.unavailable) <= 3, "too many"
        assert max(in_zone_a, in_zone_b) <= 2, "too many"

    def _deliver_command(self) -> None:
        place = self.random.randrange(len(self.messages))
        message = self.messages[place]
        if self.random.random() < 0.8:  # otherwise it is delivered again
            self.messages.pop(place)
        result = self.harness.do(message.command, message.request_id)
        assert self.first_results.setdefault(message.request_id, result) == result, "answered twice"
        self.answers.append(Answer(message.member, message.request_id, result))

    def _deliver_answer(self) -> None:
        answer = self.answers.pop(self.random.randrange(len(self.answers)))
        pending = self.pending.get(answer.member)
        if pending is not None and pending.request_id == answer.request_id and answer.result.permit:
            pending.holder.granted(self.now_us, answer.result.permit)

    def _act(self, member: str) -> None:
        """Let an agent request a permit, begin under one, or bring its member back."""
        agent = f"agent-{member}"
        holder = self.pending[member].holder if member in self.pending else None
        if member in self.unavailable:
            if self.random.random() < 0.3:
                permit = self.unavailable.pop(member)
                self.pending.pop(member, None)
                self.send(member, CompletePermit(permit, agent, f"{member}.{self.now_us}", "v1"))
        elif holder is None or holder.phase is PermitPhase.ABANDONED:
            if holder is not None and holder.must_abandon:
                self.send(member, AbandonPermit(holder.permit, agent))
            request_id = self.send(member, RequestPermit(member, agent, "test"))
            self.pending[member] = PendingRequest(request_id, self.holder(self.now_us, BEGIN_TIMEOUT_US))
        elif holder.begin(self.now_us):
            halted_at_us = self.halted_at_us
            is_late = halted_at_us is not None and self.now_us - halted_at_us >= BEGIN_TIMEOUT_US
            assert not is_late, "it began after the halt had taken effect"
            self.unavailable[member] = holder.permit
            self.send(member, BeginPermit(holder.permit, agent))


def simulate(seed: int, fleet: type[Fleet] = Fleet, holder: type[PermitHolder] = PermitHolder) -> int:
    """Simulate 1,500 steps, and return the most members that were unavailable at the same time."""
    simulation = PermitSimulation(seed, fleet, holder)
    max_unavailable = 0
    for _ in range(1500):
        simulation.step()
        max_unavailable = max(max_unavailable, len(simulation.unavailable))
    restored = Fleet.restore(simulation.harness.fleet.snapshot())
    assert restored.snapshot() == simulation.harness.fleet.snapshot()
    return max_unavailable


def test_permits_under_any_order_of_messages_never_exceed_a_budget_or_begin_after_a_halt() -> None:
    assert max(simulate(seed) for seed in range(20)) == 3


@pytest.mark.parametrize(
    ("fleet", "holder", "violation"),
    [
        (ExpiringPermits, PermitHolder, "too many"),
        (NoRememberedResults, PermitHolder, "answered twice"),
        (Fleet, TimeLimitFromTheAnswer, "began after"),
    ],
)
def test_permits_under_a_wrong_rule_violate_an_invariant(
    fleet: type[Fleet], holder: type[PermitHolder], violation: str
) -> None:
    violations = []
    for seed in range(20):
        try:
            simulate(seed, fleet, holder)
        except AssertionError as error:
            violations.append(str(error))
    assert any(violation in text for text in violations)


def test_request_when_permits_and_unresponsive_members_use_up_a_budget_is_rejected() -> None:
    harness = FleetHarness(
        8,
        DisruptionBudget(FRONT_END, max_unavailable_ratio=0.5),
        DisruptionBudget(FRONT_END, "*", max_unavailable=2),
        DisruptionBudget(WORKER, max_unavailable=0),
    )
    assert harness.request_permit("m0").ok
    harness.do(MarkUnresponsive("m2", "m2.1"))
    assert "2 of 2 front_ends in a are out: m0, m2" in harness.request_permit("m4").error
    assert harness.request_permit("m2").ok, "an unresponsive member may be replaced"
    assert harness.request_permit("m1").ok
    assert harness.request_permit("m3").ok
    assert (
        "4 of 4 front_ends are out" in harness.request_permit("m5").error
        or "in b" in harness.request_permit("m5").error
    )
    harness.do(RegisterMember("w", WORKER, "a", "w.1"))
    assert "0 of 0 workers" in harness.request_permit("w").error


def test_permit_when_others_report_the_member_back_stays_until_its_holder_or_an_operator_ends_it() -> None:
    harness = FleetHarness(2, DisruptionBudget(FRONT_END, max_unavailable=1))
    permit = harness.request_permit("m0").permit
    assert "agent-m0" in harness.request_permit("m0", holder="another agent").error
    for command in (
        CompletePermit(permit, "another agent", "m0.2"),
        AbandonPermit(permit, "another agent"),
        RegisterMember("m0", FRONT_END, "a", "m0.2"),
        MarkResponsive("m0", "m0.2"),
    ):
        harness.do(command)
        assert not harness.request_permit("m1").ok
    harness.do(BeginPermit(permit, "agent-m0"))
    assert not harness.do(AbandonPermit(permit, "agent-m0")).ok, (
        "a member whose holder has begun is unavailable"
    )
    assert harness.do(RevokePermit(permit, "operator")).ok
    assert harness.request_permit("m1").ok
    harness.do(ForgetMember("m1"))
    assert harness.request_permit("m0").ok


def test_budget_when_its_ratio_is_below_one_member_still_allows_one() -> None:
    assert DisruptionBudget(FRONT_END, max_unavailable_ratio=0.1).limit(3) == 1
    assert DisruptionBudget(FRONT_END, max_unavailable_ratio=0.1).limit(35) == 3
