"""A front end node: creates and connects its components, and shuts them down gracefully."""

from __future__ import annotations

from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import Listener, Logger, Loop
from walnutpost.gateway import Catalogue, Gateway, ShuttingDown, WorkersListed
from walnutpost.interface import ListKind
from walnutpost.node.client_limits import ClientLimits
from walnutpost.node.clients import Clients
from walnutpost.node.config import Config
from walnutpost.node.directory import Directory
from walnutpost.node.discovery import DiscoveryClient
from walnutpost.node.memory_budget import client_memory_bytes
from walnutpost.node.open_requests import OpenRequests
from walnutpost.node.stats import STATS_INTERVAL_US, StatsReporter
from walnutpost.node.worker_commands import WorkerCommands
from walnutpost.node.worker_limits import WorkerLimits
from walnutpost.node.worker_pool import WorkerPool

# Shares of the file descriptor limit; the rest is for files and other sockets.
WORKER_DESCRIPTOR_RATIO, CLIENT_DESCRIPTOR_RATIO = 0.4, 0.5
DRAIN_PERIOD_US = 700_000  # after SIGTERM, during which connections and requests keep arriving
# Time from the end of the drain period until SIGKILL may arrive; shorter if the longest deadline is shorter.
MAX_SIGKILL_DELAY_US = 3_000_000
SIGKILL_MARGIN_US = 100_000  # for the last answers to reach their clients
EXIT_TIME_US = 100_000  # for the process to exit after it has answered every request
DRAIN_POLL_INTERVAL_US = 5_000


class Node:
    """A front end, which listens for clients as soon as it is created."""

    def __init__(self, loop: Loop, config: Config, log: Logger) -> None:
        """Start the node.

        Raises EndpointListError if the configured list of workers is invalid, and OSError if it can't bind
        the listen address.
        """
        self._loop = loop
        self._log = log
        gateway = Gateway(config.settings, Catalogue({}, config.tenants, allows_no_tenant=True), config.seed)
        max_deadline_us = max((each.deadline_us for each in config.settings.classes), default=0)
        self._drain_limit_us = (
            DRAIN_PERIOD_US + min(max_deadline_us, MAX_SIGKILL_DELAY_US) - SIGKILL_MARGIN_US
        )
        self.pool = WorkerPool(loop, _worker_limits(config))
        requests = OpenRequests(loop.now)
        self.workers = WorkerCommands(loop, self.pool, requests)
        self.dispatcher = Dispatcher(loop, gateway, self.workers, log)
        self.clients = Clients(
            loop,
            self.dispatcher,
            requests,
            config.settings,
            config.classes,
            config.tenants,
            _client_limits(config),
            log,
        )
        self.directory = Directory(config.topology_names, loop.now)
        self._apply_endpoints(self.directory.apply_known_events(config.known_events))
        self.discovery = DiscoveryClient(
            loop, self.directory, config.dns, config.seed, self._apply_endpoints, log
        )
        self.listener = Listener(loop, config.listen, role="client", free_descriptor=self._free_descriptor)
        self._accepting = loop.spawn(self.clients.accept, self.listener, name="accept")
        stats = StatsReporter(self.dispatcher, self.clients, self.pool, self.workers, self.discovery, log)
        self.periodic_report = loop.call_every(STATS_INTERVAL_US, stats.report, "stats")

    def _free_descriptor(self) -> bool:
        return self.pool.evict_idle() or self.clients.evict()

    def _apply_endpoints(self, endpoints: WorkersListed) -> None:
        self.pool.update_addresses(self.directory.addresses)
        self.dispatcher.feed(endpoints)
        if endpoints.kind is not ListKind.CACHED:
            states = " ".join(f"{worker.name}:{worker.state.value}" for worker in endpoints.workers)
            self._log.info("endpoints_applied", revision=endpoints.version, workers=states)

    def reload(self, config: Config) -> None:
        """Apply the only value that may change while the node runs: the name server's address."""
        self.discovery.set_address(config.dns)
        self._log.info("config_file_reloaded", discovery_address=config.dns)

    def shut_down(self) -> None:
        """Shut down gracefully; must run in a task.

        The node keeps serving for DRAIN_PERIOD_US, then accepts no new connections or requests. Open requests
        get their final answers before SIGKILL may arrive. Returns when all clients have closed their
        connections, or when the time is up.
        """
        started_us = self._loop.now()
        self.clients.is_shutting_down = True
        self.dispatcher.feed(ShuttingDown(self._drain_limit_us))
        self._loop.sleep(DRAIN_PERIOD_US)
        self._accepting.cancel()
        self.clients.accept_queued(self.listener)
        self.listener.close()
        self.clients.drain()
        while self._must_wait_for_clients(started_us + self._drain_limit_us + SIGKILL_MARGIN_US):
            self._loop.sleep(DRAIN_POLL_INTERVAL_US)
        self.discovery.close()

    def _must_wait_for_clients(self, sigkill_at_us: int) -> bool:
        """Return whether the shutdown must keep waiting for client connections.

        It waits for pending answers until SIGKILL may arrive. For idle connections that their clients haven't
        closed, it stops EXIT_TIME_US earlier, so that the process can still exit by itself.
        """
        connections = self.clients.connections
        has_busy_connection = any(not connection.is_idle for connection in connections)
        end_us = sigkill_at_us if has_busy_connection else sigkill_at_us - EXIT_TIME_US
        return bool(connections) and self._loop.now() < end_us


def _client_limits(config: Config) -> ClientLimits:
    return ClientLimits(
        int(config.max_descriptors * CLIENT_DESCRIPTOR_RATIO),
        config.max_open_requests,
        client_memory_bytes(config.memory_mb),
    )


def _worker_limits(config: Config) -> WorkerLimits:
    return WorkerLimits(
        config.connect_timeout_us,
        config.idle_timeout_us,
        config.settings.load_order_timeout_us,
        config.max_streams,
        int(config.max_descriptors * WORKER_DESCRIPTOR_RATIO),
        config.report_fields,
        config.settings.limits.may_cancel,
        config.settings.may_order_loads,
        config.settings.limits.may_probe,
    )
