"""Tasks of an agent towards the control plane: observing the fleet's state, renewing the member's lease."""

from __future__ import annotations

from random import Random

from walnutpost.agent.child_process import ChildProcess
from walnutpost.agent.control_plane import ControlPlaneLink
from walnutpost.agent.input_handler import InputHandler
from walnutpost.agent.versions import VersionStore
from walnutpost.eventloop import Logger, Loop
from walnutpost.fleet import Fleet
from walnutpost.fleet.agent_inputs import FleetStateObserved

OBSERVE_INTERVAL_US = 500_000  # up to twice that, at random


class FleetObserver:
    """Hands the fleet's state to the state machine, and stores the versions of plans."""

    def __init__(
        self,
        loop: Loop,
        link: ControlPlaneLink,
        versions: VersionStore,
        handler: InputHandler,
        random: Random,
        log: Logger,
    ) -> None:
        self._loop = loop
        self._link = link
        self._versions = versions
        self._handler = handler
        self._random = random
        self._log = log

    def run(self) -> None:
        """Observe the state of a random replica periodically, until cancelled.

        An old state does no harm: requests are answered by the leader, which has the newest state.
        """
        while True:
            fleet = self._link.fetch_state()
            if fleet is not None and self._link.is_idle and self._store_versions(fleet):
                self._handler.handle(FleetStateObserved(fleet.state))
            self._loop.sleep(OBSERVE_INTERVAL_US + self._random.randrange(OBSERVE_INTERVAL_US))

    def _store_versions(self, fleet: Fleet) -> bool:
        """Store the versions of plans; return False if the disk failed.

        The agent must not request a permit for a version that it doesn't have.
        """
        try:
            for version in {plan.version for plan in fleet.state.plans.values() if plan.version}:
                if version in fleet.state.versions:
                    self._versions.store(fleet.state.versions[version])
        except OSError as error:
            self._log.error("version_write_failed", error=str(error))
            return False
        return True


class LeaseRenewal:
    """Reports to the control plane while the process is ready."""

    def __init__(self, loop: Loop, link: ControlPlaneLink, process: ChildProcess, interval_us: int) -> None:
        self._loop = loop
        self._link = link
        self._process = process
        self._interval_us = interval_us

    def run(self) -> None:
        """Renew the lease of a process that is ready, until cancelled."""
        while True:
            if self._process.is_ready:
                self._link.report(self._process.incarnation)
            self._loop.sleep(self._interval_us)
