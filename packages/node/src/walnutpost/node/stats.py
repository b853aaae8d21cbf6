"""Periodic log events with the node's counters."""

from __future__ import annotations

import os
import time
from pathlib import Path

from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import Logger
from walnutpost.interface import Outcome
from walnutpost.node.clients import Clients
from walnutpost.node.discovery import DiscoveryClient
from walnutpost.node.memory_budget import BYTES_PER_MB
from walnutpost.node.worker_commands import WorkerCommands
from walnutpost.node.worker_pool import WorkerPool

STATS_INTERVAL_US = 5_000_000


class StatsReporter:
    """Logs counters since the start, and the outcomes of attempts since the last report."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clients: Clients,
        pool: WorkerPool,
        workers: WorkerCommands,
        discovery: DiscoveryClient,
        log: Logger,
    ) -> None:
        self._dispatcher = dispatcher
        self._clients = clients
        self._pool = pool
        self._workers = workers
        self._discovery = discovery
        self._log = log

    def report(self) -> None:
        """Log one `node_stats` event and one `attempt_stats` event."""
        self._report_counts()
        self._report_attempts()

    def _report_counts(self) -> None:
        answers = self._dispatcher.answers
        self._log.info(
            "node_stats",
            served=answers.served,
            rejected=answers.rejected,
            failed=answers.failed,
            cancelled=answers.abandoned,
            open_requests=self._dispatcher.open_calls,
            client_connections=len(self._clients.connections),
            worker_connections=self._pool.connection_count,
            connections_opened=self._pool.connections_opened,
            load_orders=self._workers.load_orders,
            copy_queries=self._workers.copy_queries,
            discovery_queries=self._discovery.queries,
            delivery_checks=self._pool.delivery_checks,
            undelivered_resets=self._pool.undelivered_resets,
            liveness_checks=self._pool.liveness_checks,
            liveness_timeouts=self._pool.liveness_timeouts,
            malformed_responses=self._pool.malformed_responses,
            invalid_requests=self._clients.invalid_requests,
            malformed_connections=self._clients.malformed_connections,
            overflowed_connections=self._clients.overflowed_connections,
            reclaimed_connections=self._clients.reclaimed_connections,
            rejected_for_memory=self._clients.rejected_for_memory,
            repeated_ids=self._clients.repeated_ids,
            request_memory_bytes=self._clients.request_memory.used_bytes,
            buffer_memory_bytes=self._clients.buffer_memory.used_bytes,
            memory_mb=resident_memory_mb(),
            waiting_connections=len(self._clients.turns),
            longest_turn_wait_ms=self._clients.turns.take_longest_wait_us() // 1000,
            evicted_connections=self._clients.evicted_connections,
            discovery_responses_rejected=self._discovery.rejected_responses,
            cpu_seconds=round(time.process_time(), 2),
        )

    def _report_attempts(self) -> None:
        outcomes = sorted(self._workers.attempt_outcomes.items(), key=_by_worker_and_outcome)
        texts = (f"{worker}:{outcome.value}:{count}" for (worker, outcome), count in outcomes)
        self._log.info("attempt_stats", outcomes=" ".join(texts))
        self._workers.attempt_outcomes.clear()


def resident_memory_mb() -> int:
    """Return the resident size of this process in MB, 0 if the system doesn't tell it."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE") // BYTES_PER_MB


def _by_worker_and_outcome(item: tuple[tuple[str, Outcome], int]) -> tuple[str, str]:
    (worker, outcome), _ = item
    return worker, outcome.value
