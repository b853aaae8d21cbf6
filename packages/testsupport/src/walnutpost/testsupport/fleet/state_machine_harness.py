"""Test harnesses of the fleet: a state machine that applies commands at once, an agent without a process."""

from __future__ import annotations

from walnutpost.fleet import (
    FRONT_END,
    WORKER,
    Acknowledgement,
    BeginPermit,
    Command,
    CommandResult,
    CompletePermit,
    ConfirmPermit,
    DisruptionBudget,
    Fleet,
    RegisterMember,
    RequestPermit,
    SetBudgets,
    StartPlan,
    StoreVersion,
    encode,
)
from walnutpost.fleet.agent_effects import (
    Effect,
    LogEvent,
    SendCommand,
    SendPermitRequest,
    StartProcess,
    StopProcess,
)
from walnutpost.fleet.agent_inputs import (
    FleetStateObserved,
    PermitAnswered,
    ProcessExited,
    ProcessReady,
    Tick,
)
from walnutpost.fleet.agent_instance import ControllerSettings, DurableState, ManagedInstance
from walnutpost.fleet.agent_process import Phase
from walnutpost.fleet.agent_state import InstanceController


class FleetHarness:
    """A state machine that applies commands at once."""

    def __init__(self, members: int = 6, *budgets: DisruptionBudget, fleet: type[Fleet] = Fleet) -> None:
        self.fleet, self.index = fleet(), 0
        for n in range(members):
            self.do(RegisterMember(f"m{n}", FRONT_END, "ab"[n % 2], f"m{n}.1", "v1"))
        self.do(SetBudgets(budgets or (DisruptionBudget(FRONT_END, max_unavailable=2),)))
        for version in ("v1", "v2"):
            self.do(StoreVersion(version, version.encode()))

    def do(self, command: Command, command_id: str = "") -> CommandResult:
        """Apply a command at the next index, by default with a new id, and return its result."""
        self.index += 1
        return self.fleet.apply(self.index, command_id or f"i{self.index}", encode(command))

    def request_permit(self, member: str, plan: str = "", holder: str = "") -> CommandResult:
        """Request a permit for the member."""
        return self.do(RequestPermit(member, holder or f"agent-{member}", "test", plan))

    def replace(self, member: str, plan: str, version: str = "v2") -> None:
        """Carry out a whole replacement of the member; its next process runs `version`."""
        permit = self.request_permit(member, plan)
        assert permit.ok, permit.error
        self.do(BeginPermit(permit.permit, f"agent-{member}"))
        back = CompletePermit(permit.permit, f"agent-{member}", f"{member}.{self.index}", version)
        assert self.do(back).ok


LEASE = 1000  # microseconds


def fleet_with(fronts: int = 3, workers: int = 2, fleet: type[Fleet] = Fleet) -> FleetHarness:
    """Return a fleet of front ends and workers of which one of each kind may be unavailable."""
    harness = FleetHarness(
        0,
        DisruptionBudget(WORKER, max_unavailable=1),
        DisruptionBudget(FRONT_END, max_unavailable=1),
        fleet=fleet,
    )
    for n in range(fronts):
        harness.do(RegisterMember(f"f{n}", FRONT_END, "ab"[n % 2], f"f{n}.1", "v1", follows_endpoints=True))
    for n in range(workers):
        harness.do(RegisterMember(f"w{n}", WORKER, "a", f"w{n}.1", "v1", address=f"127.0.0.1:{n + 1}"))
    return harness


def begin_drain(harness: FleetHarness, worker: str = "w0") -> str:
    """Obtain a permit for the worker and begin its drain; return the permit's id."""
    permit = harness.request_permit(worker).permit
    harness.do(BeginPermit(permit, f"agent-{worker}"))
    return permit


SECOND = 1_000_000
SETTINGS = ControllerSettings(begin_timeout_us=5 * SECOND, ready_timeout_us=10 * SECOND)


class AgentHarness:
    """One agent, its process and the replicated state.

    Versions in `bad` exit at once and never become ready.
    """

    kind = FRONT_END

    def __init__(self, bad: tuple[str, ...] = ()) -> None:
        self.now, self.index, self.start_count = 0, 0, 0
        self.bad, self.started = bad, list[str]()
        self.sent: list[Command] = []
        self.logged: list[LogEvent] = []
        self.fleet = Fleet()
        self.controller = self.agent()
        for command in (
            SetBudgets((DisruptionBudget(FRONT_END, max_unavailable=1),)),
            StoreVersion("v1", b""),
            StoreVersion("v2", b""),
        ):
            self.apply(command)
        self.do(self.controller.start(self.now))

    def agent(self) -> InstanceController:
        """Return a new controller of the member `m` at version `v1`, as after a start of the agent."""
        instance = ManagedInstance("agent-m", "m", self.kind, "a")
        return InstanceController(instance, DurableState("v1"), SETTINGS, 1)

    def current_phase(self) -> Phase:
        """Return the controller's phase."""
        return self.controller.phase

    def apply(self, command: Command) -> str:
        """Apply a command; return the permit's id, which may be empty, or `no: ` and the error."""
        self.index += 1
        answer = self.fleet.apply(self.index, "", encode(command))
        return answer.permit if answer.ok else f"no: {answer.error}"

    def do(self, effects: list[Effect], answer: bool = True) -> None:
        """Carry out effects at once; `answer`: whether permit requests are answered."""
        for effect in effects:
            match effect:
                case StartProcess(version):
                    self.started.append(version)
                    self.start_count += 1
                    if version in self.bad:
                        self.handle(ProcessExited())
                    else:
                        self.handle(ProcessReady(f"m.{self.start_count}"))
                case StopProcess():
                    self.handle(ProcessExited())
                case SendCommand(command):
                    self.sent.append(command)
                    self.apply(command)
                case LogEvent():
                    self.logged.append(effect)
                case SendPermitRequest(command) if answer:
                    sent = self.apply(command)
                    self.handle(PermitAnswered("" if sent.startswith("no") else sent))

    def handle(self, event: object, answer: bool = True) -> None:
        """Give an input to the controller and carry out its effects."""
        self.do(self.controller.handle(self.now, event), answer)  # type: ignore[arg-type]

    def observe(self, answer: bool = True) -> None:
        """Show the present fleet state to the controller."""
        self.handle(FleetStateObserved(self.fleet.state), answer)

    def pass_time(self, span: int) -> None:
        """Advance the clock by `span` microseconds; a tick is sent at each deadline of the controller."""
        until = self.now + span
        while self.controller.deadline_us is not None and self.controller.deadline_us <= until:
            self.now = max(self.now, self.controller.deadline_us)
            self.handle(Tick())
        self.now = until


def release(harness: AgentHarness, back: str = "v1") -> None:
    """Start a plan that releases `v2` to the member `m`; `back`: the version for a rollback."""
    harness.apply(StartPlan("r", ("m",), "v2", (1.0,), back))


class WorkerAgentHarness(AgentHarness):
    """An agent of a worker, beside one front end that acknowledges drains on request."""

    kind = WORKER

    def __init__(self) -> None:
        super().__init__()
        self.apply(RegisterMember("f", FRONT_END, "a", "f.1", "v1", follows_endpoints=True))

    def acknowledge(self) -> None:
        """Confirm all permits with the front end's acknowledgement, and show the state to the controller."""
        for permit in self.fleet.state.permits.values():
            self.apply(ConfirmPermit(permit.id, (Acknowledgement("f", "f.1", permit.granted_index),)))
        self.observe()
