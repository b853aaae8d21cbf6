"""Carries out what the agent's state machine decides for its process."""

from __future__ import annotations

from walnutpost.agent.child_process import POLL_INTERVAL_US, ChildProcess, end_orphans
from walnutpost.agent.control_plane import ControlPlaneLink
from walnutpost.agent.state_file import StateSaver
from walnutpost.eventloop import Logger, Loop
from walnutpost.fleet import RequestPermit
from walnutpost.fleet.agent_effects import (
    Effect,
    LogEvent,
    SendCommand,
    SendPermitRequest,
    StartProcess,
    StopProcess,
)
from walnutpost.fleet.agent_inputs import Input, PermitAnswered, ProcessExited, Tick
from walnutpost.fleet.agent_state import InstanceController


class InstanceRunner:
    """Feeds the state machine with inputs, and carries out and stores its decisions, from `start` to `stop`.

    Inputs after `stop` are ignored. All methods are called by tasks and timers of the event loop.
    """

    def __init__(
        self,
        loop: Loop,
        controller: InstanceController,
        process: ChildProcess,
        link: ControlPlaneLink,
        saver: StateSaver,
        log: Logger,
    ) -> None:
        self.controller = controller
        self.process = process
        self.saver = saver
        self.has_stopped = False
        self._loop = loop
        self._link = link
        self._log = log

    def start(self) -> None:
        """Start the process, after processes that a killed agent left behind have exited."""
        end_orphans(self._loop, self.controller.instance.agent, self._log)
        self._execute(self.controller.start(self._loop.now()))
        self._poll()

    def stop(self) -> None:
        """End the process; return once it has exited."""
        self.has_stopped = True
        self.process.stop()
        self.process.wait()

    def handle(self, event: Input) -> None:
        """Handle an input, carry out its effects, and store the state if it has changed."""
        if not self.has_stopped:
            self._execute(self.controller.handle(self._loop.now(), event))
            self.saver.save()

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
                    self._log.warning(event, **fields)

    def _request_permit(self, command: RequestPermit) -> None:
        """Repeat the request until it is answered."""
        request_id = self._link.new_request_id()
        while not self.has_stopped:
            result = self._link.request(request_id, command)
            if result is not None:
                self.handle(PermitAnswered(result.permit))
                return

    def _start_process(self, version: str) -> None:
        try:
            self.process.start(version)
        except OSError as error:
            self._log.error("process_start_failed", version=version, error=str(error))
            self._loop.call_soon(lambda: self.handle(ProcessExited()))
            return
        self._log.info("process_started", version=version)

    def _poll(self) -> None:
        """Check for exit and readiness, for the state machine's deadline, and for a failed write."""
        self._poll_process()
        deadline_us = self.controller.deadline_us
        if deadline_us is not None and self._loop.now() >= deadline_us:
            self.handle(Tick())
        self.saver.retry_if_due()
        if not self.has_stopped:
            self._loop.call_later(POLL_INTERVAL_US, self._poll)

    def _poll_process(self) -> None:
        exit_code = self.process.take_exit()
        if exit_code is not None:
            self._log.info("process_exited", exit_code=exit_code)
            self.handle(ProcessExited())
            return
        ready = self.process.take_ready()
        if ready is not None:
            self._log.info("process_ready", address=ready.address)
            self.handle(ready)
