"""The origin's side: sends batches to replicas, and lets tasks wait until an entry has its quorum."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from walnutpost.eventloop import Logger, Loop, Task, WaitTimeoutError
from walnutpost.eventloop.timers import Timer
from walnutpost.http import Connection, HttpMessageError, Limits
from walnutpost.journal import (
    EntriesPersisted,
    JournalBatch,
    JournalOffset,
    QuorumFailed,
    QuorumReached,
    ReplicaAcknowledged,
    ReplicaAhead,
    ReplicaLost,
    ReplicasAssigned,
    ReplicationInput,
    ReplicationPolicy,
    ReplicationRequested,
    ReplicationState,
    SendBatch,
    Tick,
)
from walnutpost.replication import wire
from walnutpost.store import JournalStore, StoreError

Address = Callable[[], tuple[str, int]]


class ReplicationSender:
    """Executes the effects of a `ReplicationState` on a loop, for the store's own journal."""

    def __init__(
        self,
        loop: Loop,
        store: JournalStore,
        addresses: Mapping[str, Address],
        replicas: Iterable[str],
        policy: ReplicationPolicy,
        timeout_us: int,
        log: Logger,
    ) -> None:
        """Start with `replicas`, names in `addresses`; `timeout_us` is for each message."""
        self._loop = loop
        self._store = store
        self._log = log
        self._addresses = dict(addresses)
        self._timeout_us = timeout_us
        self._connections: dict[str, Connection] = {}
        self._waiting: dict[int, tuple[Task[Any], int]] = {}
        self._last_token = 0
        self._timer: Timer | None = None
        self._timer_at_us = 0
        self.state = ReplicationState(policy, loop.now(), store.offsets[store.own_origin])
        self._feed(ReplicasAssigned(tuple(replicas)))

    def assign(self, replicas: Iterable[str]) -> None:
        """Replicate to these from now on."""
        self._feed(ReplicasAssigned(tuple(replicas)))

    def entries_persisted(self, seq: int, size_bytes: int) -> None:
        """Entries up to `seq` are durable in the store; `size_bytes` counts those that were not before."""
        self._feed(EntriesPersisted(seq, size_bytes))

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
            self._feed(ReplicationRequested(token, seq, required_replicas, accepts_fewer, deadline_us))
            result: QuorumReached | QuorumFailed = self._loop.park()
        finally:
            self._waiting.pop(token, None)
        return result

    def close(self) -> None:
        """Send nothing more."""
        self._addresses.clear()
        if self._timer is not None:
            self._timer.cancel()
        for connection in self._connections.values():
            connection.close()

    def _feed(self, event: ReplicationInput) -> None:
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
        self._feed(Tick())

    def _send_batch(self, replica: str, after: int | None) -> None:
        try:
            batch = self._read_batch(after)
            with self._loop.timeout(self._timeout_us):
                offset = self._post_batch(replica, wire.encode(batch))
        except (OSError, HttpMessageError, WaitTimeoutError, wire.InvalidMessageError, StoreError) as error:
            self._on_send_failed(replica, error)
            return
        self._feed(ReplicaAcknowledged(replica, offset.disk, offset.upto))

    def _read_batch(self, after: int | None) -> JournalBatch:
        """Return the entries after a number; with None, a batch that only asks for the replica's offset."""
        origin = self._store.own_origin
        if after is None:
            return JournalBatch(origin, 0, 0)
        return self._store.read_batch(origin, after, self.state.last, wire.MAX_BATCH_BYTES)

    def _on_send_failed(self, replica: str, error: Exception) -> None:
        connection = self._connections.pop(replica, None)
        if connection is not None:
            connection.close()
        if replica in self._addresses:
            description = f"{type(error).__name__} {error}"
            self._log.warning("journal_replica_unreachable", replica=replica, error=description)
            self._feed(ReplicaLost(replica))

    def _post_batch(self, replica: str, body: bytes) -> JournalOffset:
        connection = self._connect(replica)
        headers = {"Content-Type": "application/msgpack"}
        response = connection.request("POST", wire.BATCHES_PATH, headers, body)
        if response.status != 200:
            raise wire.InvalidMessageError(f"{response.status}: {response.body[:200]!r}")
        return wire.decode(response.body, JournalOffset)

    def _connect(self, replica: str) -> Connection:
        """Return the open connection to a replica, or a new one."""
        connection = self._connections.get(replica)
        if connection is not None and connection.is_reusable:
            return connection
        if connection is not None:
            connection.close()
        if replica not in self._addresses:
            raise ConnectionRefusedError("no longer a replica")
        address = self._addresses[replica]()
        connection = Connection.open(self._loop, address, limits=Limits(max_body_bytes=wire.MAX_BODY_BYTES))
        self._connections[replica] = connection
        return connection
