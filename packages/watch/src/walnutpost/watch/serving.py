"""The serving side of a watch: a request waits here until the store has something newer for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from walnutpost.configstore import (
    AGE_HEADER,
    ConfigStore,
    InvalidMessageError,
    WatchRequest,
    decode,
    pending_events,
)
from walnutpost.eventloop import Loop, Stream
from walnutpost.http import Response
from walnutpost.watch.counters import ServingCounters
from walnutpost.watch.member_connections import MemberConnections, MemberObserver
from walnutpost.watch.pages import CONTENT_CODING, EncodedPage, PageCache
from walnutpost.watch.request_validation import validate_request
from walnutpost.watch.waiting import WaitingRequests

WAITED_HEADER = "Walnutpost-Held-Us"
"""Response header: microseconds from the request's arrival to the response."""
MAX_WAIT_TIMEOUT_US = 10_000_000
"""Longer timeouts are cut to this: a vanished watcher's resources are released at the end of its wait."""
MAX_WAITING = 4_000
"""Requests that wait at once; one more is rejected, to be sent to another server."""
RETRY_AFTER_S = "1"
BATCH_INTERVAL_US = 200_000
"""Waiting requests are woken at most once in this time, so that a burst of changes is a few responses."""


@dataclass(frozen=True, slots=True)
class _ReceivedRequest:
    """A request with its arrival and its connection.

    `timeout_us`: how long it may wait.
    """

    request: WatchRequest
    began_us: int
    timeout_us: int
    stream: Stream | None
    accepts_coding: bool


class WatchServer:
    """Answers the watches of one store, at a replica of the control plane or at a relay.

    There is no state of a watcher between its requests, and no queue: a watcher that is slow or gone costs
    its connection, and its waiting task until the end of the wait.

    `store`: returns None while there is none to serve.
    `age_us`: returns the time since a leader last confirmed that the store is current.
    `members`: is notified of members' requests and connections.
    """

    def __init__(
        self,
        loop: Loop,
        store: Callable[[], ConfigStore | None],
        age_us: Callable[[], int],
        members: MemberObserver | None = None,
        batch_interval_us: int = BATCH_INTERVAL_US,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self._loop = loop
        self._store = store
        self._age_us = age_us
        self._max_waiting = max_waiting
        self._members = None if members is None else MemberConnections(loop, members)
        self.counts = ServingCounters()
        self._pages = PageCache(self.counts)
        self._waiting = WaitingRequests(loop, self._revision, batch_interval_us)

    @property
    def waiting(self) -> int:
        """The number of requests that wait for something newer."""
        return len(self._waiting)

    @property
    def cached_pages(self) -> int:
        """The number of encoded pages of the present revision."""
        return len(self._pages)

    @property
    def member_connections(self) -> int:
        """The number of connections of members, 0 without an observer of them."""
        return 0 if self._members is None else len(self._members)

    def store_changed(self) -> None:
        """Wake all waiting requests: the store has changed, by a change set or by a replacement."""
        self._pages.clear()
        self._waiting.wake()

    def handle(self, body: bytes, stream: Stream | None = None, accept_encoding: str = "") -> Response:
        """Answer one request, in the task of its connection.

        200 with a page; 204 if nothing is newer at the end of the wait; 400 for an invalid request; 503 if
        the watcher should use another server. With the connection's `stream` a wait ends once the peer has
        closed it.
        """
        began_us = self._loop.now()
        try:
            request = decode(body, WatchRequest)
            validate_request(request)
        except InvalidMessageError as error:
            self.counts.invalid_requests += 1
            return Response(400, body=str(error).encode())
        if request.member and self._members is not None:
            self._members.record(request)
        timeout_us = 0 if request.is_leaving else min(request.wait_timeout_us, MAX_WAIT_TIMEOUT_US)
        return self._respond_when_newer(
            _ReceivedRequest(request, began_us, timeout_us, stream, CONTENT_CODING in accept_encoding)
        )

    def _respond_when_newer(self, received: _ReceivedRequest) -> Response:
        while True:
            store = self._store()
            if store is None:
                return self._reject(b"no complete store here yet")
            page = None if received.request.is_leaving else self._page_for(store, received)
            if page is not None:
                return self._page_response(page, received.began_us)
            remaining_us = received.began_us + received.timeout_us - self._loop.now()
            if remaining_us <= 0:
                return self._idle_response(store, received)
            if len(self._waiting) >= self._max_waiting:
                return self._reject(b"%d requests wait here" % len(self._waiting))
            if self._waiting.wait(remaining_us, received.stream):
                return Response(204, keep_alive=False)

    def _page_for(self, store: ConfigStore, received: _ReceivedRequest) -> EncodedPage | None:
        if self._waits_for_batch(store, received.request):
            return None
        pending = pending_events(store, received.request)
        if pending is None:
            return None
        return self._pages.page(store, pending, accepts_coding=received.accepts_coding)

    def _waits_for_batch(self, store: ConfigStore, request: WatchRequest) -> bool:
        """Whether the watcher has all of the last wake, and another wake is due.

        It waits for that one with the others: requests that are sent at once within a burst would otherwise
        get each change alone.
        """
        if request.after_key is not None or request.wants_bucket_digests or request.wanted_buckets:
            return False
        return request.revision <= store.revision and self._waiting.is_wake_due_after(request.revision)

    def _page_response(self, page: EncodedPage, began_us: int) -> Response:
        self.counts.responses += 1
        self.counts.response_bytes += len(page.body)
        headers = self._headers(began_us)
        if page.is_coded:
            headers["Content-Encoding"] = CONTENT_CODING
        return Response(200, headers, page.body)

    def _idle_response(self, store: ConfigStore, received: _ReceivedRequest) -> Response:
        self.counts.idle_timeouts += 1
        if received.request.revision > store.revision:
            # A store that is behind its watcher confirms nothing of the watcher's content.
            return Response(204, {})
        return Response(204, self._headers(received.began_us))

    def _reject(self, reason: bytes) -> Response:
        self.counts.rejected += 1
        return Response(503, {"Retry-After": RETRY_AFTER_S}, reason)

    def _headers(self, began_us: int) -> dict[str, str]:
        return {
            "Content-Type": "application/msgpack",
            AGE_HEADER: str(max(0, self._age_us())),
            WAITED_HEADER: str(self._loop.now() - began_us),
        }

    def _revision(self) -> int | None:
        store = self._store()
        return None if store is None else store.revision
