"""Inputs of the origin's state machine, `ReplicationState.handle`."""

from __future__ import annotations

from dataclasses import dataclass


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
class BatchSendFailed:
    """A SendBatch failed or got no answer."""

    replica: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; wanted at `ReplicationState.next_tick_us` at the latest."""


ReplicationInput = (
    ReplicasAssigned | EntriesPersisted | ReplicationRequested | ReplicaAcknowledged | BatchSendFailed | Tick
)
