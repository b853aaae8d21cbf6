"""One agent: looks after one process, and changes its version under permits of the control plane."""

from __future__ import annotations

import secrets
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

from walnutpost.agent.child_process import ChildProcess, ProcessSettings
from walnutpost.agent.control_plane import ControlPlaneLink
from walnutpost.agent.fleet_observer import FleetObserver, LeaseRenewal
from walnutpost.agent.instance_runner import InstanceRunner
from walnutpost.agent.manual_orders import ManualOrders
from walnutpost.agent.member_logger import MemberLogger
from walnutpost.agent.state_file import StateFile, StateSaver
from walnutpost.agent.versions import VersionStore
from walnutpost.controlplane import ControlPlaneClient
from walnutpost.eventloop import Logger, Loop, Task
from walnutpost.fleet import StoreVersion
from walnutpost.fleet.agent_instance import ControllerSettings, DurableState, ManagedInstance
from walnutpost.fleet.agent_state import InstanceController

ORDER_INTERVAL_US = 500_000  # between looks for orders of operators
DEFAULT_REQUEST_TIMEOUT_US = 5_000_000
SEED_BITS = 63


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """What an agent is given.

    `command` starts the process, with `{config}` for the version's file; it is ready once `ready_text` is in
    its output. `first_version`: the content to start with if the folder has no state yet. `folder`: shared by
    all agents of a machine. `replicas`: addresses of the control plane's replicas by name.
    `report_interval_us`: between renewals of the member's lease. `follows_endpoints`: the process itself
    registers and reports to the control plane.
    """

    member: str
    kind: str
    zone: str
    command: Sequence[str]
    ready_text: str
    first_version: bytes
    folder: Path
    replicas: Mapping[str, tuple[str, int]]
    controller: ControllerSettings
    report_interval_us: int
    request_timeout_us: int = DEFAULT_REQUEST_TIMEOUT_US
    follows_endpoints: bool = False


class Agent:
    """Runs its parts from `start` to `stop`; `build_agent` builds it."""

    def __init__(
        self,
        loop: Loop,
        runner: InstanceRunner,
        link: ControlPlaneLink,
        observer: FleetObserver,
        renewal: LeaseRenewal,
        orders: ManualOrders,
    ) -> None:
        self.runner = runner
        self._loop = loop
        self._link = link
        self._observer = observer
        self._renewal = renewal
        self._orders = orders
        self._tasks: list[Task[None]] = []

    @property
    def name(self) -> str:
        """The agent's name, which outlives its restarts."""
        return self.runner.controller.instance.agent

    def start(self) -> None:
        """Start the tasks, then the process once those that a killed agent left behind have exited."""
        self._tasks = [
            self._loop.spawn(self._observer.run, name="observe_fleet"),
            self._loop.spawn(self._link.run_sender, name="run_sender"),
            self._loop.spawn(self._renewal.run, name="report"),
        ]
        self.runner.start()
        self._poll_orders()

    def stop(self) -> None:
        """End the process and the agent; return once the process has exited."""
        for task in self._tasks:
            task.cancel()
        self.runner.stop()

    def _poll_orders(self) -> None:
        self._orders.poll()
        if not self.runner.has_stopped:
            self._loop.call_later(ORDER_INTERVAL_US, self._poll_orders)


def build_agent(loop: Loop, settings: AgentSettings, log: Logger) -> Agent:
    """Open the agent's folder and build its parts; raise AgentError or OSError.

    Nothing runs before `Agent.start`. The version that the process runs is queued for the control plane, so
    that a later release can be rolled back to it.
    """
    log = MemberLogger(log, settings.member)
    random = Random(secrets.randbits(SEED_BITS))
    versions = VersionStore(settings.folder)
    file = StateFile(settings.folder, settings.member, versions, log)
    state = file.open(settings.first_version)
    instance = ManagedInstance(
        state.agent, settings.member, settings.kind, settings.zone, settings.follows_endpoints
    )
    durable = DurableState(state.current, state.previous, state.drain_permit or "")
    controller = InstanceController(instance, durable, settings.controller, random.getrandbits(SEED_BITS))
    timeout_us = settings.request_timeout_us
    client = ControlPlaneClient(loop, settings.replicas, timeout_us, timeout_us // 2)
    link = ControlPlaneLink(loop, instance, client, random, log)
    output_path = settings.folder / f"{settings.member}.out"
    process_settings = ProcessSettings(state.agent, settings.command, settings.ready_text, output_path)
    process = ChildProcess(loop, process_settings, versions)
    saver = StateSaver(loop, file, state, durable, log)
    runner = InstanceRunner(loop, controller, process, link, saver, log)
    observer = FleetObserver(loop, link, versions, runner, random, log)
    renewal = LeaseRenewal(loop, link, process, settings.report_interval_us)
    orders = ManualOrders(settings.folder, settings.member, versions, runner, log)
    content = versions.path(state.current).read_bytes()
    link.send(StoreVersion(state.current, content), f"keep-{state.current}")
    return Agent(loop, runner, link, observer, renewal, orders)
