"""The origin's state machine: what each input changes, and when requests are answered."""

from __future__ import annotations

import pytest

from walnutpost.journal import (
    BatchSendFailed,
    EntriesPersisted,
    QuorumFailed,
    QuorumReached,
    ReplicaAcknowledged,
    ReplicaAhead,
    ReplicasAssigned,
    ReplicationEffect,
    ReplicationPolicy,
    ReplicationRequested,
    ReplicationState,
    SendBatch,
    Tick,
)

MS = 1000
POLICY = ReplicationPolicy(replica_timeout_us=2000 * MS, retry_interval_us=100 * MS, max_backlog_bytes=10_000)
TIMEOUT_US = POLICY.replica_timeout_us


class IgnoresDiskIdentity(ReplicationState):
    """A wrong rule: what a replica once had counts for good, also if its present disk has less."""

    def _acknowledge(self, replica: str, disk: str, seq: int) -> None:
        super()._acknowledge(replica, disk, max(seq, self._replicas[replica].seq))


def state_of_two_replicas(*, acknowledged_by: int, seq: int) -> ReplicationState:
    state = ReplicationState(POLICY, 0)
    state.handle(0, ReplicasAssigned(("x", "y")))
    state.handle(0, EntriesPersisted(seq, 100))
    for replica in "xy"[:acknowledged_by]:
        state.handle(1, ReplicaAcknowledged(replica, f"{replica}-0", 0))
        state.handle(1, ReplicaAcknowledged(replica, f"{replica}-0", seq))
    return state


def answers(effects: list[ReplicationEffect]) -> list[ReplicationEffect]:
    return [effect for effect in effects if isinstance(effect, QuorumReached | QuorumFailed)]


@pytest.mark.parametrize(("state_class", "replicas"), [(ReplicationState, 0), (IgnoresDiskIdentity, 1)])
def test_replica_when_its_disk_was_lost_counts_for_what_the_new_disk_has(
    state_class: type[ReplicationState], replicas: int
) -> None:
    state = state_class(POLICY, 0)
    state.handle(0, ReplicasAssigned(("x",)))
    state.handle(0, EntriesPersisted(5, 100))
    state.handle(1, ReplicaAcknowledged("x", "x-0", 0))
    state.handle(1, ReplicaAcknowledged("x", "x-0", 5))
    assert state.count_replicas(5) == 1
    assert not state.is_diverged
    effects = state.handle(2, ReplicaAcknowledged("x", "x-1", 0))
    assert state.count_replicas(5) == replicas
    # All entries are sent again; the wrong rule would never send them.
    assert (SendBatch("x", 0) in effects) == (replicas == 0)


def test_request_when_fewer_are_accepted_fails_only_once_lagging_replicas_are_unreachable() -> None:
    state = state_of_two_replicas(acknowledged_by=1, seq=1)
    state.handle(TIMEOUT_US - 2, ReplicaAcknowledged("x", "x-0", 1))
    state.handle(TIMEOUT_US - 1, EntriesPersisted(2, 100))
    # y is unreachable, x is not
    assert not answers(state.handle(TIMEOUT_US + 1, ReplicationRequested(1, 2, 2, True, 10**9)))
    assert QuorumFailed(1, 1) in state.handle(TIMEOUT_US + 2, ReplicaAcknowledged("x", "x-0", 2))
    state = state_of_two_replicas(acknowledged_by=1, seq=1)
    assert not answers(state.handle(2, ReplicationRequested(1, 1, 2, True, 10**9)))
    assert QuorumFailed(1, 1) in state.handle(TIMEOUT_US, Tick())
    state = state_of_two_replicas(acknowledged_by=1, seq=1)
    state.handle(2, ReplicationRequested(1, 1, 2, False, 3 * TIMEOUT_US))
    assert not answers(state.handle(TIMEOUT_US, Tick()))
    assert QuorumFailed(1, 1) in state.handle(3 * TIMEOUT_US, Tick())


def test_retry_after_when_replicas_are_unreachable_or_the_backlog_is_full_is_at_least_the_interval() -> None:
    state = state_of_two_replicas(acknowledged_by=2, seq=1)
    assert state.retry_after_us(2, False, 500) is None
    state.handle(3, EntriesPersisted(2, 9_800))  # not replicated yet
    assert state.retry_after_us(1, False, 100) is None
    retry_after = state.retry_after_us(1, False, 10_000)
    assert retry_after is not None
    assert retry_after >= POLICY.retry_interval_us
    state.handle(4, ReplicaAcknowledged("x", "x-0", 2))
    assert state.retry_after_us(1, False, 10_000) is None
    assert state.retry_after_us(2, False, 10_000) is not None
    state.now = 4 + TIMEOUT_US - 1  # x is still reachable, y is not
    assert state.retry_after_us(1, False, 10) is None
    assert state.retry_after_us(2, False, 10) is not None
    assert state.retry_after_us(2, True, 10) is None


def test_replica_when_it_has_more_than_the_origins_disk_stops_the_numbering() -> None:
    state = ReplicationState(POLICY, 0, last=7)
    state.handle(0, ReplicasAssigned(("x",)))
    assert ReplicaAhead("x", 9) in state.handle(1, ReplicaAcknowledged("x", "x-0", 9))
    assert state.retry_after_us(0, True, 1) is not None


def test_replica_when_it_has_numbers_that_were_never_sent_to_it_is_ahead() -> None:
    state = ReplicationState(POLICY, 0, last=7)
    state.handle(0, ReplicasAssigned(("x",)))
    state.handle(1, EntriesPersisted(9, 100))  # numbered since the start, and not sent anywhere
    assert ReplicaAhead("x", 9) in state.handle(2, ReplicaAcknowledged("x", "x-0", 9))
    state = ReplicationState(POLICY, 0, last=7)
    state.handle(0, ReplicasAssigned(("x",)))
    state.handle(1, EntriesPersisted(9, 100))
    assert SendBatch("x", 7) in state.handle(2, ReplicaAcknowledged("x", "x-0", 7))
    assert not state.handle(3, ReplicaAcknowledged("x", "x-0", 9))
    assert not state.is_diverged


def test_replica_after_a_start_is_asked_for_its_offset_before_anything_is_sent() -> None:
    state = ReplicationState(POLICY, 0, last=7)
    assert state.handle(0, ReplicasAssigned(("x",))) == [SendBatch("x", None)]
    assert state.handle(1, ReplicaAcknowledged("x", "x-0", 4)) == [SendBatch("x", 4)]
    assert state.handle(2, BatchSendFailed("x")) == []
    assert state.handle(2 + POLICY.retry_interval_us, Tick()) == [SendBatch("x", 4)]
