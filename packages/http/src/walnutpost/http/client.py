"""The client's side: one connection, one exchange at a time."""

from __future__ import annotations

from walnutpost.eventloop import Loop, Stream, TlsClientSettings, TrafficObserver, connect, connect_tls
from walnutpost.http.messages import Limits, Response, encode_request
from walnutpost.http.parsing import ResponseParser

HOST = "localhost"


class Connection:
    """A connection to a server; after an error, or when it is not `is_reusable`, it is to be closed."""

    def __init__(self, stream: Stream, limits: Limits | None = None) -> None:
        self.stream = stream
        self._parser = ResponseParser(limits or Limits())
        self.is_reusable = True
        self.last_used_us = 0  # set by whoever keeps it for later

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
        """Connect to a server, under TLS where there are settings for it. Raises OSError."""
        if tls is not None:
            return cls(connect_tls(loop, address, tls, traffic_observer, role), limits)
        return cls(connect(loop, address, traffic_observer, role), limits)

    def exchange(self, data: bytes) -> Response:
        """Send an encoded request and wait for its complete response.

        Raises OSError where the connection breaks or ends early, HttpMessageError where what comes is no
        HTTP. Either way the request may have been acted on.
        """
        self.is_reusable = False
        self.stream.send_all(data)
        parser = self._parser
        while parser.response is None:
            part = self.stream.recv(wait_first=True)
            if not part:
                raise ConnectionResetError("closed before the whole answer")
            parser.feed(part)
        response = parser.response
        parser.response = None
        self.is_reusable = response.keep_alive
        return response

    def request(
        self, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Response:
        """Encode and send a request and wait for its response; raises as `exchange`."""
        return self.exchange(encode_request(method, target, HOST, headers or {}, body))

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()
