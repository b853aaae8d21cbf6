"""Listening sockets, which go on accepting whatever fails."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from contextlib import suppress

from walnutpost.eventloop.accept_errors import AcceptBackoff, SpareDescriptor
from walnutpost.eventloop.loop import Loop
from walnutpost.eventloop.streams import Address, Stream, TrafficObserver

SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
NO_SPARE_PAUSE_US = 50_000  # after an accept failed for want of descriptors and no spare one was left
MAX_ACCEPT_NOW_PAUSES = 5  # after which `Listener.accept_now` raises
BACKLOG = 1024


class Listener:
    """A listening socket. Port 0 takes any free one; `address` says which.

    It takes connections until it is closed, whatever `accept` raises. An error of `accept` concerns the
    connection at the head of the queue (accept(2): errors of the network pending on it, a firewall's rule),
    which is then gone, or the machine for a while (memory, descriptors). So the next connections are tried at
    once, MAX_ACCEPT_ERRORS_IN_ROW of them. Where all fail there is a pause: the descriptor stays readable
    meanwhile, so nothing shows when the cause has passed, and only time, or `close`, ends it.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        traffic_observer: TrafficObserver | None = None,
        role: str = "",
        backlog: int = BACKLOG,
        stream_factory: Callable[..., Stream] = Stream,
        free_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        """Listen on `address`. Raises OSError.

        `stream_factory` builds a stream of loop, socket, traffic observer and role; `free_descriptor` is
        called when no descriptor is left, to close something that can be spared, and returns whether it did.
        """
        self._loop = loop
        self._stream_factory = stream_factory
        self._free_descriptor = free_descriptor
        # Called with each error that `accept` of the socket raises while it is open.
        self.on_accept_error: Callable[[OSError], object] = lambda error: None
        self._traffic_observer = traffic_observer
        self._role = role
        self._sock = _listening_socket(address, backlog)
        self.address: Address = self._sock.getsockname()[:2]
        self._spare = SpareDescriptor()
        self.rejected_connections = 0  # closed at once for want of descriptors
        self.accept_errors = 0  # raised by `accept` of the socket, since the start
        self._backoff = AcceptBackoff()
        self._end_pause_callbacks: set[Callable[[], None]] = set()  # how to end each of those that run

    @property
    def closed(self) -> bool:
        """Whether it has been closed."""
        return self._sock.fileno() < 0

    def accept(self, rejection: bytes = b"") -> Stream:
        """Return the next connection. Raises OSError only once the listener is closed.

        Without a free descriptor, connections are sent `rejection` and closed at once, on a descriptor
        reserved for this, instead of being left to hang in the backlog.
        """
        while True:
            try:
                stream = self._accept_queued(rejection)
            except OSError:
                if self.closed:
                    raise
                self._pause()
                continue
            if stream is not None:
                return stream
            self._loop.wait_readable(self._sock.fileno())

    def accept_now(self) -> Stream | None:
        """Return the next connection that the kernel has queued, or None where the queue is empty.

        For the time before `close`, which would reset those connections. Raises OSError where none could be
        had for MAX_ACCEPT_NOW_PAUSES pauses.
        """
        for _ in range(MAX_ACCEPT_NOW_PAUSES):
            try:
                return self._accept_queued(b"")
            except OSError:
                if self.closed:
                    raise
                self._pause()
        return self._accept_queued(b"")

    def close(self) -> None:
        """Close; the kernel resets the connections that are queued. Tasks that accept get an OSError."""
        if not self.closed:
            self._loop.forget(self._sock.fileno())
            self._sock.close()
            for end_pause in list(self._end_pause_callbacks):
                end_pause()
        self._spare.release()

    def _accept_queued(self, rejection: bytes) -> Stream | None:
        """Return the next connection, or None where the queue is empty.

        Raises OSError after MAX_ACCEPT_ERRORS_IN_ROW errors.
        """
        while True:
            self._loop.count_operation()  # first: a task cancelled in here must own no connection
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                self._backoff.record_success()
                return None
            except OSError as error:
                if self.closed:
                    raise
                self._record_error(error)
                if error.errno in SHORTAGE_ERRORS and not self._free_descriptor():
                    self._reject_next(rejection)
                continue
            self._backoff.record_success()
            stream = self._make_stream(sock)
            if stream is not None:
                return stream

    def _make_stream(self, sock: socket.socket) -> Stream | None:
        """Return None where the connection has gone before its addresses could be read."""
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return self._stream_factory(self._loop, sock, self._traffic_observer, self._role)
        except OSError:
            sock.close()
            return None

    def _record_error(self, error: OSError) -> None:
        """Count it; raise it where a pause is due."""
        self.accept_errors += 1
        is_pause_due = self._backoff.record_error()
        self.on_accept_error(error)
        if is_pause_due:
            raise error

    def _pause(self) -> None:
        """Wait for the backoff, or until `close`."""
        pause_us = self._backoff.next_pause_us()
        task, token = self._loop.begin_wait()

        def end() -> None:
            self._loop.wake(task, token)

        timer = self._loop.call_later(pause_us, end)
        self._end_pause_callbacks.add(end)
        try:
            self._loop.park()
        finally:
            timer.cancel()
            self._end_pause_callbacks.discard(end)

    def _reject_next(self, rejection: bytes) -> None:
        """Answer the next connection on the spare descriptor, and close it."""
        if self._spare.is_reserved:
            self._spare.release()
            with suppress(OSError):  # another thread or process took the descriptor: next round
                self._reject_on_free_descriptor(rejection)
        else:
            self._loop.sleep(NO_SPARE_PAUSE_US)
        if not self.closed:
            self._spare.reserve()
        self._loop.yield_now()

    def _reject_on_free_descriptor(self, rejection: bytes) -> None:
        sock, _ = self._sock.accept()
        self.rejected_connections += 1
        self._backoff.record_success()
        sock.setblocking(False)
        with suppress(OSError):  # it has gone: nothing is owed
            sock.send(rejection)
            sock.shutdown(socket.SHUT_WR)
        sock.close()


def _listening_socket(address: Address, backlog: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
