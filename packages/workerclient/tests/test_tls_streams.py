"""TLS streams: session resumption, servers with untrusted certificates, connections that end early."""

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
from walnutpost.http.server import start_server

SERVER_NAME = "worker-7.example.org"
DAY = timedelta(days=1)
NOW = datetime.now(UTC)
AUTHORITY = Authority(NOW)
CERTIFICATE = AUTHORITY.issue(SERVER_NAME)


def make_server_context(certificate: IssuedCertificate, path: Path) -> ssl.SSLContext:
    certificate.write(path, "served")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(path / "served.pem", path / "served.key")
    return context


def make_client_context(authority: Authority) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(cadata=authority.root.decode())
    return context


def run_in_loop(script: Callable[[Loop], None]) -> None:
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))
    loop.run(lambda: script(loop))
    assert not errors, errors


def echo(exchange: Exchange) -> Response:
    return Response(200, {}, exchange.request.body)


def test_requests_of_any_size_pass_over_tls_and_later_connections_resume_the_session(tmp_path: Path) -> None:
    def script(loop: Loop) -> None:
        server = start_server(
            loop,
            ("127.0.0.1", 0),
            echo,
            lambda e: Response(400),
            context=make_server_context(CERTIFICATE, tmp_path),
        )
        context = make_client_context(AUTHORITY)
        session = None
        for connection_number in range(3):
            connection = Connection.open(
                loop, server.address, tls=TlsClientSettings(context, SERVER_NAME, session)
            )
            for size in (0, 10, 900_000):
                body = bytes(n % 251 for n in range(1000)) * (size // 1000) or b"x" * size
                assert connection.exchange(encode_request("POST", "/", "x", {}, body)).body == body
                assert not connection.stream.is_stale()
            stream = connection.stream
            assert isinstance(stream, TlsStream)
            assert stream.is_resumed is (connection_number > 0)
            session = stream.session
            connection.close()
        server.stop_accepting()

    run_in_loop(script)


UNTRUSTED_CERTIFICATES: dict[str, tuple[IssuedCertificate, Authority]] = {
    "another name": (AUTHORITY.issue("worker-8.example.org"), AUTHORITY),
    "expired": (AUTHORITY.issue(SERVER_NAME, -3 * DAY, -DAY), AUTHORITY),
    "not yet valid": (AUTHORITY.issue(SERVER_NAME, DAY, 3 * DAY), AUTHORITY),
    "an unknown root": (Authority(NOW).issue(SERVER_NAME), AUTHORITY),
}


@pytest.mark.parametrize("name", UNTRUSTED_CERTIFICATES)
def test_a_server_with_an_untrusted_certificate_gets_no_request(name: str, tmp_path: Path) -> None:
    certificate, authority = UNTRUSTED_CERTIFICATES[name]
    requests = []

    def handler(exchange: Exchange) -> Response:
        requests.append(exchange)
        return Response(200)

    def script(loop: Loop) -> None:
        context = make_server_context(certificate, tmp_path)
        server = start_server(loop, ("127.0.0.1", 0), handler, lambda e: Response(400), context=context)
        with pytest.raises(ssl.SSLCertVerificationError):
            Connection.open(
                loop, server.address, tls=TlsClientSettings(make_client_context(authority), SERVER_NAME)
            )
        server.stop_accepting()

    run_in_loop(script)
    assert not requests


def test_a_partial_response_raises_a_reset_error_that_tells_truncation_from_a_close(
    tmp_path: Path,
) -> None:
    for is_truncated in (True, False):

        def handler(exchange: Exchange, is_truncated: bool = is_truncated) -> None:
            stream = exchange.stream
            stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf")
            if is_truncated:
                assert isinstance(stream, TlsStream)
                stream._sock.shutdown(socket.SHUT_RDWR)

        def script(loop: Loop, is_truncated: bool = is_truncated) -> None:
            context = make_server_context(CERTIFICATE, tmp_path)
            server = start_server(loop, ("127.0.0.1", 0), handler, lambda e: Response(400), context=context)
            connection = Connection.open(
                loop, server.address, tls=TlsClientSettings(make_client_context(AUTHORITY), SERVER_NAME)
            )
            connection.stream.has_sent = False
            with pytest.raises(
                ConnectionResetError, match="farewell" if is_truncated else "before the whole"
            ):
                connection.request("GET", "/")
            assert connection.stream.has_sent
            assert connection.stream.is_stale()
            server.stop_accepting()

        run_in_loop(script)


def test_a_handshake_fails_in_time_if_the_peer_stalls_or_does_not_speak_tls() -> None:
    for data in (b"HTTP/1.1 200 OK\r\n\r\n", b"\x16\x03\x03\x40\x00" + b"\0" * 16_384, b""):

        def script(loop: Loop, data: bytes = data) -> None:
            listener = socket.create_server(("127.0.0.1", 0))

            def connect() -> None:
                with loop.timeout(250_000):
                    Connection.open(
                        loop,
                        listener.getsockname()[:2],
                        tls=TlsClientSettings(make_client_context(AUTHORITY), SERVER_NAME),
                    )

            connect_task = loop.spawn(lambda: pytest.raises((OSError, WaitTimeoutError), connect))
            loop.sleep(1000)
            peer, _ = listener.accept()
            if data:
                peer.sendall(data)
            started_at_us = loop.now()
            connect_task.join()
            assert loop.now() - started_at_us <= 250_000
            peer.close()
            listener.close()

        run_in_loop(script)
