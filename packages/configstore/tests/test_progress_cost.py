"""The cost of reports, which does not grow with the number of members."""

from __future__ import annotations

import sys
from types import FrameType
from typing import TYPE_CHECKING

import pytest

from walnutpost.configstore.fleet_progress import FleetProgress
from walnutpost.configstore.member_registry import SECOND_US, MemberRegistry
from walnutpost.configstore.messages import (
    ProgressSummary,
    ProgressSummaryResponse,
)
from walnutpost.testsupport.configstore import progress_fixtures as progress_rig
from walnutpost.testsupport.configstore.progress_fixtures import Fleet, ask, tell

if TYPE_CHECKING:
    from _typeshed import TraceFunction


def test_handling_a_report_costs_the_same_for_any_number_of_members() -> None:
    """Counted in steps of the interpreter, at rest and as a change comes into force."""
    steps: dict[str, list[int]] = {"rest": [], "half": [], "done": []}
    for members in (100, 300, 900, 1800):
        fleet = Fleet(members, relays=5)
        relay = fleet.relays[0]
        relay.handle_response(ProgressSummaryResponse(0))
        steps["rest"].append(steps_of(fleet.leader, relay.next_summary(SECOND_US, 10)))
        fleet.leader.revision_committed(SECOND_US, 11)
        for name in list(fleet.at)[: members // 2]:
            fleet.at[name].observe(SECOND_US, ask(name, 11))
        steps["half"].append(steps_of(fleet.leader, relay.next_summary(SECOND_US, 11)))
        fleet.ask(11)
        steps["done"].append(steps_of(fleet.leader, relay.next_summary(SECOND_US, 11)))
        for other in fleet.relays[1:]:
            tell(SECOND_US, other, fleet.leader, 11)
        assert fleet.leader.min_applied_revision == 11
    assert all(len(set(found)) == 1 for found in steps.values()), steps


class InspectedProgress(FleetProgress):
    """Shows the sets that are iterated when reports are handled."""

    def iterated_sets(self) -> list[set[str]]:
        return [
            self._fleet.unreported,
            self._registrations.mismatched,
            *(relay.individual for relay in self._fleet.relays.values()),
        ]


def test_sets_that_were_large_are_copied_before_iteration(monkeypatch: pytest.MonkeyPatch) -> None:
    """Steps don't show it: a set keeps its table as members leave it, and an iteration reads all of that."""
    monkeypatch.setattr(progress_rig, "FleetProgress", InspectedProgress)
    sizes = []
    for members in (100, 1800):
        fleet = Fleet(members, relays=2)
        fleet.agreed = {name: f"{name}.2" for name in fleet.at}
        for name, relay in fleet.at.items():
            relay.observe(0, ask(name, 10, incarnation=f"{name}.2"))
        fleet.tell(10)
        assert len(fleet.leader.unregistered_members(0)) == members
        fleet.leader.set_members(0, fleet.agreed)
        fleet.tell(10)
        assert fleet.leader.min_applied_revision == 10
        leader = InspectedProgress(0, 10)  # another, which knows the members before it hears of them
        leader.set_members(0, fleet.agreed)
        for relay in fleet.relays:
            tell(0, relay, leader, 10)
        for found in (fleet.leader, leader):
            assert isinstance(found, InspectedProgress)
            sizes.append([sys.getsizeof(each) for each in found.iterated_sets()])
    assert sizes == [[sys.getsizeof(set())] * 4] * 4


def test_a_restarted_relay_with_less_progress_is_handled_as_cheaply() -> None:
    steps = []
    for members in (100, 400):
        fleet = Fleet(members)
        relay = MemberRegistry("r0", "r0.2")
        fleet.agreed = {name: f"{name}.2" for name in fleet.at}
        fleet.leader.set_members(0, fleet.agreed)
        for name in fleet.at:
            relay.observe(0, ask(name, 4, incarnation=f"{name}.2"))
        tell(0, relay, fleet.leader, 10)
        steps.append(steps_of(fleet.leader, relay.next_summary(0, 10)))
        assert fleet.leader.min_applied_revision == 4
    assert len(set(steps)) == 1, steps


def steps_of(leader: FleetProgress, summary: ProgressSummary) -> int:
    """Return the number of instructions of this package's code that handle a report."""
    count = 0

    def trace(frame: FrameType, event: str, _arg: object) -> TraceFunction:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        leader.handle_summary(SECOND_US, summary)
    finally:
        sys.settrace(before)
    return count
