"""Recovery after a failed write or sync: reopen, prove, read back, continue as a follower.

Nothing that a failed write contained counts as durable, and nothing that is read back counts before a later
sync has made it durable (`ConsensusStore.make_durable`). Meanwhile the replica is out of service. A state
that holds less than the replica has acknowledged, or can't be read, is a lost disk.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from walnutpost.consensus import PersistentState
from walnutpost.eventloop import Logger, Loop
from walnutpost.store import StoreError
from walnutpost.store.replica import (
    ConsensusStore,
    DurableFloor,
    StoredConsensusState,
    UnreadableStateError,
    is_transient,
)

MIN_BACKOFF_US = 20_000
MAX_BACKOFF_US = 400_000
"""A replica is back within a few of these after the fault's end."""
CALM_PERIOD_US = 5 * MAX_BACKOFF_US
"""After as long without a failure the backoff starts again at its minimum."""
MS_US = 1000


class RecoveredStore(NamedTuple):
    """A reopened store, and its state, which is proven to be durable."""

    store: ConsensusStore
    state: PersistentState


class DiskRecovery:
    """Takes the store out of service when it fails, and reopens it with backoff. Idle until a failure.

    `reopen` opens the store's file, on the helper thread. `resume` is called with the store and its state;
    `lost` with the reason if the state is lost.
    """

    def __init__(
        self,
        loop: Loop,
        reopen: Callable[[], ConsensusStore],
        resume: Callable[[ConsensusStore, PersistentState], None],
        lost: Callable[[str], None],
        log: Logger,
    ) -> None:
        self._loop = loop
        self._reopen = reopen
        self._resume = resume
        self._lost = lost
        self._log = log
        self._backoff_us = MIN_BACKOFF_US
        self._recovered_at_us: int | None = None
        self._is_stopped = False
        self.reason = ""  # of the last failure, while the replica is out of service

    @property
    def is_failing(self) -> bool:
        """Whether the replica is out of service, since its disk failed and nothing was read back yet."""
        return bool(self.reason)

    def begin(self, store: ConsensusStore, identity: str, error: StoreError) -> None:
        """Start the recovery of `store`, which failed with `error`; it gets closed."""
        if not is_transient(error):
            self._lost(str(error))
            return
        self.reason = str(error) or repr(error)
        self._log.error("disk_failed", replica=identity, reason=self.reason)
        now = self._loop.now()
        if self._recovered_at_us is None or now - self._recovered_at_us >= CALM_PERIOD_US:
            self._backoff_us = MIN_BACKOFF_US
        self._loop.spawn(self._recover, store, identity, now, name="disk recovery")

    def stop(self) -> None:
        """Give up: the replica ends."""
        self._is_stopped = True

    def _recover(self, store: ConsensusStore, identity: str, failed_at_us: int) -> None:
        floor = store.floor
        attempts = 0
        self._loop.run_blocking(_close, store)
        while not self._is_stopped:
            self._loop.sleep(self._backoff_us)
            self._backoff_us = min(2 * self._backoff_us, MAX_BACKOFF_US)
            attempts += 1
            try:
                reopened, state = self._loop.run_blocking(_read_back, self._reopen, identity, floor)
            except StoreError as error:
                if is_transient(error):
                    self.reason = str(error) or repr(error)
                    continue
                if not self._is_stopped:
                    self._lost(str(error))
                return
            if self._is_stopped:
                self._loop.run_blocking(_close, reopened)
                return
            self._recovered_at_us = self._loop.now()
            self.reason = ""
            outage_ms = (self._recovered_at_us - failed_at_us) // MS_US
            self._log.info("disk_recovered", replica=identity, attempts=attempts, outage_ms=outage_ms)
            self._resume(reopened, state)
            return


def _read_back(reopen: Callable[[], ConsensusStore], identity: str, floor: DurableFloor) -> RecoveredStore:
    """Return the reopened store and its state, once it is proven to be durable and complete."""
    store = reopen()
    try:
        store.make_durable()
        state = _complete_state(store.load(), identity, floor)
    except BaseException:
        _close(store)
        raise
    return RecoveredStore(store, state)


def _complete_state(
    stored: StoredConsensusState | None, identity: str, floor: DurableFloor
) -> PersistentState:
    """Return the stored state. Raises UnreadableStateError if it isn't all that was acknowledged."""
    if stored is None or stored.identity != identity:
        found = "nothing" if stored is None else f"the state of {stored.identity}"
        raise UnreadableStateError(f"found {found}, wanted the state of {identity}")
    missing = floor.describe_missing(stored.state)
    if missing:
        raise UnreadableStateError(f"less than was answered for: {missing}")
    return stored.state


def _close(store: ConsensusStore) -> None:
    with suppress(Exception):  # a failure to write is covered by `floor`
        store.close()
