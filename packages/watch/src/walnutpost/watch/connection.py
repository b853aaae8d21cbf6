"""The connection of a watcher to one server: requests, responses, and the rate of received bytes."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from walnutpost.configstore import (
    AGE_HEADER,
    WATCH_PATH,
    InvalidMessageError,
    WatchRequest,
    WatchResponse,
    decode,
    encode,
)
from walnutpost.eventloop import Loop
from walnutpost.http import Connection, Limits, Response, encode_request
from walnutpost.watch.errors import UnusableServerError
from walnutpost.watch.pace import TokenBucket
from walnutpost.watch.pages import CONTENT_CODING
from walnutpost.watch.serving import WAITED_HEADER

Address = tuple[str, int]
RECEIVE_RATE_BYTES_PER_S = 22_000
"""Average rate at which a watcher may receive."""
RECEIVE_BURST_BYTES = 64 * 1024
MAX_BODY_BYTES = 512 * 1024
"""Size of a response, before and after decompression: a page, or one change set larger than a page."""
MAX_HEAD_BYTES = 8 * 1024
MIN_RESPONSE_COST_BYTES = 1024
"""Each response counts as at least this, so that small ones in a row are paced too."""
CONNECT_TIMEOUT_US = 1_000_000
"""A powered-off host sends no reset, so a connect timeout triggers failover to the next server."""
RESPONSE_TIMEOUT_US = 2_000_000
"""Until the first byte of a response, beyond the wait timeout."""
BODY_TIMEOUT_US = 8_000_000
"""For the rest of a response, as over a slow network."""
LEAVE_TIMEOUT_US = 500_000
REQUEST_HEADERS = {"Content-Type": "application/msgpack", "Accept-Encoding": CONTENT_CODING}
MAX_HEADER_DIGITS = 19


@dataclass(slots=True)
class WatcherCounters:
    """Counts since the start: requests, changes of the server, bytes on the wire."""

    requests: int = 0
    server_changes: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """The answer to a request.

    `page`: None if there is nothing newer.
    `age_us`: time since a leader confirmed the content, None if the server does not report it. It counts
    from the sending of the request: a response that was delayed on its way, or here while this process was
    suspended, may be as old as that.
    """

    page: WatchResponse | None
    age_us: int | None


class _ByteCounter:
    """Counts a connection's bytes, including those of a broken response."""

    def __init__(self, counts: WatcherCounters, on_received: Callable[[int], None]) -> None:
        self._counts = counts
        self._on_received = on_received

    def on_opened(self, stream: int, role: str, local: Address, remote: Address) -> None:
        pass

    def on_bytes(self, _stream: int, sent: bool, data: bytes) -> None:
        if sent:
            self._counts.bytes_out += len(data)
            return
        self._counts.bytes_in += len(data)
        self._on_received(len(data))

    def on_closed(self, stream: int) -> None:
        pass


class ServerConnection:
    """One connection at a time, to the present server; it is opened by the first exchange.

    `addresses`: return the present address of each server; OSError from one counts as unreachable.
    `server`: the present or last one, empty before the first.
    """

    def __init__(
        self, loop: Loop, addresses: Mapping[str, Callable[[], Address]], rate_bytes_per_s: int
    ) -> None:
        self.counts = WatcherCounters()
        self.server = ""
        self.bucket = TokenBucket(rate_bytes_per_s, RECEIVE_BURST_BYTES, loop.now())
        self._loop = loop
        self._addresses = addresses
        self._byte_counter = _ByteCounter(self.counts, self._count_received)
        self._connection: Connection | None = None

    def use_server(self, server: str) -> None:
        """Use this server from now on."""
        self.close()
        self.server = server

    def close(self) -> None:
        """Close the connection, if there is one; the next exchange opens another."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def wait_for_pace(self) -> None:
        """Wait until the receive rate allows another large response."""
        self._loop.sleep(self.bucket.wait_us(self._loop.now()))

    def exchange(self, request: WatchRequest) -> ServerAnswer:
        """Send a request and wait for the answer.

        Raises UnusableServerError, InvalidMessageError, HttpMessageError, OSError or WaitTimeoutError.
        """
        connection = self._reusable_connection()
        stream, sent_us = connection.stream, self._loop.now()
        self.counts.requests += 1
        with self._loop.timeout(request.wait_timeout_us + RESPONSE_TIMEOUT_US):
            stream.send_all(_encode_request(request))
            self._loop.wait_readable(stream.fd)
        with self._loop.timeout(BODY_TIMEOUT_US):
            response = connection.exchange(b"")
        self.bucket.consume(self._loop.now(), max(0, MIN_RESPONSE_COST_BYTES - len(response.body)))
        if response.status not in (HTTPStatus.OK, HTTPStatus.NO_CONTENT):
            raise UnusableServerError(f"{response.status} {response.body[:200]!r}")
        page = decode(_decoded_body(response), WatchResponse) if response.status == HTTPStatus.OK else None
        waited_us, age_us = _header_number(response, WAITED_HEADER), _header_number(response, AGE_HEADER)
        if waited_us is None or age_us is None:
            return ServerAnswer(page, None)
        passed_us = self._loop.now() - sent_us
        return ServerAnswer(page, max(0, passed_us - min(waited_us, passed_us)) + age_us)

    def announce_leave(self, request: WatchRequest) -> None:
        """Send a last request over a connection opened for it, within LEAVE_TIMEOUT_US.

        Raises OSError, WaitTimeoutError or HttpMessageError.
        """
        with self._loop.timeout(LEAVE_TIMEOUT_US):
            connection = self._open()
            try:
                connection.exchange(_encode_request(request))
            finally:
                connection.close()

    def _reusable_connection(self) -> Connection:
        connection = self._connection
        if connection is None or not connection.is_reusable:
            self.close()
            connection = self._connection = self._open()
        return connection

    def _open(self) -> Connection:
        limits = Limits(max_head_bytes=MAX_HEAD_BYTES, max_body_bytes=MAX_BODY_BYTES)
        with self._loop.timeout(CONNECT_TIMEOUT_US):
            address = self._addresses[self.server]()
            return Connection.open(self._loop, address, self._byte_counter, "watch", limits)

    def _count_received(self, size_bytes: int) -> None:
        self.bucket.consume(self._loop.now(), size_bytes)


def _encode_request(request: WatchRequest) -> bytes:
    return encode_request("POST", WATCH_PATH, "localhost", REQUEST_HEADERS, encode(request))


def _decoded_body(response: Response) -> bytes:
    """Return the decompressed body; raise InvalidMessageError if it is damaged or too large."""
    if response.headers.get("content-encoding", "") != CONTENT_CODING:
        return response.body
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(response.body, MAX_BODY_BYTES)
    except zlib.error as error:
        raise InvalidMessageError(f"WatchResponse: {error}") from error
    if not reader.eof:
        raise InvalidMessageError(
            f"WatchResponse: found more than {MAX_BODY_BYTES} bytes or a part of them, wanted all of one"
        )
    return data


def _header_number(response: Response, name: str) -> int | None:
    """Return a header's non-negative integer; None if there is none."""
    text = response.headers.get(name.lower(), "")
    if not text.isascii() or not text.isdigit() or len(text) > MAX_HEADER_DIGITS:
        return None
    return int(text)
