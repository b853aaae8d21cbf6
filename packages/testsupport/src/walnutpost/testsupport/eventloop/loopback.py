"""Loopback addresses for child processes that tests start."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

PORT_RANGE = 12_000, 32_000  # below Linux's default net.ipv4.ip_local_port_range


def free_address() -> str:
    """Return a loopback address on which no process listens.

    The port is outside the range from which the system assigns ports, so that it stays free until a process
    listens on it, and while that process is restarted.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        with suppress(OSError), socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
