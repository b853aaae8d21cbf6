"""A running front end: its parts, and its graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.config import Config, build_own_schedules
from walnutpost.daemon.background_tasks import BackgroundTasks
from walnutpost.daemon.call_counter import CallCounter
from walnutpost.daemon.config_watch import ConfigWatch
from walnutpost.daemon.deferred import DeferredCalls
from walnutpost.daemon.endpoint_lists import EndpointLists
from walnutpost.daemon.fleet import FleetMembership
from walnutpost.daemon.metering import UsageMetering
from walnutpost.daemon.replication import JournalReplication
from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import Logger, Loop, WaitTimeoutError
from walnutpost.fronts.cron import CronFront
from walnutpost.gateway import Catalogue
from walnutpost.http import Server
from walnutpost.store import ExecutionStore
from walnutpost.workerclient import WorkerClient

STOP_POLL_INTERVAL_US = 20_000
STOP_METERING_TIMEOUT_US = 2_000_000


@dataclass(eq=False, kw_only=True, slots=True)
class FrontEnd:
    """The parts of a running front end, as started by `composition.build_front_end`.

    A part is None if the configuration lacks its section. `recovered_calls` is the number of deferred calls
    that the previous process left open.
    """

    loop: Loop
    log: Logger
    shutdown_timeout_us: int
    server: Server
    dispatcher: Dispatcher
    deferred: DeferredCalls
    store: ExecutionStore
    catalogue: Catalogue
    worker_client: WorkerClient
    endpoint_lists: EndpointLists
    cron: CronFront
    tasks: BackgroundTasks
    replication: JournalReplication | None
    metering: UsageMetering | None
    fleet: FleetMembership | None
    call_counter: CallCounter | None
    config_watch: ConfigWatch | None
    recovered_calls: int

    @property
    def address(self) -> tuple[str, int]:
        """The address at which the front end listens for clients."""
        return self.server.address

    def reload(self, config: Config) -> None:
        """Apply the schedules of a changed configuration; all other changes need a restart."""
        self.cron.replace_schedules(build_own_schedules(config))

    def stop(self) -> None:
        """Shut down gracefully: accept no new connections, and wait up to `shutdown_timeout_us` for calls.

        Deferred calls that have not ended by then are on disk, and the next start recovers them. An unsafe
        call that was already being sent fails at that start.
        """
        self.server.stop_accepting()
        deadline_us = self.loop.now() + self.shutdown_timeout_us
        while self._is_busy() and self.loop.now() < deadline_us:
            self.loop.sleep(STOP_POLL_INTERVAL_US)
        self.tasks.cancel_all()
        if self.config_watch is not None:
            self.config_watch.stop()
        if self.replication is not None:
            self.replication.close()
        self._stop_metering()
        self.log.info(
            "stopped",
            open_connections=len(self.server.streams),
            open_deferred_calls=self.deferred.open_calls.running,
        )

    def _stop_metering(self) -> None:
        metering = self.metering
        if metering is None:
            return
        try:
            with self.loop.timeout(STOP_METERING_TIMEOUT_US):
                metering.stop()
        except WaitTimeoutError:
            self.log.warning("usage_final_collection_timed_out")

    def _is_busy(self) -> bool:
        has_open_requests = any(self.server.streams.values())
        has_open_calls = self.dispatcher.open_calls > 0
        return has_open_requests or has_open_calls or self.deferred.open_calls.pending_writes > 0

    def close(self) -> None:
        """Close the files. Call this after the event loop has ended."""
        self.store.close()
        if self.metering is not None:
            self.metering.close()
