"""Stream sockets for tasks of the event loop."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from walnutpost.eventloop.errors import StreamClosedError
from walnutpost.eventloop.loop import Loop

Address = tuple[str, int]  # IPv4 address and port
CHUNK_BYTES = 65536
ZERO_LINGER = b"\1\0\0\0\0\0\0\0"  # struct linger {1, 0}: makes close(2) reset the connection (socket(7))


class TrafficObserver(Protocol):
    """Receives a copy of the bytes sent and received on streams; with TLS, the plaintext."""

    def on_opened(self, stream: int, role: str, local: Address, remote: Address) -> None:
        """Record a new stream with its number."""

    def on_bytes(self, stream: int, sent: bool, data: bytes) -> None:
        """Record bytes that were sent, or received if `sent` is false."""

    def on_closed(self, stream: int) -> None:
        """Record that the stream was closed on this side."""


class Stream:
    """A connected socket. Only one task may read at a time, and only one may write.

    Methods raise StreamClosedError after `close`, and the system's OSError if the connection fails.
    """

    _last_number = 0  # of the streams with a traffic observer

    def __init__(
        self, loop: Loop, sock: socket.socket, traffic_observer: TrafficObserver | None = None, role: str = ""
    ) -> None:
        """Take ownership of a connected non-blocking socket. Raises OSError if the peer is already gone."""
        self._loop = loop
        self._sock = sock
        self._fd = sock.fileno()
        self._traffic_observer = traffic_observer
        self._number = self._fd
        self.closed = False
        self.has_sent = False  # whether the kernel accepted any byte; if not, the peer received none
        if traffic_observer is not None:
            Stream._last_number += 1
            self._number = Stream._last_number
            traffic_observer.on_opened(self._number, role, sock.getsockname()[:2], sock.getpeername()[:2])

    @property
    def fd(self) -> int:
        """The descriptor number, even after the stream was closed."""
        return self._fd

    def recv(self, max_bytes: int = CHUNK_BYTES, wait_first: bool = False) -> bytes:
        """Wait for data and return it; return b"" at the end of the stream.

        With `wait_first`, wait for the socket before the first attempt to read. This saves a system call if
        probably no data is there yet.
        """
        if wait_first and not self.closed:
            self._loop.wait_readable(self._fd)
        data = self._recv_from_kernel(max_bytes)
        if self._traffic_observer is not None and data:
            self._traffic_observer.on_bytes(self._number, False, data)
        return data

    def recv_nowait(self, max_bytes: int = CHUNK_BYTES) -> bytes | None:
        """Return the data that the kernel has, without waiting: b"" at the end, None if there is none yet."""
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
        """Pass all of `data` to the kernel, waiting as needed."""
        view = memoryview(data)
        while view:
            count = self._send_to_kernel(view)
            self.has_sent = True
            if self._traffic_observer is not None:
                self._traffic_observer.on_bytes(self._number, True, bytes(view[:count]))
            view = view[count:]

    def send_nowait(self, data: bytes) -> bytes:
        """Pass as much to the kernel as it accepts without waiting; return the rest, usually b""."""
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
        """Whether the stream is unfit for a new exchange: the peer has closed it or sent unexpected bytes."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return self.closed
        except OSError:
            return True
        return True

    def has_ended(self) -> bool:
        """Whether the peer has closed the stream or the connection failed; False while data is unread."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def on_readable(self, callback: Callable[[], object] | None) -> None:
        """Call `callback` once when there is data or the stream has ended; None removes the callback."""
        if not self.closed:
            self._loop.on_readable(self._fd, callback)

    def on_writable(self, callback: Callable[[], object] | None) -> None:
        """Call `callback` once when the stream is writable or has failed; None removes the callback."""
        if not self.closed:
            self._loop.on_writable(self._fd, callback)

    def shutdown_write(self) -> None:
        """Shut down the sending side; data from the peer can still be read."""
        if self.closed:
            raise StreamClosedError
        self._sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Close the stream so that the peer sees a reset instead of an orderly end."""
        if not self.closed:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        Stream.close(self)

    def close(self) -> None:
        """Close the stream, and wake the tasks that wait for it."""
        if not self.closed:
            self.closed = True
            self._loop.stop_watching(self._fd)
            self._sock.close()
            if self._traffic_observer is not None:
                self._traffic_observer.on_closed(self._number)

    def _recv_from_kernel(self, max_bytes: int) -> bytes:
        """Wait for data from the kernel and return it; return b"" at the end of the stream."""
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
        """Wait until the kernel accepts some bytes; return how many."""
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
