"""HTTP client connections, each of which carries one exchange at a time."""

from __future__ import annotations

from walnutpost.eventloop import Loop, Stream, TlsClientSettings, TrafficObserver, connect, connect_tls
from walnutpost.http.messages import Limits, Response, encode_request
from walnutpost.http.parsing import ResponseParser

HOST_HEADER = "localhost"


class Connection:
    """A connection to a server. Close it after an error, or when `is_reusable` is false."""

    def __init__(self, stream: Stream, limits: Limits | None = None) -> None:
        self.stream = stream
        self._parser = ResponseParser(limits or Limits())
        self.is_reusable = True
        self.last_used_us = 0  # maintained by the code that keeps idle connections

    @classmethod
    def open(
        cls,
        loop: Loop,
        address: tuple[str, int],
        traffic_observer: TrafficObserver | None = None,
        role: str = "",
        limits: Limits | None = None,
        tls: TlsClientSettings | None = None,
    ) -> Connection:
        """Connect to a server, with TLS if there are settings for it. Raises OSError."""
        if tls is not None:
            return cls(connect_tls(loop, address, tls, traffic_observer, role), limits)
        return cls(connect(loop, address, traffic_observer, role), limits)

    def exchange(self, data: bytes) -> Response:
        """Send an encoded request and wait for the complete response.

        Raises OSError if the connection fails or ends early, and HttpMessageError if the response is invalid
        or exceeds a limit. In either case, the server may have acted on the request.
        """
        self.is_reusable = False
        self.stream.send_all(data)
        parser = self._parser
        while parser.response is None:
            received = self.stream.recv(wait_first=True)
            if not received:
                raise ConnectionResetError("connection closed before the whole response")
            parser.feed(received)
        response = parser.response
        parser.response = None
        self.is_reusable = response.keep_alive
        return response

    def request(
        self, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Response:
        """Encode and send a request, and wait for the response. Raises the same errors as `exchange`."""
        return self.exchange(encode_request(method, target, HOST_HEADER, headers or {}, body))

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()
