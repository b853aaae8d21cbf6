"""The way to another keeper."""

from __future__ import annotations

from typing import Any

import pytest

from scripted_sockets import CONNECTION_FAULTS, scripted_sockets, to
from walnutpost.consensus import Members, Message, Snapshot
from walnutpost.consensus.messages import InstallSnapshot, TimeoutNow
from walnutpost.controlplane import wire
from walnutpost.controlplane.client import KeeperClient
from walnutpost.controlplane.peers import Peer
from walnutpost.eventloop import Loop, VirtualClock
from walnutpost.fleet import CommandResult, ResumePlan
from walnutpost.http import Exchange, Limits, Response
from walnutpost.http.server import serve_on

ANSWER_TIME = 50_000
SECOND = 1_000_000


def posted(message: Message, takes: int) -> tuple[int, int]:
    """Of one message to a keeper that takes so long to answer: how many arrived for sure, how many not."""
    loop = Loop()

    def handler(exchange: Exchange) -> Response:
        wire.decode(exchange.request.body, wire.Post)
        loop.sleep(takes)
        return Response(204)

    def body() -> tuple[int, int]:
        server = serve_on(
            loop, ("127.0.0.1", 0), handler, lambda error: Response(error.status), Limits(body=wire.BODY_MOST)
        )
        peer = Peer(loop, lambda: server.address, ANSWER_TIME)
        peer.send("k2", message)
        while not peer.posted + peer.lost:
            loop.sleep(5_000)
        return peer.posted, peer.lost

    return loop.run(body)


def test_a_large_state_may_take_its_time_and_a_small_message_may_not() -> None:
    large = InstallSnapshot(1, "k1", Snapshot(9, 1, Members(("k1", "k2")), b"x" * 20_000_000), 1)
    assert posted(large, 20 * ANSWER_TIME) == (1, 0)
    assert posted(TimeoutNow(1, "k1"), 20 * ANSWER_TIME) == (0, 1)


@pytest.mark.parametrize(("operation", "number"), CONNECTION_FAULTS)
def test_a_message_that_met_an_error_counts_as_lost_and_the_next_one_arrives(
    operation: Any, number: int
) -> None:
    loop = Loop(VirtualClock())
    arrived: list[Message] = []

    def handler(exchange: Exchange) -> Response:
        arrived.extend(wire.decode(exchange.request.body, wire.Post).messages)
        return Response(204)

    def body() -> None:
        server = serve_on(loop, ("127.0.0.1", 0), handler, lambda error: Response(error.status))
        peer = Peer(loop, lambda: server.address, ANSWER_TIME)
        if operation == "socket":
            faults.fail(operation, number)
        else:
            faults.fail(operation, number, when=to(server.address))
        peer.send("k2", TimeoutNow(1, "k1"))
        with loop.timeout(10_000_000):
            while not peer.lost:
                loop.sleep(5_000)
            peer.send("k2", TimeoutNow(2, "k1"))
            while not peer.posted:
                loop.sleep(5_000)
        assert (peer.lost, peer.posted, faults.failed[operation]) == (1, 1, 1)
        assert arrived[-1] == TimeoutNow(2, "k1")

    with scripted_sockets() as faults:
        loop.run(body)


@pytest.mark.parametrize(("operation", "number"), CONNECTION_FAULTS)
def test_a_question_that_met_an_error_is_asked_of_the_next_keeper(operation: Any, number: int) -> None:
    loop = Loop(VirtualClock())

    def handler(exchange: Exchange) -> Response:
        return Response(200, body=wire.encode(wire.Told(CommandResult(True, 7))))

    def body() -> None:
        servers = [
            serve_on(loop, ("127.0.0.1", 0), handler, lambda error: Response(error.status)) for _ in range(2)
        ]
        client = KeeperClient(
            loop, {f"k{n}": server.address for n, server in enumerate(servers)}, 10 * SECOND, SECOND
        )
        if operation == "socket":
            faults.fail(operation, number)
        else:
            faults.fail(operation, number, when=to(servers[0].address))
        assert client.command("c1", ResumePlan("p1")).index == 7
        assert faults.failed[operation] == 1

    with scripted_sockets() as faults:
        loop.run(body)
