"""The return of a replica whose disk failed a write or a sync: reopen, prove, read back, go on as a follower.

Nothing that a failed write carried counts as durable, and nothing that is read back counts before a later
sync has proven it (`ReplicaStore.prove_durable`). Meanwhile the replica is out of service. A state that holds
less than it has answered for, or can't be read, is a lost disk.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

from walnutpost.consensus import PersistentState
from walnutpost.eventloop import Loop
from walnutpost.store import StoreError
from walnutpost.store.replica import DurableFloor, ReplicaStore, UnreadableStateError, may_pass

MIN_BACKOFF_US = 20_000
MAX_BACKOFF_US = 400_000  # a replica is back within a few of these after the fault's end
CALM_US = 5 * MAX_BACKOFF_US  # without a failure for as long, the next one is tried again soon


class DiskRecovery:
    """`reopen` opens the store's file, on the helper thread. `resume` takes the store and the state that it
    gave; `lost` is told why there is none."""

    def __init__(
        self,
        loop: Loop,
        reopen: Callable[[], ReplicaStore],
        resume: Callable[[ReplicaStore, PersistentState], None],
        lost: Callable[[str], None],
        log: Any,
    ) -> None:
        self._loop, self._reopen, self._resume, self._lost, self._log = loop, reopen, resume, lost, log
        self._backoff = MIN_BACKOFF_US
        self._recovered_at: int | None = None
        self._stopped = False
        self.reason = ""  # of the last failure, while the replica is out of service

    @property
    def is_failing(self) -> bool:
        """Whether the replica is out of service, since its disk failed and nothing was read back yet."""
        return bool(self.reason)

    def begin(self, store: ReplicaStore, identity: str, error: StoreError) -> None:
        """`store` failed with `error`, and is closed."""
        if not may_pass(error):
            self._lost(str(error))
            return
        self.reason = str(error) or repr(error)
        self._log.error("disk_failed", replica=identity, why=self.reason)
        now = self._loop.now()
        if self._recovered_at is None or now - self._recovered_at >= CALM_US:
            self._backoff = MIN_BACKOFF_US
        self._loop.spawn(self._recover, store, identity, now, name="disk recovery")

    def stop(self) -> None:
        self._stopped = True

    def _recover(self, store: ReplicaStore, identity: str, failed_at: int) -> None:
        floor, attempts = store.floor, 0
        self._loop.run_blocking(_close, store)
        while not self._stopped:
            self._loop.sleep(self._backoff)
            self._backoff = min(2 * self._backoff, MAX_BACKOFF_US)
            attempts += 1
            try:
                found, state = self._loop.run_blocking(_read_back, self._reopen, identity, floor)
            except StoreError as error:
                if may_pass(error):
                    self.reason = str(error) or repr(error)
                    continue
                if not self._stopped:
                    self._lost(str(error))
                return
            if self._stopped:
                self._loop.run_blocking(_close, found)
                return
            self._recovered_at, self.reason = self._loop.now(), ""
            outage_ms = (self._recovered_at - failed_at) // 1000
            self._log.info("disk_recovered", replica=identity, attempts=attempts, outage_ms=outage_ms)
            self._resume(found, state)
            return


def _read_back(
    reopen: Callable[[], ReplicaStore], identity: str, floor: DurableFloor
) -> tuple[ReplicaStore, PersistentState]:
    store = reopen()
    try:
        store.prove_durable()
        known = store.load()
        if known is None or known[0] != identity:
            found = "nothing" if known is None else f"the state of {known[0]}"
            raise UnreadableStateError(f"found {found}, wanted the state of {identity}")
        missing = floor.missing_from(known[1])
        if missing:
            raise UnreadableStateError(f"less than was answered for: {missing}")
    except BaseException:
        _close(store)
        raise
    return store, known[1]


def _close(store: ReplicaStore) -> None:
    with suppress(Exception):  # what it did not write counts for nothing
        store.close()
