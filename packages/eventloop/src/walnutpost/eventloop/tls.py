"""Streams under TLS: the standard library's `ssl` on memory buffers, the loop's sockets around it."""

from __future__ import annotations

import socket
import ssl
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from walnutpost.eventloop.connecting import connect_socket
from walnutpost.eventloop.errors import StreamClosedError, TlsTruncatedError
from walnutpost.eventloop.loop import Loop
from walnutpost.eventloop.streams import CHUNK_BYTES, Address, Stream, TrafficObserver


@dataclass(frozen=True, slots=True)
class TlsClientSettings:
    """How a client makes a connection.

    The other end's certificate must name `server_name`, whatever its address. `session` of an earlier
    connection to the same end saves most of the handshake.
    """

    context: ssl.SSLContext
    server_name: str
    session: ssl.SSLSession | None = None


class TlsStream(Stream):
    """A stream whose bytes are encrypted. Traffic observers see the plaintext.

    Errors of TLS are OSErrors; TlsTruncatedError is one of them.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        context: ssl.SSLContext,
        server_name: str | None = None,
        session: ssl.SSLSession | None = None,
        traffic_observer: TrafficObserver | None = None,
        role: str = "",
    ) -> None:
        """Take over a connected socket: a client's where `server_name` is given, else a server's."""
        super().__init__(loop, sock, traffic_observer, role)
        self.context = context
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        is_server = server_name is None
        self._tls = context.wrap_bio(self._incoming, self._outgoing, is_server, server_name, session)
        self._plaintext = b""  # decrypted, and not asked for yet
        self._has_ended = False  # the other end has closed its side of TLS

    @property
    def session(self) -> ssl.SSLSession | None:
        """For the next connection; TLS 1.3 gives it with the first answer."""
        return self._tls.session

    @property
    def is_resumed(self) -> bool:
        """Whether the handshake resumed an earlier session."""
        return bool(self._tls.session_reused)

    def handshake(self) -> None:
        """Prove the other end's identity; bound its time with `Loop.timeout`.

        Raises OSError where that end can't be trusted, or doesn't speak TLS. No byte of what is sent later
        has left then.
        """
        while True:
            try:
                self._tls.do_handshake()
                self._flush(has_payload=False)
                return
            except ssl.SSLWantReadError:
                self._flush(has_payload=False)
                self._add_ciphertext(self._recv_from_kernel(CHUNK_BYTES))
            except ssl.SSLError:
                with suppress(OSError):
                    self._sock.send(self._outgoing.read())  # the alert that gives the reason
                raise

    def recv(self, max_bytes: int = CHUNK_BYTES, wait_first: bool = False) -> bytes:
        """Return the next decrypted bytes, once there are any; none at the end of the stream."""
        if wait_first and not (self._has_buffered_input() or self.closed):
            self._loop.wait_readable(self._fd)
        while True:
            if self.closed:
                raise StreamClosedError
            data = self._decrypt(max_bytes)
            if data is not None:
                if self._traffic_observer is not None and data:
                    self._traffic_observer.on_bytes(self._number, False, data)
                return data
            self._flush(has_payload=False)  # an answer that TLS itself owes
            self._add_ciphertext(self._recv_from_kernel(CHUNK_BYTES))

    def send_all(self, data: bytes) -> None:
        """Encrypt all of `data` and hand it to the kernel."""
        if self.closed:
            raise StreamClosedError
        self._flush(has_payload=False)
        view = memoryview(data)
        while view:
            count = self._tls.write(view[:CHUNK_BYTES])
            if self._traffic_observer is not None:
                self._traffic_observer.on_bytes(self._number, True, bytes(view[:count]))
            view = view[count:]
            self._flush(has_payload=True)

    def send_now(self, data: bytes) -> bytes:
        """Return all of `data`: a record of which the kernel takes a part must be waited for."""
        return data

    def is_stale(self) -> bool:
        """Whether the other end has closed, or sent unexpected bytes: unfit for a new exchange."""
        return self.closed or self._read_ahead() is not None

    def has_ended(self) -> bool:
        """Whether the other end has closed, or the connection broke; False while unread bytes are there."""
        return self._read_ahead() is True

    def close(self) -> None:
        """Send close_notify, without waiting for the other end's, and close."""
        if not self.closed:
            with suppress(OSError, ValueError):
                self._tls.unwrap()
            with suppress(OSError):
                self._sock.send(self._outgoing.read())
        super().close()

    def _has_buffered_input(self) -> bool:
        """Whether there is input in the buffers, for which the socket does not become readable."""
        return bool(self._plaintext or self._tls.pending() or self._incoming.pending)

    def _decrypt(self, max_bytes: int) -> bytes | None:
        """Return decrypted bytes; none at the end, None where more must come first."""
        if self._plaintext:
            data = self._plaintext[:max_bytes]
            self._plaintext = self._plaintext[max_bytes:]
            return data
        if self._has_ended:
            return b""
        try:
            data = self._tls.read(max_bytes)
        except ssl.SSLWantReadError:
            return None
        except ssl.SSLZeroReturnError:
            data = b""
        except ssl.SSLEOFError:
            raise TlsTruncatedError from None
        self._has_ended = not data
        return data

    def _add_ciphertext(self, data: bytes) -> None:
        if data:
            self._incoming.write(data)
        else:
            self._incoming.write_eof()

    def _flush(self, has_payload: bool) -> None:
        """Send what TLS has written; `has_payload`: some of it is the caller's, which the peer may see."""
        while self._outgoing.pending:
            view = memoryview(self._outgoing.read())
            while view:
                view = view[self._send_to_kernel(view) :]
                self.has_sent = self.has_sent or has_payload

    def _read_ahead(self) -> bool | None:
        """Return without waiting whether the other end has closed; None where nothing shows.

        Session tickets come unasked, and show nothing.
        """
        try:
            with suppress(BlockingIOError):
                while not self._incoming.eof:
                    self._add_ciphertext(self._sock.recv(CHUNK_BYTES))
        except OSError:
            return True
        try:
            if not self._plaintext:
                self._plaintext = self._decrypt(CHUNK_BYTES) or b""
        except OSError:
            return True
        if self._has_ended:
            return True
        return False if self._plaintext else None


def connect_tls(
    loop: Loop,
    address: Address,
    settings: TlsClientSettings,
    traffic_observer: TrafficObserver | None = None,
    role: str = "",
) -> TlsStream:
    """Return a connection whose other end has proved its name; bound its time with `Loop.timeout`.

    Raises OSError if there is none.
    """
    sock = connect_socket(loop, address)
    stream = TlsStream(
        loop, sock, settings.context, settings.server_name, settings.session, traffic_observer, role
    )
    try:
        stream.handshake()
        return stream
    except BaseException:
        Stream.close(stream)
        raise


def tls_stream_factory(
    context: ssl.SSLContext,
) -> Callable[[Loop, socket.socket, TrafficObserver | None, str], TlsStream]:
    """Return what builds a Listener's streams; whoever serves a stream makes the handshake."""
    return lambda loop, sock, traffic_observer, role: TlsStream(
        loop, sock, context, traffic_observer=traffic_observer, role=role
    )
