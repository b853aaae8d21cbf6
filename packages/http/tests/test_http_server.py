"""The HTTP server: limits, pipelining, slow senders. A faulty client affects only its own connection."""

from __future__ import annotations

import resource
import socket
from contextlib import suppress

import pytest

from walnutpost.eventloop import Loop, VirtualClock, connect
from walnutpost.http import Connection, Exchange, Response, Server, encode_request
from walnutpost.http.server import start_server
from walnutpost.testsupport.http.fixtures import (
    LIMITS,
    LOCAL,
    SECOND,
    echo,
    error_response,
    response_bytes,
    run_with_server,
)

POST = b"POST / HTTP/1.1\r\nhost: x\r\n"
INVALID_REQUESTS = {
    "no HTTP": (b"\x16\x03\x01 hello\r\n\r\n", 400),
    "head too long": (b"GET / HTTP/1.1\r\n" + b"a: " + b"b" * 5000 + b"\r\n\r\n", 431),
    "a line that never ends": (b"GET /" + b"a" * 9000, 431),
    "many headers": (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 2000, 431),
    "announced body too long": (POST + b"content-length: 10001\r\n\r\n", 413),
    "body too long in chunks": (
        POST + b"transfer-encoding: chunked\r\n\r\n" + b"fff\r\n%b\r\n" % (b"x" * 4095) * 3,
        413,
    ),
    "two lengths": (POST + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabcd", 400),
    "length and chunks": (POST + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    "negative length": (POST + b"content-length: -1\r\n\r\n", 400),
    "half a head, then nothing": (b"GET / HTTP/1.1\r\nhos", 408),
    "half a body, then nothing": (POST + b"content-length: 9\r\n\r\nabc", 408),
}


@pytest.mark.parametrize("name", INVALID_REQUESTS)
def test_invalid_request_gets_its_error_status_and_the_connection_is_closed(name: str) -> None:
    data, status = INVALID_REQUESTS[name]

    def script(loop: Loop, server: Server) -> None:
        good = Connection.open(loop, server.address)
        assert good.request("POST", "/a", body=b"1").body == b"1"
        response = response_bytes(loop, server, data)
        assert response.startswith(b"HTTP/1.1 %d " % status), response[:100]
        assert b"connection: close" in response
        assert good.request("POST", "/b", body=b"2").body == b"2"

    run_with_server(script)


def test_chunked_and_pipelined_requests_are_answered_in_order() -> None:
    chunked = POST + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    plain = encode_request("POST", "/two", "x", {}, b"two")
    broken = b"nonsense\r\n\r\n"

    def script(loop: Loop, server: Server) -> None:
        responses = response_bytes(loop, server, chunked + plain + broken)
        assert responses.count(b"HTTP/1.1 200") == 2
        assert responses.index(b"abcde") < responses.index(b"x-target: /two")

    run_with_server(script)


def test_client_that_expects_100_continue_receives_it() -> None:
    def script(loop: Loop, server: Server) -> None:
        stream = connect(loop, server.address)
        stream.send_all(POST + b"expect: 100-continue\r\ncontent-length: 2\r\n\r\n")
        assert stream.recv() == b"HTTP/1.1 100 Continue\r\n\r\n"
        stream.send_all(b"ok")
        assert stream.recv().endswith(b"ok")

    run_with_server(script)


def test_handler_error_ends_only_its_own_connection() -> None:
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))

    def handler(exchange: Exchange) -> Response:
        if exchange.request.target == b"/bad":
            raise ValueError("bug")
        return echo(exchange)

    def main() -> None:
        server = start_server(loop, LOCAL, handler, error_response, LIMITS)
        with pytest.raises(OSError):
            Connection.open(loop, server.address).request("GET", "/bad")
        assert Connection.open(loop, server.address).request("GET", "/good").status == 200

    loop.run(main)
    assert [type(e) for e in errors] == [ValueError]


def test_thousands_of_slow_senders_delay_no_other_client_and_are_disconnected() -> None:
    """A request's timeout runs from its first byte, however slowly it arrives; idle connections are kept."""
    sender_count = min(10_000, (resource.getrlimit(resource.RLIMIT_NOFILE)[0] - 1000) // 2 // 500 * 500)

    def script(loop: Loop, server: Server) -> None:
        good = Connection.open(loop, server.address)
        slow_senders: list[socket.socket] = []
        # Connect no faster than the server accepts, because a full backlog admits no more connections.
        while len(slow_senders) < sender_count:
            slow_senders += [socket.create_connection(server.address) for _ in range(500)]
            while len(server.streams) < len(slow_senders) + 1:
                loop.yield_now()
        for second in range(12):
            for sock in slow_senders:
                with suppress(OSError):
                    sock.send(b"GET / HTTP/1.1\r\n"[second : second + 1])
            start_us = loop.now()
            assert good.request("POST", "/a", body=b"1").body == b"1"
            assert loop.now() == start_us
            loop.sleep(SECOND)
        for sock in slow_senders:
            sock.close()
        assert len(server.streams) == 1

    run_with_server(script)
