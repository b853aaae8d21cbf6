"""Where each request goes, and the choke points for sends and final answers."""

from collections.abc import Callable
from itertools import islice

from walnutpost import interface as api
from walnutpost.policy.loading import LOAD_OVERDUE, RATION_HELD, RATION_OVERFLOW, Loading
from walnutpost.policy.state import NEVER_RAN, Attempt, Copy, Function, Request, Worker

EXPECT_WIDTH, EXPECT_KEPT = 2, 2  # places of the hash order looked at; attempts kept for copies
MISS_TRUST = 0.5  # of the usual load: how long a miss is believed; others may order a load meanwhile
SLOW_START_CAUTION = 0.62  # of the derived budget: workers differ, and so do the front ends' slices
TURN_STEP, TURN_SPANS = 0.7548776662, 2  # irrational, so turns fall evenly on front ends; spans one lasts


class Placing(Loading):
    def _place(self, req: Request) -> None:
        """The design's path: least-busy warm worker, over target too; hold only while nothing is warm."""
        worker = self._choose(req)
        if worker is None and self._others and (expected := self._expected(req)) is not None:
            return self._send(req, expected)
        over = worker is None or self._over(req.fn, worker) or len(req.fn.copies) < self._spread(req.fn)
        if worker is None:
            req.fn.held[req.id] = None
        else:
            self._send(req, worker)
        self._scale_up(req.fn) if over else None

    def _choose(self, req: Request) -> Worker | None:
        unsafe = req.cls.effect is api.Effect.UNSAFE

        def busy(w: Worker) -> tuple[bool, bool, float, float]:
            load = (w.out + 1) * self._slowness(w) / w.weight
            return unsafe and self._suspect(w), self._over(req.fn, w), load, self._rng.random()

        warm = (w for w in self._warm(req.fn) if self._may_send(req, w) and not (unsafe and self._fails(w)))
        return min(warm, key=busy, default=None)

    def _expected(self, req: Request) -> Worker | None:
        """Where others' copies should stand by the hash order: the call itself looks there."""
        fn, unsafe = req.fn, req.cls.effect is api.Effect.UNSAFE
        left = self._s.limits.max_attempts - EXPECT_KEPT - len(req.attempts)
        if self._s.loads_on_miss or not self._s.may_load or fn.pending or left <= 0:
            return None
        told = self._now - MISS_TRUST * self._usual_load(fn)
        likely = islice((w for w in self._hash_order(fn) if w.silent_since is None), EXPECT_WIDTH)
        new = (w for w in likely if fn.missed.get(w.info.id, 0) <= told and not (unsafe and self._fails(w)))
        return next((w for w in new if self._may_send(req, w)), None)

    def _release(self, fn: Function) -> None:
        self._depart(fn, self._choose)
        if fn.held:
            self._scale_up(fn)

    def _depart(self, fn: Function, pick: Callable[[Request], Worker | None]) -> None:
        for req in [self._requests[rid] for rid in fn.held]:
            worker = pick(req)
            if worker is not None:
                del fn.held[req.id]
                self._send(req, worker)

    def _scale_up(self, fn: Function) -> None:
        now = self._now
        overdue = LOAD_OVERDUE * self._usual_load(fn)
        barred_until = max(fn.next_try, max(fn.pending.values(), default=-overdue) + overdue)
        if now < barred_until:  # one scale-up at a time, and a back-off after a failed one
            return self._later(barred_until, "wake", fn.key)
        warm = self._warm(fn)
        lacking = self._target(fn, warm) - sum(fn.copies[w.info.id].count for w in warm)
        if warm and self._shortage() > 0:
            lacking = 0  # more copies add no cores, and their loads take some
        lacking = max(lacking, int(all(map(self._worn, warm))))  # one elsewhere if all are slow or crowded
        fit = [w for w in self._hash_order(fn) if w.silent_since is None and not self._overdue(fn, w)]
        known = {**fn.copies, **fn.pending, **{k: t for k, t in fn.barred.items() if t > now}}
        for w in islice((w for w in fit if w.info.id not in known and not self._worn(w)), max(0, lacking)):
            if self._order(fn, w, 1, RATION_HELD if fn.held else RATION_OVERFLOW):
                fn.pending[w.info.id] = now
        if fn.held:
            if now not in fn.pending.values():
                free = (w for w in fit if fn.barred.get(w.info.id, 0) <= now and not self._worn(w))
                self._without_order(fn, list(islice(free, self._s.limits.max_attempts)) or fit)
            self._later(now + self._usual_load(fn) / 4, "wake", fn.key)

    def _without_order(self, fn: Function, order: list[Worker]) -> None:
        """Held requests load at the first of the hash order, or look for what others have loaded."""
        if self._s.loads_on_miss or not self._s.may_load:
            return self._depart(fn, lambda req: next((w for w in order if self._may_send(req, w)), None))
        self._depart(fn, self._expected)
        fn.next_try = int(self._now + self._usual_load(fn) / 4)

    def _may_send(self, req: Request, w: Worker) -> bool:
        """Rules 1 to 4 for one send: unanswered, in time, repeat allowed, worker stays, cold budget kept."""
        if req.done or not w.ready or w.info.id in req.avoid or not self._may_try_again(req):
            return False
        for a in req.attempts:
            if req.cls.effect is api.Effect.KEYED and a.outcome not in NEVER_RAN:
                first, group = self._workers[a.worker].info, req.cls.group
                apart = {api.Group.ZONE: first.zone != w.info.zone, api.Group.CELL: first.cell != w.info.cell}
                if apart.get(group, False) or self._now - a.sent > req.cls.window:
                    return False
        return self._slow_start_room(w)

    def _may_try_again(self, req: Request) -> bool:
        limits, safe = self._s.limits, req.cls.effect is not api.Effect.UNSAFE
        left = len(req.attempts) < limits.max_attempts and self._now < req.expires - self._s.tick
        alone = limits.parallel_tries or all(a.outcome for a in req.attempts)
        return left and alone and (safe or all(a.outcome in NEVER_RAN for a in req.attempts))

    def _slow_start_room(self, w: Worker) -> bool:
        """Rule 4: this front end's part of what a cold worker bears within any span, by what warm ones serve.
        A part below one send is a turn in so many, which begin at different times at each front end."""
        now, g = self._now, self._s.guards
        while w.sends and w.sends[0] < now - g.overload_for - self._grace:
            w.sends.popleft()
        if not self._cold(w):
            return True
        strength = g.start_capacity + (1 - g.start_capacity) * max(0, now - w.started) / g.cold_for
        rate = self._served.lately(now, max(now - self._began, g.overload_for)) / (self._ready or 1)
        budget = SLOW_START_CAUTION * g.overload_factor * strength * rate * g.overload_for
        place = now / (TURN_SPANS * g.overload_for) + (self._s.index + w.info.id) * TURN_STEP
        return len(w.sends) + place // 1 * TURN_STEP % 1 < budget

    def _cold(self, w: Worker) -> bool:
        return 0 < w.started > self._now - self._s.guards.cold_for and self._s.guards.overload_for > 0

    def _send(self, req: Request, w: Worker) -> None:
        if not self._may_send(req, w):
            return
        now, wid, fn, g = self._now, w.info.id, req.fn, self._s.guards
        ran = (a.sent for a in req.attempts if a.outcome not in NEVER_RAN)
        ends = [req.expires - self._s.tick]
        ends += [sent + req.cls.window for sent in ran if req.cls.effect is api.Effect.KEYED]
        ends += [now + span for span in (g.drain_grace, self._cold(w) * self._grace) if span]
        copy = fn.copies.setdefault(wid, Copy(now))
        copy.touched = now
        req.attempts.append(Attempt(wid, now, copy.sure))
        fn.out[wid] += 1
        w.out += 1
        self._all_out += 1
        w.heard = now if w.out == 1 else w.heard
        w.sends.append(now)
        self._actions.append(api.Send(req.id, wid, req.expires - now, max(1, min(ends) - now)))
        self._later(now + self._quiet * self._latency, "watch", wid)

    def _answer(self, req: Request) -> None:
        """Rules 1 and 2: one final answer; a refusal only where trying again is harmless."""
        if req.done:
            return
        effect, ran = req.cls.effect, any(a.outcome not in NEVER_RAN for a in req.attempts)
        dropped = effect is api.Effect.KEYED and req.cls.group is api.Group.ALL  # repeats, by all workers
        harmless = effect is api.Effect.SAFE or dropped or not ran
        after = min(self._s.limits.max_retry_after, req.cls.aim // 4) if self._s.limits.retry_after else 0
        self._actions.append(api.Refuse(req.id, after) if harmless else api.Fail(req.id))
        self._close(req)

    def _close(self, req: Request) -> None:
        for number, a in enumerate(req.attempts):
            if not (a.outcome or req.done or req.cls.stream) and self._s.limits.cancel:
                self._actions.append(api.Cancel(req.id, number))
        req.done = True
        req.fn.held.pop(req.id, None)
        if all(a.outcome for a in req.attempts):
            del self._requests[req.id]
