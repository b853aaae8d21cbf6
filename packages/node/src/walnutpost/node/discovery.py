"""Polls the name server over UDP; the name server's address may change at run time.

Neither a socket error nor a parser error stops the polling: the next query always follows within
QUERY_INTERVAL_US.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from random import Random

from walnutpost.eventloop import Logger, Loop
from walnutpost.gateway import WorkersListed
from walnutpost.node.directory import Address, Directory, EndpointListError

QUERY_INTERVAL_US = 100_000  # a fraction of the time within which the node must apply a list change
MAX_RESPONSE_BYTES = 9000
MAX_READS_PER_EVENT = 16
MAX_LOGGED_REJECTIONS = 20
QUERY_ID_BITS = 16


class DiscoveryClient:
    """Keeps a `Directory` up to date with the name server."""

    def __init__(
        self,
        loop: Loop,
        directory: Directory,
        address: Address,
        seed: int,
        on_change: Callable[[WorkersListed], None],
        log: Logger,
    ) -> None:
        """Start to poll the name server at `address`; `on_change` is called with each new list."""
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
        self.periodic_query = loop.call_every(
            QUERY_INTERVAL_US, self._send_query, "queries to the name server"
        )

    def set_address(self, address: Address) -> None:
        """Poll the name server at another address from now on.

        Raises OSError if there is no route to that address; polling then continues at the former address.
        """
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        except OSError:  # no file descriptor left: connect the current socket to the new address
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
            self._loop.stop_watching(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _send_query(self) -> None:
        if self._initial_address is not None:
            with suppress(OSError):  # no route yet, or no file descriptor: retried after the next interval
                self.set_address(self._initial_address)
        elif self._sock is not None:
            self.queries += 1
            with suppress(OSError):  # the next interval sends another query
                self._sock.send(self._directory.new_query(self._draw_id()))

    def _draw_id(self) -> int:
        """Return a random id that no response to an earlier query can have."""
        while not self._directory.may_use_id(id := self._random.getrandbits(QUERY_ID_BITS)):
            pass
        return id

    def _on_readable(self) -> None:
        sock = self._sock
        if sock is None:
            return
        # Register again first, so that an error below doesn't stop the reading.
        self._loop.on_readable(sock.fileno(), self._on_readable)
        for _ in range(MAX_READS_PER_EVENT):
            if self._sock is not sock:
                return
            try:
                data = sock.recv(MAX_RESPONSE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP error for an earlier query
            self._apply(data)

    def _apply(self, data: bytes) -> None:
        try:
            endpoints = self._directory.apply_response(data)
        except Exception as error:  # any parser error leaves the current list unchanged
            self._log_rejected(error)
            return
        if endpoints is not None:
            self._on_change(endpoints)

    def _log_rejected(self, error: Exception) -> None:
        self.rejected_responses += 1
        if self.rejected_responses <= MAX_LOGGED_REJECTIONS:
            text = str(error) if isinstance(error, EndpointListError) else repr(error)
            self._log.warning("discovery_response_rejected", error=text)
