"""The connection to another replica: what is sent, and what is given up."""

from __future__ import annotations

import pytest

from walnutpost.consensus import Members, Message, Snapshot
from walnutpost.consensus.messages import InstallSnapshot, TimeoutNow
from walnutpost.controlplane import wire
from walnutpost.controlplane.peers import PeerConnection
from walnutpost.eventloop import Loop, VirtualClock
from walnutpost.http import Exchange, Limits, Response
from walnutpost.http.server import start_server
from walnutpost.testsupport.eventloop.scripted_sockets import (
    CONNECTION_FAULTS,
    Operation,
    connected_to,
    scripted_sockets,
)

REPLY_TIMEOUT_US = 50_000


def send_to_slow_replica(message: Message, reply_time_us: int) -> tuple[int, int]:
    """Send one message; return how many were acknowledged, and how many given up."""
    loop = Loop()

    def handler(exchange: Exchange) -> Response:
        wire.decode(exchange.request.body, wire.PeerMessages)
        loop.sleep(reply_time_us)
        return Response(204)

    def body() -> tuple[int, int]:
        server = start_server(
            loop,
            ("127.0.0.1", 0),
            handler,
            lambda error: Response(error.status),
            Limits(max_body_bytes=wire.MAX_BODY_BYTES),
        )
        peer = PeerConnection(loop, lambda: server.address, REPLY_TIMEOUT_US)
        peer.send("k2", message)
        while not peer.sent_count + peer.lost_count:
            loop.sleep(5_000)
        return peer.sent_count, peer.lost_count

    return loop.run(body)


def test_slow_reply_is_waited_for_after_a_large_snapshot_and_not_after_a_small_message() -> None:
    large = InstallSnapshot(1, "k1", Snapshot(9, 1, Members(("k1", "k2")), b"x" * 20_000_000), 1)
    assert send_to_slow_replica(large, 20 * REPLY_TIMEOUT_US) == (1, 0)
    assert send_to_slow_replica(TimeoutNow(1, "k1"), 20 * REPLY_TIMEOUT_US) == (0, 1)


@pytest.mark.parametrize(("operation", "number"), CONNECTION_FAULTS)
def test_message_whose_connection_fails_counts_as_lost_and_the_next_one_arrives(
    operation: Operation, number: int
) -> None:
    loop = Loop(VirtualClock())
    arrived: list[Message] = []

    def handler(exchange: Exchange) -> Response:
        arrived.extend(wire.decode(exchange.request.body, wire.PeerMessages).messages)
        return Response(204)

    def body() -> None:
        server = start_server(loop, ("127.0.0.1", 0), handler, lambda error: Response(error.status))
        peer = PeerConnection(loop, lambda: server.address, REPLY_TIMEOUT_US)
        if operation == "socket":
            faults.fail(operation, number)
        else:
            faults.fail(operation, number, when=connected_to(server.address))
        peer.send("k2", TimeoutNow(1, "k1"))
        with loop.timeout(10_000_000):
            while not peer.lost_count:
                loop.sleep(5_000)
            peer.send("k2", TimeoutNow(2, "k1"))
            while not peer.sent_count:
                loop.sleep(5_000)
        assert (peer.lost_count, peer.sent_count, faults.failed[operation]) == (1, 1, 1)
        assert arrived[-1] == TimeoutNow(2, "k1")

    with scripted_sockets() as faults:
        loop.run(body)
