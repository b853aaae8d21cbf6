"""New connections to workers, plain or over TLS."""

from __future__ import annotations

import ssl
from collections.abc import Mapping

from walnutpost.certificates import HandshakeLimiter, HandshakeLimits
from walnutpost.eventloop import Loop, TlsClientSettings, TlsStream, TrafficObserver, WaitTimeoutError
from walnutpost.http import Connection
from walnutpost.workerclient.directory import Address

CAPTURE_ROLE = "link"
"""Role of these connections in traffic captures. The audit reads it."""
HANDSHAKE_RETRY_INTERVAL_US = 5_000
"""Interval at which a connection asks the handshake limiter again whether its handshake may begin."""


class Connector:
    """Factory of connections, with a time limit for each.

    With a TLS context, it verifies the names of workers, caches TLS sessions for resumption, and limits the
    number of concurrent handshakes.
    """

    def __init__(
        self,
        loop: Loop,
        connect_timeout_us: int,
        traffic_observer: TrafficObserver | None,
        tls_context: ssl.SSLContext | None,
    ) -> None:
        """Create a connector. It uses TLS if `tls_context` is given; `traffic_observer` sees all traffic."""
        self._loop = loop
        self._connect_timeout_us = connect_timeout_us
        self._traffic_observer = traffic_observer
        self._tls_context = tls_context
        self._sessions: dict[str, ssl.SSLSession] = {}
        self.handshake_limiter = HandshakeLimiter(HandshakeLimits())
        self.certificate_names: Mapping[str, str] = {}
        """The name that a worker's certificate must contain, if that is not the worker's own name."""

    def replace_tls_context(self, tls_context: ssl.SSLContext) -> None:
        """Use a new TLS context for new connections and drop the cached sessions."""
        self._tls_context = tls_context
        self._sessions.clear()

    def forget(self, worker: str) -> None:
        """Drop the cached TLS session and the handshake failures of a worker that is gone or replaced."""
        self._sessions.pop(worker, None)
        self.handshake_limiter.forget(worker)

    def connect(self, worker: str, address: Address) -> Connection:
        """Open a connection. Raise OSError if that fails or takes too long."""
        with self._loop.timeout(self._connect_timeout_us) as timeout_error:
            try:
                if self._tls_context is None:
                    return Connection.open(self._loop, address, self._traffic_observer, CAPTURE_ROLE)
                return self._connect_tls(worker, address, self._tls_context, timeout_error)
            except WaitTimeoutError as error:
                if error is not timeout_error:  # the caller's own timeout
                    raise
                raise ConnectionRefusedError("connect timed out") from None

    def allows_reuse(self, worker: str, connection: Connection) -> bool:
        """Whether the connection uses no TLS or the current TLS context; if so, cache its TLS session."""
        stream = connection.stream
        if not isinstance(stream, TlsStream):
            return True
        if stream.context is not self._tls_context:
            return False
        if stream.session is not None:
            self._sessions[worker] = stream.session
        return True

    def _connect_tls(
        self, worker: str, address: Address, tls_context: ssl.SSLContext, timeout_error: WaitTimeoutError
    ) -> Connection:
        while not self.handshake_limiter.try_begin(self._loop.now(), worker):
            self._loop.sleep(HANDSHAKE_RETRY_INTERVAL_US)
        name = self.certificate_names.get(worker, worker)
        tls_settings = TlsClientSettings(tls_context, name, self._sessions.get(worker))
        try:
            connection = Connection.open(
                self._loop, address, self._traffic_observer, CAPTURE_ROLE, tls=tls_settings
            )
        except BaseException as error:
            if error is timeout_error or isinstance(error, OSError):
                self.handshake_limiter.record_failure(self._loop.now(), worker)
                self._sessions.pop(worker, None)
            else:  # cancelled by the caller, which says nothing about the worker
                self.handshake_limiter.record_abandoned(worker)
            raise
        self.handshake_limiter.record_success(worker)
        return connection
