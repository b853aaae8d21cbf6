"""The list of workers, from the configuration, from a file that is replaced at runtime, or from the fleet.

A new list replaces the previous one of the same source. `_publish` merges the sources; only it passes a list
to the worker client and the gateway.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from walnutpost.config import ConfigError, Site, WorkerConfig, WorkerList, build_endpoint_list, load
from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import Logger, Loop
from walnutpost.fleet.endpoints import EndpointFollower, ListedEndpoint
from walnutpost.gateway import WorkersListed
from walnutpost.interface import ListKind
from walnutpost.workerclient import WorkerClient

US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class _ConfiguredList:
    kind: ListKind
    workers: list[WorkerConfig]


class EndpointLists:
    """Publishes lists of workers with ascending versions; `on_published` receives each one, for captures."""

    def __init__(
        self,
        loop: Loop,
        dispatcher: Dispatcher,
        worker_client: WorkerClient,
        site: Site,
        log: Logger,
        on_published: Callable[[int, list[WorkerConfig]], None] | None = None,
    ) -> None:
        self._loop = loop
        self._dispatcher = dispatcher
        self._worker_client = worker_client
        self._site = site
        self._log = log
        self._on_published = on_published
        self._configured_version = -1
        self._published_version = -1
        self._configured: _ConfiguredList | None = None
        self._dynamic: EndpointFollower | None = None
        self._last_error = ""
        self._read_file_state: tuple[int, int, int] | None = None

    def set_configured(self, kind: ListKind, version: int, workers: list[WorkerConfig]) -> None:
        """Publish a list from the configuration or from the file of workers."""
        self._configured_version = version
        self._configured = _ConfiguredList(kind, workers)
        self._publish()

    def set_dynamic(self, follower: EndpointFollower) -> None:
        """Publish the fleet's list. Once this returns, no new work is routed by an older list."""
        self._dynamic = follower
        self._publish()

    def _publish(self) -> None:
        if self._configured is None and self._dynamic is None:
            return
        configured = self._configured or _ConfiguredList(ListKind.CACHED, [])
        workers = configured.workers
        if self._dynamic is not None:
            workers = _merge_dynamic(workers, self._dynamic, self._site)
        endpoints = build_endpoint_list(self._site, workers)
        version = max(self._configured_version, self._published_version + 1)
        self._published_version = version
        tls_names = {worker.name: worker.tls_name for worker in workers if worker.tls_name is not None}
        self._worker_client.update_workers(endpoints.addresses, endpoints.draining, tls_names)
        if self._on_published is not None:
            self._on_published(version, workers)
        self._dispatcher.feed(WorkersListed(configured.kind, version, endpoints.workers))

    def read_file(self, path: Path, kind: ListKind = ListKind.FULL) -> bool:
        """Publish the file's list if the file has changed; return whether it was published.

        If the new list is invalid or has an older version, the previous one stays in use.
        """
        try:
            stat = path.stat()
            file_state = (stat.st_mtime_ns, stat.st_ino, stat.st_size)
            if file_state == self._read_file_state:
                return False
            listed = load(path, WorkerList)
        except (OSError, ConfigError) as error:
            self._reject(str(error))
            return False
        self._read_file_state = file_state
        if listed.version < self._configured_version:
            self._reject(
                f"{path}: version {listed.version} is older than {self._configured_version}, which is in use"
            )
            return False
        self._last_error = ""
        self.set_configured(kind, listed.version, listed.workers)
        return True

    def _reject(self, error: str) -> None:
        """Log an error unless it is the same as at the previous poll."""
        if error != self._last_error:
            self._last_error = error
            self._log.warning("worker_list_rejected", error=error)

    def watch_file(self, path: Path, poll_interval_us: int) -> None:
        """Poll the file until cancelled."""
        while True:
            self._loop.sleep(poll_interval_us)
            self.read_file(path)


def _merge_dynamic(workers: list[WorkerConfig], follower: EndpointFollower, site: Site) -> list[WorkerConfig]:
    configured = {worker.name: worker for worker in workers}
    configured_endpoints = [
        ListedEndpoint(
            worker.name,
            worker.address,
            worker.zone,
            round(worker.started_at * US_PER_S),
            worker.state == "draining",
        )
        for worker in workers
    ]
    merged = []
    for endpoint in follower.merge(configured_endpoints):
        zone = endpoint.zone if endpoint.zone in site.zones else None
        worker = configured.get(endpoint.name) or WorkerConfig(
            name=endpoint.name, address=endpoint.address, zone=zone
        )
        state = "draining" if endpoint.is_draining else "ready"
        changed = {
            "address": endpoint.address,
            "state": state,
            "started_at": endpoint.started_at_us / US_PER_S,
        }
        merged.append(worker.model_copy(update=changed))
    return merged
