"""New connections to workers, plain or under TLS."""

from __future__ import annotations

import ssl
from collections.abc import Mapping

from walnutpost.certificates import HandshakeLimiter, HandshakeLimits
from walnutpost.eventloop import Loop, TlsClientSettings, TlsStream, TrafficObserver, WaitTimeoutError
from walnutpost.http import Connection
from walnutpost.workerclient.directory import Address

CAPTURE_ROLE = "link"
"""Role of these connections in captures, which the audit reads."""
HANDSHAKE_RETRY_INTERVAL_US = 5_000
"""How often a connection that is due for a handshake asks the limiter again."""


class Connector:
    """Opens connections within a time limit.

    With a TLS context, workers must prove their names; sessions are cached for resumption, and handshakes are
    limited.
    """

    def __init__(
        self,
        loop: Loop,
        connect_timeout_us: int,
        traffic_observer: TrafficObserver | None,
        context: ssl.SSLContext | None,
    ) -> None:
        """Open connections that `traffic_observer` sees, under TLS where there is a context."""
        self._loop = loop
        self._connect_timeout_us = connect_timeout_us
        self._traffic_observer = traffic_observer
        self._context = context
        self._sessions: dict[str, ssl.SSLSession] = {}
        self.handshakes = HandshakeLimiter(HandshakeLimits())
        self.certificate_names: Mapping[str, str] = {}
        """What a worker's certificate must name, where not the worker's own name."""

    def replace_context(self, context: ssl.SSLContext) -> None:
        """Open connections with other certificates from now on."""
        self._context = context
        self._sessions.clear()

    def forget(self, worker: str) -> None:
        """Drop what is known of a worker that has gone, or is another process now."""
        self._sessions.pop(worker, None)
        self.handshakes.forget(worker)

    def connect(self, worker: str, address: Address) -> Connection:
        """Open a connection. Raise OSError where that fails or takes too long."""
        with self._loop.timeout(self._connect_timeout_us) as limit:
            try:
                if self._context is None:
                    return Connection.open(self._loop, address, self._traffic_observer, CAPTURE_ROLE)
                return self._connect_secure(worker, address, self._context, limit)
            except WaitTimeoutError as error:
                if error is not limit:  # the caller's own timeout
                    raise
                raise ConnectionRefusedError("no connection in time") from None

    def allows_reuse(self, worker: str, connection: Connection) -> bool:
        """Whether a connection was made with the present certificates; its session is cached then."""
        stream = connection.stream
        if not isinstance(stream, TlsStream):
            return True
        if stream.context is not self._context:
            return False
        if stream.session is not None:
            self._sessions[worker] = stream.session
        return True

    def _connect_secure(
        self, worker: str, address: Address, context: ssl.SSLContext, limit: WaitTimeoutError
    ) -> Connection:
        while not self.handshakes.try_begin(self._loop.now(), worker):
            self._loop.sleep(HANDSHAKE_RETRY_INTERVAL_US)
        name = self.certificate_names.get(worker, worker)
        secure = TlsClientSettings(context, name, self._sessions.get(worker))
        try:
            connection = Connection.open(
                self._loop, address, self._traffic_observer, CAPTURE_ROLE, tls=secure
            )
        except BaseException as error:
            if error is limit or isinstance(error, OSError):
                self.handshakes.record_failure(self._loop.now(), worker)
                self._sessions.pop(worker, None)
            else:  # given up by the caller, which proves nothing about the worker
                self.handshakes.record_abandoned(worker)
            raise
        self.handshakes.record_success(worker)
        return connection
