"""The state machine of an agent, which looks after one instance, a process. No I/O, no clock.

A process that exits unexpectedly is restarted with exponential backoff. It is changed to another version
under a permit, and back to the current one if the new one does not become ready. The control plane is sent
`RegisterMember` if the process became ready without a permit, and `CompletePermit` if it did under one.

Times are microseconds of the agent's monotonic clock.
"""

from __future__ import annotations

from random import Random

from walnutpost.fleet.agent_effects import Effect, EffectQueue
from walnutpost.fleet.agent_inputs import (
    FleetStateObserved,
    Input,
    OperatorOrder,
    PermitAnswered,
    ProcessExited,
    ProcessReady,
    Tick,
)
from walnutpost.fleet.agent_instance import ControllerSettings, DurableState, ManagedInstance
from walnutpost.fleet.agent_process import Phase, ProcessLifecycle
from walnutpost.fleet.agent_reports import InstanceReports
from walnutpost.fleet.agent_transitions import Transitions
from walnutpost.fleet.commands import WORKER
from walnutpost.fleet.state import FleetState, Permit, grant_index_of


class InstanceController:
    """Decides for one instance. `start` begins; `handle` takes each input. Not thread-safe.

    Its caller carries out the effects, and stores `durable` if an input has changed it.
    """

    def __init__(
        self, instance: ManagedInstance, durable: DurableState, settings: ControllerSettings, seed: int
    ) -> None:
        self.instance = instance
        self.durable = durable
        self._effects = EffectQueue()
        self._reports = InstanceReports(instance, self._effects)
        self._process = ProcessLifecycle(settings, self._effects)
        self._transitions = Transitions(
            instance, durable, settings, Random(f"{seed} {instance.agent}"), self._effects, self._reports
        )
        self._now_us = 0
        self._returning_permit = ""  # of a drain that has ended while the process is being started
        self._has_recovered = False
        self._observed_index = 0

    @property
    def phase(self) -> Phase:
        """Lifecycle state of the process."""
        return self._process.phase

    @property
    def deadline_us(self) -> int | None:
        """When to send a `Tick`; None for not at all."""
        return self._process.deadline_us

    def start(self, now_us: int) -> list[Effect]:
        """Start the process, unless a drain kept it out when the agent ended."""
        if self.durable.drain_permit:
            self._process.mark_drained()
        else:
            self._process.schedule_start(now_us)
        return self.handle(now_us, Tick())

    def handle(self, now_us: int, event: Input) -> list[Effect]:
        """Return the effects of an input, and those of the deadline if it has been reached."""
        self._now_us = now_us
        self._effects.take()  # left by an input that raised
        match event:
            case FleetStateObserved(state):
                self._on_fleet_state(state)
            case PermitAnswered(permit):
                self._on_permit_answered(permit)
            case ProcessReady() if self.phase is Phase.STARTING:
                self._on_ready(event)
            case OperatorOrder():
                self._on_operator_order(event)
            case ProcessExited():
                self._on_exited()
            case _:
                pass
        self._check_deadline()
        return self._effects.take()

    def _check_deadline(self) -> None:
        if not self._process.take_deadline(self._now_us):
            return
        if self.phase is Phase.BACKING_OFF:
            self._start_process()
        elif self.phase is Phase.STARTING:
            self._effects.log("process_readiness_timed_out", version=self._transitions.target_version)
            self._process.abort_start()

    def _start_process(self) -> None:
        self._transitions.count_attempt()
        self._process.start(self._now_us, self._transitions.target_version)

    def _on_ready(self, ready: ProcessReady) -> None:
        self._process.mark_ready(self._now_us, ready)
        permit, failure = self._returning_permit, ""
        transition = self._transitions.begun
        if transition is not None:
            permit = transition.holder.permit
            failure = self._transitions.finish(transition)
        if permit:
            self._returning_permit = self.durable.drain_permit = ""
            self._complete(permit, failure)
        else:
            self._reports.register(ready, self.durable.current)

    def _complete(self, permit: str, failure: str = "") -> None:
        version = self._transitions.target_version
        self._reports.complete(permit, self._process.ready, version, failure)

    def _on_exited(self) -> None:
        transition = self._transitions.begun
        if transition is not None and transition.keeps_out:
            self._process.mark_drained()
            self.durable.drain_permit = transition.holder.permit
            self._transitions.discard()
        elif self.phase in (Phase.STOPPING, Phase.DRAINING):
            self._start_process()
        else:
            if self.phase is Phase.STARTING and self._transitions.revert_if_exhausted():
                self._process.reset_backoff()
            self._process.back_off(self._now_us)

    def _on_fleet_state(self, state: FleetState) -> None:
        if state.index < self._observed_index:  # from a replica that lags behind another one
            return
        self._observed_index = state.index
        if not self._has_recovered and self.phase in (Phase.RUNNING, Phase.DRAINED):
            self._has_recovered = True
            self._recover(state)
        if self.phase in (Phase.DRAINING, Phase.DRAINED):
            self._check_permit(state)
        if self.phase is Phase.RUNNING:
            self._transitions.request(self._now_us, state)

    def _recover(self, state: FleetState) -> None:
        """Resume a permit that the agent held when it was restarted.

        The process is ready, so the permit is completed, unless it belongs to a drain that keeps it out.
        """
        permit = next((each for each in state.permits.values() if each.holder == self.instance.agent), None)
        if permit is None or not self._transitions.is_idle or permit.id == self.durable.drain_permit:
            return
        plan = state.plans.get(permit.plan)
        is_drain = plan is not None and plan.keeps_members_out
        if permit.has_begun and is_drain and not permit.return_requested:
            self._transitions.resume_drain(self._now_us, permit)
            self._process.drain()
        else:
            self._complete(permit.id)

    def _check_permit(self, state: FleetState) -> None:
        """Stop or bring back the process, depending on the permit under which it is being drained."""
        permit_id = self.durable.drain_permit or self._transitions.permit
        permit = state.permits.get(permit_id)
        if permit is None and state.index < grant_index_of(permit_id):
            return
        if self.phase is Phase.DRAINING:
            self._check_draining(permit)
        elif permit is None or permit.return_requested:
            self._bring_back(permit.id if permit is not None else "")

    def _check_draining(self, permit: Permit | None) -> None:
        if permit is not None and permit.confirmed_index and not permit.return_requested:
            self._process.stop()
        elif permit is None or permit.return_requested:  # revoked, or the drain has ended: it never stopped
            self._process.end_drain()
            self._transitions.discard()
            if permit is not None:
                self._complete(permit.id)

    def _bring_back(self, permit: str) -> None:
        """Start a drained process; `permit`: to be completed once it is ready, empty if it was revoked."""
        self._returning_permit, self.durable.drain_permit = permit, ""
        self._start_process()

    def _on_permit_answered(self, permit: str) -> None:
        if not self._transitions.begin_if_granted(self._now_us, permit, self.phase is Phase.RUNNING):
            return
        if self.instance.kind == WORKER:  # it stops once no responsive front end sends it new work
            self._process.drain()
        else:
            self._process.stop()

    def _on_operator_order(self, order: OperatorOrder) -> None:
        """Restart the process, unless it is stopped or being started already."""
        version = order.version or self.durable.current
        if self.phase is Phase.DRAINED:
            self._bring_back(self.durable.drain_permit)
        elif self.phase is Phase.RUNNING:
            self._transitions.begin_without_request(self._now_us, version)
            self._process.stop()
        else:
            self._effects.log("manual_order_ignored", phase=self.phase.value)
            return
        self._effects.log(
            "manual_change_started", operator=order.operator, reason=order.reason, version=version
        )
        self._reports.record_manual_change(order, version)
