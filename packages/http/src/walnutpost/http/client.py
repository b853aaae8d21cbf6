"""The client's side: one connection, one exchange at a time."""

from __future__ import annotations

from walnutpost.eventloop import Loop, Stream, Tap, TlsClientSettings, connect, connect_tls
from walnutpost.http.messages import BadMessage, Limits, Response, ResponseReader, encode_request


class Connection:
    """A connection to a server; after an error or a response without keep-alive it is to be closed."""

    def __init__(self, stream: Stream, limits: Limits | None = None) -> None:
        self.stream = stream
        self._reader = ResponseReader(limits or Limits())
        self.reusable = True
        self.used_at = 0

    @classmethod
    def open(
        cls,
        loop: Loop,
        address: tuple[str, int],
        tap: Tap | None = None,
        role: str = "",
        limits: Limits | None = None,
        secure: TlsClientSettings | None = None,
    ) -> Connection:
        if secure is not None:
            return cls(connect_tls(loop, address, secure, tap, role), limits)
        return cls(connect(loop, address, tap, role), limits)

    def exchange(self, data: bytes) -> Response:
        """Sends an encoded request and waits for its whole response.

        Raises OSError where the connection breaks or ends early, BadMessage where what comes is no HTTP.
        Either way the request may have been acted on.
        """
        self.reusable = False
        self.stream.send_all(data)
        reader = self._reader
        while reader.done is None:
            part = self.stream.recv(wait_first=True)
            if not part:
                raise ConnectionResetError("closed before the whole answer")
            reader.feed(part)
        response, reader.done = reader.done, None
        self.reusable = response.keep_alive
        return response

    def ask(
        self, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Response:
        return self.exchange(encode_request(method, target, "localhost", headers or {}, body))

    def close(self) -> None:
        self.stream.close()


__all__ = ["BadMessage", "Connection"]
