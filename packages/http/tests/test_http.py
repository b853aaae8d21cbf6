"""HTTP on sockets: limits, pipelining, slow senders. What a peer does wrong costs it alone."""

from __future__ import annotations

import resource
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from walnutpost.eventloop import Loop, Stream, VirtualClock, WaitTimeoutError, connect
from walnutpost.http import BadMessage, Connection, Exchange, Limits, Response, Server, encode_request
from walnutpost.http.messages import RequestReader
from walnutpost.http.server import serve_on

SECOND = 1_000_000
LIMITS = Limits(head=4096, body=10_000, head_time=10 * SECOND, body_time=30 * SECOND, idle_time=75 * SECOND)


def refusal(error: BadMessage) -> Response:
    return Response(error.status, body=str(error).encode())


def echo(exchange: Exchange) -> Response:
    return Response(200, {"x-target": exchange.request.target.decode()}, exchange.request.body)


def serving(script: Callable[[Loop, Server], Any], handler: Callable[[Exchange], Any] = echo) -> Any:
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))

    def main() -> Any:
        return script(loop, serve_on(loop, ("127.0.0.1", 0), handler, refusal, LIMITS))

    result = loop.run(main)
    assert not errors, errors
    return result


def said(loop: Loop, server: Server, data: bytes) -> bytes:
    """All that comes back for `data`, until the server closes or says nothing for a minute."""
    stream = connect(loop, server.address)
    out = b""
    stream.send_all(data)
    try:
        with loop.timeout(60 * SECOND):
            while part := stream.recv():
                out += part
    except (OSError, WaitTimeoutError):
        pass
    stream.close()
    return out


POST = b"POST / HTTP/1.1\r\nhost: x\r\n"
BAD = {
    "no HTTP": (b"\x16\x03\x01 hello\r\n\r\n", 400),
    "head too long": (b"GET / HTTP/1.1\r\n" + b"a: " + b"b" * 5000 + b"\r\n\r\n", 431),
    "a line that never ends": (b"GET /" + b"a" * 9000, 431),
    "many headers": (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 2000, 431),
    "body told too long": (POST + b"content-length: 10001\r\n\r\n", 413),
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


@pytest.mark.parametrize("name", BAD)
def test_what_is_no_request_gets_its_status_and_the_end(name: str) -> None:
    data, status = BAD[name]

    def script(loop: Loop, server: Server) -> None:
        good = Connection.open(loop, server.address)
        assert good.ask("POST", "/a", body=b"1").body == b"1"
        answer = said(loop, server, data)
        assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:100]
        assert b"connection: close" in answer
        assert good.ask("POST", "/b", body=b"2").body == b"2"

    serving(script)


def test_chunked_and_pipelined_requests_are_answered_in_order() -> None:
    chunked = POST + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    plain = encode_request("POST", "/two", "x", {}, b"two")
    broken = b"nonsense\r\n\r\n"

    def script(loop: Loop, server: Server) -> None:
        answers = said(loop, server, chunked + plain + broken)
        assert answers.count(b"HTTP/1.1 200") == 2
        assert answers.index(b"abcde") < answers.index(b"x-target: /two")

    serving(script)


def test_a_body_is_asked_for_when_the_client_waits_for_it() -> None:
    def script(loop: Loop, server: Server) -> None:
        stream = connect(loop, server.address)
        stream.send_all(POST + b"expect: 100-continue\r\ncontent-length: 2\r\n\r\n")
        assert stream.recv() == b"HTTP/1.1 100 Continue\r\n\r\n"
        stream.send_all(b"ok")
        assert stream.recv().endswith(b"ok")

    serving(script)


def test_a_handler_that_raises_costs_its_own_connection() -> None:
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))

    def handler(exchange: Exchange) -> Response:
        if exchange.request.target == b"/bad":
            raise ValueError("bug")
        return echo(exchange)

    def main() -> None:
        server = serve_on(loop, ("127.0.0.1", 0), handler, refusal, LIMITS)
        with pytest.raises(OSError):
            Connection.open(loop, server.address).ask("GET", "/bad")
        assert Connection.open(loop, server.address).ask("GET", "/good").status == 200

    loop.run(main)
    assert [type(e) for e in errors] == [ValueError]


def test_thousands_that_send_a_byte_a_second_hold_up_nobody_and_are_cut_off() -> None:
    """Their time runs from the first byte, whatever drips in; an idle connection's does not."""
    many = min(10_000, (resource.getrlimit(resource.RLIMIT_NOFILE)[0] - 1000) // 2 // 500 * 500)

    def script(loop: Loop, server: Server) -> None:
        good = Connection.open(loop, server.address)
        slow: list[socket.socket] = []
        while len(slow) < many:  # no faster than they are accepted, since a full backlog takes none
            slow += [socket.create_connection(server.address) for _ in range(500)]
            while len(server.streams) < len(slow) + 1:
                loop.yield_now()
        for second in range(12):
            for sock in slow:
                with suppress(OSError):
                    sock.send(b"GET / HTTP/1.1\r\n"[second : second + 1])
            began = loop.now()
            assert good.ask("POST", "/a", body=b"1").body == b"1"
            assert loop.now() == began
            loop.sleep(SECOND)
        for sock in slow:
            sock.close()
        assert len(server.streams) == 1

    serving(script)


def test_an_interrupted_response_never_looks_whole() -> None:
    def script(loop: Loop, server: Server) -> None:
        for cut in range(1, len(whole)):
            peer, ours = socket.socketpair()
            peer.sendall(whole[:cut])
            peer.close()
            ours.setblocking(False)
            with pytest.raises(OSError):
                Connection(Stream(loop, ours)).exchange(b"x")
            ours.close()

    whole = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
    serving(script)


def test_every_split_of_the_bytes_reads_the_same() -> None:
    data = encode_request("POST", "/a?b=c", "h", {"x": "1", "y": "2"}, b"body") * 2
    for cut in range(len(data)):
        reader = RequestReader(LIMITS)
        reader.feed(data[:cut])
        reader.feed(data[cut:])
        assert [(r.target, r.body, r.headers["y"]) for r in reader.ready] == [(b"/a?b=c", b"body", "2")] * 2


def test_a_header_from_outside_starts_no_header_of_its_own() -> None:
    data = encode_request("GET", "/", "h", {"x": "1\r\ny: 2"})
    assert b"\r\ny:" not in data
