"""The origin's side of replication: the progress of each replica, and when an entry has its quorum.

A state machine without I/O: `(now, input)` to effects. All times and spans are in microseconds. Invariants:
- `_quorum_result` alone decides that an entry is sufficiently replicated.
- A replica counts for what its present disk acknowledged last: what it acknowledged with a disk that was
  lost, or restored from a backup, counts no more.
- Only entries that are durable at the origin are sent. A number that a replica has and the origin loses would
  be given to another entry.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from walnutpost.journal.persisted_bytes import PersistedBytes
from walnutpost.journal.replication_effects import (
    QuorumFailed,
    QuorumReached,
    ReplicaAhead,
    ReplicationEffect,
    SendBatch,
)
from walnutpost.journal.replication_inputs import (
    BatchSendFailed,
    EntriesPersisted,
    ReplicaAcknowledged,
    ReplicasAssigned,
    ReplicationInput,
    ReplicationRequested,
)

RATE_GAIN = 0.3  # weight of one acknowledgement in a replica's smoothed throughput


@dataclass(frozen=True, slots=True)
class ReplicationPolicy:
    """Timeouts and the limit of the backlog.

    A replica without an acknowledgement for `replica_timeout_us` counts as unreachable; a failing one is
    tried again each `retry_interval_us`; at most `max_backlog_bytes` may wait for replication.
    """

    replica_timeout_us: int
    retry_interval_us: int
    max_backlog_bytes: int


@dataclass(slots=True)
class _ReplicaProgress:
    """What one replica acknowledged, and the state of sending to it."""

    last_heard_us: int  # the last acknowledgement, or the assignment
    disk: str | None = None  # None until the first acknowledgement
    seq: int = 0
    sent_at_us: int | None = None  # of the SendBatch in flight
    retry_at_us: int = 0
    bytes_per_us: float = 0.0  # smoothed throughput, 0 until measured

    def has(self, seq: int) -> bool:
        return self.disk is not None and self.seq >= seq


class ReplicationState:
    """Replication of one origin's journal.

    Starts at `now` without replicas. `last` is the largest number that is durable at the origin, first that
    of the disk as it was found. `is_diverged` is set with a ReplicaAhead, for good.
    """

    def __init__(self, policy: ReplicationPolicy, now: int, last: int = 0) -> None:
        self.policy = policy
        self.now = now
        self.last = last
        self.is_diverged = False
        self._start = last
        self._sent_to: set[str] = set()  # replicas that entries were sent to since the start
        self._replicas: dict[str, _ReplicaProgress] = {}
        self._requests: dict[int, ReplicationRequested] = {}
        self._persisted_bytes = PersistedBytes()
        self._effects: list[ReplicationEffect] = []

    def handle(self, now: int, event: ReplicationInput) -> list[ReplicationEffect]:
        """Apply one input at time `now` and return the effects, in order."""
        self.now = max(self.now, now)
        match event:
            case ReplicasAssigned(replicas):
                self._assign(replicas)
            case EntriesPersisted(seq, size_bytes):
                self._record_commit(seq, size_bytes)
            case ReplicationRequested(token):
                self._requests[token] = event
            case ReplicaAcknowledged(replica, disk, seq) if replica in self._replicas:
                self._acknowledge(replica, disk, seq)
            case BatchSendFailed(replica) if replica in self._replicas:
                progress = self._replicas[replica]
                progress.sent_at_us = None
                progress.retry_at_us = self.now + self.policy.retry_interval_us
        for replica in self._replicas:
            self._send_if_needed(replica)
        self._answer_requests()
        effects = self._effects
        self._effects = []
        return effects

    @property
    def next_tick_us(self) -> int | None:
        """When a Tick is wanted at the latest; None if nothing waits for time to pass."""
        times = [request.deadline_us for request in self._requests.values()]
        for progress in self._replicas.values():
            if progress.sent_at_us is None:
                times.append(max(progress.retry_at_us, progress.last_heard_us + self._poll_interval_us))
            if self._requests and self._is_reachable(progress):
                times.append(progress.last_heard_us + self.policy.replica_timeout_us)
        return max(min(times), self.now + 1) if times else None

    def count_replicas(self, seq: int) -> int:
        """Return how many replicas have entry `seq`."""
        return sum(progress.has(seq) for progress in self._replicas.values())

    def reachability(self) -> dict[str, bool]:
        """Return whether each replica is reachable."""
        return {name: self._is_reachable(progress) for name, progress in self._replicas.items()}

    def retry_after_us(self, required_replicas: int, accepts_fewer: bool, size_bytes: int) -> int | None:
        """Return None if an entry of that size may be accepted, else after how long to ask again.

        That is when an unreachable replica is tried again, or the backlog is sent at the measured throughput.
        """
        if self.is_diverged:
            return self.policy.replica_timeout_us
        reachable = [progress for progress in self._replicas.values() if self._is_reachable(progress)]
        reachable.sort(key=lambda progress: -progress.seq)
        if len(reachable) < required_replicas and not accepts_fewer:
            return self._next_retry_after_us()
        needed = reachable[: max(required_replicas, 1)]
        if not needed:
            return None
        slowest = needed[-1]
        backlog_bytes = self._persisted_bytes.total - self._persisted_bytes.up_to(slowest.seq) + size_bytes
        excess_bytes = backlog_bytes - self.policy.max_backlog_bytes
        if excess_bytes <= 0 or slowest.seq >= self.last:
            return None
        default_rate = self.policy.max_backlog_bytes / self.policy.replica_timeout_us
        rate = slowest.bytes_per_us or default_rate
        return max(self.policy.retry_interval_us, int(excess_bytes / rate))

    @property
    def _poll_interval_us(self) -> int:
        """After how long without an acknowledgement a replica is asked for its offset."""
        return self.policy.replica_timeout_us // 2

    def _next_retry_after_us(self) -> int:
        waits = [
            progress.retry_at_us - self.now
            for progress in self._replicas.values()
            if not self._is_reachable(progress)
        ]
        return max(self.policy.retry_interval_us, min(waits, default=0))

    def _assign(self, replicas: Iterable[str]) -> None:
        former = self._replicas
        self._replicas = {name: former.get(name, _ReplicaProgress(self.now)) for name in replicas}

    def _record_commit(self, seq: int, size_bytes: int) -> None:
        self._persisted_bytes.add(size_bytes)
        if seq > self.last:  # entries of one commit are reported one by one, in any order
            self.last = seq
            self._persisted_bytes.end_commit(seq)

    def _send_if_needed(self, replica: str) -> None:
        progress = self._replicas[replica]
        if progress.sent_at_us is not None or self.now < progress.retry_at_us:
            return
        is_lagging = not progress.has(self.last)
        is_stale = self.now - progress.last_heard_us >= self._poll_interval_us
        if not is_lagging and not is_stale:
            return
        progress.sent_at_us = self.now
        after = progress.seq if progress.disk is not None and is_lagging else None
        if after is not None:
            self._sent_to.add(replica)
        self._effects.append(SendBatch(replica, after))

    def _answer_requests(self) -> None:
        for request in list(self._requests.values()):
            result = self._quorum_result(request)
            if result is not None:
                del self._requests[request.token]
                self._effects.append(result)

    def _is_reachable(self, progress: _ReplicaProgress) -> bool:
        return self.now - progress.last_heard_us < self.policy.replica_timeout_us

    def _acknowledge(self, replica: str, disk: str, seq: int) -> None:
        progress = self._replicas[replica]
        # Entries numbered here since the start can't be there before they were sent: those are other entries.
        max_seq = self.last if replica in self._sent_to else self._start
        if seq > max_seq:
            self.is_diverged = True
            self._effects.append(ReplicaAhead(replica, seq))
            seq = self.last
        self._measure_rate(progress, disk, seq)
        progress.disk = disk
        progress.seq = seq
        progress.last_heard_us = self.now
        progress.sent_at_us = None
        progress.retry_at_us = self.now
        self._persisted_bytes.forget_before(min(each.seq for each in self._replicas.values()))

    def _measure_rate(self, progress: _ReplicaProgress, disk: str, seq: int) -> None:
        if progress.disk != disk or seq <= progress.seq or progress.sent_at_us is None:
            return
        acknowledged_bytes = self._persisted_bytes.up_to(seq) - self._persisted_bytes.up_to(progress.seq)
        rate = acknowledged_bytes / max(1, self.now - progress.sent_at_us)
        if not progress.bytes_per_us:
            progress.bytes_per_us = rate
            return
        progress.bytes_per_us += RATE_GAIN * (rate - progress.bytes_per_us)

    def _quorum_result(self, request: ReplicationRequested) -> QuorumReached | QuorumFailed | None:
        """Return the answer to a request, None while it waits.

        The entry must be durable here first: a number that only replicas have may be given to another entry.
        """
        if self.last < request.seq:
            return None
        replicas = self.count_replicas(request.seq)
        if replicas >= request.required_replicas:
            return QuorumReached(request.token, replicas)
        if self.now >= request.deadline_us:
            return QuorumFailed(request.token, replicas)
        lagging = [progress for progress in self._replicas.values() if not progress.has(request.seq)]
        if request.accepts_fewer and not any(map(self._is_reachable, lagging)):
            return QuorumFailed(request.token, replicas)
        return None
