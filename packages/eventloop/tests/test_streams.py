"""Streams on sockets that fail, or move few bytes at a time; a step that failed leaves nothing open."""

from __future__ import annotations

import errno
import os
import socket
from typing import Any

import pytest

from walnutpost.eventloop import Listener, Loop, connect
from walnutpost.testsupport.eventloop.fixtures import LOCAL, close_all, run_with_faults
from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults, at, scripted_sockets, to

SETUP_FAULTS = [
    pytest.param(operation, number, id=f"{operation}-{errno.errorcode[number]}")
    for operation, number in (
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


@pytest.mark.parametrize(("operation", "number"), SETUP_FAULTS)
def test_socket_that_cannot_be_set_up_raises_and_leaves_no_descriptor(operation: Any, number: int) -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        open_before = len(os.listdir("/proc/self/fd"))
        faults.fail(operation, number)
        with pytest.raises(OSError) as raised:
            Listener(loop, LOCAL) if operation == "bind" else connect(loop, listener.address)
        assert raised.value.errno == number
        assert len(os.listdir("/proc/self/fd")) == open_before
        client = connect(loop, listener.address)
        close_all(client, listener.accept(), listener)

    run_with_faults(script)


def test_short_reads_and_writes_change_no_byte() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        faults.shorten("recv", 1, when=at(listener.address))
        faults.shorten("send", 3, when=to(listener.address))
        client = connect(loop, listener.address)
        stream, data = listener.accept(), os.urandom(1000)
        client.send_all(data)
        rest = client.send_now(data)
        assert rest == data[3:]
        assert client.has_sent
        client.send_all(rest)
        client.end_writing()
        got = list(iter(stream.recv, b""))
        assert b"".join(got) == data * 2
        assert {len(part) for part in got} == {1}
        close_all(listener, client, stream)

    run_with_faults(script)


def test_unscripted_socket_is_a_real_one() -> None:
    with scripted_sockets() as faults:
        faults.fail("connect", errno.EPERM, when=to(("127.0.0.1", 1)))
        near, far = socket.socketpair()
        near.send(b"as ever")
        assert far.recv(10) == b"as ever"
        assert not faults.failed
        close_all(near, far)
