"""Stream sockets on the scheduler."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import Any, Protocol

from walnutpost.eventloop.scheduler import Loop

Address = tuple[str, int]
CHUNK = 65536
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_PAUSE = 50_000  # after an accept failed for want of descriptors and no spare one was left
ACCEPT_TRIES = 32  # accepts that may fail one after the other before a pause
ACCEPT_BACKOFF_US, MAX_ACCEPT_BACKOFF_US = 1_000, 20_000  # doubled with each pause in which none succeeded
ACCEPT_NOW_PAUSES = 5  # after which `Listener.accept_now` tells of the error
ACCEPT_LOG_INTERVAL_US = 1_000_000  # between two events of failed accepts in a log


class Tap(Protocol):
    """Sees the bytes of both directions: what the sockets carried, or under TLS the plaintext of it."""

    def opened(self, stream: int, role: str, local: Address, remote: Address) -> None: ...

    def bytes(self, stream: int, sent: bool, data: bytes) -> None: ...

    def closed(self, stream: int) -> None: ...


class Stream:
    """A connected socket. One task reads it at a time, and one writes."""

    _count = 0

    def __init__(self, loop: Loop, sock: socket.socket, tap: Tap | None = None, role: str = "") -> None:
        self._loop = loop
        self._sock = sock
        self._fd = sock.fileno()
        self._tap = tap
        self._number = self._fd
        self.closed = False
        self.sent_any = False  # whether the kernel ever took a byte; if not, the other end saw none
        if tap is not None:
            Stream._count += 1
            self._number = Stream._count
            tap.opened(self._number, role, sock.getsockname()[:2], sock.getpeername()[:2])

    @property
    def fd(self) -> int:
        return self._fd

    def recv(self, most: int = CHUNK, later: bool = False) -> bytes:
        """The next bytes; none at the end of the stream. OSError if the connection broke or was closed
        here. `later`: nothing is expected to be there yet, so it waits before it looks, which saves a
        look.
        """
        if later and not self.closed:
            self._loop.wait_readable(self._fd)
        data = self._from_kernel(most)
        if self._tap is not None and data:
            self._tap.bytes(self._number, False, data)
        return data

    def recv_now(self, most: int = CHUNK) -> bytes | None:
        """What the kernel has, without waiting: none at the end, None where nothing is there."""
        if self.closed:
            raise ConnectionAbortedError(errno.ECONNABORTED, "closed here")
        try:
            data = self._sock.recv(most)
        except BlockingIOError:
            return None
        if self._tap is not None and data:
            self._tap.bytes(self._number, False, data)
        return data

    def _from_kernel(self, most: int) -> bytes:
        """What the kernel has, as soon as it has something; none at the end."""
        while True:
            if self.closed:
                raise ConnectionAbortedError(errno.ECONNABORTED, "closed here")
            try:
                data = self._sock.recv(most)
            except BlockingIOError:
                self._loop.wait_readable(self._fd)
                continue
            self._loop.spent()
            return data

    def _to_kernel(self, view: memoryview) -> int:
        """How much of it the kernel took, as soon as it took some."""
        while True:
            if self.closed:
                raise ConnectionAbortedError(errno.ECONNABORTED, "closed here")
            try:
                count = self._sock.send(view)
            except BlockingIOError:
                self._loop.wait_writable(self._fd)
                continue
            self._loop.spent()
            return count

    def send_all(self, data: bytes) -> None:
        """Hands all of `data` to the kernel; OSError if the connection broke or was closed here."""
        view = memoryview(data)
        while view:
            count = self._to_kernel(view)
            self.sent_any = True
            if self._tap is not None:
                self._tap.bytes(self._number, True, bytes(view[:count]))
            view = view[count:]

    def send_now(self, data: bytes) -> bytes:
        """Hands over what the kernel takes without waiting; returns the rest, mostly none."""
        if self.closed:
            raise ConnectionAbortedError(errno.ECONNABORTED, "closed here")
        try:
            count = self._sock.send(data)
        except BlockingIOError:
            return data
        self.sent_any = True
        if self._tap is not None:
            self._tap.bytes(self._number, True, data[:count])
        self._loop.spent()
        return data[count:]

    def stale(self) -> bool:
        """Whether the other end has closed, or spoken out of turn: not to be used for a new exchange."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return self.closed
        except OSError:
            return True
        return True

    def ended(self) -> bool:
        """Whether the other end has closed, or the connection broke; bytes that wait to be read say no."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def on_readable(self, callback: Callable[[], object] | None) -> None:
        if not self.closed:
            self._loop.on_readable(self._fd, callback)

    def on_writable(self, callback: Callable[[], object] | None) -> None:
        if not self.closed:
            self._loop.on_writable(self._fd, callback)

    def end_writing(self) -> None:
        """Tells the other end that nothing more comes; what it sends can still be read. OSError if the
        connection broke or was closed here."""
        if self.closed:
            raise ConnectionAbortedError(errno.ECONNABORTED, "closed here")
        self._sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Closes so that the other end sees a reset, not an orderly end."""
        if not self.closed:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        Stream.close(self)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._loop.forget(self._fd)
            self._sock.close()
            if self._tap is not None:
                self._tap.closed(self._number)


def connect(loop: Loop, address: Address, tap: Tap | None = None, role: str = "") -> Stream:
    """A connection to `address`; OSError if there is none. Bound it with `Loop.timeout`."""
    sock = connected(loop, address)
    try:
        return Stream(loop, sock, tap, role)
    except OSError:  # gone before it could be named
        sock.close()
        raise


def opening(address: Address) -> tuple[socket.socket, int]:
    """A socket that never waits, on its way to `address`, and the error number of the first step."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock, sock.connect_ex(address)
    except BaseException:
        sock.close()
        raise


def connected(loop: Loop, address: Address) -> socket.socket:
    """A connected socket that never waits by itself."""
    sock, code = opening(address)
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


class AcceptErrorLog:
    """Logs failed accepts as the event `accept_failed`, once a second at the most, with their count."""

    def __init__(self, loop: Loop, log: Any) -> None:
        self._loop = loop
        self._log = log
        self._count = 0
        self._logged_us: int | None = None

    def __call__(self, error: OSError) -> None:
        self._count += 1
        now = self._loop.now()
        if self._logged_us is None or now - self._logged_us >= ACCEPT_LOG_INTERVAL_US:
            self._log.warning("accept_failed", why=repr(error), count=self._count)
            self._logged_us, self._count = now, 0


class Listener:
    """A listening socket. Port 0 takes any free one; `address` tells which.

    It takes connections until it is closed, whatever `accept` raises. An error of `accept` concerns the
    connection at the head of the queue (accept(2): errors of the network pending on it, a firewall's rule),
    which is then gone, or the machine for a while (memory, descriptors). So the next connections are tried at
    once, ACCEPT_TRIES of them. Where all fail there is a pause: the descriptor stays readable meanwhile, so
    nothing tells when the cause has passed, and only time, or `close`, ends it.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        tap: Tap | None = None,
        role: str = "",
        backlog: int = 1024,
        make: Callable[..., Stream] = Stream,
        make_room: Callable[[], bool] = lambda: False,
    ) -> None:
        """`make` builds a stream of loop, socket, tap and role; `make_room` is asked to close something
        that can be spared when no descriptor is left, and says whether it did."""
        self._loop = loop
        self._make = make
        self._make_room = make_room
        # Called with each error that `accept` of the socket raises while it is open.
        self.on_accept_error: Callable[[OSError], object] = lambda error: None
        self._tap = tap
        self._role = role
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(backlog)
            self._sock.setblocking(False)
        except OSError:
            self._sock.close()
            raise
        self.address: Address = self._sock.getsockname()[:2]
        self._spare: int | None = os.open(os.devnull, os.O_RDONLY)
        self.turned_away = 0
        self.accept_errors = 0  # raised by `accept` of the socket, since the start
        self._errors_in_row = 0
        self._backoff_us = ACCEPT_BACKOFF_US
        self._pauses: set[Callable[[], None]] = set()  # how to end each of those that run

    def accept(self, sorry: bytes = b"") -> Stream:
        """The next connection; OSError only once the listener is closed. Without a free descriptor, callers
        are told `sorry` and closed at once, on a spare one kept for this, instead of being left to hang in
        the backlog."""
        while True:
            try:
                stream = self._accepted(sorry)
            except OSError:
                if self.closed:
                    raise
                self._pause()
                continue
            if stream is not None:
                return stream
            self._loop.wait_readable(self._sock.fileno())

    def accept_now(self) -> Stream | None:
        """The next connection that the kernel has taken already, or None where the queue is empty: before
        `close`, which would reset it. OSError where none could be had for ACCEPT_NOW_PAUSES pauses."""
        for _ in range(ACCEPT_NOW_PAUSES):
            try:
                return self._accepted(b"")
            except OSError:
                if self.closed:
                    raise
                self._pause()
        return self._accepted(b"")

    def _accepted(self, sorry: bytes) -> Stream | None:
        """The next connection, or None where the queue is empty; OSError after ACCEPT_TRIES errors."""
        while True:
            self._loop.spent()  # before it: who is cancelled in here must have no connection in hand
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                self._succeeded()
                return None
            except OSError as error:
                if self.closed:
                    raise
                self._failed(error)
                if error.errno in NO_DESCRIPTORS and not self._make_room():
                    self._turn_away(sorry)
                continue
            self._succeeded()
            stream = self._stream(sock)
            if stream is not None:
                return stream

    def _stream(self, sock: socket.socket) -> Stream | None:
        """None where the connection has gone before it could be prepared, or named."""
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return self._make(self._loop, sock, self._tap, self._role)
        except OSError:
            sock.close()
            return None

    def _failed(self, error: OSError) -> None:
        """Counts it; raises it where it is the last of ACCEPT_TRIES in a row."""
        self.accept_errors += 1
        self._errors_in_row += 1
        self.on_accept_error(error)
        if self._errors_in_row >= ACCEPT_TRIES:
            self._errors_in_row = 0
            raise error

    def _succeeded(self) -> None:
        self._errors_in_row = 0
        self._backoff_us = ACCEPT_BACKOFF_US

    def _pause(self) -> None:
        """A backoff that `close` ends."""
        delay, self._backoff_us = self._backoff_us, min(self._backoff_us * 2, MAX_ACCEPT_BACKOFF_US)
        task, token = self._loop.waiting()

        def end() -> None:
            self._loop.wake(task, token)

        timer = self._loop.call_later(delay, end)
        self._pauses.add(end)
        try:
            self._loop.park()
        finally:
            timer.cancel()
            self._pauses.discard(end)

    def _turn_away(self, sorry: bytes) -> None:
        if self._spare is None:
            self._loop.sleep(ACCEPT_PAUSE)
        else:
            os.close(self._spare)
            self._spare = None
            try:
                sock, _ = self._sock.accept()
                self.turned_away += 1
                self._succeeded()
                sock.setblocking(False)
                try:
                    sock.send(sorry)
                    sock.shutdown(socket.SHUT_WR)
                except OSError:
                    pass  # it has gone: nothing is owed
                sock.close()
            except OSError:
                pass  # another thread or process took the descriptor: next round
        if self._spare is None and not self.closed:
            try:
                self._spare = os.open(os.devnull, os.O_RDONLY)
            except OSError:
                self._spare = None
        self._loop.breathe()

    @property
    def closed(self) -> bool:
        return self._sock.fileno() < 0

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            self._loop.forget(self._sock.fileno())
            self._sock.close()
            for end_pause in list(self._pauses):
                end_pause()
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None
