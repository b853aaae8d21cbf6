"""The state machine of an agent, which looks after one process. No I/O, no clock, no randomness of its own.

The process is restarted when it exits by itself, with exponential backoff; it is taken to another version
under a permit, and back to the one before where the new one does not become ready. The control plane is sent
`RegisterMember` when the process became ready by itself, and `CompletePermit` when it did so under a permit.

Times are microseconds of the agent's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from walnutpost.fleet.commands import (
    WORKER,
    AbandonPermit,
    BeginPermit,
    Command,
    CompletePermit,
    RecordManualChange,
    RegisterMember,
    RequestPermit,
)
from walnutpost.fleet.permit_holder import PermitHolder, PermitPhase
from walnutpost.fleet.state import FleetState, Permit, Plan, grant_index


class Phase(Enum):
    """What the process is at. The values show in logs."""

    STARTING = "starting"
    RUNNING = "running"
    DRAINING = "draining"  # a worker that is to stop, until no front end calls it any more
    STOPPING = "stopping"
    BACKING_OFF = "backing_off"  # until it is started again
    DRAINED = "drained"  # stopped, until an operator ends the drain


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """Limits and delays.

    `begin_timeout_us`: from the request for a permit until the transition must have begun.
    `ready_timeout_us`: from its start until a process must be ready. `max_start_attempts`: for a new version.
    Restart delays double from the least to the greatest, and begin anew once a process has run for the
    greatest. `retry_delay_us`: after a permit is denied, up to twice that at random, so that agents don't ask
    all at once.
    """

    begin_timeout_us: int
    ready_timeout_us: int
    max_start_attempts: int = 2
    min_restart_delay_us: int = 500_000
    max_restart_delay_us: int = 30_000_000
    retry_delay_us: int = 1_000_000


# Inputs


@dataclass(frozen=True, slots=True)
class FleetStateObserved:
    """The state as some replica has it. It may be old; the result of a request for a permit settles that."""

    state: FleetState


@dataclass(frozen=True, slots=True)
class PermitAnswered:
    """The answer to the last request; `permit` is empty where it was denied. A lost answer is no input."""

    permit: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ProcessReady:
    """The process is ready; `address` where it is known."""

    incarnation: str
    address: str = ""


@dataclass(frozen=True, slots=True)
class ProcessExited:
    """The process is gone, for whatever reason."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: the deadline may have been reached."""


@dataclass(frozen=True, slots=True)
class OperatorOrder:
    """An operator of this machine orders a restart without a permit, since there is no quorum.

    `version`: the one to run from now on; empty for the current one. `ordered_at_s`: by the wall clock.
    """

    operator: str
    reason: str
    ordered_at_s: float
    version: str = ""


Input = FleetStateObserved | PermitAnswered | ProcessReady | ProcessExited | Tick | OperatorOrder


# Effects


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Start the process with this version."""

    version: str


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Ask the process to end; kill it where it does not."""


@dataclass(frozen=True, slots=True)
class SendPermitRequest:
    """Send this request; its answer comes as PermitAnswered."""

    command: RequestPermit


@dataclass(frozen=True, slots=True)
class SendCommand:
    """Send this command until it has been answered, in order with those before it."""

    command: Command


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a line to the log, with these fields."""

    event: str
    fields: Mapping[str, str] = field(default_factory=dict)


Effect = StartProcess | StopProcess | SendPermitRequest | SendCommand | LogEvent


@dataclass(slots=True)
class _Transition:
    """To another version, or out and back, under a permit."""

    plan: str
    version: str
    holder: PermitHolder
    attempts: int = 0
    is_reverting: bool = False
    keeps_out: bool = False


class InstanceController:
    """Decides for one process.

    `agent` outlives the process and restarts of the agent, so that the agent recognizes a permit as its own.
    `current` and `previous` are versions on its disk, `drain_permit` the permit of the drain that keeps the
    process out; the caller stores all three. `follows_endpoints`: the process reports to the control plane
    itself.
    """

    def __init__(
        self,
        agent: str,
        member: str,
        kind: str,
        zone: str,
        current: str,
        settings: ControllerSettings,
        seed: int,
        follows_endpoints: bool = False,
        drain_permit: str = "",
    ) -> None:
        """Leave the process alone; `start` starts it."""
        self.agent = agent
        self.member = member
        self.current = current
        self.previous = ""
        self.drain_permit = drain_permit
        self.phase = Phase.BACKING_OFF
        self._kind = kind
        self._zone = zone
        self._settings = settings
        self._follows_endpoints = follows_endpoints
        self._random = Random(f"{seed} {agent}")
        self._now_us = 0
        self._effects: list[Effect] = []
        self._deadline_us: int | None = None  # of the phase: the next start, or the latest time to be ready
        self._restart_delay_us = settings.min_restart_delay_us
        self._running_since_us = 0
        self._incarnation = ""
        self._address = ""
        self._transition: _Transition | None = None
        self._next_request_us = 0
        self._ending_permit = ""  # of a drain that the process is coming back from
        self._has_recovered = False
        self._observed_index = 0

    def handle(self, now_us: int, event: Input) -> list[Effect]:
        """Return the effects of an input, and of the deadline where it has been reached."""
        self._now_us, self._effects = now_us, []
        match event:
            case FleetStateObserved(state):
                self._on_fleet_state(state)
            case PermitAnswered(permit, reason):
                self._on_permit_answered(permit, reason)
            case ProcessReady() if self.phase is Phase.STARTING:
                self._on_ready(event)
            case OperatorOrder():
                self._on_operator_order(event)
            case ProcessExited():
                self._on_exited()
            case _:
                pass
        self._check_deadline()
        effects, self._effects = self._effects, []
        return effects

    def start(self, now_us: int) -> list[Effect]:
        """Start the process, unless a drain kept it out when the agent ended."""
        if self.drain_permit:
            self.phase = Phase.DRAINED
        else:
            self._deadline_us = now_us
        return self.handle(now_us, Tick())

    @property
    def deadline_us(self) -> int | None:
        """When a Tick is wanted."""
        return self._deadline_us

    @property
    def _begun_transition(self) -> _Transition | None:
        """The transition under way, where it has begun."""
        transition = self._transition
        if transition is None or transition.holder.phase is not PermitPhase.BEGUN:
            return None
        return transition

    def _target_version(self) -> str:
        """Return the version that is to run now."""
        transition = self._begun_transition
        if transition is None or transition.is_reverting:
            return self.current
        return transition.version

    def _check_deadline(self) -> None:
        if self._deadline_us is None or self._now_us < self._deadline_us:
            return
        self._deadline_us = None
        if self.phase is Phase.BACKING_OFF:
            self._start_process(self._target_version())
        elif self.phase is Phase.STARTING:
            self._log("process_readiness_timed_out", version=self._target_version())
            self._emit(StopProcess())

    def _emit(self, effect: Effect) -> None:
        self._effects.append(effect)

    def _log(self, event: str, **fields: str) -> None:
        self._emit(LogEvent(event, fields))

    # The process

    def _start_process(self, version: str) -> None:
        self.phase = Phase.STARTING
        self._deadline_us = self._now_us + self._settings.ready_timeout_us
        transition = self._begun_transition
        if transition is not None:
            transition.attempts += 1
        self._emit(StartProcess(version))

    def _stop_process(self) -> None:
        self.phase = Phase.STOPPING
        self._emit(StopProcess())

    def _on_ready(self, event: ProcessReady) -> None:
        version = self._target_version()
        self.phase = Phase.RUNNING
        self._deadline_us = None
        self._incarnation, self._address = event.incarnation, event.address
        self._running_since_us = self._now_us
        permit, failure = self._ending_permit, ""
        transition = self._begun_transition
        if transition is not None:
            permit = transition.holder.permit
            failure = self._finish(transition)
        if permit:
            self._ending_permit = self.drain_permit = ""
            self._complete(permit, failure)
        else:
            self._register(version)

    def _finish(self, transition: _Transition) -> str:
        """End a transition with the process ready, and return why it failed, if it did."""
        self._transition = None
        if transition.is_reverting:
            return f"{transition.version} does not come up"  # stored in the plan: must not change
        if transition.version != self.current:
            self.current, self.previous = transition.version, self.current
        return ""

    def _register(self, version: str) -> None:
        command = RegisterMember(
            self.member,
            self._kind,
            self._zone,
            self._incarnation,
            version,
            self._follows_endpoints,
            self._address,
        )
        self._emit(SendCommand(command))

    def _complete(self, permit: str, failure: str = "") -> None:
        version = self._target_version()
        command = CompletePermit(permit, self.agent, self._incarnation, version, failure, self._address)
        self._emit(SendCommand(command))

    def _on_exited(self) -> None:
        transition = self._begun_transition
        if transition is not None and transition.keeps_out:
            self.phase = Phase.DRAINED
            self._deadline_us = None
            self.drain_permit = transition.holder.permit
            self._transition = None
            return
        if self.phase in (Phase.STOPPING, Phase.DRAINING):
            self._start_process(self._target_version())
            return
        longest_us = self._settings.max_restart_delay_us
        has_run_long = self.phase is Phase.RUNNING and self._now_us - self._running_since_us >= longest_us
        if has_run_long:
            self._restart_delay_us = self._settings.min_restart_delay_us
        if transition is not None and self.phase is Phase.STARTING:
            self._revert_if_exhausted(transition)
        self._back_off()

    def _revert_if_exhausted(self, transition: _Transition) -> None:
        """Give up a new version that has used all its attempts."""
        if transition.is_reverting or transition.attempts < self._settings.max_start_attempts:
            return
        transition.is_reverting = True
        self._restart_delay_us = self._settings.min_restart_delay_us
        self._log("version_reverted", version=transition.version, current=self.current)

    def _back_off(self) -> None:
        self.phase = Phase.BACKING_OFF
        self._deadline_us = self._now_us + self._restart_delay_us
        self._restart_delay_us = min(2 * self._restart_delay_us, self._settings.max_restart_delay_us)

    # Plans and permits

    def _on_fleet_state(self, state: FleetState) -> None:
        if state.index < self._observed_index:  # of a replica that lags behind another one
            return
        self._observed_index = state.index
        if not self._has_recovered and self.phase in (Phase.RUNNING, Phase.DRAINED):
            self._has_recovered = True
            self._recover(state)
        if self.phase in (Phase.DRAINING, Phase.DRAINED):
            self._check_permit(state)
        if self._transition is None and self.phase is Phase.RUNNING and self._now_us >= self._next_request_us:
            self._request_transition(state)

    def _request_transition(self, state: FleetState) -> None:
        plan = _pending_plan(state, self.member)
        if plan is None:
            return
        version = plan.version or self.current
        holder = PermitHolder(self._now_us, self._settings.begin_timeout_us)
        self._transition = _Transition(plan.id, version, holder, keeps_out=plan.keeps_members_out)
        reason = f"to {version}" if version else "to be drained"  # stored in the permit
        self._emit(SendPermitRequest(RequestPermit(self.member, self.agent, reason, plan.id)))

    def _check_permit(self, state: FleetState) -> None:
        """Go on, or comes back, by what has become of the permit under which the process is out."""
        transition = self._transition
        id = self.drain_permit or (transition.holder.permit if transition is not None else "")
        permit = state.permits.get(id)
        if permit is None and state.index < grant_index(id):
            return
        if self.phase is Phase.DRAINING:
            self._check_draining(permit)
        elif permit is None or permit.return_requested:
            self._ending_permit = permit.id if permit is not None else ""
            self.drain_permit = ""
            self._start_process(self.current)

    def _check_draining(self, permit: Permit | None) -> None:
        if permit is not None and permit.confirmed_index and not permit.return_requested:
            self._stop_process()
        elif permit is None or permit.return_requested:  # revoked, or the drain has ended: it never stopped
            self.phase = Phase.RUNNING
            self._transition = None
            if permit is not None:
                self._complete(permit.id)

    def _on_operator_order(self, order: OperatorOrder) -> None:
        """Ignored while a transition under a permit is under way: the process is out already."""
        if self.phase is Phase.DRAINED:
            self._ending_permit, self.drain_permit = self.drain_permit, ""
            self._start_process(self.current)
        elif self.phase is Phase.RUNNING:
            self._transition = self._begun_without_request("", order.version or self.current)
            self._stop_process()
        else:
            self._log("manual_order_ignored", phase=self.phase.value)
            return
        version = order.version or self.current
        self._log("manual_change_started", operator=order.operator, reason=order.reason, version=version)
        change = RecordManualChange(self.member, order.operator, order.reason, version, order.ordered_at_s)
        self._emit(SendCommand(change))

    def _begun_without_request(self, plan: str, version: str, permit: str = "") -> _Transition:
        """Return a transition that has begun already."""
        holder = PermitHolder(self._now_us, 1)
        holder.phase, holder.permit = PermitPhase.BEGUN, permit
        return _Transition(plan, version, holder)

    def _recover(self, state: FleetState) -> None:
        """Take up a permit that the agent held when it was restarted.

        The process is ready, so the permit is completed, unless it belongs to a drain that keeps it out.
        """
        permit = next((each for each in state.permits.values() if each.holder == self.agent), None)
        if permit is None or self._transition is not None or permit.id == self.drain_permit:
            return
        plan = state.plans.get(permit.plan)
        is_drain = plan is not None and plan.keeps_members_out
        if permit.has_begun and is_drain and not permit.return_requested:
            self._transition = self._begun_without_request(permit.plan, self.current, permit.id)
            self._transition.keeps_out = True
            self.phase = Phase.DRAINING
        else:
            self._complete(permit.id)

    def _on_permit_answered(self, permit: str, reason: str) -> None:
        transition = self._transition
        if transition is None or transition.holder.phase is not PermitPhase.REQUESTED:
            if permit:
                self._abandon(permit)
        elif not permit:
            self._transition = None
            delay_us = self._settings.retry_delay_us
            self._next_request_us = self._now_us + delay_us + self._random.randrange(delay_us)
        else:
            self._use_permit(transition, permit)

    def _use_permit(self, transition: _Transition, permit: str) -> None:
        """Begin, unless it is too late or the process has exited by itself and is being restarted."""
        transition.holder.granted(self._now_us, permit)
        if self.phase is not Phase.RUNNING or not transition.holder.begin(self._now_us):
            self._abandon(permit)
            self._transition = None
            return
        self._emit(SendCommand(BeginPermit(permit, self.agent)))
        if self._kind == WORKER:  # it stops once no responsive front end sends it anything new
            self.phase = Phase.DRAINING
        else:
            self._stop_process()

    def _abandon(self, permit: str) -> None:
        self._emit(SendCommand(AbandonPermit(permit, self.agent)))


def _pending_plan(state: FleetState, member: str) -> Plan | None:
    """Return the first running plan whose turn has come for this member."""
    if state.halt_reason:
        return None
    for plan in state.plans.values():
        is_pending = member in plan.members[: plan.eligible_count()] and member not in plan.completed
        if is_pending and not plan.end_reason and not plan.halt_reason:
            return plan
    return None
