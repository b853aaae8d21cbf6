"""Draining of workers: which front ends must have acknowledged before a worker stops."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import pytest

from walnutpost.fleet import (
    FRONT_END,
    Acknowledgement,
    AnalysisPolicy,
    Command,
    CommandResult,
    ConfirmPermit,
    EndpointAges,
    EndpointFollower,
    EndpointSnapshot,
    Fleet,
    FleetMonitor,
    MarkUnresponsive,
    MemberReport,
    Permit,
    RegisterMember,
    endpoint_snapshot,
)
from walnutpost.fleet.permits import release_permit
from walnutpost.testsupport.fleet.state_machine_harness import (
    LEASE,
    begin_drain,
    fleet_with,
)


def test_confirmation_when_a_responsive_front_end_has_not_acknowledged_is_rejected() -> None:
    harness = fleet_with()
    permit = begin_drain(harness)
    index = harness.fleet.state.permits[permit].granted_index
    both = (Acknowledgement("f0", "f0.1", index), Acknowledgement("f1", "f1.1", index + 1))
    of_an_earlier_list = Acknowledgement("f2", "f2.1", index - 1)
    of_an_earlier_process = Acknowledgement("f2", "f2.0", index)
    for acknowledgements in (both, (*both, of_an_earlier_list), (*both, of_an_earlier_process)):
        assert "f2 has not said" in harness.do(ConfirmPermit(permit, acknowledgements)).error
    harness.do(MarkUnresponsive("f2", "f2.1"))
    harness.do(
        RegisterMember("f3", FRONT_END, "a", "f3.1", "v1", follows_endpoints=True)
    )  # after the proposal
    assert "f3 has not said" in harness.do(ConfirmPermit(permit, both)).error
    harness.do(RegisterMember("f4", FRONT_END, "a", "f4.1", "v1"))  # follows no list: it acknowledges nothing
    assert harness.do(ConfirmPermit(permit, (*both, Acknowledgement("f3", "f3.1", index)))).ok
    assert harness.fleet.state.permits[permit].confirmed_index
    assert len(harness.fleet.state.permits[permit].acknowledgements) == 3


class UncheckedConfirmation(Fleet):
    """Confirms a permit without a check of the acknowledgements."""

    def _execute(self, command: Command) -> CommandResult:
        if not isinstance(command, ConfirmPermit):
            return super()._execute(command)
        self.state.permits[command.permit].confirmed_index = self.state.index
        return self.accepted()


class EarlyAcknowledgement(EndpointFollower):
    """Acknowledges a list before it is applied."""

    def receive(self, now_us: int, snapshot: EndpointSnapshot | None, known: bool) -> bool:
        must_rebuild = super().receive(now_us, snapshot, known)
        self.mark_applied()
        return must_rebuild


class OlderListAccepted(EndpointFollower):
    """Accepts a delayed list that is older than the one in force."""

    def receive(self, now_us: int, snapshot: EndpointSnapshot | None, known: bool) -> bool:
        self.applied_index = 0
        return super().receive(now_us, snapshot, known)


@dataclass
class FrontEnd:
    """A front end's process. A list waits in `pending` until it is applied, as in a busy process.

    `avoided`: the workers that it sends no new calls; `pending`: those of lists that are not applied yet.
    """

    follower: EndpointFollower
    avoided: set[str] = field(default_factory=set)
    pending: list[set[str]] = field(default_factory=list)
    is_paused: bool = False


@dataclass
class Delivery:
    """A list of workers on its way to a front end."""

    front_end: FrontEnd
    snapshot: EndpointSnapshot


class DrainSimulation:
    """Four front ends and two workers under random reports, restarts, pauses, late lists and new leaders.

    Each worker that may stop is one that no responsive front end calls any more.
    """

    def __init__(self, seed: int, fleet: type[Fleet], follower: type[EndpointFollower]) -> None:
        self.random = Random(seed)
        self.now_us = 0
        self.stopped_count = 0
        self.follower = follower
        self.harness = fleet_with(4, 2, fleet)
        self.front_ends = {f"f{n}": FrontEnd(follower(f"f{n}", f"f{n}.1", True)) for n in range(4)}
        self.monitor = FleetMonitor(0, LEASE, AnalysisPolicy())
        self.deliveries: list[Delivery] = []

    def step(self, number: int) -> None:
        """Do one random thing, and check the workers that may stop; the number is that of new processes."""
        self.now_us += self.random.randrange(40)
        name = self.random.choice(list(self.front_ends))
        front_end = self.front_ends[name]
        dice = self.random.random()
        if dice < 0.5 and not front_end.is_paused:
            self._report(name, front_end)
        elif dice < 0.55:
            front_end.is_paused = not front_end.is_paused
        elif dice < 0.58:
            self._restart(name, f"{name}.{number}")
        elif dice < 0.63:
            self.monitor = FleetMonitor(self.now_us, LEASE, AnalysisPolicy())  # of another leader
        elif dice < 0.73 and not self.harness.fleet.state.permits:
            begin_drain(self.harness, self.random.choice(["w0", "w1"]))
        else:
            self._propose()
        for permit in [p for p in self.harness.fleet.state.permits.values() if p.confirmed_index]:
            self._check_stop(permit, number)
            self.stopped_count += 1
            release_permit(self.harness.fleet, permit)

    def _report(self, name: str, front_end: FrontEnd) -> None:
        """Report, and receive the answer or that to an earlier report."""
        state, follower = self.harness.fleet.state, front_end.follower
        report = MemberReport(name, follower.incarnation, follower.applied_index)
        is_known = self.monitor.report(self.now_us, report, state)
        delivery = Delivery(front_end, endpoint_snapshot(state, self.now_us, EndpointAges()))
        self.deliveries.append(delivery)
        if self.random.random() < 0.8:
            delivery = self.deliveries.pop(self.random.randrange(len(self.deliveries)))
        self._receive(delivery, is_known)

    def _receive(self, delivery: Delivery, is_known: bool) -> None:
        front_end = delivery.front_end
        if not front_end.follower.receive(self.now_us, delivery.snapshot, is_known):
            return
        snapshot = front_end.follower.snapshot
        assert snapshot is not None
        front_end.pending.append({worker.name for worker in snapshot.workers if worker.is_draining})
        if self.random.random() < 0.7:
            front_end.avoided = front_end.pending.pop()
            front_end.follower.mark_applied()

    def _restart(self, name: str, incarnation: str) -> None:
        self.front_ends[name] = FrontEnd(self.follower(name, incarnation, True))
        self.harness.do(RegisterMember(name, FRONT_END, "a", incarnation, "v1", follows_endpoints=True))

    def _propose(self) -> None:
        """Apply most of the leader's proposals; the others are lost."""
        for command in self.monitor.propose(self.now_us, self.harness.fleet.state):
            if self.random.random() < 0.8:
                self.harness.do(command)

    def _check_stop(self, permit: Permit, number: int) -> None:
        for front_end in self.front_ends.values():
            incarnation = front_end.follower.incarnation
            member = self.harness.fleet.state.members[front_end.follower.member]
            is_responsive = not member.unresponsive and member.incarnation == incarnation
            has_acknowledged = any(each.incarnation == incarnation for each in permit.acknowledgements)
            is_avoided = permit.member in front_end.avoided
            assert not (is_responsive and has_acknowledged) or is_avoided, "still called"
            has_just_started = incarnation.endswith(f".{number}")
            assert has_acknowledged or not is_responsive or has_just_started, "not asked"


def simulate(
    seed: int, fleet: type[Fleet] = Fleet, follower: type[EndpointFollower] = EndpointFollower
) -> int:
    """Simulate 600 steps, and return how many workers were allowed to stop."""
    simulation = DrainSimulation(seed, fleet, follower)
    for step in range(600):
        simulation.step(step + 2)
    return simulation.stopped_count


def test_drain_under_any_order_of_reports_and_restarts_stops_no_worker_that_is_still_called() -> None:
    assert sum(simulate(seed) for seed in range(30)) > 60


@pytest.mark.parametrize(
    ("fleet", "follower", "violation"),
    [
        (UncheckedConfirmation, EndpointFollower, "not asked"),
        (Fleet, EarlyAcknowledgement, "still called"),
        (Fleet, OlderListAccepted, "still called"),
    ],
)
def test_drain_under_a_wrong_rule_violates_an_invariant(
    fleet: type[Fleet], follower: type[EndpointFollower], violation: str
) -> None:
    violations = []
    for seed in range(30):
        try:
            simulate(seed, fleet, follower)
        except AssertionError as error:
            violations.append(str(error))
    assert any(violation in text for text in violations)
