"""The origin's side: sends batches to replicas, and lets tasks wait until an entry has its quorum."""

from __future__ import annotations

from collections.abc import Iterable

from walnutpost.eventloop import Logger, Loop, Task, WaitTimeoutError
from walnutpost.eventloop.timers import Timer
from walnutpost.http import HttpMessageError
from walnutpost.journal import (
    BatchSendFailed,
    EntriesPersisted,
    JournalBatch,
    QuorumFailed,
    QuorumReached,
    ReplicaAcknowledged,
    ReplicaAhead,
    ReplicasAssigned,
    ReplicationInput,
    ReplicationPolicy,
    ReplicationRequested,
    ReplicationState,
    SendBatch,
    Tick,
)
from walnutpost.replication import wire
from walnutpost.replication.replica_client import ReplicaClient
from walnutpost.store import JournalStore, StoreError


class ReplicationSender:
    """Executes the effects of a `ReplicationState` on a loop, for the store's own journal.

    Starts with `replicas`, names that `client` has addresses of.
    """

    def __init__(
        self,
        loop: Loop,
        store: JournalStore,
        client: ReplicaClient,
        replicas: Iterable[str],
        policy: ReplicationPolicy,
        log: Logger,
    ) -> None:
        self._loop = loop
        self._store = store
        self._client = client
        self._log = log
        self._waiting: dict[int, tuple[Task[object], int]] = {}
        self._last_token = 0
        self._timer: Timer | None = None
        self._timer_at_us = 0
        self.state = ReplicationState(policy, loop.now(), store.offsets[store.own_origin])
        self._handle(ReplicasAssigned(tuple(replicas)))

    def assign(self, replicas: Iterable[str]) -> None:
        """Replicate to these from now on."""
        self._handle(ReplicasAssigned(tuple(replicas)))

    def entries_persisted(self, seq: int, size_bytes: int) -> None:
        """Entries up to `seq` are durable in the store; `size_bytes` counts those that were not before."""
        self._handle(EntriesPersisted(seq, size_bytes))

    def wait_for_quorum(
        self, seq: int, required_replicas: int, accepts_fewer: bool, timeout_us: int
    ) -> QuorumReached | QuorumFailed:
        """Wait until entry `seq` is at so many replicas, or can't be in time."""
        self._last_token += 1
        token = self._last_token
        task, wait = self._loop.begin_wait()
        self._waiting[token] = task, wait
        deadline_us = self._loop.now() + timeout_us
        try:
            self._handle(ReplicationRequested(token, seq, required_replicas, accepts_fewer, deadline_us))
            result: QuorumReached | QuorumFailed = self._loop.park()
        finally:
            self._waiting.pop(token, None)
        return result

    def close(self) -> None:
        """Send nothing more."""
        if self._timer is not None:
            self._timer.cancel()
        self._client.close()

    def _handle(self, event: ReplicationInput) -> None:
        for effect in self.state.handle(self._loop.now(), event):
            match effect:
                case SendBatch(replica, after):
                    self._loop.spawn(self._send_batch, replica, after, name="send batch")
                case QuorumReached(token) | QuorumFailed(token):
                    waiting = self._waiting.pop(token, None)
                    if waiting is not None:
                        self._loop.wake(*waiting, effect)
                case ReplicaAhead(replica, seq):
                    self._log.error("journal_diverged", replica=replica, sequence=seq)
        self._set_timer()

    def _set_timer(self) -> None:
        at_us = self.state.next_tick_us
        if at_us is None or (self._timer is not None and at_us >= self._timer_at_us):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at_us = at_us
        self._timer = self._loop.call_later(max(0, at_us - self._loop.now()), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._handle(Tick())

    def _send_batch(self, replica: str, after: int | None) -> None:
        try:
            offset = self._client.post_batch(replica, self._read_batch(after))
        except (OSError, HttpMessageError, WaitTimeoutError, wire.InvalidMessageError, StoreError) as error:
            self._on_send_failed(replica, error)
            return
        self._handle(ReplicaAcknowledged(replica, offset.disk, offset.upto))

    def _read_batch(self, after: int | None) -> JournalBatch:
        """Return the entries after a number; with None, a batch that only asks for the replica's offset."""
        origin = self._store.own_origin
        if after is None:
            return JournalBatch(origin, 0, 0)
        return self._store.read_batch(origin, after, self.state.last, wire.MAX_BATCH_BYTES)

    def _on_send_failed(self, replica: str, error: Exception) -> None:
        self._client.disconnect(replica)
        if self._client.has_address(replica):
            description = f"{type(error).__name__} {error}"
            self._log.warning("journal_replica_unreachable", replica=replica, error=description)
            self._handle(BatchSendFailed(replica))
