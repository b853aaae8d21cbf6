"""The client of the control plane: the replica that it asks next after a failure."""

from __future__ import annotations

import pytest

from walnutpost.controlplane import ControlPlaneClient, wire
from walnutpost.eventloop import Loop, VirtualClock
from walnutpost.fleet import CommandResult, ResumePlan
from walnutpost.http import Exchange, Response
from walnutpost.http.server import start_server
from walnutpost.testsupport.eventloop.scripted_sockets import (
    CONNECTION_FAULTS,
    Operation,
    connected_to,
    scripted_sockets,
)

SECOND = 1_000_000


@pytest.mark.parametrize(("operation", "number"), CONNECTION_FAULTS)
def test_request_whose_connection_fails_is_sent_to_the_next_replica(
    operation: Operation, number: int
) -> None:
    loop = Loop(VirtualClock())

    def handler(_: Exchange) -> Response:
        return Response(200, body=wire.encode(wire.CommandReply(CommandResult(True, 7))))

    def body() -> None:
        servers = [
            start_server(loop, ("127.0.0.1", 0), handler, lambda error: Response(error.status))
            for _ in range(2)
        ]
        client = ControlPlaneClient(
            loop, {f"k{n}": server.address for n, server in enumerate(servers)}, 10 * SECOND, SECOND
        )
        if operation == "socket":
            faults.fail(operation, number)
        else:
            faults.fail(operation, number, when=connected_to(servers[0].address))
        assert client.command("c1", ResumePlan("p1")).index == 7
        assert faults.failed[operation] == 1

    with scripted_sockets() as faults:
        loop.run(body)
