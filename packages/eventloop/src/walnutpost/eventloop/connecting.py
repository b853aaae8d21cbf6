"""Outgoing connections. Bound their time with `Loop.timeout`."""

from __future__ import annotations

import errno
import os
import socket

from walnutpost.eventloop.loop import Loop
from walnutpost.eventloop.streams import Address, Stream, TrafficObserver


def connect(
    loop: Loop, address: Address, traffic_observer: TrafficObserver | None = None, role: str = ""
) -> Stream:
    """Return a connection to `address`. Raises OSError if there is none."""
    sock = connect_socket(loop, address)
    try:
        return Stream(loop, sock, traffic_observer, role)
    except OSError:  # gone before its addresses could be read
        sock.close()
        raise


def start_connect(address: Address) -> tuple[socket.socket, int]:
    """Return a non-blocking socket on its way to `address`, and the error number of the first step.

    That number is 0 or EINPROGRESS where the connection may yet succeed.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, sock.connect_ex(address)
    except BaseException:
        sock.close()
        raise


def connect_socket(loop: Loop, address: Address) -> socket.socket:
    """Return a connected non-blocking socket. Raises OSError."""
    sock, code = start_connect(address)
    try:
        if code == errno.EINPROGRESS:
            loop.wait_writable(sock.fileno())
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        return sock
    except BaseException:
        loop.forget(sock.fileno())
        sock.close()
        raise
