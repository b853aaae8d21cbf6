"""An agent's connection to the control plane: commands in order, requests for permits, the state, reports."""

from __future__ import annotations

import secrets
from collections import deque
from collections.abc import Mapping
from random import Random

from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.controlplane.wire import Report
from walnutpost.eventloop import Event, Logger, Loop
from walnutpost.fleet import Command, CommandResult, Fleet, RequestPermit, command_name


class ControlPlaneLink:
    """Sends under ids of the agent's own, so that a command that is repeated is applied once."""

    def __init__(
        self,
        loop: Loop,
        agent: str,
        member: str,
        replicas: Mapping[str, tuple[str, int]],
        timeout_us: int,
        random: Random,
        log: Logger,
    ) -> None:
        """Send nothing yet; `run_sender` is to be run as a task."""
        self._loop = loop
        self._agent = agent
        self._member = member
        self._replicas = list(replicas)
        self._client = ControlPlaneClient(loop, replicas, timeout_us, timeout_us // 2)
        self._random = random
        self._log = log
        self._unsent: deque[tuple[str, Command]] = deque()
        self._has_unsent = Event(loop)

    @property
    def is_idle(self) -> bool:
        """Whether all commands have been answered; otherwise a state may still lack their effect."""
        return not self._unsent

    def send(self, command: Command, id: str = "") -> None:
        """Send a command after those before it, until it is answered."""
        self._unsent.append((id or self._new_id(), command))
        self._has_unsent.set()

    def run_sender(self) -> None:
        """Send the queued commands, until cancelled."""
        while True:
            self._has_unsent.wait()
            self._has_unsent = Event(self._loop)
            while self._unsent:
                id, command = self._unsent[0]
                try:
                    result = self._client.command(id, command)
                except ControlPlaneUnavailableError:
                    continue
                self._unsent.popleft()
                self._log.info(
                    "command_acknowledged",
                    member=self._member,
                    command=command_name(command),
                    accepted=result.ok,
                    reason=result.error,
                )

    def begin_request(self) -> str:
        """Return an id for a request for a permit."""
        return self._new_id()

    def request(self, id: str, command: RequestPermit) -> CommandResult | None:
        """Send a request once; None where there is no answer.

        It may have been granted nevertheless, so it has to be repeated under the same id.
        """
        try:
            result = self._client.command(id, command)
        except ControlPlaneUnavailableError:
            return None
        if result.permit:
            self._log.info("permit_granted", member=self._member, permit=result.permit)
        else:
            self._log.info("permit_denied", member=self._member, reason=result.error)
        return result

    def fetch_state(self) -> Fleet | None:
        """Return the state as a random replica has it, however old; None where that doesn't answer."""
        try:
            return Fleet.restore(self._client.local_status(self._random.choice(self._replicas)).state)
        except ControlPlaneUnavailableError:
            return None

    def report(self, incarnation: str) -> None:
        """Renew the member's lease; a report that is lost is made up for by the next."""
        try:
            self._client.report(Report(self._member, incarnation))
        except ControlPlaneUnavailableError:
            return

    def _new_id(self) -> str:
        return f"{self._agent}-{secrets.token_hex(6)}"
