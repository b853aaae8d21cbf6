"""An agent's connection to the control plane: commands in order, requests for permits, the state, reports."""

from __future__ import annotations

import secrets
from collections import deque
from dataclasses import dataclass
from random import Random

from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.controlplane.wire import Report
from walnutpost.eventloop import Event, Logger, Loop
from walnutpost.fleet import Command, CommandResult, Fleet, RequestPermit, command_name
from walnutpost.fleet.agent_instance import ManagedInstance


@dataclass(frozen=True, slots=True)
class _QueuedCommand:
    id: str
    command: Command


class ControlPlaneLink:
    """Sends in the name of one instance; a repeated command keeps its id, so that it is applied once.

    `run_sender` has to run as a task.
    """

    def __init__(
        self,
        loop: Loop,
        instance: ManagedInstance,
        client: ControlPlaneClient,
        random: Random,
        log: Logger,
    ) -> None:
        self._loop = loop
        self._instance = instance
        self._client = client
        self._random = random
        self._log = log
        self._unsent: deque[_QueuedCommand] = deque()
        self._has_unsent = Event(loop)

    @property
    def is_idle(self) -> bool:
        """Whether all commands have been answered; otherwise a state may still lack their effect."""
        return not self._unsent

    def send(self, command: Command, request_id: str = "") -> None:
        """Queue a command; it is sent after those before it, until it is answered."""
        self._unsent.append(_QueuedCommand(request_id or self._new_id(), command))
        self._has_unsent.set()

    def run_sender(self) -> None:
        """Send the queued commands, until cancelled."""
        while True:
            self._has_unsent.wait()
            self._has_unsent = Event(self._loop)
            while self._unsent:
                queued = self._unsent[0]
                try:
                    result = self._client.command(queued.id, queued.command)
                except ControlPlaneUnavailableError:
                    continue
                self._unsent.popleft()
                self._log.info(
                    "command_acknowledged",
                    command=command_name(queued.command),
                    accepted=result.ok,
                    reason=result.error,
                )

    def new_request_id(self) -> str:
        """Return an id for a request for a permit."""
        return self._new_id()

    def request(self, request_id: str, command: RequestPermit) -> CommandResult | None:
        """Send a request once; return None if there is no answer.

        It may have been granted nevertheless, so it has to be repeated under the same id.
        """
        try:
            result = self._client.command(request_id, command)
        except ControlPlaneUnavailableError:
            return None
        if result.permit:
            self._log.info("permit_granted", permit=result.permit)
        else:
            self._log.info("permit_denied", reason=result.error)
        return result

    def fetch_state(self) -> Fleet | None:
        """Return the state as a random replica has it, however old; None if that doesn't answer."""
        try:
            return Fleet.restore(self._client.local_status(self._random.choice(self._client.replicas)).state)
        except ControlPlaneUnavailableError:
            return None

    def report(self, incarnation: str) -> None:
        """Renew the member's lease. A lost report is ignored: the next one follows soon."""
        try:
            self._client.report(Report(self._instance.member, incarnation))
        except ControlPlaneUnavailableError:
            return

    def _new_id(self) -> str:
        return f"{self._instance.agent}-{secrets.token_hex(6)}"
