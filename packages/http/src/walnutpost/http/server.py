"""The server's side: connections, limits, one request after another on each."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
from ssl import SSLContext

from walnutpost.eventloop import (
    AcceptErrorLog,
    Cancelled,
    Listener,
    Logger,
    Loop,
    Stream,
    TaskGroup,
    TlsStream,
    TrafficObserver,
    WaitTimeoutError,
    tls_stream_factory,
)
from walnutpost.http.errors import HttpMessageError
from walnutpost.http.messages import Limits, Request, Response, encode_response
from walnutpost.http.parsing import RequestParser

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LINGER_TIMEOUT_US = 1_000_000  # how long a rejected sender may go on sending before the connection is cut
MAX_LINGER_BYTES = 16 << 20  # how much of it is read, so that the answer is not lost to a reset
MAX_CONNECTIONS = 100_000
TOO_SLOW = "the request took too long to arrive"


@dataclass(slots=True)
class Exchange:
    """One request and the connection it came on."""

    request: Request
    stream: Stream
    received_us: int  # when its last byte was read


Handler = Callable[[Exchange], Response | None]
ErrorResponder = Callable[[HttpMessageError], Response]


class Server:
    """Serves `handler` on a listener; each connection is a task.

    A handler that returns None has dealt with the connection itself, which is then closed.
    """

    def __init__(
        self,
        loop: Loop,
        listener: Listener,
        handler: Handler,
        error_responder: ErrorResponder,
        limits: Limits | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """`error_responder` makes the response to a message that can't be served."""
        self._loop = loop
        self._listener = listener
        self._handler = handler
        self._error_responder = error_responder
        self._limits = limits or Limits()
        self._max_connections = max_connections
        self.tasks = TaskGroup(loop)
        self.streams: dict[Stream, bool] = {}  # whether a request is being served on it
        self.is_draining = False
        self.context: SSLContext | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self._listener.address

    def serve(self) -> None:
        """Accept until cancelled, or until the listener is closed, which is an OSError."""
        unavailable = HttpMessageError(HTTPStatus.SERVICE_UNAVAILABLE, "no free descriptor")
        rejection = encode_response(self._error_responder(unavailable))
        while True:
            stream = self._listener.accept(rejection)
            if len(self.streams) >= self._max_connections:
                self._try_send(stream, rejection)
                stream.close()
                continue
            self.streams[stream] = False
            self.tasks.spawn(self._serve_connection, stream, name="connection")

    def stop_accepting(self) -> None:
        """Take no new connections; idle ones are closed, busy ones after their present answer."""
        self.is_draining = True
        self._listener.close()
        for stream, is_busy in list(self.streams.items()):
            if not is_busy:
                stream.close()

    def _serve_connection(self, stream: Stream) -> None:
        parser = RequestParser(self._limits)
        try:
            if isinstance(stream, TlsStream):
                with self._loop.timeout(self._limits.head_timeout_us):
                    stream.handshake()
            self._serve_requests(stream, parser)
        except (OSError, WaitTimeoutError):
            pass  # the client has gone, or is too slow for an answer
        finally:
            self.streams.pop(stream, None)
            stream.close()

    def _serve_requests(self, stream: Stream, parser: RequestParser) -> None:
        is_first = True
        while not stream.closed:
            try:
                request = self._read_request(stream, parser, is_first)
            except HttpMessageError as error:
                self._reject(stream, error)
                return
            if request is None:
                return
            self.streams[stream] = True
            response = self._handler(Exchange(request, stream, self._loop.now()))
            if response is None:
                return
            response.keep_alive = response.keep_alive and request.keep_alive and not self.is_draining
            self._send_response(stream, response)
            self.streams[stream] = False
            is_first = False
            if not response.keep_alive:
                return

    def _send_response(self, stream: Stream, response: Response) -> None:
        rest = stream.send_now(encode_response(response))
        if rest:
            with self._loop.timeout(self._limits.body_timeout_us):
                stream.send_all(rest)

    def _read_request(self, stream: Stream, parser: RequestParser, is_first: bool) -> Request | None:
        """Return the next complete request; None where the client ended, or was idle for too long.

        The times run from a request's first byte, so that a byte a second wins nothing.
        """
        began_us: int | None = None
        has_continued = False
        while not parser.ready:
            if parser.has_partial and began_us is None:
                began_us = self._loop.now()
            data = self._read_part(stream, parser, is_first, began_us)
            if not data:
                return None
            self._parse(parser, data)
            if parser.wants_continue and not has_continued:
                has_continued = True
                stream.send_all(CONTINUE)
        return parser.ready.popleft()

    def _read_part(
        self, stream: Stream, parser: RequestParser, is_first: bool, began_us: int | None
    ) -> bytes | None:
        """Return the next bytes; none at the end, None after an idle time without a request."""
        time_left_us = self._time_left_us(parser, began_us)
        if time_left_us <= 0:
            raise HttpMessageError(HTTPStatus.REQUEST_TIMEOUT, TOO_SLOW)
        try:
            with self._loop.timeout(time_left_us):
                return stream.recv(wait_first=not is_first)
        except WaitTimeoutError:
            if began_us is None:
                return None
            raise HttpMessageError(HTTPStatus.REQUEST_TIMEOUT, TOO_SLOW) from None

    def _time_left_us(self, parser: RequestParser, began_us: int | None) -> int:
        limits = self._limits
        if began_us is None:
            return limits.idle_timeout_us
        allowed_us = limits.head_timeout_us + (limits.body_timeout_us if parser.has_head else 0)
        return began_us + allowed_us - self._loop.now()

    @staticmethod
    def _parse(parser: RequestParser, data: bytes) -> None:
        """Parse bytes; complete requests before a broken one are served, the last ends the connection."""
        try:
            parser.feed(data)
        except HttpMessageError:
            if not parser.ready:
                raise
            parser.ready[-1].keep_alive = False

    def _reject(self, stream: Stream, error: HttpMessageError) -> None:
        """Answer a message that can't be served, and read on for a while, so that the answer arrives."""
        response = self._error_responder(error)
        response.keep_alive = False
        self._try_send(stream, encode_response(response))
        read_bytes = 0
        with suppress(OSError, WaitTimeoutError), self._loop.timeout(LINGER_TIMEOUT_US):
            while read_bytes < MAX_LINGER_BYTES and (data := stream.recv()):
                read_bytes += len(data)

    def _try_send(self, stream: Stream, data: bytes) -> None:
        with suppress(OSError, WaitTimeoutError), self._loop.timeout(LINGER_TIMEOUT_US):
            stream.send_all(data)


def serve_on(
    loop: Loop,
    address: tuple[str, int],
    handler: Handler,
    error_responder: ErrorResponder,
    limits: Limits | None = None,
    traffic_observer: TrafficObserver | None = None,
    role: str = "",
    context: SSLContext | None = None,
    log: Logger | None = None,
) -> Server:
    """Return a server that already accepts, as a task of its own; under TLS where there is a context.

    Failed accepts go to `log`.
    """
    stream_factory = tls_stream_factory(context) if context is not None else Stream
    listener = Listener(loop, address, traffic_observer, role, stream_factory=stream_factory)
    if log is not None:
        listener.on_accept_error = AcceptErrorLog(loop, log)
    server = Server(loop, listener, handler, error_responder, limits)
    server.context = context

    def accept_until_closed() -> None:
        try:
            server.serve()
        except (OSError, Cancelled):
            if not server.is_draining:
                raise

    loop.spawn(accept_until_closed, name="accept")
    return server
