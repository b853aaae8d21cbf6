"""The origin's side of replication: which replica has how much, and when an entry has its quorum.

A state machine without I/O: `(now, input)` to effects. All times and spans are in microseconds. Invariants:
- `_quorum_result` alone decides that an entry is sufficiently replicated.
- A replica counts for what its present disk acknowledged last: a disk that was lost, or restored from a
  backup, takes its replicas with it.
- Only entries that are durable at the origin are sent. A number that a replica has and the origin loses would
  be given to another entry.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

RATE_GAIN = 0.3  # weight of one acknowledgement in a replica's smoothed throughput
MAX_REMEMBERED_COMMITS = 4096  # commits whose sizes are remembered; a replica further behind counts all bytes


@dataclass(frozen=True, slots=True)
class ReplicationPolicy:
    """Timeouts and the limit of the backlog.

    A replica without an acknowledgement for `replica_timeout_us` counts as unreachable; a failing one is
    tried again each `retry_interval_us`; at most `max_backlog_bytes` may wait for replication.
    """

    replica_timeout_us: int
    retry_interval_us: int
    max_backlog_bytes: int


# Inputs


@dataclass(frozen=True, slots=True)
class ReplicasAssigned:
    """From now on these are the replicas, the preferred one first."""

    replicas: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EntriesPersisted:
    """Entries up to `seq` are durable at the origin; `size_bytes` counts those that were not before."""

    seq: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class ReplicationRequested:
    """Answer `token` once entry `seq` is durable at the origin and at `required_replicas` replicas.

    With `accepts_fewer`, answer as soon as the replicas that lack it are unreachable. Answer at `deadline_us`
    at the latest.
    """

    token: int
    seq: int
    required_replicas: int
    accepts_fewer: bool
    deadline_us: int


@dataclass(frozen=True, slots=True)
class ReplicaAcknowledged:
    """A replica's answer to a SendBatch: all entries up to `seq` are durable on its `disk`."""

    replica: str
    disk: str
    seq: int


@dataclass(frozen=True, slots=True)
class ReplicaLost:
    """A SendBatch failed or got no answer."""

    replica: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; wanted at `ReplicationState.next_tick_us` at the latest."""


ReplicationInput = (
    ReplicasAssigned | EntriesPersisted | ReplicationRequested | ReplicaAcknowledged | ReplicaLost | Tick
)


# Effects


@dataclass(frozen=True, slots=True)
class SendBatch:
    """Send the replica the entries after `after`, as many as fit one message; with None, ask for its offset.

    To be answered with ReplicaAcknowledged or ReplicaLost.
    """

    replica: str
    after: int | None


@dataclass(frozen=True, slots=True)
class QuorumReached:
    """The entry of request `token` is durable here and at `replicas` replicas, as many as were required."""

    token: int
    replicas: int


@dataclass(frozen=True, slots=True)
class QuorumFailed:
    """Request `token` ends with its entry at too few replicas: timed out, or the others are unreachable."""

    token: int
    replicas: int


@dataclass(frozen=True, slots=True)
class ReplicaAhead:
    """A replica has entries of this journal that the origin's own disk does not have.

    The disk is not the one that wrote them, or it lost what it had called durable: no entry may be numbered
    any more.
    """

    replica: str
    seq: int


ReplicationEffect = SendBatch | QuorumReached | QuorumFailed | ReplicaAhead


@dataclass(slots=True)
class _ReplicaProgress:
    last_heard_us: int  # the last acknowledgement, or the assignment
    disk: str | None = None  # None until the first acknowledgement
    seq: int = 0
    sent_at_us: int | None = None  # of the SendBatch in flight
    retry_at_us: int = 0
    bytes_per_us: float = 0.0  # smoothed throughput, 0 until measured

    def has(self, seq: int) -> bool:
        return self.disk is not None and self.seq >= seq


@dataclass(slots=True)
class ReplicationState:
    """Replication of one origin's journal. `last` is the largest number that is durable at the origin."""

    policy: ReplicationPolicy
    now: int
    last: int = 0
    is_diverged: bool = False  # after a ReplicaAhead
    _start: int = field(init=False)
    _sent_to: set[str] = field(default_factory=set)  # replicas that entries were sent to since the start
    _replicas: dict[str, _ReplicaProgress] = field(default_factory=dict)
    _requests: dict[int, ReplicationRequested] = field(default_factory=dict)
    _commit_sizes: deque[tuple[int, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_REMEMBERED_COMMITS)
    )
    _persisted_bytes: int = 0
    _effects: list[ReplicationEffect] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Remember the last number of the disk as it was found."""
        self._start = self.last

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
            case ReplicaLost(replica) if replica in self._replicas:
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
        backlog_bytes = self._persisted_bytes - self._bytes_up_to(slowest.seq) + size_bytes
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
        self._persisted_bytes += size_bytes
        if seq > self.last:  # entries of one commit are reported one by one, in any order
            self.last = seq
            self._commit_sizes.append((seq, self._persisted_bytes))

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
        self._forget_sizes()

    def _measure_rate(self, progress: _ReplicaProgress, disk: str, seq: int) -> None:
        if progress.disk != disk or seq <= progress.seq or progress.sent_at_us is None:
            return
        acknowledged_bytes = self._bytes_up_to(seq) - self._bytes_up_to(progress.seq)
        rate = acknowledged_bytes / max(1, self.now - progress.sent_at_us)
        if not progress.bytes_per_us:
            progress.bytes_per_us = rate
            return
        progress.bytes_per_us += RATE_GAIN * (rate - progress.bytes_per_us)

    def _forget_sizes(self) -> None:
        """Forget the sizes of commits that all replicas have."""
        everywhere = min(progress.seq for progress in self._replicas.values())
        while self._commit_sizes and self._commit_sizes[0][0] < everywhere:
            self._commit_sizes.popleft()

    def _bytes_up_to(self, seq: int) -> int:
        """Bytes of entries up to `seq` since the start of this process; earlier entries count nothing."""
        return next((size for last, size in reversed(self._commit_sizes) if last <= seq), 0)

    def _quorum_result(self, request: ReplicationRequested) -> QuorumReached | QuorumFailed | None:
        """Return the answer to a request, None while it waits.

        The entry must be durable here first: replicas alone are somebody else's disks.
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
