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
    AgentHarness,
    WorkerAgentHarness,
    release,
)


def test_controller_when_a_release_reaches_its_member_installs_the_version_under_a_permit() -> None:
    harness = AgentHarness()
    release(harness)
    harness.observe()
    assert harness.started == ["v1", "v2"]
    assert harness.controller.durable.current == "v2"
    assert harness.controller.durable.previous == "v1"
    assert [type(c) for c in harness.sent] == [RegisterMember, BeginPermit, CompletePermit]
    assert not harness.fleet.state.permits
    assert harness.fleet.state.plans["r"].completed == ["m"]
    harness.observe()
    assert harness.started == ["v1", "v2"]


def test_controller_when_a_version_does_not_become_ready_reverts_and_fails_the_plan() -> None:
    harness = AgentHarness(bad=("v2",))
    release(harness)
    harness.observe()
    harness.pass_time(60 * SECOND)
    assert harness.started == ["v1", "v2", "v2", "v1"]
    assert harness.controller.phase is Phase.RUNNING
    assert harness.fleet.state.plans["r"].end_reason.startswith("gone back")
    assert not harness.fleet.state.permits


def test_controller_when_a_process_is_not_ready_in_time_stops_it() -> None:
    harness = AgentHarness()
    release(harness)
    effects = harness.controller.handle(harness.now, FleetStateObserved(harness.fleet.state))
    assert isinstance(effects[0], SendPermitRequest)
    permit = harness.apply(effects[0].command)
    harness.controller.handle(harness.now, PermitAnswered(permit))
    harness.controller.handle(harness.now, ProcessExited())
    harness.now += SETTINGS.ready_timeout_us
    assert StopProcess() in harness.controller.handle(harness.now, Tick())


def test_controller_when_a_process_crashes_restarts_it_with_exponential_backoff() -> None:
    harness = AgentHarness()
    delays_us = []
    for _ in range(8):
        harness.handle(ProcessExited())
        deadline_us = harness.controller.deadline_us
        assert deadline_us is not None
        delays_us.append(deadline_us - harness.now)
        harness.pass_time(deadline_us - harness.now)
    assert delays_us == [min(500_000 * 2**n, 30 * SECOND) for n in range(8)]
    harness.pass_time(31 * SECOND)
    harness.handle(ProcessExited())
    assert harness.controller.deadline_us == harness.now + 500_000
    assert {type(c) for c in harness.sent} == {RegisterMember}


@pytest.mark.parametrize(("delay_us", "begins"), [(4 * SECOND, True), (6 * SECOND, False)])
def test_controller_when_a_permit_comes_too_late_abandons_it(delay_us: int, begins: bool) -> None:
    harness = AgentHarness()
    release(harness)
    harness.observe(answer=False)
    permit = harness.apply(RequestPermit("m", "agent-m", "to v2", "r"))
    harness.now += delay_us
    harness.handle(PermitAnswered(permit))
    assert (harness.started == ["v1", "v2"]) is begins
    assert [type(c) for c in harness.sent[1:]] == (
        [BeginPermit, CompletePermit] if begins else [AbandonPermit]
    )
    assert not harness.fleet.state.permits


def test_controller_when_halted_requests_nothing() -> None:
    harness = AgentHarness()
    release(harness)
    harness.apply(HaltPlan("stop"))
    harness.observe()
    assert harness.started == ["v1"]


def test_controller_when_denied_requests_again_later() -> None:
    harness = AgentHarness()
    harness.apply(RegisterMember("n", FRONT_END, "b", "n.1"))
    other = harness.apply(RequestPermit("n", "agent-n", "by hand"))
    release(harness)
    harness.observe()
    harness.observe()
    assert harness.started == ["v1"]
    assert "m" not in {p.member for p in harness.fleet.state.permits.values()}
    harness.apply(CompletePermit(other, "agent-n", "n.2"))
    harness.now += 2 * SETTINGS.retry_delay_us
    harness.observe()
    assert harness.started == ["v1", "v2"]


def test_controller_when_restarted_with_a_permit_completes_it_once_the_process_is_ready() -> None:
    harness = AgentHarness()
    harness.apply(RequestPermit("m", "agent-m", "by hand"))
    harness.controller, harness.sent = harness.agent(), []
    harness.do(harness.controller.start(harness.now))
    harness.observe()
    assert [type(c) for c in harness.sent] == [RegisterMember, CompletePermit]
    assert not harness.fleet.state.permits


def test_controller_when_the_process_exits_before_the_permit_comes_abandons_it() -> None:
    harness = AgentHarness()
    release(harness)
    harness.observe(answer=False)
    permit = harness.apply(RequestPermit("m", "agent-m", "to v2", "r"))
    harness.handle(ProcessExited())
    harness.handle(PermitAnswered(permit))
    assert [type(c) for c in harness.sent[1:]] == [AbandonPermit]
    assert harness.controller.phase is Phase.BACKING_OFF
    harness.pass_time(SECOND)
    harness.observe()
    assert harness.started == ["v1", "v1", "v2"]


def test_drained_worker_when_its_agent_restarts_stays_out_until_the_drain_ends() -> None:
    harness = WorkerAgentHarness()
    harness.apply(StartPlan("d", ("m",), keeps_members_out=True))
    harness.observe()
    harness.observe()
    assert harness.current_phase() is Phase.DRAINING
    assert harness.started == ["v1"]
    harness.acknowledge()
    assert harness.current_phase() is Phase.DRAINED
    assert harness.controller.durable.drain_permit
    drain_permit, harness.controller = harness.controller.durable.drain_permit, harness.agent()
    harness.controller.durable.drain_permit = drain_permit
    harness.do(harness.controller.start(harness.now))
    harness.observe()
    assert harness.current_phase() is Phase.DRAINED
    assert harness.started == ["v1"]
    harness.apply(EndDrain("m", "operator"))
    harness.observe()
    assert harness.started == ["v1", "v1"]
    assert harness.fleet.state.plans["d"].end_reason == "done"
    assert not harness.fleet.state.permits
    assert not harness.controller.durable.drain_permit


def test_draining_worker_when_it_crashes_is_drained() -> None:
    harness = WorkerAgentHarness()
    harness.apply(StartPlan("d", ("m",), keeps_members_out=True))
    harness.observe()
    harness.handle(ProcessExited())
    assert harness.current_phase() is Phase.DRAINED


def test_worker_to_be_restarted_when_it_crashes_is_started_again() -> None:
    harness = WorkerAgentHarness()
    harness.apply(StartPlan("c", ("m",)))
    harness.observe()
    harness.handle(ProcessExited())
    assert harness.started == ["v1", "v1"]
    assert harness.fleet.state.plans["c"].end_reason == "done"


def test_draining_worker_when_its_drain_ends_before_it_stops_keeps_running() -> None:
    harness = WorkerAgentHarness()
    harness.apply(StartPlan("d", ("m",), keeps_members_out=True))
    harness.observe()
    harness.apply(EndDrain("m", "operator"))
    harness.observe()
    assert harness.current_phase() is Phase.RUNNING
    assert harness.started == ["v1"]
    assert harness.fleet.state.plans["d"].end_reason == "done"
    assert not harness.fleet.state.permits


def test_controller_when_it_observes_an_older_state_ignores_it() -> None:
    harness = WorkerAgentHarness()
    old = Fleet.restore(harness.fleet.snapshot()).state
    harness.apply(StartPlan("d", ("m",), keeps_members_out=True))
    harness.observe()
    harness.handle(FleetStateObserved(old))
    assert harness.current_phase() is Phase.DRAINING
    harness.acknowledge()
    harness.handle(FleetStateObserved(old))
    assert harness.current_phase() is Phase.DRAINED


def test_controller_when_an_operator_orders_a_version_needs_no_permit_and_records_the_change() -> None:
    harness = WorkerAgentHarness()
    harness.handle(OperatorOrder("jo", "no quorum", 7.0, "v2"))
    assert harness.started == ["v1", "v2"]
    assert harness.controller.durable.current == "v2"
    assert [change.reason for change in harness.fleet.state.manual_changes] == ["no quorum"]
    assert not harness.fleet.state.permits
    assert harness.fleet.state.members["m"].version == "v2"


def test_controller_when_an_ordered_version_does_not_become_ready_reverts_it() -> None:
    harness = WorkerAgentHarness()
    harness.bad = ("v2",)
    harness.handle(OperatorOrder("jo", "no quorum", 7.0, "v2"))
    harness.pass_time(60 * SECOND)
    assert harness.controller.durable.current == "v1"
    assert harness.current_phase() is Phase.RUNNING


def test_controller_when_it_reverts_a_version_or_ignores_an_order_logs_it_with_its_fields() -> None:
    harness = AgentHarness(bad=("v2",))
    release(harness)
    harness.observe()
    harness.handle(OperatorOrder("jo", "no quorum", 7.0))
    harness.pass_time(60 * SECOND)
    harness.handle(OperatorOrder("jo", "no quorum", 7.0, "v1"))
    change = {"operator": "jo", "reason": "no quorum", "version": "v1"}
    assert harness.logged == [
        LogEvent("manual_order_ignored", {"phase": "backing_off"}),
        LogEvent("version_reverted", {"version": "v2", "current": "v1"}),
        LogEvent("manual_change_started", change),
    ]
