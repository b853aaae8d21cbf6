"""Polls the name server over UDP, and follows it to another address.

Whatever a socket raises, and whatever a response makes its parser raise, polling goes on: the next query is
never further away than QUERY_INTERVAL_US.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from random import Random

from walnutpost.eventloop import Logger, Loop
from walnutpost.gateway import WorkersListed
from walnutpost.node.directory import Address, Directory, EndpointListError

QUERY_INTERVAL_US = 100_000  # a fraction of the time within which a list change must be acted on
MAX_RESPONSE_BYTES = 9000
MAX_READS_PER_EVENT = 16
MAX_LOGGED_REJECTIONS = 20
QUERY_ID_BITS = 16


class DiscoveryClient:
    """Keeps a `Directory` up to date."""

    def __init__(
        self,
        loop: Loop,
        directory: Directory,
        address: Address,
        seed: int,
        on_change: Callable[[WorkersListed], None],
        log: Logger,
    ) -> None:
        """Begin to poll at `address`; `on_change` is called with each new list."""
        self._loop = loop
        self._directory = directory
        self._on_change = on_change
        self._log = log
        self._random = Random(seed)
        self._sock: socket.socket | None = None
        self.queries = 0
        self.rejected_responses = 0
        self._initial_address: Address | None = address  # None once a socket has been connected
        self._send_query()
        self.polling = loop.call_every(QUERY_INTERVAL_US, self._send_query, "queries to the name server")

    def move(self, address: Address) -> None:
        """Poll there from now on.

        Raises OSError where there is no route to that address; polling then goes on at the former one.
        """
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        except OSError:  # no descriptor left: the present socket is connected to the other address
            if self._sock is None:
                raise
            self._sock.connect(address)
        else:
            self._replace_socket(sock, address)
        self._initial_address = None
        self._directory.forget_queries()
        self._send_query()

    def close(self) -> None:
        """Stop polling."""
        self._initial_address = None
        self._close_socket()

    def _replace_socket(self, sock: socket.socket, address: Address) -> None:
        try:
            sock.setblocking(False)
            sock.connect(address)
        except OSError:
            sock.close()
            raise
        self._close_socket()
        self._sock = sock
        self._loop.on_readable(sock.fileno(), self._on_readable)

    def _close_socket(self) -> None:
        if self._sock is not None:
            self._loop.forget(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _send_query(self) -> None:
        if self._initial_address is not None:
            with suppress(OSError):  # no route yet, or no descriptor: tried again at the next interval
                self.move(self._initial_address)
        elif self._sock is not None:
            self.queries += 1
            with suppress(OSError):  # sent again at the next interval
                self._sock.send(self._directory.query(self._random.getrandbits(QUERY_ID_BITS)))

    def _on_readable(self) -> None:
        sock = self._sock
        if sock is None:
            return
        self._loop.on_readable(sock.fileno(), self._on_readable)  # first: an error must not end the watching
        for _ in range(MAX_READS_PER_EVENT):
            if self._sock is not sock:
                return
            try:
                data = sock.recv(MAX_RESPONSE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP error to an earlier query
            self._apply(data)

    def _apply(self, data: bytes) -> None:
        try:
            endpoints = self._directory.apply_response(data)
        except Exception as error:  # whatever a response makes its parser raise, the present list stays
            self._log_rejected(error)
            return
        if endpoints is not None:
            self._on_change(endpoints)

    def _log_rejected(self, error: Exception) -> None:
        self.rejected_responses += 1
        if self.rejected_responses <= MAX_LOGGED_REJECTIONS:
            text = str(error) if isinstance(error, EndpointListError) else repr(error)
            self._log.warning("discovery_response_rejected", error=text)
