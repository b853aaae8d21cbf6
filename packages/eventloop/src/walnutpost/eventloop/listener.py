"""Listening sockets that keep accepting after errors."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from contextlib import suppress

from walnutpost.eventloop.accept_errors import AcceptBackoff, SpareDescriptor
from walnutpost.eventloop.loop import Loop
from walnutpost.eventloop.streams import Address, Stream, TrafficObserver

RESOURCE_EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
NO_DESCRIPTOR_PAUSE_US = 50_000  # pause if accept fails with no descriptor left and none in reserve
MAX_ACCEPT_NOW_PAUSES = 5  # `Listener.accept_now` raises if accept still fails after this many pauses
LISTEN_BACKLOG = 1024


class Listener:
    """A listening socket. If the port is 0, the system assigns one; `address` has the actual port.

    The listener accepts connections until it is closed, whatever `accept` raises. An `accept` error has one
    of two causes. Either it concerns the connection at the head of the queue, which is then lost (accept(2):
    pending network errors, firewall rules), or the machine is temporarily short of memory or descriptors. The
    listener therefore retries at once, and pauses after a number of consecutive errors (see AcceptBackoff).
    The socket stays readable while `accept` fails, so polling cannot tell when the cause is gone: a pause
    ends only when its time is over or on `close`.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        traffic_observer: TrafficObserver | None = None,
        role: str = "",
        backlog: int = LISTEN_BACKLOG,
        stream_factory: Callable[..., Stream] = Stream,
        free_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        """Listen on `address`. Raises OSError.

        `stream_factory` builds a stream from the loop, socket, traffic observer and role. `free_descriptor`
        is called when no descriptor is left; it may close one that is not needed, and returns whether it did.
        """
        self._loop = loop
        self._stream_factory = stream_factory
        self._free_descriptor = free_descriptor
        # Called with each error of the socket's `accept` while the listener is open.
        self.on_accept_error: Callable[[OSError], object] = lambda error: None
        self._traffic_observer = traffic_observer
        self._role = role
        self._sock = _listening_socket(address, backlog)
        self.address: Address = self._sock.getsockname()[:2]
        self._spare = SpareDescriptor()
        self.rejected_connections = 0  # closed at once because no descriptor was free
        self.accept_errors = 0  # errors of the socket's `accept` so far
        self._backoff = AcceptBackoff()
        self._end_pause_callbacks: set[Callable[[], None]] = set()  # each ends one running pause

    @property
    def closed(self) -> bool:
        """Whether the listener is closed."""
        return self._sock.fileno() < 0

    def accept(self, rejection: bytes = b"") -> Stream:
        """Wait for the next connection and return it. Raises OSError only once the listener is closed.

        If no descriptor is free, the listener accepts connections on its spare descriptor, sends them
        `rejection` and closes them at once, so that clients don't hang in the backlog.
        """
        while True:
            try:
                stream = self._try_accept(rejection)
            except OSError:
                if self.closed:
                    raise
                self._pause()
                continue
            if stream is not None:
                return stream
            self._loop.wait_readable(self._sock.fileno())

    def accept_now(self) -> Stream | None:
        """Return the next connection from the kernel's queue, or None if the queue is empty.

        Call this before `close`, which resets the queued connections. Raises OSError if `accept` still fails
        after MAX_ACCEPT_NOW_PAUSES pauses.
        """
        for _ in range(MAX_ACCEPT_NOW_PAUSES):
            try:
                return self._try_accept(b"")
            except OSError:
                if self.closed:
                    raise
                self._pause()
        return self._try_accept(b"")

    def close(self) -> None:
        """Close the listener. The kernel resets queued connections; waiting `accept` calls raise OSError."""
        if not self.closed:
            self._loop.stop_watching(self._sock.fileno())
            self._sock.close()
            for end_pause in list(self._end_pause_callbacks):
                end_pause()
        self._spare.release()

    def _try_accept(self, rejection: bytes) -> Stream | None:
        """Return the next connection, or None if the queue is empty.

        Raises OSError when a pause is due after consecutive errors.
        """
        while True:
            # Before accept, since this may yield: a task cancelled here must not lose an accepted connection.
            self._loop.count_operation()
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                self._backoff.record_success()
                return None
            except OSError as error:
                if self.closed:
                    raise
                self._record_error(error)
                if error.errno in RESOURCE_EXHAUSTION_ERRORS and not self._free_descriptor():
                    self._reject_next(rejection)
                continue
            self._backoff.record_success()
            stream = self._make_stream(sock)
            if stream is not None:
                return stream

    def _make_stream(self, sock: socket.socket) -> Stream | None:
        """Return the stream, or None if the connection was lost before its addresses could be read."""
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return self._stream_factory(self._loop, sock, self._traffic_observer, self._role)
        except OSError:
            sock.close()
            return None

    def _record_error(self, error: OSError) -> None:
        """Count and report the error; raise it if a pause is due."""
        self.accept_errors += 1
        is_pause_due = self._backoff.record_error()
        self.on_accept_error(error)
        if is_pause_due:
            raise error

    def _pause(self) -> None:
        """Wait for the backoff time or until `close`."""
        pause_us = self._backoff.next_pause_us()
        task, token = self._loop.begin_wait()

        def end_pause() -> None:
            self._loop.wake(task, token)

        timer = self._loop.call_later(pause_us, end_pause)
        self._end_pause_callbacks.add(end_pause)
        try:
            self._loop.park()
        finally:
            timer.cancel()
            self._end_pause_callbacks.discard(end_pause)

    def _reject_next(self, rejection: bytes) -> None:
        """Accept the next connection on the spare descriptor, send the rejection and close it."""
        if self._spare.is_reserved:
            self._spare.release()
            with suppress(OSError):  # another thread or process took the descriptor; retry in the next round
                self._reject_on_free_descriptor(rejection)
        else:
            self._loop.sleep(NO_DESCRIPTOR_PAUSE_US)
        if not self.closed:
            self._spare.reserve()
        self._loop.yield_now()

    def _reject_on_free_descriptor(self, rejection: bytes) -> None:
        sock, _ = self._sock.accept()
        self.rejected_connections += 1
        self._backoff.record_success()
        sock.setblocking(False)
        with suppress(OSError):  # the client has disconnected
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
