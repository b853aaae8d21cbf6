"""Loopback addresses for child processes of tests."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

PORTS = 12_000, 32_000  # below Linux's usual net.ipv4.ip_local_port_range


def free_address() -> str:
    """Return a loopback address that nobody listens on.

    Its port is one that the system gives to no other socket, since it must stay free until a process listens
    on it, and while that process is replaced.
    """
    while True:
        port = random.randrange(*PORTS)
        with suppress(OSError), socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
