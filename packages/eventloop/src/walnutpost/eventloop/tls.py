"""Streams under TLS: the standard library's `ssl` on memory buffers, the scheduler's sockets around it."""

from __future__ import annotations

import errno
import socket
import ssl
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from walnutpost.eventloop.scheduler import Loop
from walnutpost.eventloop.sockets import CHUNK, Address, Stream, Tap, connected


@dataclass(frozen=True, slots=True)
class Secure:
    """How a connection is made: `name` is what the other end's certificate must name, whatever its
    address. `session` of an earlier connection to the same end saves most of the handshake."""

    context: ssl.SSLContext
    name: str
    session: ssl.SSLSession | None = None


class TlsStream(Stream):
    """A stream whose bytes are encrypted. Taps see the plaintext. Errors of TLS are OSErrors; an end without
    TLS's own farewell is a reset, as it may have been cut short by somebody else."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        context: ssl.SSLContext,
        name: str | None = None,
        session: ssl.SSLSession | None = None,
        tap: Tap | None = None,
        role: str = "",
    ) -> None:
        """A client's where `name` is given, else a server's."""
        super().__init__(loop, sock, tap, role)
        self.context = context
        self._incoming, self._outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        server = name is None
        self._tls = context.wrap_bio(self._incoming, self._outgoing, server, name, session)
        self._read = b""  # decrypted, and not asked for yet
        self._ended = False

    @property
    def session(self) -> ssl.SSLSession | None:
        """For the next connection; TLS 1.3 gives it with the first answer."""
        return self._tls.session

    @property
    def resumed(self) -> bool:
        return bool(self._tls.session_reused)

    def handshake(self) -> None:
        """Raises OSError where the other end can't be trusted, or doesn't speak TLS; bound its time with
        `Loop.timeout`. Nothing of what is sent later has left then."""
        while True:
            try:
                self._tls.do_handshake()
                self._flush(False)
                return
            except ssl.SSLWantReadError:
                self._flush(False)
                self._feed(self._from_kernel(CHUNK))
            except ssl.SSLError:
                with suppress(OSError):
                    self._sock.send(self._outgoing.read())  # the alert that says why
                raise

    def recv(self, most: int = CHUNK, later: bool = False) -> bytes:
        # What waits in the buffers makes no socket readable.
        if later and not (self._read or self._tls.pending() or self._incoming.pending or self.closed):
            self._loop.wait_readable(self._fd)
        while True:
            if self.closed:
                raise ConnectionAbortedError(errno.ECONNABORTED, "closed here")
            data = self._take(most)
            if data is not None:
                if self._tap is not None and data:
                    self._tap.bytes(self._number, False, data)
                return data
            self._flush(False)  # an answer that TLS itself owes
            self._feed(self._from_kernel(CHUNK))

    def _take(self, most: int) -> bytes | None:
        """Decrypted bytes; none at the end, None where more must come first."""
        if self._read:
            data, self._read = self._read[:most], self._read[most:]
            return data
        if self._ended:
            return b""
        try:
            data = self._tls.read(most)
        except ssl.SSLWantReadError:
            return None
        except ssl.SSLZeroReturnError:
            data = b""
        except ssl.SSLEOFError:
            raise ConnectionResetError(errno.ECONNRESET, "cut off without TLS's farewell") from None
        self._ended = not data
        return data

    def _feed(self, data: bytes) -> None:
        if data:
            self._incoming.write(data)
        else:
            self._incoming.write_eof()

    def _flush(self, of_caller: bool) -> None:
        """`of_caller`: what leaves holds bytes of the caller's, so the other end may have seen some."""
        while self._outgoing.pending:
            view = memoryview(self._outgoing.read())
            while view:
                view = view[self._to_kernel(view) :]
                self.sent_any = self.sent_any or of_caller

    def send_all(self, data: bytes) -> None:
        if self.closed:
            raise ConnectionAbortedError(errno.ECONNABORTED, "closed here")
        self._flush(False)
        view = memoryview(data)
        while view:
            count = self._tls.write(view[:CHUNK])
            if self._tap is not None:
                self._tap.bytes(self._number, True, bytes(view[:count]))
            view = view[count:]
            self._flush(True)

    def send_now(self, data: bytes) -> bytes:
        return data  # a record that the kernel takes half of must be waited for

    def _look(self) -> bool | None:
        """Reads ahead without waiting: whether the other end has closed; None where nothing tells. Session
        tickets come unasked, and say nothing."""
        try:
            with suppress(BlockingIOError):
                while not self._incoming.eof:
                    self._feed(self._sock.recv(CHUNK))
        except OSError:
            return True
        try:
            if not self._read:
                self._read = self._take(CHUNK) or b""
        except OSError:
            return True
        if self._ended:
            return True
        return False if self._read else None

    def stale(self) -> bool:
        return self.closed or self._look() is not None

    def ended(self) -> bool:
        return self._look() is True

    def close(self) -> None:
        if not self.closed:
            with suppress(OSError, ValueError):
                self._tls.unwrap()  # the other end's farewell is not waited for
            with suppress(OSError):
                self._sock.send(self._outgoing.read())
        super().close()


def connect_secure(
    loop: Loop, address: Address, secure: Secure, tap: Tap | None = None, role: str = ""
) -> TlsStream:
    """A connection whose other end has proved its name; OSError if there is none. Bound it with
    `Loop.timeout`."""
    sock = connected(loop, address)
    stream = TlsStream(loop, sock, secure.context, secure.name, secure.session, tap, role)
    try:
        stream.handshake()
        return stream
    except BaseException:
        Stream.close(stream)
        raise


def serving(context: ssl.SSLContext) -> Callable[[Loop, socket.socket, Tap | None, str], TlsStream]:
    """For a Listener; the handshake is made by whoever serves the stream."""
    return lambda loop, sock, tap, role: TlsStream(loop, sock, context, tap=tap, role=role)
