"""The parts joined: each event to those that it concerns, and their actions back."""

from collections import Counter
from collections.abc import Collection
from dataclasses import replace

from walnutpost import interface as api
from walnutpost.policy.state import HEARD_FROM, SAMPLE_SPAN, SHARE_SPAN, Function, Rate, Request, Worker
from walnutpost.policy.watching import Watching


class Router(Watching):
    """One front end's decisions: events in, actions out; the same events give the same actions."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self._now, self._actions = now, []
        if not self._began:
            self._began = now
            self._ration.begin(now)
        match event:
            case api.RequestArrived():
                self._arrive(event)
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.HoldEnded():
                self._hold_ended(event)
            case api.WorkersListed():
                self._listed(event)
            case api.RequestGone(request) if request in self._requests:
                self._requests[request].came = None  # clients may ask and take back by the hundreds
                self._close(self._requests[request])
            case api.ShuttingDown(within):
                self._ends = now + within
                for rid in self._requests:
                    self._later(self._ends - self._s.tick, "deadline", rid)
            case api.AnswerStarted(request) if request in self._requests:
                self._requests[request].done = True
        for what, ref in self._ripe():
            self._due(what, ref)
        return self._actions

    def named(self) -> tuple[Collection[int], Collection[int]]:
        """Functions and workers that actions to come may name; all others may be forgotten outside, too."""
        return self._functions.keys(), self._workers.keys()

    def _due(self, what: str, ref: int) -> None:
        fn, req = self._functions.get(ref), self._requests.get(ref)
        if what == "watch" and ref in self._workers:
            self._watch(self._workers[ref])
        elif what == "list":
            self._actions.append(api.FollowList(True))
        elif what == "deadline" and req:
            self._answer(req)
        elif what == "renew" and fn:
            self._renew(fn)
        elif what == "wake" and fn:
            self._release(fn)

    def _arrive(self, e: api.RequestArrived) -> None:
        now = self._now
        fn = self._functions.setdefault(e.function, Function(e.function, Rate(SHARE_SPAN * self._keep)))
        fn.lanes, fn.load_time = max(1, int(e.lanes)), e.load_time
        self._renew_later(fn)
        self._came.add(now)
        fn.calls.add(now)
        cls = self._s.classes[min(e.class_index, len(self._s.classes) - 1)]
        req = Request(e.request, cls, fn, min(now + e.time_left, self._ends), now - e.waited, e.cost_hint)
        self._requests[e.request] = req
        self._count(req, genuine=self._s.ideal_network)
        crowded = all(self._over(fn, w) for w in self._warm(fn))
        if req.expires <= now or self._sheds(req, e.tenant, crowded):
            return self._answer(req)
        self._later(req.expires - self._s.tick, "deadline", req.id)  # out before the client leaves
        self._place(req)

    def _attempt_ended(self, e: api.AttemptEnded) -> None:
        req = self._requests.get(e.request)
        if req is None or e.attempt >= len(req.attempts) or req.attempts[e.attempt].outcome:
            return
        a, fn, now = req.attempts[e.attempt], req.fn, self._now
        w, copy = self._workers[a.worker], fn.copies.get(a.worker)
        a.outcome = e.outcome
        w.out -= 1
        self._all_out -= 1
        fn.out -= Counter((a.worker,))
        if e.outcome in HEARD_FROM:
            self._hear(w, now - e.latency)
            self._answered(w, req, e)
            self._count(req, genuine=e.outcome is not api.Outcome.ERROR)
        refused_load = e.outcome is api.Outcome.FULL and copy is not None and not copy.sure
        if e.outcome is api.Outcome.OK:
            if copy is not None:
                copy.touched, copy.sure = now, True
            self._served.add(now)
            if a.warm and e.warmth not in (api.Warmth.BEGAN_LOAD, api.Warmth.AWAITED_LOAD):
                self._pace(req, w, e.latency)
        elif e.outcome is api.Outcome.MISS or e.warmth is api.Warmth.LOAD_FAILED or refused_load:
            fn.copies.pop(a.worker, None)
            if e.outcome is not api.Outcome.MISS or e.warmth is api.Warmth.LOAD_FAILED:
                self._back_off(fn, a.worker)
            else:
                fn.missed[a.worker] = now
        elif e.outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            self._broken(w, e.outcome)
        if e.finished or req.done:
            return self._close(req)
        if e.outcome is not api.Outcome.MISS or e.warmth is api.Warmth.LOAD_FAILED:
            req.avoid.append(a.worker)
        if all(o.outcome for o in req.attempts):
            self._place(req) if self._may_try_again(req) else self._answer(req)

    def _hold_ended(self, e: api.HoldEnded) -> None:
        w, fn = self._workers.get(e.worker), self._functions.get(e.function)
        if e.wanted and not self._s.ideal_network:
            self._order_ended(w, e.outcome)
        if w is not None and e.outcome not in (api.Outcome.TIMEOUT, api.Outcome.MOOT):
            self._hear(w, self._now - e.latency) if e.outcome in HEARD_FROM else self._broken(w, e.outcome)
        if w is None or fn is None:
            return
        if e.outcome is api.Outcome.OK and not e.copies:
            fn.copies.pop(e.worker, None) if e.worker not in fn.out else None
            return
        ordered = fn.pending.pop(e.worker, None)
        if e.outcome is api.Outcome.OK and w.ready:
            self._stands(fn, e, ordered is not None)
        elif ordered is not None:
            self._back_off(fn, e.worker)
        self._release(fn)

    def _listed(self, e: api.WorkersListed) -> None:
        if self._s.must_ask_list and (not self._asked_list or e.kind is api.ListKind.FAILED):
            self._later(self._now + self._asked_list * self._s.guards.ask_within / 8, "list", 0)
            self._asked_list = True
        weights = {wid: w.weight for wid, w in self._workers.items()}
        whole, named = e.kind in (api.ListKind.CACHED, api.ListKind.FULL), {info.id for info in e.workers}
        missing = [w.info for wid, w in self._workers.items() if whole and wid not in named]
        for info in (*(replace(info, state=api.WorkerState.GONE) for info in missing), *e.workers):
            fresh = Worker(
                info, info.started_at, Rate(SAMPLE_SPAN * self._keep), Rate(SAMPLE_SPAN * self._keep)
            )
            w = self._workers.setdefault(info.id, fresh)
            restarted = info.started_at > w.info.started_at
            w.info, w.ready, w.weight = info, info.state is api.WorkerState.READY, self._weight(info)
            if restarted:  # after `ready`: what is rescued must not come back to one that drains again
                self._forget_copies(w)
                self._settle_late(w, info.started_at)
                w.started, w.silent_since, w.asked = info.started_at, None, None
                w.samples, w.strain = fresh.samples, fresh.strain
            if not w.ready:
                self._forget_copies(w, rescue=info.state is api.WorkerState.GONE)
        self._forget_gone()
        self._list_number += weights != {i: w.weight for i, w in self._workers.items()}  # else orders stay
        self._ready = sum(w.ready for w in self._workers.values())
        self._all_weight = sum(w.weight for w in self._workers.values())
        for fn in list(self._functions.values()):
            if fn.held:
                self._release(fn)
