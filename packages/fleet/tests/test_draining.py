"""Draining of workers: which front ends must have acknowledged before a worker stops."""

from __future__ import annotations

from random import Random

import pytest

from state_machine_rig import (
    LEASE,
    begin_drain,
    rig_with,
)
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
    RegisterMember,
    endpoint_snapshot,
)
from walnutpost.fleet.permits import release_permit


def test_confirmation_when_a_responsive_front_end_has_not_acknowledged_is_rejected() -> None:
    rig = rig_with()
    permit = begin_drain(rig)
    at = rig.fleet.state.permits[permit].granted_index
    both = (Acknowledgement("f0", "f0.1", at), Acknowledgement("f1", "f1.1", at + 1))
    for acted, why in (
        (both, "f2 has not said"),
        ((*both, Acknowledgement("f2", "f2.1", at - 1)), "f2 has not said"),
        (
            (*both, Acknowledgement("f2", "f2.0", at)),
            "f2 has not said",
        ),  # the process before the one that is there
    ):
        assert why in rig.do(ConfirmPermit(permit, acted)).error
    rig.do(MarkUnresponsive("f2", "f2.1"))
    rig.do(
        RegisterMember("f3", FRONT_END, "a", "f3.1", "v1", follows_endpoints=True)
    )  # came up since the leader looked
    assert "f3 has not said" in rig.do(ConfirmPermit(permit, both)).error
    rig.do(RegisterMember("f4", FRONT_END, "a", "f4.1", "v1"))  # follows no list, and can say nothing
    assert rig.do(ConfirmPermit(permit, (*both, Acknowledgement("f3", "f3.1", at)))).ok
    assert rig.fleet.state.permits[permit].confirmed_index
    assert len(rig.fleet.state.permits[permit].acknowledgements) == 3


class Trusting(Fleet):
    """Takes the leader's word for who has acted."""

    def _execute(self, command: Command) -> CommandResult:
        if not isinstance(command, ConfirmPermit):
            return super()._execute(command)
        self.state.permits[command.permit].confirmed_index = self.state.index
        return self.accepted()


class Hasty(EndpointFollower):
    """Says that it acts on a list before it does."""

    def receive(self, now: int, sight: EndpointSnapshot | None, known: bool) -> bool:
        new = super().receive(now, sight, known)
        self.mark_applied()
        return new


class Forgetful(EndpointFollower):
    """Takes up an older list that comes late."""

    def receive(self, now: int, sight: EndpointSnapshot | None, known: bool) -> bool:
        self.applied_index = 0
        return super().receive(now, sight, known)


class Process:
    """A front end: what it was told lies in a queue until it is carried out, as a busy process would."""

    def __init__(self, kind: type[EndpointFollower], name: str, life: int) -> None:
        self.follower = kind(name, f"{name}.{life}", True)
        self.avoids: set[str] = set()
        self.todo: list[set[str]] = []
        self.paused = False


def play(seed: int, fleet: type[Fleet] = Fleet, kind: type[EndpointFollower] = EndpointFollower) -> int:
    """Each worker that ends is one that no front end which is heard of still calls. How many ended."""
    rng, now, ended = Random(seed), 0, 0
    rig = rig_with(4, 2, fleet)
    processes = {f"f{n}": Process(kind, f"f{n}", 1) for n in range(4)}
    watch = FleetMonitor(now, LEASE, AnalysisPolicy())
    late: list[tuple[Process, EndpointSnapshot]] = []
    for step in range(600):
        now += rng.randrange(40)
        state = rig.fleet.state
        name = rng.choice(list(processes))
        process = processes[name]
        dice = rng.random()
        if dice < 0.5 and not process.paused:
            follower = process.follower
            known = watch.report(now, MemberReport(name, follower.incarnation, follower.applied_index), state)
            sight = endpoint_snapshot(state, now, EndpointAges())
            late.append((process, sight))
            if rng.random() < 0.8:
                process, sight = late.pop(rng.randrange(len(late)))
            if process.follower.receive(now, sight, known):
                assert process.follower.snapshot is not None
                process.todo.append({w.name for w in process.follower.snapshot.workers if w.is_draining})
                if rng.random() < 0.7:
                    process.avoids = process.todo.pop()
                    process.follower.mark_applied()
        elif dice < 0.55:
            process.paused = not process.paused
        elif dice < 0.58:
            processes[name] = Process(kind, name, step + 2)
            rig.do(RegisterMember(name, FRONT_END, "a", f"{name}.{step + 2}", "v1", follows_endpoints=True))
        elif dice < 0.63:
            watch = FleetMonitor(now, LEASE, AnalysisPolicy())  # another leader
        elif dice < 0.73 and not state.permits:
            begin_drain(rig, rng.choice(["w0", "w1"]))
        else:
            for command in watch.propose(now, state):
                if rng.random() < 0.8:
                    rig.do(command)
        for permit in [p for p in state.permits.values() if p.confirmed_index]:
            for other in processes.values():
                member = state.members[other.follower.member]
                heard = not member.unresponsive and member.incarnation == other.follower.incarnation
                acted = any(a.incarnation == other.follower.incarnation for a in permit.acknowledgements)
                assert not (heard and acted) or permit.member in other.avoids, "still called"
                assert acted or not heard or other.follower.incarnation.endswith(f".{step + 2}"), "not asked"
            ended += 1
            release_permit(rig.fleet, permit)
    return ended


def test_drain_under_any_order_of_reports_and_restarts_stops_no_worker_that_is_still_called() -> None:
    assert sum(play(seed) for seed in range(30)) > 60


@pytest.mark.parametrize(
    ("fleet", "kind", "why"),
    [
        (Trusting, EndpointFollower, "not asked"),
        (Fleet, Hasty, "still called"),
        (Fleet, Forgetful, "still called"),
    ],
)
def test_drain_under_a_wrong_rule_violates_an_invariant(
    fleet: type[Fleet], kind: type[EndpointFollower], why: str
) -> None:
    found = []
    for seed in range(30):
        try:
            play(seed, fleet, kind)
        except AssertionError as error:
            found.append(str(error))
    assert any(why in text for text in found)
