"""Shared helpers for HTTP tests: a server with a virtual clock and an echo handler."""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from walnutpost.eventloop import Loop, VirtualClock, WaitTimeoutError, connect
from walnutpost.http import Exchange, HttpMessageError, Limits, Response, Server
from walnutpost.http.server import start_server

SECOND = 1_000_000
LOCAL = ("127.0.0.1", 0)
LIMITS = Limits(
    max_head_bytes=4096,
    max_body_bytes=10_000,
    head_timeout_us=10 * SECOND,
    body_timeout_us=30 * SECOND,
    idle_timeout_us=75 * SECOND,
)
ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.EHOSTUNREACH,
    errno.EINTR,
    errno.ENETDOWN,
    errno.EPERM,
    errno.EPROTO,
    errno.ETIMEDOUT,
)


def error_response(error: HttpMessageError) -> Response:
    """Return a response with the status and the text of the error."""
    return Response(error.status, body=str(error).encode())


def echo(exchange: Exchange) -> Response:
    """Respond with the body of the request, and its target in the header x-target."""
    return Response(200, {"x-target": exchange.request.target.decode()}, exchange.request.body)


def run_with_server(
    script: Callable[[Loop, Server], Any],
    handler: Callable[[Exchange], Any] = echo,
    limits: Limits | None = LIMITS,
    log: Any = None,
) -> Any:
    """Start a server and run `script` with it; fail if the loop reports an error."""
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))

    def main() -> Any:
        return script(loop, start_server(loop, LOCAL, handler, error_response, limits, log=log))

    result = loop.run(main)
    assert not errors, errors
    return result


def response_bytes(loop: Loop, server: Server, data: bytes) -> bytes:
    """Send `data` and return everything received until the server closes, or for at most a minute."""
    stream = connect(loop, server.address)
    received = b""
    stream.send_all(data)
    with suppress(OSError, WaitTimeoutError), loop.timeout(60 * SECOND):
        while part := stream.recv():
            received += part
    stream.close()
    return received
