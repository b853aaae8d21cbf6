"""The watching side of a watch: one long poll at a time, at one server or another."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from msgspec import structs

from walnutpost.configstore import (
    AGE_HEADER,
    WATCH_PATH,
    ApplyOutcome,
    InvalidMessageError,
    WatchRequest,
    WatchResponse,
    WatchState,
    decode,
    encode,
)
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.eventloop import Logger, Loop, Task, WaitTimeoutError
from walnutpost.http import Connection, HttpMessageError, Limits, Response, encode_request
from walnutpost.watch.errors import UnusableServerError
from walnutpost.watch.pace import IdleBackoff, TokenBucket
from walnutpost.watch.serving import CONTENT_CODING, WAITED_HEADER

Address = tuple[str, int]
RECEIVE_RATE_BYTES_PER_S = 22_000
"""What a watcher may receive on average."""
RECEIVE_BURST_BYTES = 64 * 1024
MAX_BODY_BYTES = 512 * 1024
"""Size of a response, before and after decompression: a page, or one change set larger than a page."""
MAX_HEAD_BYTES = 8 * 1024
MIN_RESPONSE_COST_BYTES = 1024
"""What a response counts as, however small, so that small ones in a row are paced too."""
CONNECT_TIMEOUT_US = 1_000_000
"""A machine that is off does not even reject: the watcher fails over to the next server."""
RESPONSE_TIMEOUT_US = 2_000_000
"""Until the first byte of a response, beyond the wait timeout."""
BODY_TIMEOUT_US = 8_000_000
"""For the rest of a response, as over a slow network."""
LEAVE_TIMEOUT_US = 500_000
STALENESS_CHECK_INTERVAL_US = 500_000
MAX_SERVER_AGE_US = 5_000_000
"""The watcher fails over from a server whose confirmation is older, at most one wait timeout later."""
STALE_FAILOVER_INTERVAL_US = 10_000_000
"""Minimum time between such failovers, once all servers were found to be no better."""
MIN_IDLE_WAIT_US, MAX_IDLE_WAIT_US = 50_000, 2_000_000
MAX_LOG_LINES, LOG_WINDOW_US = 10, 60_000_000
"""Limit of the log lines about faulty servers, and the time in which they are counted."""
REQUEST_HEADERS = {"Content-Type": "application/msgpack", "Accept-Encoding": CONTENT_CODING}
MAX_HEADER_DIGITS = 19


@dataclass(slots=True)
class WatcherCounters:
    """Counts since the start: requests, changes of the server, bytes on the wire."""

    requests: int = 0
    server_changes: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class _ByteCounter:
    """Counts a connection's bytes, those of a broken response too."""

    def __init__(self, counts: WatcherCounters, on_received: Callable[[int], None]) -> None:
        self._counts = counts
        self._on_received = on_received

    def on_opened(self, stream: int, role: str, local: Address, remote: Address) -> None:
        pass

    def on_bytes(self, stream: int, sent: bool, data: bytes) -> None:
        if sent:
            self._counts.bytes_out += len(data)
            return
        self._counts.bytes_in += len(data)
        self._on_received(len(data))

    def on_closed(self, stream: int) -> None:
        pass


class Watcher:
    """Keeps the store of `state` up to date. `run` is the body of a task.

    Each request acknowledges what came with the response before. A server that doesn't answer in time,
    rejects the request, breaks off, or whose confirmation is too old is left for the one that `selector`
    names.
    """

    def __init__(
        self,
        loop: Loop,
        servers: Mapping[str, Callable[[], Address]],
        state: WatchState,
        selector: RelaySelector,
        on_outcome: Callable[[ApplyOutcome], None],
        log: Logger,
        wait_timeout_us: int = 3_000_000,
        rate_bytes_per_s: int = RECEIVE_RATE_BYTES_PER_S,
        max_server_age_us: int = MAX_SERVER_AGE_US,
    ) -> None:
        """Create a watcher; nothing is sent before `run`.

        `servers`: return the present address of each; OSError from one counts as unreachable.
        `on_outcome`: called between two requests; it must not block, and marks in `state` what is applied.
        """
        self._loop = loop
        self._servers = servers
        self._state = state
        self._selector = selector
        self._on_outcome = on_outcome
        self._log = log
        self._wait_timeout_us = wait_timeout_us
        self._max_server_age_us = max_server_age_us
        self.counts = WatcherCounters()
        self.server = ""  # the present or last one
        self._bucket = TokenBucket(rate_bytes_per_s, RECEIVE_BURST_BYTES, loop.now())
        self._idle_backoff = IdleBackoff(MIN_IDLE_WAIT_US, MAX_IDLE_WAIT_US)
        self._byte_counter = _ByteCounter(self.counts, self._count_received)
        self._connection: Connection | None = None
        self._task: Task[None] | None = None
        self._confirmed_at_us = 0
        self._is_complete = False
        self._has_answered = False  # the present server
        self._has_more = False  # the last response named a revision newer than what it brought
        self._is_stale = False
        self._stale_failovers = 0  # since a server's confirmation was new enough
        self._stale_failover_at_us = 0
        self._logged_at_us: deque[int] = deque(maxlen=MAX_LOG_LINES)

    @property
    def is_complete(self) -> bool:
        """Whether the store has had, at some time, all that some server had."""
        return self._is_complete

    def age_us(self) -> int:
        """Return the time since a leader last confirmed that nothing is newer than the store here.

        A relay passes it on. It is a time since the epoch where none ever did.
        """
        return self._loop.now() - self._confirmed_at_us

    def run(self) -> None:
        """Watch until cancelled or stopped."""
        self._task = self._loop.current_task()
        check = self._loop.call_every(STALENESS_CHECK_INTERVAL_US, self._check_staleness, name="watch")
        try:
            self._connect_to(self._selector.start(self._loop.now()))
            while True:
                try:
                    self._watch_server()
                except (
                    OSError,
                    WaitTimeoutError,
                    HttpMessageError,
                    InvalidMessageError,
                    UnusableServerError,
                ) as error:
                    self._fail_over(error)
        finally:
            check.cancel()
            self._close_connection()

    def stop(self) -> None:
        """End, and announce it to the server as well as can be done within LEAVE_TIMEOUT_US."""
        if self._task is not None:
            self._task.cancel()
        self._close_connection()  # with its waiting request: a watcher never has two open
        if not self.server or not self._state.member:
            return  # no server has recorded this watcher
        request = structs.replace(self._state.next_request(0), is_leaving=True)
        with suppress(OSError, WaitTimeoutError, HttpMessageError), self._loop.timeout(LEAVE_TIMEOUT_US):
            connection = self._open_connection()
            try:
                connection.exchange(_encode_request(request))
            finally:
                connection.close()

    def _check_staleness(self) -> None:
        is_stale = self._state.is_stale(self._loop.now())
        applied = self._state.applied_revision
        if is_stale and not self._is_stale:
            self._log.warning("config_stale", applied_revision=applied, server=self.server)
        elif self._is_stale and not is_stale:
            self._log.info("config_fresh", applied_revision=applied, server=self.server)
        self._is_stale = is_stale

    # Servers

    def _connect_to(self, server: str) -> None:
        """Use this server from now on; the connection is opened by the next request."""
        self._close_connection()
        self.server = server
        self._has_answered = False

    def _fail_over(self, error: Exception) -> None:
        """Connect to the next server, after the delay that the selector gives."""
        is_first_failure = self._has_answered or not self.counts.server_changes
        if is_first_failure and self._may_log():  # once, however many servers fail after it
            detail = f"{type(error).__name__} {error}"
            self._log.warning("watch_disconnected", server=self.server, error=detail)
        server, delay_us = self._selector.record_failure(self._loop.now(), self.server)
        self._close_connection()
        self._loop.sleep(delay_us)
        self._change_server(server)

    def _return_to_preferred(self) -> None:
        server = self._selector.return_to_preferred(self._loop.now())
        if server is not None and server != self.server:
            self._change_server(server)

    def _change_server(self, server: str) -> None:
        self._state.server_changed()
        self.counts.server_changes += 1
        self._connect_to(server)

    def _open_connection(self) -> Connection:
        limits = Limits(max_head_bytes=MAX_HEAD_BYTES, max_body_bytes=MAX_BODY_BYTES)
        with self._loop.timeout(CONNECT_TIMEOUT_US):
            address = self._servers[self.server]()
            return Connection.open(self._loop, address, self._byte_counter, "watch", limits)

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _count_received(self, size_bytes: int) -> None:
        self._bucket.consume(self._loop.now(), size_bytes)

    # Requests

    def _watch_server(self) -> None:
        """Send one request after another to the present server until it fails."""
        while True:
            self._return_to_preferred()
            self._verify_store()
            # The first response is not delayed: it shows that there is a server, and how current it is.
            request = self._state.next_request(self._wait_timeout_us if self._has_answered else 0)
            if request.after_key is not None or request.wanted_buckets or self._has_more:
                self._loop.sleep(self._bucket.wait_us(self._loop.now()))
            sent_us = self._loop.now()
            response, age_us = self._exchange(request)
            self._handle_response(response, age_us)
            self._validate_freshness(age_us, request.wait_timeout_us)
            self._pace(request, self._loop.now() - sent_us)

    def _pace(self, request: WatchRequest, waited_us: int) -> None:
        """Delay the next request after a response that came at once and brought nothing."""
        has_progress = _position(self._state.next_request(0)) != _position(request)
        has_waited = request.wait_timeout_us and 2 * waited_us >= request.wait_timeout_us
        if has_progress or has_waited:
            self._idle_backoff.reset()
        else:
            self._loop.sleep(self._idle_backoff.next_wait_us())

    def _exchange(self, request: WatchRequest) -> tuple[WatchResponse | None, int | None]:
        """Send a request; return the response or None for nothing newer, and the age of its content.

        The age is the time since a leader confirmed the content, None where the server does not tell. It
        counts from the sending of the request: a response that was delayed on its way, or here while this
        process was suspended, is as old as it may be.
        """
        connection = self._reusable_connection()
        stream, sent_us = connection.stream, self._loop.now()
        self.counts.requests += 1
        with self._loop.timeout(request.wait_timeout_us + RESPONSE_TIMEOUT_US):
            stream.send_all(_encode_request(request))
            self._loop.wait_readable(stream.fd)
        with self._loop.timeout(BODY_TIMEOUT_US):
            response = connection.exchange(b"")
        self._bucket.consume(self._loop.now(), max(0, MIN_RESPONSE_COST_BYTES - len(response.body)))
        if response.status not in (200, 204):
            raise UnusableServerError(f"{response.status} {response.body[:200]!r}")
        page = decode(_decoded_body(response), WatchResponse) if response.status == 200 else None
        waited_us, age_us = _header_number(response, WAITED_HEADER), _header_number(response, AGE_HEADER)
        if waited_us is None or age_us is None:
            return page, None
        passed_us = self._loop.now() - sent_us
        return page, max(0, passed_us - min(waited_us, passed_us)) + age_us

    def _reusable_connection(self) -> Connection:
        connection = self._connection
        if connection is None or not connection.is_reusable:
            self._close_connection()
            connection = self._connection = self._open_connection()
        return connection

    # Responses

    def _handle_response(self, response: WatchResponse | None, age_us: int | None) -> None:
        now, state = self._loop.now(), self._state
        if not self._has_answered:
            self._has_answered = True
            if self._may_log():
                self._log.info("watch_connected", server=self.server, revision=state.store.revision)
        outcome = state.handle_response(now, response, age_us)
        self._has_more = response is not None and state.store.revision < response.revision
        if age_us is not None and not self._has_more and not state.is_loading:
            self._confirmed_at_us = max(self._confirmed_at_us, now - age_us)
            self._is_complete = True
        self._report_outcome(outcome)
        if outcome.is_inconsistent:
            raise UnusableServerError("its data is inconsistent")

    def _validate_freshness(self, age_us: int | None, wait_timeout_us: int) -> None:
        """Raise UnusableServerError where another server may be more current.

        A server can answer and be cut off from the others, or far behind. Where no server is better the
        watcher goes round them, but seldom.
        """
        now, others = self._loop.now(), len(self._servers) - 1
        is_fresh = age_us is not None and age_us <= self._max_server_age_us
        if is_fresh:
            self._stale_failovers = 0
        is_due = (
            self._stale_failovers < others or now - self._stale_failover_at_us >= STALE_FAILOVER_INTERVAL_US
        )
        # Without any confirmation the server has one wait timeout to catch up.
        if not is_fresh and others and is_due and (age_us is not None or wait_timeout_us):
            self._stale_failovers += 1
            self._stale_failover_at_us = now
            if age_us is None:
                raise UnusableServerError("its content is not confirmed by a leader")
            raise UnusableServerError(f"its content was last confirmed {age_us / 1e6:.1f} s ago")
        self._selector.record_success(now)

    def _verify_store(self) -> None:
        """Advance the digest check while one is due; other tasks run between its steps."""
        while True:
            self._report_outcome(self._state.verify(self._loop.now()))
            if not self._state.is_verifying:
                return
            self._loop.yield_now()

    def _report_outcome(self, outcome: ApplyOutcome) -> None:
        for event in outcome.events:
            if self._may_log():
                write = self._log.info if event.is_expected else self._log.warning
                write(event.kind.value, server=self.server, detail=event.detail)
        if outcome.changes or outcome.is_replaced or outcome.repaired_keys:
            # An error in it is reported, and doesn't end the watch.
            self._loop.run_guarded("watch outcome", partial(self._on_outcome, outcome))

    def _may_log(self) -> bool:
        """Limit the lines of the log, whatever servers do over and over."""
        now, logged = self._loop.now(), self._logged_at_us
        if len(logged) == MAX_LOG_LINES and now - logged[0] < LOG_WINDOW_US:
            return False
        logged.append(now)
        return True


def _position(request: WatchRequest) -> tuple[int, str | None, int]:
    """Return a watcher's progress, as its requests show it."""
    return request.revision, request.after_key, len(request.wanted_buckets)


def _encode_request(request: WatchRequest) -> bytes:
    return encode_request("POST", WATCH_PATH, "localhost", REQUEST_HEADERS, encode(request))


def _decoded_body(response: Response) -> bytes:
    """Return the decompressed body; raise InvalidMessageError where it is damaged or too large."""
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
    """Return a header's non-negative integer; None where there is none."""
    text = response.headers.get(name.lower(), "")
    if not text.isascii() or not text.isdigit() or len(text) > MAX_HEADER_DIGITS:
        return None
    return int(text)
