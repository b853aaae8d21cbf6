"""The HTTP server. Each connection is a task that handles one request after another."""

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
LINGER_TIMEOUT_US = 1_000_000  # time that a rejected client has to stop sending before the close
MAX_LINGER_BYTES = 16 << 20  # input discarded after a rejection, so that a reset doesn't lose the response
MAX_CONNECTIONS = 100_000
REQUEST_TIMEOUT_TEXT = "the request took too long to arrive"


@dataclass(slots=True)
class Exchange:
    """A request and the connection on which it arrived."""

    request: Request
    stream: Stream
    received_us: int  # when the last byte of the request was read


Handler = Callable[[Exchange], Response | None]
ErrorResponder = Callable[[HttpMessageError], Response]


class Server:
    """Serves the connections of a listener with `handler`, each in its own task.

    A handler that returns None has responded on the connection itself; the server then closes it.
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
        """`error_responder` returns the response to a request that is rejected without calling `handler`."""
        self._loop = loop
        self._listener = listener
        self._handler = handler
        self._error_responder = error_responder
        self._limits = limits or Limits()
        self._max_connections = max_connections
        self.tasks = TaskGroup(loop)
        self.streams: dict[Stream, bool] = {}  # value: whether a request is being served
        self.is_draining = False
        self.context: SSLContext | None = None

    @property
    def address(self) -> tuple[str, int]:
        """The address on which the server listens."""
        return self._listener.address

    def serve(self) -> None:
        """Accept connections until cancelled. Raises OSError when the listener is closed."""
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
        """Close the listener and idle connections; close busy connections after their current response."""
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
            pass  # the client has disconnected, or was too slow
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
        remaining = stream.send_nowait(encode_response(response))
        if remaining:
            with self._loop.timeout(self._limits.body_timeout_us):
                stream.send_all(remaining)

    def _read_request(self, stream: Stream, parser: RequestParser, is_first: bool) -> Request | None:
        """Return the next complete request, or None if the client has closed or was idle for too long.

        Timeouts run from the first byte of a request, so that sending slowly does not extend them.
        """
        start_us: int | None = None
        has_sent_continue = False
        while not parser.ready:
            if parser.has_partial and start_us is None:
                start_us = self._loop.now()
            data = self._read_part(stream, parser, is_first, start_us)
            if not data:
                return None
            self._parse(parser, data)
            if parser.wants_continue and not has_sent_continue:
                has_sent_continue = True
                stream.send_all(CONTINUE)
        return parser.ready.popleft()

    def _read_part(
        self, stream: Stream, parser: RequestParser, is_first: bool, start_us: int | None
    ) -> bytes | None:
        """Return the next bytes: b"" at the end of the stream, None after the idle timeout."""
        time_left_us = self._time_left_us(parser, start_us)
        if time_left_us <= 0:
            raise HttpMessageError(HTTPStatus.REQUEST_TIMEOUT, REQUEST_TIMEOUT_TEXT)
        try:
            with self._loop.timeout(time_left_us):
                return stream.recv(wait_first=not is_first)
        except WaitTimeoutError:
            if start_us is None:
                return None
            raise HttpMessageError(HTTPStatus.REQUEST_TIMEOUT, REQUEST_TIMEOUT_TEXT) from None

    def _time_left_us(self, parser: RequestParser, start_us: int | None) -> int:
        limits = self._limits
        if start_us is None:
            return limits.idle_timeout_us
        allowed_us = limits.head_timeout_us + (limits.body_timeout_us if parser.has_head else 0)
        return start_us + allowed_us - self._loop.now()

    @staticmethod
    def _parse(parser: RequestParser, data: bytes) -> None:
        """Parse bytes; if complete requests precede an invalid one, serve them and then close."""
        try:
            parser.feed(data)
        except HttpMessageError:
            if not parser.ready:
                raise
            parser.ready[-1].keep_alive = False

    def _reject(self, stream: Stream, error: HttpMessageError) -> None:
        """Send an error response, then discard input for a while so that the response reaches the client."""
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


def start_server(
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
    """Start a server in a new task and return it; use TLS if there is a `context`.

    Failed accepts are logged to `log`.
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
