"""Outgoing connections. Use `Loop.timeout` to limit how long connecting takes."""

from __future__ import annotations

import errno
import os
import socket

from walnutpost.eventloop.loop import Loop
from walnutpost.eventloop.streams import Address, Stream, TrafficObserver


def connect(
    loop: Loop, address: Address, traffic_observer: TrafficObserver | None = None, role: str = ""
) -> Stream:
    """Connect to `address` and return the stream. Raises OSError if the connection fails."""
    sock = connect_socket(loop, address)
    try:
        return Stream(loop, sock, traffic_observer, role)
    except OSError:  # the connection was lost before its addresses could be read
        sock.close()
        raise


def start_connect(address: Address) -> tuple[socket.socket, int]:
    """Start connecting a non-blocking socket to `address`; return it and the errno of `connect_ex`.

    The errno is 0 if the socket is connected, and EINPROGRESS if the connection is being established.
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
    """Connect to `address` and return the non-blocking socket. Raises OSError."""
    sock, code = start_connect(address)
    try:
        if code == errno.EINPROGRESS:
            loop.wait_writable(sock.fileno())
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        return sock
    except BaseException:
        loop.stop_watching(sock.fileno())
        sock.close()
        raise
