"""The known workers, their weights and totals, and the hash order that all front ends share."""

import math

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.functions import Function
from walnutpost.policy.workers import Worker

MASK_64 = (1 << 64) - 1


def hash_rank(function: int, worker: int, weight: float) -> float:
    """Return the weighted rendezvous rank of a worker for a function; the highest rank comes first.

    All front ends compute the same rank. The hash is the finalizer of SplitMix64 (Steele, Lea & Flood 2014);
    `-weight / ln(uniform)` gives each worker a share of the functions that is proportional to its weight.
    """
    x = (function * 0x9E3779B97F4A7C15 + worker * 0xC2B2AE3D27D4EB4F) & MASK_64
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK_64
    x ^= x >> 31
    return -weight / math.log((x + 1) / (MASK_64 + 2))


class Endpoints:
    """Table of the known workers; its totals are kept up to date instead of summed for each decision."""

    __slots__ = ("_settings", "list_version", "ready_count", "total_in_flight", "total_weight", "workers")

    def __init__(self, context: DecisionContext) -> None:
        self._settings = context.settings
        self.workers: dict[int, Worker] = {}
        self.ready_count = 0
        self.total_weight = 1.0
        self.total_in_flight = 0
        self.list_version = 0  # increases when the set of workers or a weight changes, not with each list

    def weight_of(self, info: api.Worker) -> float:
        """Return the weight from the list, or else the square root of the memory (MB) of the worker's kind.

        The square root allows for large workers often having slower cores.
        """
        if self._settings.has_endpoint_weights:
            return info.weight
        memory_mb = self._settings.memory_mb_by_kind[info.kind : info.kind + 1]
        return math.sqrt(sum(memory_mb) or 1.0)

    def weights(self) -> dict[int, float]:
        """Return the weight of each worker, by worker ID."""
        return {worker_id: worker.weight for worker_id, worker in self.workers.items()}

    def hash_order(self, function: Function) -> list[Worker]:
        """Return the ready workers in descending rendezvous rank for the function."""
        if function.hash_order_version != self.list_version:
            function.hash_order_version = self.list_version
            function.hash_order = sorted(
                self.workers.values(), key=lambda w: -hash_rank(function.key, w.info.id, w.weight)
            )
        return [w for w in function.hash_order if w.is_ready]

    def update_totals(self, weights_before: dict[int, float]) -> None:
        """Recompute the totals after a list; invalidate hash orders only if a worker or a weight changed."""
        if weights_before != self.weights():
            self.list_version += 1
        self.ready_count = sum(w.is_ready for w in self.workers.values())
        self.total_weight = sum(w.weight for w in self.workers.values())

    def attempt_started(self, worker: Worker) -> None:
        """Add one attempt in flight at the worker."""
        worker.in_flight += 1
        self.total_in_flight += 1

    def attempt_ended(self, worker: Worker) -> None:
        """Remove one attempt in flight at the worker."""
        worker.in_flight -= 1
        self.total_in_flight -= 1
