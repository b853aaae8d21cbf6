"""One relay: caches the configuration store, serves watches of it, reports members' progress to the leader.

It has no disk and no state that outlives it: members of a relay that is lost continue at another relay.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

from walnutpost.configstore import (
    MAX_LOG_BYTES,
    MAX_LOG_CHANGE_SETS,
    WATCH_PATH,
    ApplyOutcome,
    ConfigStore,
    WatchState,
)
from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.controlplane import ControlPlaneClient
from walnutpost.eventloop import Logger, Loop
from walnutpost.http import Exchange, HttpMessageError, Limits, Response, Server
from walnutpost.http.server import start_server
from walnutpost.relay.progress_reports import ProgressReports
from walnutpost.relay.stats import RelayStats
from walnutpost.watch import ServerPool, Watcher, WatcherSettings, WatchServer

Address = tuple[str, int]
SECOND_US = 1_000_000
UPSTREAM_SETTINGS = WatcherSettings(
    wait_timeout_us=SECOND_US,
    rate_bytes_per_s=4_000_000,  # a full snapshot within seconds of a start
    # Short, so that a relay fails over from a lost or isolated replica before members notice.
    max_server_age_us=5 * SECOND_US // 2,
)
BATCH_INTERVAL_US = 200_000
"""Changes within this time are one response."""
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


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """The settings of a relay's process.

    `replicas`: addresses of the control plane; one of them is watched, the leader gets the reports.
    `seed`: the incarnation of this process; no two of one name may have the same.
    `address`: where members reach this relay, as reported to the leader; empty for where it listens.
    """

    name: str
    replicas: Mapping[str, Address]
    listen: Address
    seed: int
    address: str = ""

    @property
    def incarnation(self) -> str:
        """The incarnation as reported to the leader."""
        return f"{self.seed & INCARNATION_BITS:012x}"


@dataclass(frozen=True, slots=True)
class RelayParts:
    """The parts of a relay: the store of `state`, kept up to date by `watcher` and served by `watches`.

    `reports`: reports the members in `registry` to the leader.
    `server`: accepts the members' connections.
    """

    state: WatchState
    watcher: Watcher
    watches: WatchServer
    registry: MemberRegistry
    reports: ProgressReports
    server: Server


class Relay:
    """A running relay; see `start_relay`."""

    def __init__(self, loop: Loop, settings: RelaySettings, parts: RelayParts, log: Logger) -> None:
        self.name = settings.name
        self.incarnation = settings.incarnation
        self.state = parts.state
        self.watcher = parts.watcher
        self.watches = parts.watches
        self.registry = parts.registry
        self._server = parts.server
        stats = RelayStats(loop, parts.state, parts.watcher, parts.watches, parts.registry, log)
        self._stats_timer = loop.call_every(STATS_INTERVAL_US, stats.log_stats, name="stats")
        self._tasks = [
            loop.spawn(parts.watcher.run, name="upstream"),
            loop.spawn(parts.reports.run, name="progress reports"),
        ]

    @property
    def address(self) -> Address:
        """Where this relay listens."""
        return self._server.address

    @property
    def open_connections(self) -> int:
        """The number of connections that members have open."""
        return len(self._server.streams)

    def stop(self) -> None:
        """Stop; the members fail over to another relay."""
        self._server.stop_accepting()
        self._server.tasks.cancel()
        self._stats_timer.cancel()
        for task in self._tasks:
            task.cancel()
        self.watcher.stop()


def start_relay(loop: Loop, settings: RelaySettings, log: Logger) -> Relay:
    """Build a relay's parts, listen and start; raises OSError if it can't listen.

    The parts refer to each other: callbacks use parts that are built after them. None is called before all
    are built, because this function does not give up its turn of the loop.
    """
    state = WatchState("", settings.incarnation, loop.now(), MAX_LOG_CHANGE_SETS, MAX_LOG_BYTES)

    def store_changed(_outcome: ApplyOutcome) -> None:
        state.mark_applied(state.store.revision)
        watches.store_changed()

    def complete_store() -> ConfigStore | None:
        """Return None until the store has been complete once: until then members use another relay."""
        return state.store if watcher.is_complete else None

    watcher = Watcher(loop, _upstream_servers(settings), state, store_changed, log, UPSTREAM_SETTINGS)
    server = start_server(
        loop,
        settings.listen,
        lambda exchange: _respond(watches, exchange),
        _protocol_error,
        LIMITS,
        role="relay",
        log=log,
    )
    own_address = "{}:{}".format(*server.address)
    registry = MemberRegistry(settings.name, settings.incarnation, settings.address or own_address)
    client = ControlPlaneClient(loop, settings.replicas, REPORT_TIMEOUT_US, REPORT_ATTEMPT_TIMEOUT_US)
    reports = ProgressReports(loop, registry, client, lambda: state.store.revision, log)
    watches = WatchServer(loop, complete_store, watcher.age_us, reports, BATCH_INTERVAL_US)
    relay = Relay(loop, settings, RelayParts(state, watcher, watches, registry, reports, server), log)
    log.info("listening", role="relay", name=relay.name, incarnation=relay.incarnation, address=own_address)
    return relay


def _upstream_servers(settings: RelaySettings) -> ServerPool:
    return ServerPool(
        {replica: _constant(address) for replica, address in settings.replicas.items()},
        RelaySelector(settings.name, dict.fromkeys(settings.replicas, ""), "", Random(settings.seed)),
    )


def _respond(watches: WatchServer, exchange: Exchange) -> Response:
    request = exchange.request
    if request.method == "POST" and request.target == WATCH_PATH.encode():
        accept_encoding = request.headers.get("accept-encoding", "")
        return watches.handle(request.body, exchange.stream, accept_encoding)
    target = request.target[:MAX_SHOWN_TARGET_BYTES].decode("latin-1")
    return Response(404, body=f"found {request.method} {target}, wanted POST {WATCH_PATH}".encode())


def _protocol_error(error: HttpMessageError) -> Response:
    return Response(error.status, body=str(error).encode())


def _constant(address: Address) -> Callable[[], Address]:
    return lambda: address
