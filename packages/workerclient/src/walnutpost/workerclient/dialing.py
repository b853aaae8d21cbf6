"""New connections to workers, plain or under TLS."""

from __future__ import annotations

import ssl
from collections.abc import Mapping

from walnutpost.certificates import Ration, RationSettings
from walnutpost.eventloop import Loop, Tap, TlsClientSettings, TlsStream, WaitTimeoutError
from walnutpost.http import Connection

ROLE = "link"
HANDSHAKE_RETRY_US = 5_000  # how often a dial that waits for its handshake's turn asks again

Address = tuple[str, int]


class Dialer:
    """Makes connections within a time limit. With a TLS context, workers must prove their names; sessions
    are kept for resumption, and handshakes are rate-limited."""

    def __init__(
        self, loop: Loop, dial_timeout_us: int, tap: Tap | None, context: ssl.SSLContext | None
    ) -> None:
        self._loop = loop
        self._dial_timeout_us = dial_timeout_us
        self._tap = tap
        self._context = context
        self._sessions: dict[str, ssl.SSLSession] = {}
        self._handshakes = Ration(RationSettings())
        self.names: Mapping[str, str] = {}  # what a worker's certificate must name, where not its own name

    def renew(self, context: ssl.SSLContext) -> None:
        """New connections are made with other keys or trust."""
        self._context = context
        self._sessions.clear()

    def forget(self, worker: str) -> None:
        """The worker has gone, or is another process now."""
        self._sessions.pop(worker, None)
        self._handshakes.gone(worker)

    def dial(self, worker: str, address: Address) -> Connection:
        """Raises OSError where there is none in time."""
        with self._loop.timeout(self._dial_timeout_us) as limit:
            try:
                if self._context is None:
                    return Connection.open(self._loop, address, self._tap, ROLE)
                return self._dial_secure(worker, address, self._context, limit)
            except WaitTimeoutError as error:
                if error is not limit:  # the caller's own time is over
                    raise
                raise ConnectionRefusedError("no connection in time") from None

    def _dial_secure(
        self, worker: str, address: Address, context: ssl.SSLContext, limit: WaitTimeoutError
    ) -> Connection:
        while not self._handshakes.take(self._loop.now(), worker):
            self._loop.sleep(HANDSHAKE_RETRY_US)
        secure = TlsClientSettings(context, self.names.get(worker, worker), self._sessions.get(worker))
        try:
            connection = Connection.open(self._loop, address, self._tap, ROLE, secure=secure)
        except BaseException as error:
            if error is limit or isinstance(error, OSError):
                self._handshakes.failed(self._loop.now(), worker)
                self._sessions.pop(worker, None)
            else:  # given up here, which says nothing of the worker
                self._handshakes.left(worker)
            raise
        self._handshakes.made(worker)
        return connection

    def may_keep(self, worker: str, connection: Connection) -> bool:
        """Whether it was made under the present keys; its session is then kept for the next dial."""
        stream = connection.stream
        if not isinstance(stream, TlsStream):
            return True
        if stream.context is not self._context:
            return False
        if stream.session is not None:
            self._sessions[worker] = stream.session
        return True
