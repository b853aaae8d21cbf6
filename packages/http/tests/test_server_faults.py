"""A server and its clients on sockets that fail now and then, or move a byte at a time."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from scripted_sockets import SocketFaults, at, scripted_sockets, to
from walnutpost.eventloop import Loop, VirtualClock
from walnutpost.http import BadMessage, Connection, Exchange, Response, Server
from walnutpost.http.server import serve_on

SECOND = 1_000_000
LOCAL = ("127.0.0.1", 0)
ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.EHOSTUNREACH,
    errno.EINTR,
    errno.ENETDOWN,
    errno.EPERM,
    errno.EPROTO,
    errno.ETIMEDOUT,
)


class Lines:
    """A log that keeps its events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def warning(self, event: str, **fields: Any) -> None:
        self.events.append(event)


def refusal(error: BadMessage) -> Response:
    return Response(error.status)


def echo(exchange: Exchange) -> Response:
    return Response(200, body=exchange.request.body)


def serving(script: Callable[[Loop, Server, SocketFaults], Any], log: Any = None) -> None:
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))

    def main() -> None:
        with loop.timeout(10 * SECOND):
            script(loop, serve_on(loop, LOCAL, echo, refusal, log=log), faults)

    with scripted_sockets() as faults:
        loop.run(main)
    assert not errors, errors


@pytest.mark.parametrize("number", [pytest.param(n, id=errno.errorcode[n]) for n in ACCEPT_ERRORS])
def test_a_server_goes_on_serving_every_client_while_accepts_fail_now_and_then(number: int) -> None:
    log = Lines()

    def script(loop: Loop, server: Server, faults: SocketFaults) -> None:
        for after in (0, 1, 4, 9):
            faults.fail("accept", number, times=2, after=after, when=at(server.address))
        for n in range(10):
            connection = Connection.open(loop, server.address)
            assert connection.ask("POST", "/", body=b"%d" % n).body == b"%d" % n
            connection.close()
        assert faults.failed["accept"] == 8 and log.events == ["accept_failed"]

    serving(script, log)


def test_a_closed_server_stops_accepting_without_an_error() -> None:
    def script(loop: Loop, server: Server, faults: SocketFaults) -> None:
        server.stop_accepting()
        loop.sleep(SECOND)
        with pytest.raises(ConnectionRefusedError):
            Connection.open(loop, server.address)

    serving(script)


def test_requests_and_responses_that_move_a_byte_at_a_time_are_whole() -> None:
    def script(loop: Loop, server: Server, faults: SocketFaults) -> None:
        for operation in ("send", "recv"):
            faults.shorten(operation, 1, when=at(server.address))
            faults.shorten(operation, 1, when=to(server.address))
        connection = Connection.open(loop, server.address)
        for body in (b"first", b"second" * 50):
            assert connection.ask("POST", "/", body=body).body == body
        connection.close()

    serving(script)


@pytest.mark.parametrize("operation", ["send", "recv"])
@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENOBUFS])
def test_an_error_on_a_connection_in_use_costs_it_alone(operation: Any, number: int) -> None:
    def script(loop: Loop, server: Server, faults: SocketFaults) -> None:
        first, second = (Connection.open(loop, server.address) for _ in range(2))
        assert first.ask("GET", "/").status == second.ask("GET", "/").status == 200
        faults.fail(operation, number, when=at(server.address))
        with pytest.raises(OSError):
            first.ask("GET", "/")
        assert second.ask("POST", "/", body=b"goes on").body == b"goes on"
        first.close()
        second.close()

    serving(script)
