"""Transitions of an instance to another version, or out and back: their permits, attempts and reverts."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from walnutpost.fleet.agent_effects import EffectQueue, SendPermitRequest
from walnutpost.fleet.agent_instance import ControllerSettings, DurableState, ManagedInstance
from walnutpost.fleet.agent_reports import InstanceReports
from walnutpost.fleet.commands import RequestPermit
from walnutpost.fleet.permit_holder import PermitHolder, PermitPhase
from walnutpost.fleet.state import FleetState, Permit, Plan


@dataclass(slots=True)
class Transition:
    """A change of the process to `version`, from the request for its permit until the process is ready.

    `attempts`: how often the process was started with `version`. `is_reverting`: it goes back to the current
    version. `keeps_out`: the process stays stopped until a drain ends.
    """

    version: str
    holder: PermitHolder
    attempts: int = 0
    is_reverting: bool = False
    keeps_out: bool = False


class Transitions:
    """At most one transition at a time, in phases of its permit: requested, begun, finished.

    `finish` changes the versions in `durable`. Effects go through `effects` and `reports`.
    """

    def __init__(
        self,
        instance: ManagedInstance,
        durable: DurableState,
        settings: ControllerSettings,
        random: Random,
        effects: EffectQueue,
        reports: InstanceReports,
    ) -> None:
        self._instance = instance
        self._durable = durable
        self._settings = settings
        self._random = random
        self._effects = effects
        self._reports = reports
        self._transition: Transition | None = None
        self._next_request_us = 0

    @property
    def is_idle(self) -> bool:
        """Whether no permit is requested and no transition is under way."""
        return self._transition is None

    @property
    def begun(self) -> Transition | None:
        """The transition under way, if it has begun."""
        transition = self._transition
        if transition is None or transition.holder.phase is not PermitPhase.BEGUN:
            return None
        return transition

    @property
    def permit(self) -> str:
        """The permit of the transition under way; empty if there is none."""
        return self._transition.holder.permit if self._transition is not None else ""

    @property
    def target_version(self) -> str:
        """The version that the process has to run now."""
        transition = self.begun
        if transition is None or transition.is_reverting:
            return self._durable.current
        return transition.version

    def request(self, now_us: int, state: FleetState) -> None:
        """Request a permit if a plan is waiting for this member, unless a denial is too recent."""
        if not self.is_idle or now_us < self._next_request_us:
            return
        plan = _pending_plan(state, self._instance.member)
        if plan is None:
            return
        version = plan.version or self._durable.current
        holder = PermitHolder(now_us, self._settings.begin_timeout_us)
        self._transition = Transition(version, holder, keeps_out=plan.keeps_members_out)
        reason = f"to {version}" if version else "to be drained"  # stored in the permit
        request = RequestPermit(self._instance.member, self._instance.agent, reason, plan.id)
        self._effects.emit(SendPermitRequest(request))

    def begin_if_granted(self, now_us: int, permit: str, is_running: bool) -> bool:
        """Take the result of the last request, and return whether the transition begins now.

        It does not if the permit was denied (`permit` is empty), if it came too late, or if the process is
        not running: it has exited, and is being restarted.
        """
        transition = self._transition
        if transition is None or transition.holder.phase is not PermitPhase.REQUESTED:
            if permit:
                self._reports.abandon(permit)
            return False
        if not permit:
            self._transition = None
            delay_us = self._settings.retry_delay_us
            self._next_request_us = now_us + delay_us + self._random.randrange(delay_us)
            return False
        transition.holder.granted(now_us, permit)
        if not is_running or not transition.holder.begin(now_us):
            self._reports.abandon(permit)
            self._transition = None
            return False
        self._reports.begin(permit)
        return True

    def begin_without_request(self, now_us: int, version: str) -> None:
        """Begin a transition that an operator ordered without a permit."""
        self._transition = self._begun(now_us, version, "")

    def resume_drain(self, now_us: int, permit: Permit) -> None:
        """Continue the drain that the agent had begun under this permit before its restart."""
        self._transition = self._begun(now_us, self._durable.current, permit.id)
        self._transition.keeps_out = True

    def _begun(self, now_us: int, version: str, permit: str) -> Transition:
        holder = PermitHolder(now_us, 1)
        holder.phase, holder.permit = PermitPhase.BEGUN, permit
        return Transition(version, holder)

    def count_attempt(self) -> None:
        """Count a start of the process."""
        transition = self.begun
        if transition is not None:
            transition.attempts += 1

    def revert_if_exhausted(self) -> bool:
        """Return whether the new version has just used up its attempts, and revert it if so."""
        transition = self.begun
        if transition is None or transition.is_reverting:
            return False
        if transition.attempts < self._settings.max_start_attempts:
            return False
        transition.is_reverting = True
        self._effects.log("version_reverted", version=transition.version, current=self._durable.current)
        return True

    def finish(self, transition: Transition) -> str:
        """End a transition whose process is ready; return why it failed, empty if it did not."""
        self._transition = None
        if transition.is_reverting:
            return f"{transition.version} does not come up"  # stored in the plan: must not change
        if transition.version != self._durable.current:
            self._durable.current, self._durable.previous = transition.version, self._durable.current
        return ""

    def discard(self) -> None:
        """Forget the transition under way, without a change of version."""
        self._transition = None


def _pending_plan(state: FleetState, member: str) -> Plan | None:
    """Return the first running plan whose current step includes this member."""
    if state.halt_reason:
        return None
    for plan in state.plans.values():
        is_pending = member in plan.members[: plan.eligible_count()] and member not in plan.completed
        if is_pending and not plan.end_reason and not plan.halt_reason:
            return plan
    return None
