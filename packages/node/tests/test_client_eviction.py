"""Which client connection is closed when the node needs its descriptor."""

from __future__ import annotations

import msgpack

from walnutpost.testsupport.node.client_fixtures import run_scenario_with_timeout
from walnutpost.testsupport.node.harness import World, play, warm


def test_lingering_client_is_evicted_last() -> None:
    def scenario(harness: World) -> None:
        fetching, idle = harness.client(), harness.client()
        for client in (fetching, idle):
            client.send()
            assert client.next()[2] is None
        fetching.raw(b"\xc1")
        clients = harness.node.clients
        harness.until(lambda: any(connection.is_lingering for connection in clients.connections))
        clients.evict()
        assert [connection.is_lingering for connection in clients.connections] == [True]

    run_scenario_with_timeout(scenario)


def test_connections_beyond_the_limit_evict_idle_ones_and_serve_new_requests() -> None:
    def scenario(harness: World) -> None:
        warm(harness, harness.client())
        crowd = [harness.client() for _ in range(200)]
        late = harness.client()
        assert len(harness.node.clients.connections) <= 128
        late.send()
        assert late.next()[2] is None
        assert crowd

    play(scenario)


def test_connection_with_an_unread_request_or_a_pending_answer_is_not_evicted() -> None:
    def scenario(harness: World) -> None:
        client, clients = harness.client(), harness.node.clients
        warm(harness, client)
        (connection,) = clients.connections
        client.send()  # the kernel has it, the node hasn't read it
        clients.evict()
        assert client.next()[2] is None
        connection.write(msgpack.packb(7))  # leaves at the end of the round
        clients.evict()
        assert client.next() == 7
        clients.evict()
        assert client.next() is None

    play(scenario)
