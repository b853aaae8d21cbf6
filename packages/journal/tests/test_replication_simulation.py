"""An origin and its replicas under lost messages, lost disks and reassignment: no quorum comes early."""

from __future__ import annotations

from random import Random

import pytest

from walnutpost.journal import (
    BatchSendFailed,
    EntriesPersisted,
    QuorumFailed,
    QuorumReached,
    ReplicaAcknowledged,
    ReplicasAssigned,
    ReplicationInput,
    ReplicationPolicy,
    ReplicationRequested,
    ReplicationState,
    SendBatch,
    Tick,
)

MS = 1000
POLICY = ReplicationPolicy(replica_timeout_us=2000 * MS, retry_interval_us=100 * MS, max_backlog_bytes=10_000)


class SimulatedReplicas:
    """Three replicas, and a network that loses and delays messages at random."""

    def __init__(self, state_class: type[ReplicationState], seed: int) -> None:
        self.random = Random(seed)
        self.now = 0
        self.disk_ids = {name: f"{name}-0" for name in "xyz"}
        self.disks = dict.fromkeys("xyz", 0)
        self.state = state_class(POLICY, 0)
        self.pending: dict[int, ReplicationRequested] = {}
        self.answered = 0
        self.in_transit: list[tuple[int, ReplicationInput]] = []
        self.handle(ReplicasAssigned(("x", "y")))

    def handle(self, event: ReplicationInput) -> None:
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
            return self.in_transit.append((arrival, BatchSendFailed(replica)))
        if after is not None and after <= self.disks[replica]:
            upto = min(self.state.last, after + self.random.randrange(1, 6))
            self.disks[replica] = max(self.disks[replica], upto)
        if roll < 0.25:  # the batch was written, and the answer was lost
            return self.in_transit.append((arrival, BatchSendFailed(replica)))
        answer = ReplicaAcknowledged(replica, self.disk_ids[replica], self.disks[replica])
        return self.in_transit.append((arrival, answer))

    def step(self) -> None:
        next_tick = self.state.next_tick_us
        times = [at for at, _ in self.in_transit] + ([next_tick] if next_tick is not None else [])
        self.now = max(self.now, min([*times, self.now + 500 * MS]))
        for message in [message for message in self.in_transit if message[0] <= self.now]:
            self.in_transit.remove(message)
            self.handle(message[1])
        self.handle(Tick())
        roll = self.random.random()
        if roll < 0.3:
            self.handle(EntriesPersisted(self.state.last + self.random.randrange(1, 4), 100))
        elif roll < 0.6:
            self.request(accepts_fewer=roll < 0.4)
        elif roll < 0.63:
            self.handle(ReplicasAssigned(tuple(self.random.sample("xyz", 2))))

    def request(self, *, accepts_fewer: bool) -> None:
        token = len(self.pending) + self.answered
        seq = max(1, self.state.last + self.random.randrange(-1, 3))
        span = self.random.choice((50, 5000)) * MS
        required = self.random.randrange(3)
        request = ReplicationRequested(token, seq, required, accepts_fewer, self.now + span)
        self.pending[token] = request
        self.handle(request)


class CountsUnacknowledged(ReplicationState):
    """A wrong rule: each assigned replica counts, acknowledged or not."""

    def count_replicas(self, _seq: int) -> int:
        return len(self._replicas)


def simulate(state_class: type[ReplicationState], seeds: int, steps: int = 150) -> int:
    """Run a simulation for each seed; return the number of answered requests."""
    answered = 0
    for seed in range(seeds):
        simulation = SimulatedReplicas(state_class, seed)
        for _ in range(steps):
            simulation.step()
        simulation.now += 10_000 * MS
        simulation.handle(EntriesPersisted(simulation.state.last + 3, 100))
        simulation.handle(Tick())
        assert not simulation.pending, "a request was never answered"
        answered += simulation.answered
    return answered


def test_requests_when_messages_are_lost_are_each_answered_and_never_too_early() -> None:
    assert simulate(ReplicationState, 60) > 1500


def test_simulation_when_a_rule_is_wrong_finds_it() -> None:
    with pytest.raises(AssertionError, match="reported"):
        simulate(CountsUnacknowledged, 60)
