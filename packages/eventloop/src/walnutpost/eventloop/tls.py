"""TLS streams: the standard library's `ssl` module on memory buffers, with I/O by the loop's sockets."""

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
    """The settings of a client connection.

    The server's certificate must be valid for `server_name`, whatever the server's address. With the
    `session` of an earlier connection to the same server, most of the handshake is skipped.
    """

    context: ssl.SSLContext
    server_name: str
    session: ssl.SSLSession | None = None


class TlsStream(Stream):
    """An encrypted stream. Traffic observers see the plaintext.

    TLS errors are OSErrors, including TlsTruncatedError.
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
        """Take ownership of a connected socket, as a client if `server_name` is given, else as a server."""
        super().__init__(loop, sock, traffic_observer, role)
        self.context = context
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        is_server = server_name is None
        self._tls = context.wrap_bio(self._incoming, self._outgoing, is_server, server_name, session)
        self._plaintext = b""  # decrypted but not yet returned by `recv`
        self._has_ended = False  # the peer has sent close_notify

    @property
    def session(self) -> ssl.SSLSession | None:
        """The session for the next connection; with TLS 1.3, it is known after the first response."""
        return self._tls.session

    @property
    def is_resumed(self) -> bool:
        """Whether the handshake resumed an earlier session."""
        return bool(self._tls.session_reused)

    def handshake(self) -> None:
        """Perform the handshake, which verifies the peer; limit its time with `Loop.timeout`.

        Raises OSError if the peer can't be verified or doesn't speak TLS. No application data has been sent
        then.
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
                    self._sock.send(self._outgoing.read())  # the alert that states the reason
                raise

    def recv(self, max_bytes: int = CHUNK_BYTES, wait_first: bool = False) -> bytes:
        """Wait for data and return it decrypted; return b"" at the end of the stream."""
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
            self._flush(has_payload=False)  # a reply of the TLS protocol itself
            self._add_ciphertext(self._recv_from_kernel(CHUNK_BYTES))

    def send_all(self, data: bytes) -> None:
        """Encrypt all of `data` and pass it to the kernel, waiting as needed."""
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

    def send_nowait(self, data: bytes) -> bytes:
        """Return all of `data` unsent: sending the rest of a partly sent TLS record could require a wait."""
        return data

    def is_stale(self) -> bool:
        """Whether the stream is unfit for a new exchange: the peer has closed it or sent unexpected bytes."""
        return self.closed or self._read_ahead() is not None

    def has_ended(self) -> bool:
        """Whether the peer has closed the stream or the connection failed; False while data is unread."""
        return self._read_ahead() is True

    def close(self) -> None:
        """Send close_notify and close, without waiting for the peer's close_notify."""
        if not self.closed:
            with suppress(OSError, ValueError):
                self._tls.unwrap()
            with suppress(OSError):
                self._sock.send(self._outgoing.read())
        super().close()

    def _has_buffered_input(self) -> bool:
        """Whether the buffers hold input, which the socket no longer reports as readable."""
        return bool(self._plaintext or self._tls.pending() or self._incoming.pending)

    def _decrypt(self, max_bytes: int) -> bytes | None:
        """Return decrypted bytes: b"" at the end, None if more input is needed first."""
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
        """Send the pending output of TLS; `has_payload` says that it includes application data."""
        while self._outgoing.pending:
            view = memoryview(self._outgoing.read())
            while view:
                view = view[self._send_to_kernel(view) :]
                self.has_sent = self.has_sent or has_payload

    def _read_ahead(self) -> bool | None:
        """Read without waiting; return True if the stream has ended, False if it has data, else None.

        Session tickets arrive unrequested and don't count as data.
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
    """Connect to `address`, verify the server's name and return the stream.

    Limit the time with `Loop.timeout`. Raises OSError if the connection or the handshake fails.
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
    """Return a `stream_factory` for Listener. The code that serves a stream has to call `handshake`."""
    return lambda loop, sock, traffic_observer, role: TlsStream(
        loop, sock, context, traffic_observer=traffic_observer, role=role
    )
