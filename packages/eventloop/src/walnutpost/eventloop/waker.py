"""Wakes a polling loop from a signal or another thread, through a socket pair that the loop polls."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress

from walnutpost.eventloop.poller import Poller

MAX_READ_BYTES = 4096


class Waker:
    """A socket pair that is opened on first use. Each signal and each finished job writes one byte."""

    def __init__(self, poller: Poller, on_wake: Callable[[bytes], None]) -> None:
        """`on_wake` is called between tasks with the bytes that were written."""
        self._poller = poller
        self._on_wake = on_wake
        self._ends: tuple[socket.socket, socket.socket] | None = None

    @property
    def is_open(self) -> bool:
        """Whether the socket pair is open."""
        return self._ends is not None

    def open(self) -> socket.socket:
        """Open the socket pair if necessary; return its writing end."""
        if self._ends is None:
            self._ends = socket.socketpair()
            for end in self._ends:
                end.setblocking(False)
            self._register_reader()
        return self._ends[1]

    def close(self) -> None:
        """Close the socket pair."""
        if self._ends is not None:
            for end in self._ends:
                self._poller.stop_watching(end.fileno())
                end.close()
            self._ends = None

    def _register_reader(self) -> None:
        assert self._ends is not None
        self._poller.set_reader(self._ends[0].fileno(), self._read)

    def _read(self) -> None:
        assert self._ends is not None
        try:
            data = self._ends[0].recv(MAX_READ_BYTES)
        except BlockingIOError:
            data = b""
        self._register_reader()  # before on_wake: if a callback raises, later signals must still be seen
        self._on_wake(data)


def send_wake_up(sender: socket.socket) -> None:
    """Wake the loop by a byte on the writing end, from any thread; do nothing once the loop is closed."""
    with suppress(OSError):  # the socket is closed, or full of wake-ups already
        sender.send(b"\0")
