"""Stream sockets on the loop."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from walnutpost.eventloop.errors import StreamClosedError
from walnutpost.eventloop.loop import Loop

Address = tuple[str, int]  # IPv4 address and port
CHUNK_BYTES = 65536
NO_LINGER = b"\1\0\0\0\0\0\0\0"  # struct linger {1, 0}: close(2) then resets the connection (socket(7))


class TrafficObserver(Protocol):
    """Sees the bytes of both directions: what the sockets carried, or under TLS the plaintext of it."""

    def on_opened(self, stream: int, role: str, local: Address, remote: Address) -> None:
        """Record a new stream under its number."""

    def on_bytes(self, stream: int, sent: bool, data: bytes) -> None:
        """Record bytes that were sent, or received."""

    def on_closed(self, stream: int) -> None:
        """Record that the stream was closed on this side."""


class Stream:
    """A connected socket. One task reads it at a time, and one writes.

    Methods raise StreamClosedError after `close`, and the system's OSError where the connection broke.
    """

    _count = 0

    def __init__(
        self, loop: Loop, sock: socket.socket, traffic_observer: TrafficObserver | None = None, role: str = ""
    ) -> None:
        """Take over a connected socket that never blocks. Raises OSError if it has lost its peer already."""
        self._loop = loop
        self._sock = sock
        self._fd = sock.fileno()
        self._traffic_observer = traffic_observer
        self._number = self._fd
        self.closed = False
        self.has_sent = False  # whether the kernel ever took a byte; if not, the other end saw none
        if traffic_observer is not None:
            Stream._count += 1
            self._number = Stream._count
            traffic_observer.on_opened(self._number, role, sock.getsockname()[:2], sock.getpeername()[:2])

    @property
    def fd(self) -> int:
        """The descriptor's number, also after it has been closed."""
        return self._fd

    def recv(self, max_bytes: int = CHUNK_BYTES, wait_first: bool = False) -> bytes:
        """Return the next bytes, once there are any; none at the end of the stream.

        `wait_first`: probably nothing is there yet, so it saves the attempt to read before it waits.
        """
        if wait_first and not self.closed:
            self._loop.wait_readable(self._fd)
        data = self._recv_from_kernel(max_bytes)
        if self._traffic_observer is not None and data:
            self._traffic_observer.on_bytes(self._number, False, data)
        return data

    def recv_now(self, max_bytes: int = CHUNK_BYTES) -> bytes | None:
        """Return what the kernel has, without waiting: none at the end, None where nothing is there."""
        if self.closed:
            raise StreamClosedError
        try:
            data = self._sock.recv(max_bytes)
        except BlockingIOError:
            return None
        if self._traffic_observer is not None and data:
            self._traffic_observer.on_bytes(self._number, False, data)
        return data

    def send_all(self, data: bytes) -> None:
        """Hand all of `data` to the kernel."""
        view = memoryview(data)
        while view:
            count = self._send_to_kernel(view)
            self.has_sent = True
            if self._traffic_observer is not None:
                self._traffic_observer.on_bytes(self._number, True, bytes(view[:count]))
            view = view[count:]

    def send_now(self, data: bytes) -> bytes:
        """Hand over what the kernel takes without waiting; return the rest, usually none."""
        if self.closed:
            raise StreamClosedError
        try:
            count = self._sock.send(data)
        except BlockingIOError:
            return data
        self.has_sent = True
        if self._traffic_observer is not None:
            self._traffic_observer.on_bytes(self._number, True, data[:count])
        self._loop.count_operation()
        return data[count:]

    def is_stale(self) -> bool:
        """Whether the other end has closed, or sent unexpected bytes: unfit for a new exchange."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return self.closed
        except OSError:
            return True
        return True

    def has_ended(self) -> bool:
        """Whether the other end has closed, or the connection broke; False while unread bytes are there."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def on_readable(self, callback: Callable[[], object] | None) -> None:
        """Call `callback` once when there is something to read, or the end; None withdraws it."""
        if not self.closed:
            self._loop.on_readable(self._fd, callback)

    def on_writable(self, callback: Callable[[], object] | None) -> None:
        """Call `callback` once when the kernel takes bytes, or the connection broke; None withdraws it."""
        if not self.closed:
            self._loop.on_writable(self._fd, callback)

    def end_writing(self) -> None:
        """Let the other end see that nothing more comes; what it sends can still be read."""
        if self.closed:
            raise StreamClosedError
        self._sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Close so that the other end sees a reset, not an orderly end."""
        if not self.closed:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        Stream.close(self)

    def close(self) -> None:
        """Close; waits of other tasks for this stream end."""
        if not self.closed:
            self.closed = True
            self._loop.forget(self._fd)
            self._sock.close()
            if self._traffic_observer is not None:
                self._traffic_observer.on_closed(self._number)

    def _recv_from_kernel(self, max_bytes: int) -> bytes:
        """Return what the kernel has, as soon as it has something; none at the end."""
        while True:
            if self.closed:
                raise StreamClosedError
            try:
                data = self._sock.recv(max_bytes)
            except BlockingIOError:
                self._loop.wait_readable(self._fd)
                continue
            self._loop.count_operation()
            return data

    def _send_to_kernel(self, view: memoryview) -> int:
        """Return how much of it the kernel took, as soon as it took some."""
        while True:
            if self.closed:
                raise StreamClosedError
            try:
                count = self._sock.send(view)
            except BlockingIOError:
                self._loop.wait_writable(self._fd)
                continue
            self._loop.count_operation()
            return count
