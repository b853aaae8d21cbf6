"""The configuration that a replica serves to watchers, and its age."""

from __future__ import annotations

from walnutpost.configstore.store import ConfigStore
from walnutpost.controlplane.applied_state import AppliedState
from walnutpost.controlplane.consensus_driver import ConsensusDriver
from walnutpost.controlplane.disk_recovery import DiskRecovery
from walnutpost.eventloop import Loop

UNCONFIRMED_AGE_US = 10**15
"""The age of a state that no leader has confirmed."""


class WatchSource:
    """What the watch server reads from a replica."""

    def __init__(
        self, loop: Loop, driver: ConsensusDriver, applied: AppliedState, disk: DiskRecovery
    ) -> None:
        self._loop = loop
        self._driver = driver
        self._applied = applied
        self._disk = disk

    def store(self) -> ConfigStore | None:
        """Return the store to be served; None while the disk fails: watchers continue at another replica."""
        return None if self._disk.is_failing else self._applied.fleet.config_store

    def age_us(self) -> int:
        """Return the time since a leader last confirmed that the applied state is the newest."""
        fresh_as_of_us = self._driver.raft.fresh_as_of(self._applied.index)
        return UNCONFIRMED_AGE_US if fresh_as_of_us is None else self._loop.now() - fresh_as_of_us
