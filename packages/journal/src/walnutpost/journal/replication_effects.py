"""Effects that the origin's state machine asks its caller to carry out, in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendBatch:
    """Send the replica the entries after `after`, as many as fit one message; with None, ask for its offset.

    To be answered with ReplicaAcknowledged or BatchSendFailed.
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

    The disk is not the one that wrote them, or it lost entries that it had reported as durable: no entry may
    be numbered any more.
    """

    replica: str
    seq: int


ReplicationEffect = SendBatch | QuorumReached | QuorumFailed | ReplicaAhead
