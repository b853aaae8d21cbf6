"""The state machine of an agent, without a process."""

from __future__ import annotations

import pytest

from walnutpost.fleet import (
    FRONT_END,
    AbandonPermit,
    BeginPermit,
    CompletePermit,
    EndDrain,
    Fleet,
    HaltPlan,
    RegisterMember,
    RequestPermit,
    StartPlan,
)
from walnutpost.fleet.agent_effects import LogEvent, SendPermitRequest, StopProcess
from walnutpost.fleet.agent_inputs import (
    FleetStateObserved,
    OperatorOrder,
    PermitAnswered,
    ProcessExited,
    Tick,
)
from walnutpost.fleet.agent_process import Phase
from walnutpost.testsupport.fleet.state_machine_harness import (
    SECOND,
    SETTINGS,
    AgentRig,
    WorkerAgentRig,
    release,
)


def test_controller_when_a_release_reaches_its_member_installs_the_version_under_a_permit() -> None:
    rig = AgentRig()
    release(rig)
    rig.observe()
    assert rig.started == ["v1", "v2"]
    assert rig.controller.durable.current == "v2"
    assert rig.controller.durable.previous == "v1"
    assert [type(c) for c in rig.sent] == [RegisterMember, BeginPermit, CompletePermit]
    assert not rig.fleet.state.permits
    assert rig.fleet.state.plans["r"].completed == ["m"]
    rig.observe()
    assert rig.started == ["v1", "v2"]


def test_controller_when_a_version_does_not_become_ready_reverts_and_fails_the_plan() -> None:
    rig = AgentRig(bad=("v2",))
    release(rig)
    rig.observe()
    rig.pass_time(60 * SECOND)
    assert rig.started == ["v1", "v2", "v2", "v1"]
    assert rig.controller.phase is Phase.RUNNING
    assert rig.fleet.state.plans["r"].end_reason.startswith("gone back")
    assert not rig.fleet.state.permits


def test_controller_when_a_process_is_not_ready_in_time_stops_it() -> None:
    rig = AgentRig()
    release(rig)
    effects = rig.controller.handle(rig.now, FleetStateObserved(rig.fleet.state))
    assert isinstance(effects[0], SendPermitRequest)
    permit = rig.apply(effects[0].command)
    rig.controller.handle(rig.now, PermitAnswered(permit))
    rig.controller.handle(rig.now, ProcessExited())
    rig.now += SETTINGS.ready_timeout_us
    assert StopProcess() in rig.controller.handle(rig.now, Tick())


def test_controller_when_a_process_crashes_restarts_it_with_exponential_backoff() -> None:
    rig = AgentRig()
    delays_us = []
    for _ in range(8):
        rig.handle(ProcessExited())
        deadline_us = rig.controller.deadline_us
        assert deadline_us is not None
        delays_us.append(deadline_us - rig.now)
        rig.pass_time(deadline_us - rig.now)
    assert delays_us == [min(500_000 * 2**n, 30 * SECOND) for n in range(8)]
    rig.pass_time(31 * SECOND)
    rig.handle(ProcessExited())
    assert rig.controller.deadline_us == rig.now + 500_000
    assert {type(c) for c in rig.sent} == {RegisterMember}


@pytest.mark.parametrize(("delay_us", "begins"), [(4 * SECOND, True), (6 * SECOND, False)])
def test_controller_when_a_permit_comes_too_late_abandons_it(delay_us: int, begins: bool) -> None:
    rig = AgentRig()
    release(rig)
    rig.observe(answer=False)
    permit = rig.apply(RequestPermit("m", "agent-m", "to v2", "r"))
    rig.now += delay_us
    rig.handle(PermitAnswered(permit))
    assert (rig.started == ["v1", "v2"]) is begins
    assert [type(c) for c in rig.sent[1:]] == ([BeginPermit, CompletePermit] if begins else [AbandonPermit])
    assert not rig.fleet.state.permits


def test_controller_when_halted_requests_nothing() -> None:
    rig = AgentRig()
    release(rig)
    rig.apply(HaltPlan("stop"))
    rig.observe()
    assert rig.started == ["v1"]


def test_controller_when_denied_requests_again_later() -> None:
    rig = AgentRig()
    rig.apply(RegisterMember("n", FRONT_END, "b", "n.1"))
    other = rig.apply(RequestPermit("n", "agent-n", "by hand"))
    release(rig)
    rig.observe()
    rig.observe()
    assert rig.started == ["v1"]
    assert "m" not in {p.member for p in rig.fleet.state.permits.values()}
    rig.apply(CompletePermit(other, "agent-n", "n.2"))
    rig.now += 2 * SETTINGS.retry_delay_us
    rig.observe()
    assert rig.started == ["v1", "v2"]


def test_controller_when_restarted_with_a_permit_completes_it_once_the_process_is_ready() -> None:
    rig = AgentRig()
    rig.apply(RequestPermit("m", "agent-m", "by hand"))
    rig.controller, rig.sent = rig.agent(), []
    rig.do(rig.controller.start(rig.now))
    rig.observe()
    assert [type(c) for c in rig.sent] == [RegisterMember, CompletePermit]
    assert not rig.fleet.state.permits


def test_controller_when_the_process_exits_before_the_permit_comes_abandons_it() -> None:
    rig = AgentRig()
    release(rig)
    rig.observe(answer=False)
    permit = rig.apply(RequestPermit("m", "agent-m", "to v2", "r"))
    rig.handle(ProcessExited())
    rig.handle(PermitAnswered(permit))
    assert [type(c) for c in rig.sent[1:]] == [AbandonPermit]
    assert rig.controller.phase is Phase.BACKING_OFF
    rig.pass_time(SECOND)
    rig.observe()
    assert rig.started == ["v1", "v1", "v2"]


def test_drained_worker_when_its_agent_restarts_stays_out_until_the_drain_ends() -> None:
    rig = WorkerAgentRig()
    rig.apply(StartPlan("d", ("m",), keeps_members_out=True))
    rig.observe()
    rig.observe()
    assert rig.current_phase() is Phase.DRAINING
    assert rig.started == ["v1"]
    rig.acknowledge()
    assert rig.current_phase() is Phase.DRAINED
    assert rig.controller.durable.drain_permit
    drain_permit, rig.controller = rig.controller.durable.drain_permit, rig.agent()
    rig.controller.durable.drain_permit = drain_permit
    rig.do(rig.controller.start(rig.now))
    rig.observe()
    assert rig.current_phase() is Phase.DRAINED
    assert rig.started == ["v1"]
    rig.apply(EndDrain("m", "operator"))
    rig.observe()
    assert rig.started == ["v1", "v1"]
    assert rig.fleet.state.plans["d"].end_reason == "done"
    assert not rig.fleet.state.permits
    assert not rig.controller.durable.drain_permit


def test_draining_worker_when_it_crashes_is_drained() -> None:
    rig = WorkerAgentRig()
    rig.apply(StartPlan("d", ("m",), keeps_members_out=True))
    rig.observe()
    rig.handle(ProcessExited())
    assert rig.current_phase() is Phase.DRAINED


def test_worker_to_be_restarted_when_it_crashes_is_started_again() -> None:
    rig = WorkerAgentRig()
    rig.apply(StartPlan("c", ("m",)))
    rig.observe()
    rig.handle(ProcessExited())
    assert rig.started == ["v1", "v1"]
    assert rig.fleet.state.plans["c"].end_reason == "done"


def test_draining_worker_when_its_drain_ends_before_it_stops_keeps_running() -> None:
    rig = WorkerAgentRig()
    rig.apply(StartPlan("d", ("m",), keeps_members_out=True))
    rig.observe()
    rig.apply(EndDrain("m", "operator"))
    rig.observe()
    assert rig.current_phase() is Phase.RUNNING
    assert rig.started == ["v1"]
    assert rig.fleet.state.plans["d"].end_reason == "done"
    assert not rig.fleet.state.permits


def test_controller_when_it_observes_an_older_state_ignores_it() -> None:
    rig = WorkerAgentRig()
    old = Fleet.restore(rig.fleet.snapshot()).state
    rig.apply(StartPlan("d", ("m",), keeps_members_out=True))
    rig.observe()
    rig.handle(FleetStateObserved(old))
    assert rig.current_phase() is Phase.DRAINING
    rig.acknowledge()
    rig.handle(FleetStateObserved(old))
    assert rig.current_phase() is Phase.DRAINED


def test_controller_when_an_operator_orders_a_version_needs_no_permit_and_records_the_change() -> None:
    rig = WorkerAgentRig()
    rig.handle(OperatorOrder("jo", "no quorum", 7.0, "v2"))
    assert rig.started == ["v1", "v2"]
    assert rig.controller.durable.current == "v2"
    assert [change.reason for change in rig.fleet.state.manual_changes] == ["no quorum"]
    assert not rig.fleet.state.permits
    assert rig.fleet.state.members["m"].version == "v2"


def test_controller_when_an_ordered_version_does_not_become_ready_reverts_it() -> None:
    rig = WorkerAgentRig()
    rig.bad = ("v2",)
    rig.handle(OperatorOrder("jo", "no quorum", 7.0, "v2"))
    rig.pass_time(60 * SECOND)
    assert rig.controller.durable.current == "v1"
    assert rig.current_phase() is Phase.RUNNING


def test_controller_when_it_reverts_a_version_or_ignores_an_order_logs_it_with_its_fields() -> None:
    rig = AgentRig(bad=("v2",))
    release(rig)
    rig.observe()
    rig.handle(OperatorOrder("jo", "no quorum", 7.0))
    rig.pass_time(60 * SECOND)
    rig.handle(OperatorOrder("jo", "no quorum", 7.0, "v1"))
    change = {"operator": "jo", "reason": "no quorum", "version": "v1"}
    assert rig.logged == [
        LogEvent("manual_order_ignored", {"phase": "backing_off"}),
        LogEvent("version_reverted", {"version": "v2", "current": "v1"}),
        LogEvent("manual_change_started", change),
    ]
