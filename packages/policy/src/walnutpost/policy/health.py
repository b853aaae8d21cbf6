"""How slow, busy or faulty each worker is against the fleet's usual."""

import math

from walnutpost import interface as api
from walnutpost.interface import Outcome
from walnutpost.policy.state import Request, Worker
from walnutpost.policy.workers import Workers

FLEET_GAIN = 0.02  # weight of one answer in the fleet's pace
SLOW_FROM = 1.5  # times the fleet's usual that leave no room; less weighs as far as others send calls unseen
SIGN_SPAN, SIGN_PRIOR = 0.5, 1.0  # keep-alives that a sign is news for; signs' worth of trust in the usual
BUSY_MOST, FULL_SIGN = 20.0, 4.0  # strain of wholly busy cores, before the mean; that of a full answer
FAIL_GAIN, FAIL_FROM = 0.2, 0.25  # weight of an error, twice an answer's; share of errors beyond the fleet's
FAULTY_FROM = 0.15  # share of errors that makes a worker worn, and second to others for unsafe calls
CROWD_FROM, CROWD_LEAST = 1.3, 1  # times the mean requests out, and so many more, make a worker crowded


class Health(Workers):
    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._latency = 0.25 * self._aim  # usual, until seen
        self._fleet, self._strained = 1.0, 1.0  # mean pace and strain
        self._faults = 0.0  # share of errors among all answers

    def _answered(self, w: Worker, req: Request, e: api.AttemptEnded) -> None:
        busy = dict(zip(self._s.report_fields, e.report, strict=False)).get("busy")
        if busy is not None:  # in a thin slice the best sight of the others' calls
            strain = 1 / (1 + 1 / BUSY_MOST - min(1.0, busy))
            self._strained += FLEET_GAIN * (strain - self._strained)
            self._sign(w, strain / self._strained, 2 * self._others**3)
        if e.outcome is Outcome.FULL:
            self._sign(w, FULL_SIGN, 1)
        elif e.outcome in (Outcome.OK, Outcome.ERROR):
            self._fault(w, req, e.outcome is Outcome.ERROR)

    def _pace(self, req: Request, w: Worker, took: int) -> None:
        self._latency += FLEET_GAIN * (took - self._latency)
        ratio = min(10.0, took / max(1.0, float(req.hint or self._latency)))
        self._fleet += FLEET_GAIN * (ratio - self._fleet)
        self._sign(w, ratio / self._fleet, 1)

    def _sign(self, w: Worker, strain: float, weight: float) -> None:
        fade = math.exp((w.signed_at - self._now) / (SIGN_SPAN * self._keep))
        w.signs, w.strain, w.signed_at = w.signs * fade + weight, w.strain * fade + weight * strain, self._now

    def _fault(self, w: Worker, req: Request, error: bool) -> None:
        if error and sum(a.outcome is Outcome.ERROR for a in req.attempts) > 1:
            return  # it fails everywhere: the request's fault
        self._faults += FAIL_GAIN / 4 * (error - self._faults)  # soon: clients may send what fails everywhere
        gain = FAIL_GAIN if error else FAIL_GAIN / 2
        w.faults, w.fault_at = self._faulty(w) + gain * (error - self._faulty(w)), self._now

    def _faulty(self, w: Worker) -> float:
        return w.faults * math.exp((w.fault_at - self._now) / (SIGN_SPAN * self._keep))

    def _fails(self, w: Worker) -> bool:
        """Far more of its answers are errors than the fleet's. It has little out just because it fails fast,
        so the least-busy choice would feed it; an unsafe call lost there can't be tried again, and waits for
        a copy elsewhere. Fades, so that it is tried again. Harm: a good worker rests after chance errors."""
        return self._faulty(w) > FAIL_FROM + self._faults

    def _suspect(self, w: Worker) -> bool:
        return self._faulty(w) > FAULTY_FROM + self._faults / 2

    def _slowness(self, w: Worker) -> float:
        """How slow or busy against the fleet's usual, by times against the cost hint, told business and full
        answers; old signs fade, few weigh little. Guards against slow, shared and hot machines; few costly
        requests don't show. Harm: chance on few answers."""
        fade = math.exp((w.signed_at - self._now) / (SIGN_SPAN * self._keep))
        ratio = (SIGN_PRIOR + w.strain * fade) / (SIGN_PRIOR + w.signs * fade)
        return ratio if abs(ratio - 1) > (SLOW_FROM - 1) * (1 - self._others) else 1.0

    def _worn(self, w: Worker) -> bool:
        """Slow, or far more of this front end's requests out there than elsewhere: lanes say how many a copy
        takes, not how many copies its worker's cores bear. Guards against hot workers. Harm: more copies."""
        usual = self._all_out * w.weight / self._all_weight
        return w.out > CROWD_FROM * usual + CROWD_LEAST or self._slowness(w) > SLOW_FROM or self._suspect(w)
