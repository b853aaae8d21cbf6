"""The HTTP server and client on sockets that fail occasionally or transfer one byte per call."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from walnutpost.eventloop import Loop
from walnutpost.http import Connection, Server
from walnutpost.testsupport.eventloop.scripted_sockets import (
    SocketFaults,
    bound_to,
    connected_to,
    scripted_sockets,
)
from walnutpost.testsupport.http.fixtures import ACCEPT_ERRORS, SECOND, run_with_server


class EventNameLog:
    """A logger that records the names of logged events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def warning(self, event: str, **fields: Any) -> None:
        self.events.append(event)


def run_with_faults(script: Callable[[Loop, Server, SocketFaults], Any], log: Any = None) -> None:
    """Start a server on scripted sockets and run `script` with a timeout of 10 s."""

    def run_with_timeout(loop: Loop, server: Server) -> None:
        with loop.timeout(10 * SECOND):
            script(loop, server, faults)

    with scripted_sockets() as faults:
        run_with_server(run_with_timeout, limits=None, log=log)


@pytest.mark.parametrize("error_number", [pytest.param(n, id=errno.errorcode[n]) for n in ACCEPT_ERRORS])
def test_server_serves_every_client_while_some_accepts_fail(error_number: int) -> None:
    log = EventNameLog()

    def script(loop: Loop, server: Server, faults: SocketFaults) -> None:
        for after in (0, 1, 4, 9):
            faults.fail("accept", error_number, times=2, after=after, when=bound_to(server.address))
        for n in range(10):
            connection = Connection.open(loop, server.address)
            assert connection.request("POST", "/", body=b"%d" % n).body == b"%d" % n
            connection.close()
        assert faults.failed["accept"] == 8
        assert log.events == ["accept_failed"]

    run_with_faults(script, log)


def test_closed_server_stops_accepting_without_an_error() -> None:
    def script(loop: Loop, server: Server, faults: SocketFaults) -> None:
        server.stop_accepting()
        loop.sleep(SECOND)
        with pytest.raises(ConnectionRefusedError):
            Connection.open(loop, server.address)

    run_with_faults(script)


def test_messages_transferred_one_byte_at_a_time_arrive_complete() -> None:
    def script(loop: Loop, server: Server, faults: SocketFaults) -> None:
        for operation in ("send", "recv"):
            faults.shorten(operation, 1, when=bound_to(server.address))
            faults.shorten(operation, 1, when=connected_to(server.address))
        connection = Connection.open(loop, server.address)
        for body in (b"first", b"second" * 50):
            assert connection.request("POST", "/", body=body).body == body
        connection.close()

    run_with_faults(script)


@pytest.mark.parametrize("operation", ["send", "recv"])
@pytest.mark.parametrize("error_number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENOBUFS])
def test_socket_error_ends_only_its_own_connection(operation: Any, error_number: int) -> None:
    def script(loop: Loop, server: Server, faults: SocketFaults) -> None:
        first, second = (Connection.open(loop, server.address) for _ in range(2))
        assert first.request("GET", "/").status == second.request("GET", "/").status == 200
        faults.fail(operation, error_number, when=bound_to(server.address))
        with pytest.raises(OSError):
            first.request("GET", "/")
        assert second.request("POST", "/", body=b"goes on").body == b"goes on"
        first.close()
        second.close()

    run_with_faults(script)
