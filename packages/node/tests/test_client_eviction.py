"""Which client connection the node closes when it needs a descriptor."""

from __future__ import annotations

import msgpack

from walnutpost.testsupport.node.client_fixtures import run_scenario_with_timeout
from walnutpost.testsupport.node.harness import NodeHarness, run_scenario, warm_up_worker


def test_lingering_client_is_evicted_last() -> None:
    def scenario(harness: NodeHarness) -> None:
        lingering, idle = harness.client(), harness.client()
        for client in (lingering, idle):
            client.send()
            assert client.next_answer()[2] is None
        lingering.send_raw(b"\xc1")
        clients = harness.node.clients
        harness.wait_until(lambda: any(connection.is_lingering for connection in clients.connections))
        clients.evict()
        assert [connection.is_lingering for connection in clients.connections] == [True]

    run_scenario_with_timeout(scenario)


def test_connection_above_the_limit_evicts_an_idle_one_and_is_served() -> None:
    def scenario(harness: NodeHarness) -> None:
        warm_up_worker(harness, harness.client())
        idle_clients = [harness.client() for _ in range(200)]
        new_client = harness.client()
        assert len(harness.node.clients.connections) <= 128
        new_client.send()
        assert new_client.next_answer()[2] is None
        assert idle_clients  # a reference until here, so that none is closed earlier

    run_scenario(scenario)


def test_connection_with_an_unread_request_or_a_pending_answer_is_not_evicted() -> None:
    def scenario(harness: NodeHarness) -> None:
        client, clients = harness.client(), harness.node.clients
        warm_up_worker(harness, client)
        (connection,) = clients.connections
        client.send()  # the kernel has received it, but the node has not read it yet
        clients.evict()
        assert client.next_answer()[2] is None
        connection.write(msgpack.packb(7))  # sent at the end of this turn of the event loop
        clients.evict()
        assert client.next_answer() == 7
        clients.evict()
        assert client.next_answer() is None

    run_scenario(scenario)
