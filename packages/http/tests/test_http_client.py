"""Client connections: truncated responses."""

from __future__ import annotations

import socket

import pytest

from walnutpost.eventloop import Loop, Stream
from walnutpost.http import Connection, Server
from walnutpost.testsupport.http.fixtures import run_with_server


def test_truncated_response_is_never_accepted_as_complete() -> None:
    def script(loop: Loop, server: Server) -> None:
        for cut in range(1, len(complete)):
            peer, local = socket.socketpair()
            peer.sendall(complete[:cut])
            peer.close()
            local.setblocking(False)
            with pytest.raises(OSError):
                Connection(Stream(loop, local)).exchange(b"x")
            local.close()

    complete = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
    run_with_server(script)
