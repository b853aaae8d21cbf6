"""Clients that cost much processor time wait in turns; new connections don't keep the others waiting."""

from __future__ import annotations

from walnutpost.eventloop import Loop, VirtualClock
from walnutpost.node.client_turns import MAX_ROUND_US, ClientTurns
from walnutpost.node.clients import MAX_ACCEPTS_PER_ROUND, MAX_EVICTIONS, NEW_CONNECTION_GRACE_US
from walnutpost.node.processor_share import (
    MAX_DEBT_US,
    MAX_FREE_DEBT_US,
    SHARE_DIVISOR,
    ProcessorShare,
)
from walnutpost.testsupport.node.client_fixtures import (
    connect_clients_with_requests,
    run_scenario_with_timeout,
)
from walnutpost.testsupport.node.harness import MILLISECOND_US, SECOND_US, NodeHarness, warm_up_worker


def test_connection_within_its_share_never_waits() -> None:
    share, used_us = ProcessorShare(0), 200
    for now_us in range(MAX_DEBT_US * SHARE_DIVISOR, 100 * SECOND_US, used_us * SHARE_DIVISOR):
        share.charge(now_us, used_us)
        assert not share.is_exceeded(now_us)


def test_connection_beyond_its_share_waits_until_it_is_repaid() -> None:
    share = ProcessorShare(0)
    idle_us = 2 * MAX_DEBT_US * SHARE_DIVISOR
    assert not share.is_exceeded(idle_us)
    share.charge(idle_us, MAX_FREE_DEBT_US + 1_000)
    assert share.is_exceeded(idle_us)
    assert not share.is_exceeded(idle_us + 1_000 * SHARE_DIVISOR)


def test_new_connections_get_no_turn_before_one_that_has_used_much_time() -> None:
    new, heavy = ProcessorShare(0), ProcessorShare(0)
    heavy.charge(0, 10 * MAX_DEBT_US)
    assert new.repaid_at_us(0) == heavy.repaid_at_us(0)


class WorkingLoop(Loop):
    """An event loop whose processor time is advanced by the test."""

    used_us = 0

    def processor_time(self) -> int:
        return self.used_us


class ExpensiveConnection:
    """A connection that always has more input; each turn takes 1 ms."""

    def __init__(self, loop: WorkingLoop, turns: ClientTurns) -> None:
        self._loop = loop
        self._turns = turns
        self.turn_count = 0

    def take_turn(self) -> None:
        self.turn_count += 1
        self._loop.used_us += MILLISECOND_US
        self._turns.add(self, self._loop.used_us)


def test_waiting_connections_share_a_limited_time_of_each_round() -> None:
    loop = WorkingLoop(VirtualClock())
    turns = ClientTurns(loop)
    connections = [ExpensiveConnection(loop, turns) for _ in range(100)]
    rounds_us: list[int] = []

    def run() -> None:
        for connection in connections:
            turns.add(connection, 0)
        for _ in range(40):
            started_us = loop.used_us
            loop.wait_for_next_round()
            rounds_us.append(loop.used_us - started_us)

    loop.run(run)
    assert max(rounds_us) <= MAX_ROUND_US
    counts = [connection.turn_count for connection in connections]
    assert max(counts) - min(counts) <= 1


class RecordingConnection:
    """A connection that records its turns."""

    def __init__(self, name: str, order: list[str]) -> None:
        self._name = name
        self._order = order

    def take_turn(self) -> None:
        self._order.append(self._name)


def test_connection_that_has_used_the_least_time_gets_the_first_turn() -> None:
    loop = Loop(VirtualClock())
    turns = ClientTurns(loop)
    order: list[str] = []

    def run() -> None:
        for name, used_us in (("heavy", 15_000), ("usual", 500), ("crowd", 3_000)):
            share = ProcessorShare(0)
            share.charge(2 * SECOND_US, used_us)
            turns.add(RecordingConnection(name, order), share.repaid_at_us(2 * SECOND_US))
        loop.wait_for_next_round()

    loop.run(run)
    assert order == ["usual", "crowd", "heavy"]


def test_clients_are_served_while_the_backlog_is_accepted() -> None:
    def scenario(harness: NodeHarness) -> None:
        usual = harness.client()
        warm_up_worker(harness, usual)
        clients, accepted_at_once = harness.node.clients, list[int]()
        sockets = connect_clients_with_requests(harness, 3 * MAX_ACCEPTS_PER_ROUND)
        opened_before = len(clients.connections)

        for _ in range(10):
            harness.loop.wait_for_next_round()
            accepted_at_once.append(len(clients.connections) - opened_before)
        steps = [
            after - before for before, after in zip([0, *accepted_at_once], accepted_at_once, strict=False)
        ]
        assert 0 < max(steps) <= MAX_ACCEPTS_PER_ROUND
        for sock in sockets:
            sock.close()

    run_scenario_with_timeout(scenario)


def test_several_connections_that_never_sent_a_message_are_evicted_at_once() -> None:
    def scenario(harness: NodeHarness) -> None:
        usual = harness.client()
        warm_up_worker(harness, usual)
        silent = [harness.client() for _ in range(2 * MAX_EVICTIONS)]
        clients = harness.node.clients
        harness.wait_until(lambda: len(clients.connections) == len(silent) + 1)
        harness.loop.sleep(2 * NEW_CONNECTION_GRACE_US)
        assert clients.evict()
        assert len(clients.connections) == len(silent) + 1 - MAX_EVICTIONS
        usual.send()
        assert usual.next_answer()[2] is None

    run_scenario_with_timeout(scenario)
