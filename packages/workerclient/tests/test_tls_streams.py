"""Streams under TLS: resumption, servers that prove nothing, connections that end early."""

from __future__ import annotations

import socket
import ssl
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest

from walnutpost.eventloop import Loop, TlsClientSettings, TlsStream, VirtualClock, WaitTimeoutError
from walnutpost.fakes.authority import Authority, IssuedCertificate
from walnutpost.http import Connection, Exchange, Response, encode_request
from walnutpost.http.server import serve_on

NAME = "worker-7.example.org"
DAY = timedelta(days=1)
NOW = datetime.now(UTC)
AUTHORITY = Authority(NOW)
ISSUED = AUTHORITY.issue(NAME)


def server_context(issued: IssuedCertificate, path: Path) -> ssl.SSLContext:
    issued.write(path, "served")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(path / "served.pem", path / "served.key")
    return context


def client_context(authority: Authority) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(cadata=authority.root.decode())
    return context


def run(script: Callable[[Loop], None]) -> None:
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))
    loop.run(lambda: script(loop))
    assert not errors, errors


def echo(exchange: Exchange) -> Response:
    return Response(200, {}, exchange.request.body)


def test_requests_of_any_size_go_over_tls_and_a_second_connection_resumes_the_session(tmp_path: Path) -> None:
    def script(loop: Loop) -> None:
        server = serve_on(
            loop, ("127.0.0.1", 0), echo, lambda e: Response(400), context=server_context(ISSUED, tmp_path)
        )
        context = client_context(AUTHORITY)
        session = None
        for round_number in range(3):
            connection = Connection.open(loop, server.address, tls=TlsClientSettings(context, NAME, session))
            for size in (0, 10, 900_000):
                body = bytes(n % 251 for n in range(1000)) * (size // 1000) or b"x" * size
                assert connection.exchange(encode_request("POST", "/", "x", {}, body)).body == body
                assert not connection.stream.is_stale()
            stream = connection.stream
            assert isinstance(stream, TlsStream)
            assert stream.is_resumed is (round_number > 0)
            session = stream.session
            connection.close()
        server.stop_accepting()

    run(script)


UNPROVEN: dict[str, tuple[IssuedCertificate, Authority]] = {
    "another name": (AUTHORITY.issue("worker-8.example.org"), AUTHORITY),
    "expired": (AUTHORITY.issue(NAME, -3 * DAY, -DAY), AUTHORITY),
    "not yet valid": (AUTHORITY.issue(NAME, DAY, 3 * DAY), AUTHORITY),
    "an unknown root": (Authority(NOW).issue(NAME), AUTHORITY),
}


@pytest.mark.parametrize("name", UNPROVEN)
def test_a_server_that_cannot_prove_its_name_gets_no_request(name: str, tmp_path: Path) -> None:
    issued, authority = UNPROVEN[name]
    requests = []

    def handler(exchange: Exchange) -> Response:
        requests.append(exchange)
        return Response(200)

    def script(loop: Loop) -> None:
        context = server_context(issued, tmp_path)
        server = serve_on(loop, ("127.0.0.1", 0), handler, lambda e: Response(400), context=context)
        with pytest.raises(ssl.SSLCertVerificationError):
            Connection.open(loop, server.address, tls=TlsClientSettings(client_context(authority), NAME))
        server.stop_accepting()

    run(script)
    assert not requests


def test_a_connection_that_ends_inside_a_response_is_reset_and_the_text_tells_a_cut_from_a_close(
    tmp_path: Path,
) -> None:
    for is_cut in (True, False):

        def handler(exchange: Exchange, is_cut: bool = is_cut) -> None:
            stream = exchange.stream
            stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf")
            if is_cut:
                assert isinstance(stream, TlsStream)
                stream._sock.shutdown(socket.SHUT_RDWR)

        def script(loop: Loop, is_cut: bool = is_cut) -> None:
            context = server_context(ISSUED, tmp_path)
            server = serve_on(loop, ("127.0.0.1", 0), handler, lambda e: Response(400), context=context)
            connection = Connection.open(
                loop, server.address, tls=TlsClientSettings(client_context(AUTHORITY), NAME)
            )
            connection.stream.has_sent = False
            with pytest.raises(ConnectionResetError, match="farewell" if is_cut else "before the whole"):
                connection.request("GET", "/")
            assert connection.stream.has_sent
            assert connection.stream.is_stale()
            server.stop_accepting()

        run(script)


def test_a_handshake_with_a_peer_that_speaks_no_tls_or_stalls_fails_in_time() -> None:
    for data in (b"HTTP/1.1 200 OK\r\n\r\n", b"\x16\x03\x03\x40\x00" + b"\0" * 16_384, b""):

        def script(loop: Loop, data: bytes = data) -> None:
            listener = socket.create_server(("127.0.0.1", 0))

            def connect() -> None:
                with loop.timeout(250_000):
                    Connection.open(
                        loop,
                        listener.getsockname()[:2],
                        tls=TlsClientSettings(client_context(AUTHORITY), NAME),
                    )

            attempt = loop.spawn(lambda: pytest.raises((OSError, WaitTimeoutError), connect))
            loop.sleep(1000)
            peer, _ = listener.accept()
            if data:
                peer.sendall(data)
            began_us = loop.now()
            attempt.join()
            assert loop.now() - began_us <= 250_000
            peer.close()
            listener.close()

        run(script)
