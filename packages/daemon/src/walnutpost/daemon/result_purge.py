"""Purging of old results of deferred calls, in the local store and in the journal's replicas."""

from __future__ import annotations

from walnutpost.daemon.replication import CallReplication
from walnutpost.eventloop import Logger, Loop
from walnutpost.store import ExecutionStore, StoreError

PURGE_INTERVAL_US = 60_000_000


class ResultPurger:
    """Deletes executions that ended more than `keep_results_us` ago, locally and in any replicas."""

    def __init__(
        self,
        loop: Loop,
        store: ExecutionStore,
        keep_results_us: int,
        log: Logger,
        replication: CallReplication | None,
    ) -> None:
        self._loop = loop
        self._store = store
        self._keep_results_us = keep_results_us
        self._log = log
        self._replication = replication

    def run(self) -> None:
        """Purge immediately, then every PURGE_INTERVAL_US until cancelled."""
        while True:
            try:
                self._purge()
            except StoreError as error:
                self._log.error("store_failed", operation="purge", error=str(error))
            self._loop.sleep(PURGE_INTERVAL_US)

    def _purge(self) -> None:
        before_us = self._loop.now() - self._keep_results_us
        if self._replication is None:
            self._store.purge(before_us)
            return
        append = self._replication.entries.build_purged(before_us)
        self._store.purge(before_us, append)
        self._replication.quorums.start_replication(append)
