"""Workers: their weights and hash orders, and how slow, busy or faulty each is against the fleet's usual."""

import math

from walnutpost import interface as api
from walnutpost.policy.state import SAMPLE_SPAN, Function, Request, RouterState, Worker

MASK = (1 << 64) - 1
FLEET_GAIN = 0.02  # weight of one answer in the fleet's pace
SLOW_FROM = 1.5  # times the fleet's usual that leave no room; less weighs as far as others send calls unseen
SAMPLE_PRIOR = 1.0  # samples' worth of trust in the usual
BUSY_MOST, FULL_STRAIN = 20.0, 4.0  # strain of wholly busy cores, before the mean; that of a full answer
FAIL_GAIN, FAIL_FROM = 0.2, 0.25  # weight of an error, twice an answer's; share of errors beyond the fleet's
SUSPECT_FROM = 0.15  # share of errors that makes a worker worn, and second to others for unsafe calls
CROWD_FROM, CROWD_LEAST = 1.3, 1  # times the mean requests out, and so many more, make a worker crowded


def hash_rank(function: int, worker: int, weight: float) -> float:
    """Weighted rendezvous rank, the same at every front end; the highest comes first."""
    x = (function * 0x9E3779B97F4A7C15 + worker * 0xC2B2AE3D27D4EB4F) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    x ^= x >> 31
    return -weight / math.log((x + 1) / (MASK + 2))


class Workers(RouterState):
    def _weight(self, info: api.Worker) -> float:
        """Told size; else the root of its kind's told memory, since more cores are often slower."""
        memory = self._s.memory_by_kind[info.kind : info.kind + 1]
        return info.weight if self._s.weighted else math.sqrt(sum(memory) or 1.0)

    def _hash_order(self, fn: Function) -> list[Worker]:
        if fn.order_of != self._list_number:
            fn.order_of = self._list_number
            fn.order = sorted(self._workers.values(), key=lambda w: -hash_rank(fn.key, w.info.id, w.weight))
        return [w for w in fn.order if w.ready]

    def _settle_late(self, w: Worker, proof: float) -> None:
        """By an answer to what was sent after them, a later start or the end of the worker."""
        if w.late_orders and proof > w.late_orders[-1]:
            self._ration.settle(self._now + self._grace, len(w.late_orders))
            w.late_orders.clear()

    def _forget_gone(self) -> None:
        gone = {i for i, w in self._workers.items() if w.info.state is api.WorkerState.GONE}
        for wid in gone - {a.worker for req in self._requests.values() for a in req.attempts}:
            self._settle_late(self._workers.pop(wid), math.inf)
            for fn in self._functions.values():
                fn.barred.pop(wid, None)
                fn.missed.pop(wid, None)

    def _answered(self, w: Worker, req: Request, e: api.AttemptEnded) -> None:
        busy = dict(zip(self._s.report_fields, e.report, strict=False)).get("busy")
        if busy is not None:  # in a thin slice the best sight of the others' calls
            strain = 1 / (1 + 1 / BUSY_MOST - min(1.0, busy))
            self._strained += FLEET_GAIN * (strain - self._strained)
            self._sample(w, strain / self._strained, 2 * self._others**3)
        if e.outcome is api.Outcome.FULL:
            self._sample(w, FULL_STRAIN, 1)
        elif e.outcome in (api.Outcome.OK, api.Outcome.ERROR):
            self._fault(w, req, e.outcome is api.Outcome.ERROR)

    def _pace(self, req: Request, w: Worker, took: int) -> None:
        self._latency += FLEET_GAIN * (took - self._latency)
        ratio = min(10.0, took / max(1.0, float(req.hint or self._latency)))
        self._fleet += FLEET_GAIN * (ratio - self._fleet)
        self._sample(w, ratio / self._fleet, 1)

    def _sample(self, w: Worker, strain: float, weight: float) -> None:
        w.samples.add(self._now, weight)
        w.strain.add(self._now, weight * strain)

    def _fault(self, w: Worker, req: Request, error: bool) -> None:
        if error and sum(a.outcome is api.Outcome.ERROR for a in req.attempts) > 1:
            return  # it fails everywhere: the request's fault
        self._faults += FAIL_GAIN / 4 * (error - self._faults)  # soon: clients may send what fails everywhere
        gain = FAIL_GAIN if error else FAIL_GAIN / 2
        w.faults, w.fault_at = self._faulty(w) + gain * (error - self._faulty(w)), self._now

    def _faulty(self, w: Worker) -> float:
        return w.faults * math.exp((w.fault_at - self._now) / (SAMPLE_SPAN * self._keep))

    def _fails(self, w: Worker) -> bool:
        return self._faulty(w) > FAIL_FROM + self._faults

    def _suspect(self, w: Worker) -> bool:
        return self._faulty(w) > SUSPECT_FROM + self._faults / 2

    def _slowness(self, w: Worker) -> float:
        """How slow or busy against the fleet's usual: the mean of its samples, few of which weigh little."""
        ratio = (SAMPLE_PRIOR + w.strain.weighed(self._now)) / (SAMPLE_PRIOR + w.samples.weighed(self._now))
        return ratio if abs(ratio - 1) > (SLOW_FROM - 1) * (1 - self._others) else 1.0

    def _worn(self, w: Worker) -> bool:
        """Slow, failing, or far more of this front end's requests out there than elsewhere."""
        usual = self._all_out * w.weight / self._all_weight
        return w.out > CROWD_FROM * usual + CROWD_LEAST or self._slowness(w) > SLOW_FROM or self._suspect(w)
