"""The watching side of a watch: one long poll at a time, at one server or another."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from msgspec import structs

from walnutpost.configstore import ApplyOutcome, InvalidMessageError, WatchRequest, WatchState
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.eventloop import Logger, Loop, Task, WaitTimeoutError
from walnutpost.http import HttpMessageError
from walnutpost.watch.connection import (
    RECEIVE_RATE_BYTES_PER_S,
    Address,
    ServerAnswer,
    ServerConnection,
    WatcherCounters,
)
from walnutpost.watch.errors import UnusableServerError
from walnutpost.watch.freshness import FreshnessCheck
from walnutpost.watch.pace import IdleBackoff, LogLimit

STALENESS_CHECK_INTERVAL_US = 500_000
MAX_SERVER_AGE_US = 5_000_000
"""The watcher fails over from a server whose confirmation is older, at most one wait timeout later."""
MIN_IDLE_WAIT_US, MAX_IDLE_WAIT_US = 50_000, 2_000_000
MAX_LOG_LINES, LOG_WINDOW_US = 10, 60_000_000
"""Limit of the log lines about faulty servers, and the time in which they are counted."""


@dataclass(frozen=True, slots=True)
class ServerPool:
    """The servers that a watcher may use.

    `addresses`: return the present address of each; OSError from one counts as unreachable.
    `selector`: chooses among them.
    """

    addresses: Mapping[str, Callable[[], Address]]
    selector: RelaySelector


@dataclass(frozen=True, slots=True)
class WatcherSettings:
    """Times and rates of a watcher.

    `wait_timeout_us`: how long a server may delay its response.
    `rate_bytes_per_s`: average rate at which the watcher may receive.
    `max_server_age_us`: the watcher fails over from a server whose content was confirmed earlier.
    """

    wait_timeout_us: int = 3_000_000
    rate_bytes_per_s: int = RECEIVE_RATE_BYTES_PER_S
    max_server_age_us: int = MAX_SERVER_AGE_US


class Watcher:
    """Keeps the store of `state` up to date. `run` is the body of a task; nothing is sent before it.

    Each request acknowledges the response before. A server that does not answer in time, rejects the
    request, breaks off, or whose confirmation is too old is left for the one that the selector of `pool`
    names.

    `on_outcome`: called between two requests; it must not block, and marks in `state` the applied revision.
    """

    def __init__(
        self,
        loop: Loop,
        pool: ServerPool,
        state: WatchState,
        on_outcome: Callable[[ApplyOutcome], None],
        log: Logger,
        settings: WatcherSettings | None = None,
    ) -> None:
        settings = settings or WatcherSettings()
        self._loop = loop
        self._state = state
        self._selector = pool.selector
        self._on_outcome = on_outcome
        self._log = log
        self._wait_timeout_us = settings.wait_timeout_us
        self._connection = ServerConnection(loop, pool.addresses, settings.rate_bytes_per_s)
        self._freshness = FreshnessCheck(len(pool.addresses), settings.max_server_age_us)
        self._idle_backoff = IdleBackoff(MIN_IDLE_WAIT_US, MAX_IDLE_WAIT_US)
        self._log_limit = LogLimit(MAX_LOG_LINES, LOG_WINDOW_US)
        self._task: Task[None] | None = None
        self._confirmed_at_us = 0
        self._is_complete = False
        self._has_answered = False  # the present server
        self._has_more = False  # the last response named a revision newer than its changes
        self._is_stale = False

    @property
    def counts(self) -> WatcherCounters:
        """Counts since the start."""
        return self._connection.counts

    @property
    def server(self) -> str:
        """The present or last server, empty before the first."""
        return self._connection.server

    @property
    def is_complete(self) -> bool:
        """Whether the store has had, at some time, all that some server had."""
        return self._is_complete

    def age_us(self) -> int:
        """Return the time since a leader last confirmed that nothing is newer than the store here.

        A relay passes it on. If none ever did, it is the time since the start of the event loop's clock.
        """
        return self._loop.now() - self._confirmed_at_us

    def run(self) -> None:
        """Watch until cancelled or stopped."""
        self._task = self._loop.current_task()
        check = self._loop.call_every(STALENESS_CHECK_INTERVAL_US, self._check_staleness, name="watch")
        try:
            self._use_server(self._selector.start(self._loop.now()))
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
            self._connection.close()

    def stop(self) -> None:
        """End, and announce it to the server if that succeeds within half a second."""
        if self._task is not None:
            self._task.cancel()
        self._connection.close()  # with its waiting request: a watcher never has two open
        if not self.server or not self._state.member:
            return  # no server has recorded this watcher
        request = structs.replace(self._state.next_request(0), is_leaving=True)
        with suppress(OSError, WaitTimeoutError, HttpMessageError):
            self._connection.announce_leave(request)

    def _check_staleness(self) -> None:
        is_stale = self._state.is_stale(self._loop.now())
        applied = self._state.applied_revision
        if is_stale and not self._is_stale:
            self._log.warning("config_stale", applied_revision=applied, server=self.server)
        elif self._is_stale and not is_stale:
            self._log.info("config_fresh", applied_revision=applied, server=self.server)
        self._is_stale = is_stale

    def _use_server(self, server: str) -> None:
        self._connection.use_server(server)
        self._has_answered = False

    def _fail_over(self, error: Exception) -> None:
        """Change to the next server, after the delay that the selector gives."""
        is_first_failure = self._has_answered or not self.counts.server_changes
        if is_first_failure and self._may_log():  # once, however many servers fail after it
            detail = f"{type(error).__name__} {error}"
            self._log.warning("watch_disconnected", server=self.server, error=detail)
        retry = self._selector.record_failure(self._loop.now(), self.server)
        self._connection.close()
        self._loop.sleep(retry.delay_us)
        self._change_server(retry.relay)

    def _return_to_preferred(self) -> None:
        server = self._selector.return_to_preferred(self._loop.now())
        if server is not None and server != self.server:
            self._change_server(server)

    def _change_server(self, server: str) -> None:
        self._state.server_changed()
        self.counts.server_changes += 1
        self._use_server(server)

    def _watch_server(self) -> None:
        """Send one request after another to the present server until it fails."""
        while True:
            self._return_to_preferred()
            self._verify_store()
            # The first response is not delayed: it shows that there is a server, and how current it is.
            request = self._state.next_request(self._wait_timeout_us if self._has_answered else 0)
            if request.after_key is not None or request.wanted_buckets or self._has_more:
                self._connection.wait_for_pace()
            sent_us = self._loop.now()
            answer = self._connection.exchange(request)
            self._handle_answer(answer)
            now = self._loop.now()
            self._freshness.validate(now, answer.age_us, request.wait_timeout_us)
            self._selector.record_success(now)
            self._delay_if_idle(request, self._loop.now() - sent_us)

    def _delay_if_idle(self, request: WatchRequest, waited_us: int) -> None:
        """Delay the next request after a response that came at once and brought nothing."""
        has_progress = _has_progressed(request, self._state.next_request(0))
        has_waited = request.wait_timeout_us and 2 * waited_us >= request.wait_timeout_us
        if has_progress or has_waited:
            self._idle_backoff.reset()
        else:
            self._loop.sleep(self._idle_backoff.next_wait_us())

    def _handle_answer(self, answer: ServerAnswer) -> None:
        now, state = self._loop.now(), self._state
        if not self._has_answered:
            self._has_answered = True
            if self._may_log():
                self._log.info("watch_connected", server=self.server, revision=state.store.revision)
        outcome = state.handle_response(now, answer.page, answer.age_us)
        self._has_more = answer.page is not None and state.store.revision < answer.page.revision
        if answer.age_us is not None and not self._has_more and not state.is_loading:
            self._confirmed_at_us = max(self._confirmed_at_us, now - answer.age_us)
            self._is_complete = True
        self._report_outcome(outcome)
        if outcome.is_inconsistent:
            raise UnusableServerError("its data is inconsistent")

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
        if outcome.changes or outcome.is_store_replaced or outcome.repaired_keys:
            # An error in it is reported, and doesn't end the watch.
            self._loop.run_guarded("watch outcome", partial(self._on_outcome, outcome))

    def _may_log(self) -> bool:
        return self._log_limit.may_log(self._loop.now())


def _has_progressed(request: WatchRequest, following: WatchRequest) -> bool:
    """Return whether the response to `request` changed the watcher's position."""
    return (
        request.revision != following.revision
        or request.after_key != following.after_key
        or len(request.wanted_buckets) != len(following.wanted_buckets)
    )
