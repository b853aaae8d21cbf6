"""An origin and its replicas under lost messages, lost disks and reassignment: no quorum comes early."""

from __future__ import annotations

from random import Random
from typing import ClassVar

import pytest

from walnutpost.journal import (
    EntriesPersisted,
    QuorumFailed,
    QuorumReached,
    ReplicaAcknowledged,
    ReplicaAhead,
    ReplicaLost,
    ReplicasAssigned,
    ReplicationEffect,
    ReplicationInput,
    ReplicationPolicy,
    ReplicationRequested,
    ReplicationState,
    SendBatch,
    Tick,
)

MS = 1000
POLICY = ReplicationPolicy(replica_timeout_us=2000 * MS, retry_interval_us=100 * MS, max_backlog_bytes=10_000)
TIMEOUT_US = POLICY.replica_timeout_us


class SimulatedReplicas:
    """Three replicas and a network that loses and delays messages as the seed says."""

    state_class: ClassVar[type[ReplicationState]] = ReplicationState

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0
        self.disk_ids = {name: f"{name}-0" for name in "xyz"}
        self.disks = dict.fromkeys("xyz", 0)
        self.state = self.state_class(POLICY, 0)
        self.pending: dict[int, ReplicationRequested] = {}
        self.answered = 0
        self.in_transit: list[tuple[int, ReplicationInput]] = []
        self.feed(ReplicasAssigned(("x", "y")))

    def feed(self, event: ReplicationInput) -> None:
        effects = self.state.handle(self.now, event)
        sent_to = [effect.replica for effect in effects if isinstance(effect, SendBatch)]
        assert len(sent_to) == len(set(sent_to))
        for effect in effects:
            match effect:
                case QuorumReached() | QuorumFailed():
                    self.check_answer(effect)
                case SendBatch(replica, after):
                    self.send(replica, after)

    def check_answer(self, answer: QuorumReached | QuorumFailed) -> None:
        request = self.pending.pop(answer.token)
        durable_at = sum(self.disks[name] >= request.seq for name in self.state.reachability())
        assert durable_at >= answer.replicas, f"reported {answer.replicas} replicas of {durable_at}"
        is_reached = isinstance(answer, QuorumReached)
        assert is_reached == (answer.replicas >= request.required_replicas)
        assert is_reached or request.accepts_fewer or self.now >= request.deadline_us
        self.answered += 1

    def send(self, replica: str, after: int | None) -> None:
        roll = self.random.random()
        arrival = self.now + self.random.randrange(1, 300) * MS
        if roll < 0.15:
            return self.in_transit.append((arrival, ReplicaLost(replica)))
        if after is not None and after <= self.disks[replica]:
            upto = min(self.state.last, after + self.random.randrange(1, 6))
            self.disks[replica] = max(self.disks[replica], upto)
        if roll < 0.25:  # it was written, and the answer was lost
            return self.in_transit.append((arrival, ReplicaLost(replica)))
        answer = ReplicaAcknowledged(replica, self.disk_ids[replica], self.disks[replica])
        return self.in_transit.append((arrival, answer))

    def step(self) -> None:
        next_tick = self.state.next_tick_us
        times = [at for at, _ in self.in_transit] + ([next_tick] if next_tick is not None else [])
        self.now = max(self.now, min([*times, self.now + 500 * MS]))
        for message in [message for message in self.in_transit if message[0] <= self.now]:
            self.in_transit.remove(message)
            self.feed(message[1])
        self.feed(Tick())
        roll = self.random.random()
        if roll < 0.3:
            self.feed(EntriesPersisted(self.state.last + self.random.randrange(1, 4), 100))
        elif roll < 0.6:
            self.request(accepts_fewer=roll < 0.4)
        elif roll < 0.63:
            self.feed(ReplicasAssigned(tuple(self.random.sample("xyz", 2))))

    def request(self, *, accepts_fewer: bool) -> None:
        token = len(self.pending) + self.answered
        seq = max(1, self.state.last + self.random.randrange(-1, 3))
        span = self.random.choice((50, 5000)) * MS
        required = self.random.randrange(3)
        request = ReplicationRequested(token, seq, required, accepts_fewer, self.now + span)
        self.pending[token] = request
        self.feed(request)


class CountsUnacknowledged(ReplicationState):
    """A wrong rule: each assigned replica counts, acknowledged or not."""

    def count_replicas(self, seq: int) -> int:
        return len(self._replicas)


class IgnoresDiskIdentity(ReplicationState):
    """A wrong rule: what a replica once had counts for good, whatever its present disk acknowledges."""

    def _acknowledge(self, replica: str, disk: str, seq: int) -> None:
        super()._acknowledge(replica, disk, max(seq, self._replicas[replica].seq))


def simulate(state_class: type[ReplicationState], seeds: int, steps: int = 150) -> int:
    """Runs a simulation for each seed; returns the number of answered requests."""
    answered = 0
    for seed in range(seeds):
        world = type("W", (SimulatedReplicas,), {"state_class": state_class})(seed)
        for _ in range(steps):
            world.step()
        world.now += 10_000 * MS
        world.feed(EntriesPersisted(world.state.last + 3, 100))
        world.feed(Tick())
        assert not world.pending, "a request was never answered"
        answered += world.answered
    return answered


def test_requests_when_messages_are_lost_are_each_answered_and_never_too_early() -> None:
    assert simulate(ReplicationState, 60) > 1500


@pytest.mark.parametrize("wrong", [CountsUnacknowledged])
def test_simulation_when_a_rule_is_wrong_finds_it(wrong: type[ReplicationState]) -> None:
    with pytest.raises(AssertionError, match="reported"):
        simulate(wrong, 60)


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
    # Sent anew from the start; the wrong rule never would.
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


def test_replica_when_it_has_more_than_the_origin_s_disk_stops_the_numbering() -> None:
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
    assert state.handle(2, ReplicaLost("x")) == []
    assert state.handle(2 + POLICY.retry_interval_us, Tick()) == [SendBatch("x", 4)]
