"""One relay: caches the configuration store, serves watches of it, reports members' progress to the leader.

It has no disk and no state of its own: members of a relay that is lost continue at another relay.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from random import Random

from walnutpost.configstore import (
    MAX_LOG_BYTES,
    MAX_LOG_CHANGE_SETS,
    WATCH_PATH,
    ApplyOutcome,
    ConfigStore,
    WatchRequest,
    WatchState,
)
from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.eventloop import Event, Logger, Loop, WaitTimeoutError
from walnutpost.http import Exchange, HttpMessageError, Limits, Response
from walnutpost.http.server import serve_on
from walnutpost.watch import ServerPool, Watcher, WatchServer, WatchSettings

Address = tuple[str, int]
SECOND_US = 1_000_000
UPSTREAM_RATE_BYTES_PER_S = 4_000_000
"""What a relay may receive: a full snapshot within seconds of a start."""
UPSTREAM_WAIT_TIMEOUT_US = SECOND_US
UPSTREAM_MAX_AGE_US = 5 * SECOND_US // 2
"""Short, so that a relay fails over from a lost or isolated replica before members notice."""
BATCH_INTERVAL_US = 200_000
"""Changes within this time are one response."""
MIN_REPORT_INTERVAL_US = SECOND_US // 4
"""Between two reports where there are changes."""
MAX_REPORT_INTERVAL_US = 2 * SECOND_US
"""Between two reports where there are none."""
REPORT_TIMEOUT_US = 3 * SECOND_US
"""For the leader's answer to a report, over all replicas."""
REPORT_ATTEMPT_TIMEOUT_US = SECOND_US
"""For one replica's answer."""
STATS_INTERVAL_US = 10 * SECOND_US
LIMITS = Limits(
    max_head_bytes=8 * 1024,
    max_body_bytes=64 * 1024,
    head_timeout_us=5 * SECOND_US,
    body_timeout_us=10 * SECOND_US,
    idle_timeout_us=30 * SECOND_US,
)
INCARNATION_BITS = 0xFFFF_FFFF_FFFF
MAX_SHOWN_TARGET_BYTES = 100


class Relay:
    """The relay's process: a watcher upstream, a watch server downstream, and the reports to the leader."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        replicas: Mapping[str, Address],
        listen: Address,
        log: Logger,
        seed: int,
        address: str = "",
    ) -> None:
        """Listen and start; raises OSError where it can't listen.

        `replicas`: addresses of the control plane; one of them is watched, the leader gets the reports.
        `seed`: the incarnation of this process; no two of one name may have the same.
        `address`: where members reach this relay, as reported to the leader.
        """
        self.name = name
        self.incarnation = f"{seed & INCARNATION_BITS:012x}"
        self._loop = loop
        self._log = log
        self.state = WatchState("", self.incarnation, loop.now(), MAX_LOG_CHANGE_SETS, MAX_LOG_BYTES)
        self.watcher = self._create_watcher(replicas, seed)
        self._server = serve_on(
            loop, listen, self._serve, self._protocol_error, LIMITS, role="relay", log=log
        )
        own_address = "{}:{}".format(*self.address)
        self.registry = MemberRegistry(name, self.incarnation, address or own_address)
        self.watches = self._create_watch_server()
        self._client = ControlPlaneClient(loop, replicas, REPORT_TIMEOUT_US, REPORT_ATTEMPT_TIMEOUT_US)
        self._report_due = Event(loop)
        self._is_leader_reachable = True  # the last report reached a leader
        self._stats_at_us = loop.now()
        self._stats_cpu_s = time.process_time()
        self._stats_timer = loop.call_every(STATS_INTERVAL_US, self._log_stats, name="stats")
        self._tasks = [
            loop.spawn(self.watcher.run, name="upstream"),
            loop.spawn(self._report_progress, name="progress reports"),
        ]
        log.info("listening", role="relay", name=name, incarnation=self.incarnation, address=own_address)

    def _create_watcher(self, replicas: Mapping[str, Address], seed: int) -> Watcher:
        return Watcher(
            self._loop,
            ServerPool(
                {replica: _constant(at) for replica, at in replicas.items()},
                RelaySelector(self.name, dict.fromkeys(replicas, ""), "", Random(seed)),
            ),
            self.state,
            self._store_changed,
            self._log,
            WatchSettings(UPSTREAM_WAIT_TIMEOUT_US, UPSTREAM_RATE_BYTES_PER_S, UPSTREAM_MAX_AGE_US),
        )

    def _create_watch_server(self) -> WatchServer:
        return WatchServer(
            self._loop,
            self._store,
            self.watcher.age_us,
            self._member_requested,
            BATCH_INTERVAL_US,
            on_disconnect=self._member_disconnected,
        )

    @property
    def address(self) -> Address:
        """Where this relay listens."""
        return self._server.address

    def stop(self) -> None:
        """Stop; the members fail over to another relay."""
        self._server.stop_accepting()
        self._server.tasks.cancel()
        self._stats_timer.cancel()
        for task in self._tasks:
            task.cancel()
        self.watcher.stop()

    # Downstream

    def _serve(self, exchange: Exchange) -> Response:
        request = exchange.request
        if request.method == "POST" and request.target == WATCH_PATH.encode():
            accept_encoding = request.headers.get("accept-encoding", "")
            return self.watches.handle(request.body, exchange.stream, accept_encoding)
        target = request.target[:MAX_SHOWN_TARGET_BYTES].decode("latin-1")
        return Response(404, body=f"found {request.method} {target}, wanted POST {WATCH_PATH}".encode())

    @staticmethod
    def _protocol_error(error: HttpMessageError) -> Response:
        return Response(error.status, body=str(error).encode())

    def _store(self) -> ConfigStore | None:
        """Return None until the store has been complete once: until then members use another relay."""
        return self.state.store if self.watcher.is_complete else None

    def _store_changed(self, outcome: ApplyOutcome) -> None:
        self.state.mark_applied(self.state.store.revision)
        self.watches.store_changed()

    def _member_requested(self, request: WatchRequest) -> None:
        self.registry.observe(self._loop.now(), request)
        self._wake_if_changed()

    def _member_disconnected(self, last_request: WatchRequest) -> None:
        self.registry.connection_closed(last_request)
        self._wake_if_changed()

    # Upstream

    def _wake_if_changed(self) -> None:
        if self.registry.has_changes:
            self._report_due.set()

    def _report_progress(self) -> None:
        """Report to the leader until cancelled; the next report includes what a lost one had."""
        while True:
            began_us = self._loop.now()
            self._send_report(began_us)
            self._report_due = Event(self._loop)
            self._wake_if_changed()
            pause_us = max(1, began_us + MAX_REPORT_INTERVAL_US - self._loop.now())
            with suppress(WaitTimeoutError), self._loop.timeout(pause_us):
                self._report_due.wait()
            self._loop.sleep(max(0, began_us + MIN_REPORT_INTERVAL_US - self._loop.now()))

    def _send_report(self, now: int) -> None:
        summary = self.registry.next_summary(now, self.state.store.revision)
        try:
            self.registry.handle_response(self._client.report_progress(summary))
        except ControlPlaneUnavailableError as error:
            if self._is_leader_reachable:
                self._log.warning("progress_report_failed", number=summary.number, error=str(error))
            self._is_leader_reachable = False
            return
        if not self._is_leader_reachable:
            self._log.info("progress_report_recovered", number=summary.number, members=summary.member_count)
        self._is_leader_reachable = True

    def _log_stats(self) -> None:
        now, cpu_s = self._loop.now(), time.process_time()
        passed_us, used_s = now - self._stats_at_us, cpu_s - self._stats_cpu_s
        self._stats_at_us, self._stats_cpu_s = now, cpu_s
        counts = self.watches.counts
        self._log.info(
            "relay_stats",
            members=len(self.registry),
            open_watches=self.watches.waiting,
            revision=self.state.store.revision,
            age_ms=self.watcher.age_us() // 1000 if self.watcher.is_complete else None,
            pages_encoded=counts.pages_encoded,
            responses=counts.responses,
            idle_timeouts=counts.idle_timeouts,
            rejected=counts.rejected,
            response_bytes=counts.response_bytes,
            cpu_cores=round(used_s * SECOND_US / max(1, passed_us), 4),
        )


def _constant(address: Address) -> Callable[[], Address]:
    return lambda: address
