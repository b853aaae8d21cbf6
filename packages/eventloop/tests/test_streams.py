"""Streams on sockets that fail or that transfer few bytes per call; failures leak no descriptor."""

from __future__ import annotations

import errno
import os
import socket
from typing import Any

import pytest

from walnutpost.eventloop import Listener, Loop, connect
from walnutpost.testsupport.eventloop.fixtures import LOCAL, close_all, run_with_faults
from walnutpost.testsupport.eventloop.scripted_sockets import (
    SocketFaults,
    bound_to,
    connected_to,
    scripted_sockets,
)

SETUP_FAULTS = [
    pytest.param(operation, error_number, id=f"{operation}-{errno.errorcode[error_number]}")
    for operation, error_number in (
        ("socket", errno.EMFILE),
        ("socket", errno.ENFILE),
        ("socket", errno.ENOBUFS),
        ("bind", errno.EADDRINUSE),
        ("bind", errno.EADDRNOTAVAIL),
        ("bind", errno.EPERM),
        ("connect", errno.EAGAIN),
        ("connect", errno.EADDRNOTAVAIL),
        ("connect", errno.ENETUNREACH),
        ("connect", errno.EPERM),
    )
]


@pytest.mark.parametrize(("operation", "error_number"), SETUP_FAULTS)
def test_failed_socket_setup_raises_and_leaks_no_descriptor(operation: Any, error_number: int) -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        open_before = len(os.listdir("/proc/self/fd"))
        faults.fail(operation, error_number)
        with pytest.raises(OSError) as raised:
            Listener(loop, LOCAL) if operation == "bind" else connect(loop, listener.address)
        assert raised.value.errno == error_number
        assert len(os.listdir("/proc/self/fd")) == open_before
        client = connect(loop, listener.address)
        close_all(client, listener.accept(), listener)

    run_with_faults(script)


def test_data_arrives_unchanged_despite_short_reads_and_writes() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        faults.shorten("recv", 1, when=bound_to(listener.address))
        faults.shorten("send", 3, when=connected_to(listener.address))
        client = connect(loop, listener.address)
        stream, data = listener.accept(), os.urandom(1000)
        client.send_all(data)
        unsent = client.send_nowait(data)
        assert unsent == data[3:]
        assert client.has_sent
        client.send_all(unsent)
        client.shutdown_write()
        received = list(iter(stream.recv, b""))
        assert b"".join(received) == data * 2
        assert {len(part) for part in received} == {1}
        close_all(listener, client, stream)

    run_with_faults(script)


def test_socket_without_a_matching_fault_works_normally() -> None:
    with scripted_sockets() as faults:
        faults.fail("connect", errno.EPERM, when=connected_to(("127.0.0.1", 1)))
        local, peer = socket.socketpair()
        local.send(b"as ever")
        assert peer.recv(10) == b"as ever"
        assert not faults.failed
        close_all(local, peer)
