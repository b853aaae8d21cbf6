"""The periodic log event with a relay's counts."""

from __future__ import annotations

import time

from walnutpost.configstore import WatchState
from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.eventloop import Logger, Loop
from walnutpost.watch import Watcher, WatchServer

SECOND_US = 1_000_000


class RelayStats:
    """Logs `relay_stats`; `log_stats` is called periodically."""

    def __init__(
        self,
        loop: Loop,
        state: WatchState,
        watcher: Watcher,
        watches: WatchServer,
        registry: MemberRegistry,
        log: Logger,
    ) -> None:
        self._loop = loop
        self._state = state
        self._watcher = watcher
        self._watches = watches
        self._registry = registry
        self._log = log
        self._logged_at_us = loop.now()
        self._logged_cpu_s = time.process_time()

    def log_stats(self) -> None:
        """Log the counts, and the processor time since the last call."""
        now, cpu_s = self._loop.now(), time.process_time()
        passed_us, used_s = now - self._logged_at_us, cpu_s - self._logged_cpu_s
        self._logged_at_us, self._logged_cpu_s = now, cpu_s
        counts = self._watches.counts
        self._log.info(
            "relay_stats",
            members=len(self._registry),
            open_watches=self._watches.waiting,
            revision=self._state.store.revision,
            age_ms=self._watcher.age_us() // 1000 if self._watcher.is_complete else None,
            pages_encoded=counts.pages_encoded,
            responses=counts.responses,
            idle_timeouts=counts.idle_timeouts,
            rejected=counts.rejected,
            response_bytes=counts.response_bytes,
            cpu_cores=round(used_s * SECOND_US / max(1, passed_us), 4),
        )
