"""The serving side of a watch: a request waits here until the store has something newer for it."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, NamedTuple

from walnutpost.configstore import (
    AGE_HEADER,
    DIGEST_BUCKETS,
    ConfigStore,
    InvalidMessageError,
    PendingEvents,
    WatchRequest,
    build_response,
    decode,
    encode,
    pending_events,
)
from walnutpost.eventloop import Loop, Stream, Task
from walnutpost.eventloop.timers import Timer
from walnutpost.http import Response

WAITED_HEADER = "Walnutpost-Held-Us"
"""Response header: microseconds from the request's arrival to the response."""
MAX_WAIT_TIMEOUT_US = 10_000_000
"""Longer timeouts are cut to this: what a vanished watcher leaves here ends with its wait."""
MAX_WAITING = 4_000
"""Requests that wait at once; one more is rejected, to be sent to another server."""
MAX_CACHED_PAGES = 64
"""Encoded pages of the present revision: many watchers may load a snapshot at once."""
MAX_NAME_CHARS = 200
RETRY_AFTER_S = "1"
CONTENT_CODING = "deflate"
"""Makes pages of settings five to six times smaller, for 2 ms once and 0.3 ms at each watcher."""
MIN_CODED_BYTES = 1024
"""Smaller pages are sent uncompressed."""
BATCH_INTERVAL_US = 200_000
"""Waiting requests are woken at most once in this time, so that a burst of changes is a few responses."""


class _EncodedPage(NamedTuple):
    """A response body; `is_coded`: compressed by CONTENT_CODING."""

    body: bytes
    is_coded: bool


@dataclass(slots=True)
class ServingCounters:
    """Counts since the start.

    `pages_encoded`: response bodies made. `responses`: responses with a page. `response_bytes`: their bodies.
    `idle_timeouts`: waits that ended with nothing newer. `invalid_requests`: 400. `rejected`: 503.
    """

    pages_encoded: int = 0
    responses: int = 0
    response_bytes: int = 0
    idle_timeouts: int = 0
    invalid_requests: int = 0
    rejected: int = 0


class WatchServer:
    """Answers the watches of one store, at a replica of the control plane or at a relay.

    There is no state of a watcher between its requests, and no queue: a watcher that is slow or gone costs
    its own connection, and its waiting task until the end of the wait.
    """

    def __init__(
        self,
        loop: Loop,
        store: Callable[[], ConfigStore | None],
        age_us: Callable[[], int],
        on_request: Callable[[WatchRequest], None] | None = None,
        batch_interval_us: int = BATCH_INTERVAL_US,
        max_waiting: int = MAX_WAITING,
        on_disconnect: Callable[[WatchRequest], None] | None = None,
    ) -> None:
        """Create a server of watches.

        `store`: returns None while there is none to serve.
        `age_us`: returns the time since a leader last confirmed that the store is current.
        `on_request`: called with each member's request as it arrives.
        `on_disconnect`: called with the last request of a member's connection after it ended.
        """
        self._loop = loop
        self._store = store
        self._age_us = age_us
        self._on_request = on_request
        self._on_disconnect = on_disconnect
        self._batch_interval_us = batch_interval_us
        self._max_waiting = max_waiting
        self._waiting: dict[Task[Any], int] = {}
        self._last_requests: dict[Task[Any], WatchRequest] = {}  # of members, by connection
        self._pages: OrderedDict[tuple[PendingEvents, bool], _EncodedPage] = OrderedDict()
        self._woken_revision = 0  # the store's at the last wake
        self._woken_at_us = loop.now() - batch_interval_us
        self._wake_timer: Timer | None = None
        self.counts = ServingCounters()

    @property
    def waiting(self) -> int:
        """The number of requests that wait for something newer."""
        return len(self._waiting)

    def store_changed(self) -> None:
        """Wake all waiting requests: the store has changed, by a change set or by a replacement."""
        self._pages.clear()
        if self._wake_timer is not None:
            return
        wait_us = self._woken_at_us + self._batch_interval_us - self._loop.now()
        if wait_us <= 0:
            self._wake_all()
        else:
            self._wake_timer = self._loop.call_later(wait_us, self._wake_all)

    def handle(self, body: bytes, stream: Stream | None = None, accept_encoding: str = "") -> Response:
        """Answer one request, in the task of its connection.

        200 with a page; 204 where nothing is newer at the end of the wait; 400 for an invalid request; 503
        where the watcher should use another server. With the connection's `stream` a wait ends once the peer
        has closed it.
        """
        began_us = self._loop.now()
        try:
            request = decode(body, WatchRequest)
            _validate(request)
        except InvalidMessageError as error:
            self.counts.invalid_requests += 1
            return Response(400, body=str(error).encode())
        if request.member:
            self._record_request(request)
        timeout_us = 0 if request.is_leaving else min(request.wait_timeout_us, MAX_WAIT_TIMEOUT_US)
        return self._respond_when_newer(request, began_us, timeout_us, stream, accept_encoding)

    def _respond_when_newer(
        self,
        request: WatchRequest,
        began_us: int,
        timeout_us: int,
        stream: Stream | None,
        accept_encoding: str,
    ) -> Response:
        while True:
            store = self._store()
            if store is None:
                return self._reject(b"no complete store here yet")
            page = None
            if not request.is_leaving:
                page = self._page_for(store, request, CONTENT_CODING in accept_encoding)
            if page is not None:
                return self._page_response(page, began_us)
            remaining_us = began_us + timeout_us - self._loop.now()
            if remaining_us <= 0:
                return self._idle_response(store, request, began_us)
            if len(self._waiting) >= self._max_waiting:
                return self._reject(b"%d requests wait here" % len(self._waiting))
            if self._wait(remaining_us, stream):
                return Response(204, keep_alive=False)

    def _page_response(self, page: _EncodedPage, began_us: int) -> Response:
        self.counts.responses += 1
        self.counts.response_bytes += len(page.body)
        headers = self._headers(began_us)
        if page.is_coded:
            headers["Content-Encoding"] = CONTENT_CODING
        return Response(200, headers, page.body)

    def _idle_response(self, store: ConfigStore, request: WatchRequest, began_us: int) -> Response:
        self.counts.idle_timeouts += 1
        if request.revision > store.revision:
            # Behind its watcher this store confirms nothing of what the watcher has.
            return Response(204, {})
        return Response(204, self._headers(began_us))

    def _reject(self, reason: bytes) -> Response:
        self.counts.rejected += 1
        return Response(503, {"Retry-After": RETRY_AFTER_S}, reason)

    def _headers(self, began_us: int) -> dict[str, str]:
        return {
            "Content-Type": "application/msgpack",
            AGE_HEADER: str(max(0, self._age_us())),
            WAITED_HEADER: str(self._loop.now() - began_us),
        }

    # Members

    def _record_request(self, request: WatchRequest) -> None:
        if self._on_request is not None:
            self._on_request(request)
        if self._on_disconnect is None:
            return
        task = self._loop.current_task()
        if task not in self._last_requests:
            task.done_callbacks.append(partial(self._connection_ended, task))
        self._last_requests[task] = request

    def _connection_ended(self, task: Task[Any]) -> None:
        assert self._on_disconnect is not None
        self._on_disconnect(self._last_requests.pop(task))

    # Waiting

    def _wait(self, timeout_us: int, stream: Stream | None) -> bool:
        """Wait for the next wake or the timeout; return whether the watcher has closed its connection."""
        task, token = self._loop.begin_wait()
        timer = self._loop.call_later(timeout_us, partial(self._loop.wake, task, token))
        if stream is not None:
            stream.on_readable(lambda: stream.has_ended() and self._loop.wake(task, token, True))
        self._waiting[task] = token
        try:
            return self._loop.park() is True
        finally:
            timer.cancel()
            self._waiting.pop(task, None)
            if stream is not None:
                stream.on_readable(None)

    def _wake_all(self) -> None:
        self._wake_timer = None
        self._woken_at_us = self._loop.now()
        store = self._store()
        if store is not None:
            self._woken_revision = store.revision
        waiting, self._waiting = self._waiting, {}
        for task, token in waiting.items():
            self._loop.wake(task, token)

    # Pages

    def _page_for(self, store: ConfigStore, request: WatchRequest, is_coded: bool) -> _EncodedPage | None:
        """Return the response's body, encoded once for all requests with the same pending events."""
        if self._waits_for_batch(store, request):
            return None
        pending = pending_events(store, request)
        if pending is None:
            return None
        page = self._pages.get((pending, is_coded))
        if page is not None:
            self._pages.move_to_end((pending, is_coded))
            return page
        page = _encode_page(encode(build_response(store, pending)), is_coded)
        self._pages[pending, is_coded] = page
        self.counts.pages_encoded += 1
        if len(self._pages) > MAX_CACHED_PAGES:
            self._pages.popitem(last=False)
        return page

    def _waits_for_batch(self, store: ConfigStore, request: WatchRequest) -> bool:
        """Whether the watcher has all of the last wake, and another wake is due.

        It waits for that one with the others: requests that are sent at once within a burst would otherwise
        get each change alone.
        """
        if request.after_key is not None or request.wants_bucket_digests or request.wanted_buckets:
            return False
        return self._wake_timer is not None and self._woken_revision <= request.revision <= store.revision


def _encode_page(data: bytes, is_coded: bool) -> _EncodedPage:
    is_coded = is_coded and len(data) >= MIN_CODED_BYTES
    return _EncodedPage(zlib.compress(data) if is_coded else data, is_coded)


def _validate(request: WatchRequest) -> None:
    """Raise InvalidMessageError for a request that no watcher sends."""
    numbers = {
        "session": request.session,
        "revision": request.revision,
        "applied_revision": request.applied_revision,
        "wait_timeout_us": request.wait_timeout_us,
        "base_revision": request.base_revision,
    }
    for name, value in numbers.items():
        if value < 0:
            raise InvalidMessageError(f"WatchRequest: {name}: found {value}, wanted 0 or more")
    for name, text in (("member", request.member), ("incarnation", request.incarnation)):
        if len(text) > MAX_NAME_CHARS:
            raise InvalidMessageError(
                f"WatchRequest: {name}: found {len(text)} characters, wanted {MAX_NAME_CHARS} at most"
            )
    wanted = request.wanted_buckets
    if len(wanted) > DIGEST_BUCKETS or any(not 0 <= bucket < DIGEST_BUCKETS for bucket in wanted):
        raise InvalidMessageError(
            f"WatchRequest: wanted_buckets: found {wanted[:10]}, wanted 0 to {DIGEST_BUCKETS - 1}"
        )
