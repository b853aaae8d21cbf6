"""Ends a poll from outside the loop's thread: a socket pair whose reading end the loop polls."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress

from walnutpost.eventloop.poller import Poller

MAX_READ_BYTES = 4096


class Waker:
    """A socket pair, opened when first needed. Signals and finished work write a byte each."""

    def __init__(self, poller: Poller, on_wake: Callable[[bytes], None]) -> None:
        """`on_wake` gets the bytes that were written, between tasks."""
        self._poller = poller
        self._on_wake = on_wake
        self._ends: tuple[socket.socket, socket.socket] | None = None

    @property
    def is_open(self) -> bool:
        """Whether there is a socket pair."""
        return self._ends is not None

    def open(self) -> socket.socket:
        """Return the writing end, of a new socket pair if there is none."""
        if self._ends is None:
            self._ends = socket.socketpair()
            for end in self._ends:
                end.setblocking(False)
            self._listen()
        return self._ends[1]

    def close(self) -> None:
        """Close the socket pair."""
        if self._ends is not None:
            for end in self._ends:
                self._poller.forget(end.fileno())
                end.close()
            self._ends = None

    def _listen(self) -> None:
        assert self._ends is not None
        self._poller.set_reader(self._ends[0].fileno(), self._read)

    def _read(self) -> None:
        assert self._ends is not None
        try:
            data = self._ends[0].recv(MAX_READ_BYTES)
        except BlockingIOError:
            data = b""
        self._listen()  # first: what a callback raises must not leave the next signal unheard
        self._on_wake(data)


def send_wake_up(sender: socket.socket) -> None:
    """Write to the writing end, from any thread; without effect once the loop has been closed."""
    with suppress(OSError):  # also where it is full of wake-ups already
        sender.send(b"\0")
