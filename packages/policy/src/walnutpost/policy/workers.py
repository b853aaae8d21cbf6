"""The worker list: what each worker weighs, and each function's hash order over them."""

import math

from walnutpost import interface as api
from walnutpost.interface import WorkerState
from walnutpost.policy.state import Desk, Function, Worker

MASK = (1 << 64) - 1


def hash_rank(function: int, worker: int, weight: float) -> float:
    """Weighted rendezvous rank, the same at every front end; the highest comes first."""
    x = (function * 0x9E3779B97F4A7C15 + worker * 0xC2B2AE3D27D4EB4F) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    x ^= x >> 31
    return -weight / math.log((x + 1) / (MASK + 2))


class Workers(Desk):
    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._workers: dict[int, Worker] = {}
        self._all_out, self._all_weight, self._ready, self._list_number = 0, 1.0, 0, 0  # kept, not summed

    def _weight(self, info: api.Worker) -> float:
        """Told size; else the root of its kind's told memory, since more cores are often slower."""
        memory = self._s.memory_by_kind[info.kind : info.kind + 1]
        return info.weight if self._s.weighted else math.sqrt(sum(memory) or 1.0)

    def _hash_order(self, fn: Function) -> list[Worker]:
        if fn.order_of != self._list_number:
            fn.order_of = self._list_number
            fn.order = sorted(self._workers.values(), key=lambda w: -hash_rank(fn.key, w.info.id, w.weight))
        return [w for w in fn.order if w.ready]

    def _forget_gone(self) -> None:
        """Guards against memory that grows with each worker replaced, and against gone ones that still weigh
        in the mean of requests out. One that an open request was sent to is kept: repeats look at it."""
        gone = {i for i, w in self._workers.items() if w.info.state is WorkerState.GONE}
        for wid in gone - {a.worker for req in self._requests.values() for a in req.attempts}:
            del self._workers[wid]
            for fn in self._functions.values():
                fn.barred.pop(wid, None)
                fn.missed.pop(wid, None)
