"""One agent: carries out what `fleet.agent_state` decides for the process under its care."""

from __future__ import annotations

import os
import secrets
import signal
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from random import Random

from walnutpost.agent.child_process import KILL_TIMEOUT_US, POLL_INTERVAL_US, ChildProcess, processes_of
from walnutpost.agent.control_plane import ControlPlaneLink
from walnutpost.agent.errors import ManualOrderError
from walnutpost.agent.folder import AgentFolder
from walnutpost.eventloop import Logger, Loop
from walnutpost.fleet import Fleet, RequestPermit, StoreVersion
from walnutpost.fleet.agent_effects import (
    Effect,
    LogEvent,
    SendCommand,
    SendPermitRequest,
    StartProcess,
    StopProcess,
)
from walnutpost.fleet.agent_inputs import FleetStateObserved, Input, PermitAnswered, ProcessExited, Tick
from walnutpost.fleet.agent_instance import ControllerSettings, DurableState, ManagedInstance
from walnutpost.fleet.agent_state import InstanceController

OBSERVE_INTERVAL_US = 500_000  # of the fleet's state (up to twice that, at random), and of orders
RETRY_INTERVAL_US = 500_000  # of a state that could not be written, and of orphans' ends
DEFAULT_REQUEST_TIMEOUT_US = 5_000_000


class Agent:
    """Looks after one process from its construction until `stop`.

    `command` starts the process, with `{config}` for the version's file; it is ready once `ready` is in its
    output. `first` is the version where the folder has none yet. `follows`: the process reports itself.
    """

    def __init__(
        self,
        loop: Loop,
        member: str,
        kind: str,
        zone: str,
        command: Sequence[str],
        ready: str,
        first: bytes,
        folder: Path,
        keepers: Mapping[str, tuple[str, int]],
        settings: ControllerSettings,
        report_interval_us: int,
        log: Logger,
        request_timeout_us: int = DEFAULT_REQUEST_TIMEOUT_US,
        follows: bool = False,
    ) -> None:
        """Start the process, after any that a killed agent left behind has ended; raise AgentError."""
        self._loop = loop
        self._member = member
        self._log = log
        self._report_interval_us = report_interval_us
        self._random = Random(secrets.randbits(63))
        self._folder = AgentFolder(folder, member, log)
        self._saved = self._folder.open(first)
        self._save_again_at_us: int | None = None  # where the file is older than the state
        state = self._saved
        self.agent = state.agent
        self.controller = InstanceController(
            ManagedInstance(state.agent, member, kind, zone, follows),
            DurableState(state.current, state.previous, state.drain_permit or ""),
            settings,
            self._random.getrandbits(63),
        )
        self._link = ControlPlaneLink(
            loop, state.agent, member, keepers, request_timeout_us, self._random, log
        )
        self.process = ChildProcess(loop, command, ready, self._folder.output_path)
        self._has_stopped = False
        self._send_current_version()
        tasks = (self._observe_fleet, self._link.run_sender, self._report)
        self._tasks = [loop.spawn(task, name=task.__name__) for task in tasks]
        self._end_orphans()
        self._execute(self.controller.start(loop.now()))
        self._poll()
        self._poll_orders()

    def stop(self) -> None:
        """End the process and the agent; return once the process has exited."""
        self._has_stopped = True
        for task in self._tasks:
            task.cancel()
        self.process.stop()
        self.process.wait()

    def _send_current_version(self) -> None:
        """Let the fleet store the version that runs, so that it can be rolled back to."""
        version = self.controller.durable.current
        content = self._folder.version_path(version).read_bytes()
        self._link.send(StoreVersion(version, content), f"keep-{version}")

    def _end_orphans(self) -> None:
        """End the process that a killed agent left behind, before another takes its place.

        It is found by its environment, since a note of its process id might not have been written any more.
        """
        patience_us = KILL_TIMEOUT_US
        while orphans := processes_of(self.agent):
            for pid in orphans:
                with suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGTERM if patience_us > 0 else signal.SIGKILL)
            self._log.warning("orphan_processes_found", member=self._member, pids=orphans)
            patience_us -= RETRY_INTERVAL_US
            self._loop.sleep(RETRY_INTERVAL_US)

    # The controller

    def _handle(self, event: Input) -> None:
        if not self._has_stopped:
            self._execute(self.controller.handle(self._loop.now(), event))
            self._save()

    def _execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartProcess(version):
                    self._start_process(version)
                case StopProcess():
                    self.process.stop()
                case SendCommand(command):
                    self._link.send(command)
                case SendPermitRequest(command):
                    self._loop.spawn(self._request_permit, command, name="request_permit")
                case LogEvent(event, fields):
                    self._log.warning(event, member=self._member, **fields)

    def _save(self) -> None:
        """Write the state if it has changed; after a failure, `_poll` tries again."""
        durable = self.controller.durable
        state = replace(
            self._saved,
            current=durable.current,
            previous=durable.previous,
            drain_permit=durable.drain_permit,
        )
        self._save_again_at_us = None
        if state == self._saved:
            return
        try:
            self._folder.save(state)
        except OSError as error:
            self._log.error("state_write_failed", member=self._member, error=str(error))
            self._save_again_at_us = self._loop.now() + RETRY_INTERVAL_US
            return
        self._saved = state

    # The control plane

    def _request_permit(self, command: RequestPermit) -> None:
        """Repeat the request until it is answered."""
        id = self._link.begin_request()
        while not self._has_stopped:
            result = self._link.request(id, command)
            if result is not None:
                self._handle(PermitAnswered(result.permit))
                return

    def _observe_fleet(self) -> None:
        """Hand the state of a random replica to the controller, until cancelled.

        An old state does no harm: the leader, which knows better, answers requests.
        """
        while True:
            fleet = self._link.fetch_state()
            if fleet is not None and self._link.is_idle and self._store_versions(fleet):
                self._handle(FleetStateObserved(fleet.state))
            self._loop.sleep(OBSERVE_INTERVAL_US + self._random.randrange(OBSERVE_INTERVAL_US))

    def _store_versions(self, fleet: Fleet) -> bool:
        """Store the versions of plans; return False where the disk failed.

        The agent must not request a permit for a version that it doesn't have.
        """
        try:
            for version in {plan.version for plan in fleet.state.plans.values() if plan.version}:
                if version in fleet.state.versions:
                    self._folder.store_version(fleet.state.versions[version])
        except OSError as error:
            self._log.error("version_write_failed", member=self._member, error=str(error))
            return False
        return True

    def _report(self) -> None:
        """Renew the lease of a process that is ready, until cancelled."""
        while True:
            if self.process.is_ready:
                self._link.report(self.process.incarnation)
            self._loop.sleep(self._report_interval_us)

    # Orders of operators

    def _poll_orders(self) -> None:
        try:
            order = self._folder.take_order()
        except ManualOrderError as error:
            self._log.error("manual_order_rejected", member=self._member, error=str(error))
            order = None
        if order is not None:
            self._log.warning(
                "manual_order_received", member=self._member, operator=order.operator, reason=order.reason
            )
            self._handle(order)
        if not self._has_stopped:
            self._loop.call_later(OBSERVE_INTERVAL_US, self._poll_orders)

    # The process

    def _start_process(self, version: str) -> None:
        try:
            self.process.start(self.agent, self._folder.version_path(version))
        except OSError as error:
            self._log.error("process_start_failed", member=self._member, version=version, error=str(error))
            self._loop.call_soon(lambda: self._handle(ProcessExited()))
            return
        self._log.info("process_started", member=self._member, version=version)

    def _poll(self) -> None:
        """Look for an exit or readiness, the controller's deadline, and a state that waits to be saved."""
        self._poll_process()
        deadline_us = self.controller.deadline_us
        if deadline_us is not None and self._loop.now() >= deadline_us:
            self._handle(Tick())
        if self._save_again_at_us is not None and self._loop.now() >= self._save_again_at_us:
            self._save()
        if not self._has_stopped:
            self._loop.call_later(POLL_INTERVAL_US, self._poll)

    def _poll_process(self) -> None:
        exit_code = self.process.take_exit()
        if exit_code is not None:
            self._log.info("process_exited", member=self._member, exit_code=exit_code)
            self._handle(ProcessExited())
            return
        ready = self.process.take_ready()
        if ready is not None:
            self._log.info("process_ready", member=self._member, address=ready.address)
            self._handle(ready)
