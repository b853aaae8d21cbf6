"""The workers of the list with their weights and totals, and the hash order that all front ends share."""

import math

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.functions import Function
from walnutpost.policy.workers import Worker

MASK_64 = (1 << 64) - 1


def hash_rank(function: int, worker: int, weight: float) -> float:
    """Return the weighted rendezvous rank, the same at every front end; the highest comes first.

    The hash is the finalizer of SplitMix64 (Steele, Lea & Flood 2014); `-weight / ln(uniform)` gives each
    worker a share of the functions that is proportional to its weight.
    """
    x = (function * 0x9E3779B97F4A7C15 + worker * 0xC2B2AE3D27D4EB4F) & MASK_64
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK_64
    x ^= x >> 31
    return -weight / math.log((x + 1) / (MASK_64 + 2))


class Endpoints:
    """The known workers. The totals are maintained as they change, not summed at each decision."""

    __slots__ = ("_settings", "list_version", "ready_count", "total_in_flight", "total_weight", "workers")

    def __init__(self, context: DecisionContext) -> None:
        self._settings = context.settings
        self.workers: dict[int, Worker] = {}
        self.ready_count = 0
        self.total_weight = 1.0
        self.total_in_flight = 0
        self.list_version = 0  # counts changes of the workers or their weights, not lists

    def weight_of(self, info: api.Worker) -> float:
        """Return the size from the list, else the root of its kind's memory: more cores are often slower."""
        if self._settings.has_weights:
            return info.weight
        memory_mb = self._settings.memory_mb_by_kind[info.kind : info.kind + 1]
        return math.sqrt(sum(memory_mb) or 1.0)

    def weights(self) -> dict[int, float]:
        """Return the weight of each worker, by number."""
        return {worker_id: worker.weight for worker_id, worker in self.workers.items()}

    def hash_order(self, function: Function) -> list[Worker]:
        """Return the ready workers in the function's rendezvous order."""
        if function.hash_order_version != self.list_version:
            function.hash_order_version = self.list_version
            function.hash_order = sorted(
                self.workers.values(), key=lambda w: -hash_rank(function.key, w.info.id, w.weight)
            )
        return [w for w in function.hash_order if w.is_ready]

    def update_totals(self, weights_before: dict[int, float]) -> None:
        """Recompute the totals after a list; hash orders stay unless a worker or a weight changed."""
        if weights_before != self.weights():
            self.list_version += 1
        self.ready_count = sum(w.is_ready for w in self.workers.values())
        self.total_weight = sum(w.weight for w in self.workers.values())

    def attempt_started(self, worker: Worker) -> None:
        """Count one more attempt in flight."""
        worker.in_flight += 1
        self.total_in_flight += 1

    def attempt_ended(self, worker: Worker) -> None:
        """Count one attempt in flight less."""
        worker.in_flight -= 1
        self.total_in_flight -= 1
