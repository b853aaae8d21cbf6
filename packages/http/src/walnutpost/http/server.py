"""The server's side: connections, limits, one request after another on each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from ssl import SSLContext
from typing import Any

from walnutpost.eventloop import (
    AcceptErrorLog,
    Cancelled,
    Listener,
    Loop,
    Stream,
    Tap,
    TaskGroup,
    TlsStream,
    WaitTimeoutError,
    tls_stream_factory,
)
from walnutpost.http.messages import (
    BadMessage,
    Limits,
    Request,
    RequestReader,
    Response,
    encode_response,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LINGER = 1_000_000  # how long a refused sender may go on sending before the connection is cut
LINGER_BYTES = 16 << 20  # and how much of it is read, so that the answer is not lost to a reset


@dataclass(slots=True)
class Exchange:
    """One request and the connection it came on."""

    request: Request
    stream: Stream
    started: int  # when its last byte was read


Handler = Callable[[Exchange], Response | None]
Refusal = Callable[[BadMessage], Response]


class Server:
    """Serves `handler` on a listener; each connection is a task. A handler that returns None has dealt
    with the connection itself, which is then closed.
    """

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        handler: Handler,
        refusal: Refusal,
        limits: Limits | None = None,
        connections: int = 100_000,
    ) -> None:
        self._loop = loop
        self._listener = listener
        self._handler = handler
        self._refusal = refusal
        self._limits = limits or Limits()
        self._most = connections
        self.group = TaskGroup(loop)
        self.streams: dict[Stream, bool] = {}  # whether a request is being served on it
        self.draining = False
        self.context: SSLContext | None = None

    @property
    def address(self) -> tuple[str, int]:
        return self._listener.address

    def serve(self) -> None:
        """Accepts until cancelled, or until the listener is closed."""
        sorry = encode_response(self._refusal(BadMessage(503, "no free descriptor")))
        while True:
            stream = self._listener.accept(sorry)
            if len(self.streams) >= self._most:
                self._try_send(stream, sorry)
                stream.close()
                continue
            self.streams[stream] = False
            self.group.spawn(self._connection, stream, name="connection")

    def stop_accepting(self) -> None:
        """No new connections; idle ones are closed, busy ones after their present answer."""
        self.draining = True
        self._listener.close()
        for stream, busy in list(self.streams.items()):
            if not busy:
                stream.close()

    def _connection(self, stream: Stream) -> None:
        reader = RequestReader(self._limits)
        try:
            if isinstance(stream, TlsStream):
                with self._loop.timeout(self._limits.head_time):
                    stream.handshake()
            self._exchanges(stream, reader)
        except (OSError, WaitTimeoutError):
            pass  # the client has gone, or is too slow for an answer
        finally:
            self.streams.pop(stream, None)
            stream.close()

    def _exchanges(self, stream: Stream, reader: RequestReader) -> None:
        served = False
        while not stream.closed:
            try:
                request = self._next(stream, reader, served)
            except BadMessage as error:
                self._turn_off(stream, error)
                return
            if request is None:
                return
            self.streams[stream] = True
            response = self._handler(Exchange(request, stream, self._loop.now()))
            if response is None:
                return
            response.keep_alive = response.keep_alive and request.keep_alive and not self.draining
            rest = stream.send_now(encode_response(response))
            if rest:
                with self._loop.timeout(self._limits.body_time):
                    stream.send_all(rest)
            self.streams[stream], served = False, True
            if not response.keep_alive:
                return

    def _next(self, stream: Stream, reader: RequestReader, served: bool) -> Request | None:
        """The next whole request; `served`: not the first one of its connection. The times run from its
        first byte, so that a byte a second wins nothing.
        """
        loop, limits = self._loop, self._limits
        began: int | None = None
        continued = False
        while not reader.ready:
            if reader.begun and began is None:
                began = loop.now()
            if began is None:
                left = limits.idle_time
            else:
                allowed = limits.head_time + (limits.body_time if reader.head_done else 0)
                left = began + allowed - loop.now()
            if left <= 0:
                raise BadMessage(408, "the request took too long to arrive")
            try:
                with loop.timeout(left):
                    data = stream.recv(wait_first=served)
            except WaitTimeoutError:
                if began is None:
                    return None
                raise BadMessage(408, "the request took too long to arrive") from None
            if not data:
                return None
            try:
                reader.feed(data)
            except BadMessage:
                if not reader.ready:
                    raise
                self._broken_tail(reader)
            if reader.wants_continue and not continued:
                continued = True
                stream.send_all(CONTINUE)
        return reader.ready.popleft()

    @staticmethod
    def _broken_tail(reader: RequestReader) -> None:
        """Whole requests before a broken one are served; the last of them ends the connection."""
        reader.ready[-1].keep_alive = False

    def _turn_off(self, stream: Stream, error: BadMessage) -> None:
        response = self._refusal(error)
        response.keep_alive = False
        self._try_send(stream, encode_response(response))
        read = 0
        try:
            with self._loop.timeout(LINGER):
                while read < LINGER_BYTES and (data := stream.recv()):
                    read += len(data)
        except (OSError, WaitTimeoutError):
            pass

    def _try_send(self, stream: Stream, data: bytes) -> None:
        try:
            with self._loop.timeout(LINGER):
                stream.send_all(data)
        except (OSError, WaitTimeoutError):
            pass


def serve_on(
    loop: Loop,
    address: tuple[str, int],
    handler: Handler,
    refusal: Refusal,
    limits: Limits | None = None,
    tap: Tap | None = None,
    role: str = "",
    context: SSLContext | None = None,
    log: Any = None,
) -> Server:
    """A server that already accepts, as a task of its own; under TLS where there is a context. Failed accepts
    go to `log`.
    """
    make = tls_stream_factory(context) if context is not None else Stream
    listener = Listener(loop, address, tap, role, stream_factory=make)
    if log is not None:
        listener.on_accept_error = AcceptErrorLog(loop, log)
    server = Server(loop, listener, handler, refusal, limits)
    server.context = context

    def accepting() -> None:
        try:
            server.serve()
        except (OSError, Cancelled):
            if not server.draining:
                raise

    loop.spawn(accepting, name="accept")
    return server
