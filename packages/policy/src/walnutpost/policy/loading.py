"""Copies: where they are believed to stand, how many are wanted, and the orders for them."""

import math

from walnutpost import interface as api
from walnutpost.policy.shedding import Shedding
from walnutpost.policy.state import ECHO_LEAST, SHARE_SPAN, Copy, Function, Request, Worker

RATION_HELD, RATION_OVERFLOW, RATION_RENEWAL = 1.0, 0.8, 0.5  # shares of the load ration for each purpose
RENEW_AFTER = 0.6  # of the keep-alive: late enough that traffic mostly renews, early enough to be in time
RENEW_CALLS = 0.75  # in use: so many calls, older ones weighing less; one-offs have fewer by then
ORDER_BACKOFF, ORDER_DOUBLINGS = 0.5, 4  # of the usual load: wait after a failed order, doubled in a row
SPREAD = 8.0  # copies a worker's worth of traffic is spread to
LASTING, RENEWED = 4.0, 3.0  # keep-alives that belief lasts where others' calls renew a copy so often in one
RENEW_GRAIN = 0.03  # keep-alives that renewals are rounded up to: many functions share a timer
PACE_GAIN = 0.2  # weight of one load in the usual
LOAD_OVERDUE = 3.0  # times the usual load after which a scale-up no longer bars the next


class Loading(Shedding):
    def _over(self, fn: Function, w: Worker) -> bool:
        return fn.out.get(w.info.id, 0) >= fn.lanes * fn.copies[w.info.id].count or self._worn(w)

    def _warm(self, fn: Function) -> list[Worker]:
        """Workers believed to hold a copy; belief lapses after the keep-alive unless work is out there."""
        since = self._now - self._keep * (LASTING if self._others_renew(fn) else 1)
        for key in [k for k, c in fn.copies.items() if c.touched < since and k not in fn.out]:
            del fn.copies[key]
        return [w for w in map(self._workers.__getitem__, fn.copies) if w.ready and w.silent_since is None]

    def _usual_load(self, fn: Function) -> float:
        return max(float(fn.load_time), self._load)

    def _target(self, fn: Function, warm: list[Worker]) -> int:
        demand = sum(fn.out.get(w.info.id, 0) for w in warm) + len(fn.held) + 1
        return max(1, math.ceil(demand / fn.lanes), self._spread(fn))

    def _others_renew(self, fn: Function) -> bool:
        return fn.calls.weighed(self._now) / SHARE_SPAN * (self._s.front_ends - 1) >= RENEWED * len(fn.copies)

    def _spread(self, fn: Function) -> int:
        """Copies for a function's share of all calls, less what chance explains."""
        calls = fn.calls.weighed(self._now)
        share = (calls - math.sqrt(calls)) / (self._came.weighed(self._now) + 1)
        return math.ceil(min(SPREAD * share, 1.0) * self._ready * self._others)

    def _renew(self, fn: Function) -> None:
        """Copies in use, up to the target, that traffic has not renewed itself; others lapse."""
        now, warm = self._now, self._warm(fn)
        if fn.calls.weighed(now) >= RENEW_CALLS and not self._others_renew(fn):
            believed = [w for w in self._hash_order(fn) if w in warm]
            for w in believed[: self._target(fn, warm)]:
                if now - fn.copies[w.info.id].touched >= RENEW_AFTER * self._keep * 0.9:
                    self._order(fn, w, 1, RATION_RENEWAL)
        if fn.copies or fn.held or fn.out or fn.pending:
            self._renew_later(fn)
        else:
            del self._functions[fn.key]

    def _renew_later(self, fn: Function) -> None:
        due = min((c.touched for c in fn.copies.values()), default=self._now) + RENEW_AFTER * self._keep
        grain = RENEW_GRAIN * self._keep
        self._later((max(due, self._now + self._keep / 8) // grain + 1) * grain, "renew", fn.key)

    def _back_off(self, fn: Function, worker: int) -> None:
        """Back-off: a refused or failed load is not repeated there soon, nor anywhere after two in a row."""
        fn.failures = min(fn.failures + 1, ORDER_DOUBLINGS)
        step = ORDER_BACKOFF * self._usual_load(fn) * (0.5 + self._rng.random())
        fn.barred[worker] = int(self._now + step * 2**fn.failures * 2)
        fn.next_try = int(self._now + step * (2 ** (fn.failures - 1) - 1))

    def _stands(self, fn: Function, e: api.HoldEnded, ordered: bool) -> None:
        if ordered and e.latency > self._aim * ECHO_LEAST:
            self._load += PACE_GAIN * (e.latency - self._load)
        fn.copies[e.worker] = Copy(self._now, e.copies, True)
        fn.failures = 0

    def _order(self, fn: Function, w: Worker, copies: int, part: float) -> bool:
        """Rules 3 and 5: no order to a leaving worker, and each one that counts stays inside the ration."""
        if not self._s.may_load or (copies and not (w.ready and self._ration.reserve(self._now, part))):
            return False
        w.ordered = w.ordered or self._now
        self._actions.append(api.Hold(w.info.id, fn.key, copies, self._s.guards.drain_grace if copies else 0))
        return True

    def _count(self, req: Request, genuine: bool) -> None:
        """Gives ground for orders, once. Copied or invented requests get nothing but errors of workers."""
        if genuine and req.came is not None:
            self._ration.count_request(req.came)
            req.came = None

    def _overdue(self, fn: Function, w: Worker) -> bool:
        """Silent since an order: it may be cut off, and orders to it hold the ration of the others."""
        return 0 < w.ordered < self._now - LOAD_OVERDUE * self._usual_load(fn)

    def _order_ended(self, w: Worker | None, outcome: api.Outcome) -> None:
        """Without an answer an order may still arrive, until its worker is heard or has left the list."""
        if w is not None and outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET):
            w.late_orders.append(self._now)
        else:
            never_left = outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.MOOT)
            self._ration.settle(0 if never_left else self._now)
