"""Client connections: what counts as a response."""

from __future__ import annotations

import socket

import pytest

from walnutpost.eventloop import Loop, Stream
from walnutpost.http import Connection, Server
from walnutpost.testsupport.http.fixtures import run_with_server


def test_interrupted_response_is_never_taken_for_a_complete_one() -> None:
    def script(loop: Loop, server: Server) -> None:
        for cut in range(1, len(complete)):
            peer, ours = socket.socketpair()
            peer.sendall(complete[:cut])
            peer.close()
            ours.setblocking(False)
            with pytest.raises(OSError):
                Connection(Stream(loop, ours)).exchange(b"x")
            ours.close()

    complete = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
    run_with_server(script)
