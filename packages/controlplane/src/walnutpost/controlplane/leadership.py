"""Duties of the leader alone: members' leases, step analysis, and followers of the configuration."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.configstore.fleet_progress import FleetProgress
from walnutpost.controlplane.applied_state import AppliedState
from walnutpost.eventloop import Loop
from walnutpost.fleet import AnalysisPolicy, Command, FleetMonitor, UpdateFollowers

MAX_CHECK_INTERVAL_US = 500_000
CHECKS_PER_LEASE = 5
MAX_FOLLOWERS_PER_COMMAND = 500


class LeaderDuties:
    """One term of leadership: the reports that it got, and the commands that the leader proposes itself.

    Starts without any report. `propose` must not wait; results are in the log.
    """

    def __init__(
        self,
        loop: Loop,
        applied: AppliedState,
        lease_us: int,
        policy: AnalysisPolicy,
        propose: Callable[[Command], None],
    ) -> None:
        self._loop = loop
        self._applied = applied
        self._propose = propose
        self._check_interval_us = min(lease_us // CHECKS_PER_LEASE, MAX_CHECK_INTERVAL_US)
        self._is_stopped = False
        now = loop.now()
        self.progress = FleetProgress(now, applied.fleet.config_store.revision)
        self.progress.set_members(now, applied.fleet.state.followers)
        self.monitor = FleetMonitor(now, lease_us, policy)

    def stop(self) -> None:
        """End the periodic checks."""
        self._is_stopped = True

    def check(self) -> None:
        """Propose the commands that are due, now and periodically until stopped."""
        if self._is_stopped:
            return
        commands = self.monitor.propose(self._loop.now(), self._applied.fleet.state)
        for command in [*commands, *self._follower_updates()]:
            self._propose(command)
        self._loop.call_later(self._check_interval_us, self.check)

    def _follower_updates(self) -> list[Command]:
        """Return the update of followers: members that relays report as new, and those that have ended.

        A later check proposes the rest, and repeats members that are not committed yet.
        """
        followers = self._applied.fleet.state.followers
        unregistered = self.progress.unregistered_members(self._loop.now())
        joined = tuple(unregistered[:MAX_FOLLOWERS_PER_COMMAND])
        ended = [name for name in self.progress.ended_members() if name in followers]
        left = tuple((name, followers[name]) for name in ended[:MAX_FOLLOWERS_PER_COMMAND])
        return [UpdateFollowers(joined, left)] if joined or left else []
