"""Silence: which workers are asked, which are set aside, and what becomes of the work out there."""

from walnutpost import interface as api
from walnutpost.policy.loading import RATION_HELD
from walnutpost.policy.placing import Placing
from walnutpost.policy.state import QUIET_LEAST, QUIET_MOST, Worker

SET_ASIDE_MOST, TRIAL_AFTER = 0.5, 0.5  # of the ready workers; aims between questions to a silent one


class Watching(Placing):
    def _hear(self, w: Worker, sent: int) -> None:
        if w.silent_since is not None and self._now - w.silent_since > self._aim:
            w.started = self._now  # it may have restarted: cold until the list tells
        w.heard, w.asked, w.silent_since, w.ordered = self._now, None, None, 0
        self._settle_late(w, sent)

    def _watch(self, w: Worker) -> None:
        """A quiet worker with work out is asked for its copies; a live one answers at once, however busy."""
        now, silent = self._now, w.silent_since is not None
        quiet = min(max(self._quiet * self._latency, QUIET_LEAST * self._aim), QUIET_MOST * self._aim)
        if silent or (w.out and now - w.heard >= quiet):
            if not silent and w.asked is not None and now - w.asked >= self._grace:
                return self._silence(w)
            if w.ready and (silent or w.asked is None):
                self._question(w)
            self._later(now + (TRIAL_AFTER * self._aim if silent else self._grace), "watch", w.info.id)
        elif w.out:
            self._later(w.heard + quiet, "watch", w.info.id)

    def _question(self, w: Worker) -> None:
        fn = next(iter(self._functions.values()), None)
        if fn is not None and self._order(fn, w, 0, RATION_HELD):
            w.asked = self._now if w.asked is None else w.asked

    def _broken(self, w: Worker, outcome: api.Outcome) -> None:
        """One connection may break by itself: after a reset it is asked, and set aside if that breaks too."""
        if outcome is api.Outcome.RESET and w.asked is None and w.silent_since is None:
            self._question(w)
        else:
            self._silence(w)

    def _silence(self, w: Worker) -> None:
        aside = sum(o.ready and o.silent_since is not None for o in self._workers.values())
        if w.silent_since is None and aside + 1 <= SET_ASIDE_MOST * self._ready:
            w.silent_since, w.asked = self._now, None
            self._actions.append(api.Log(f"worker {w.info.id} set aside as silent, {w.out} requests out"))
            self._forget_copies(w)
            self._later(self._now + TRIAL_AFTER * self._aim, "watch", w.info.id)

    def _forget_copies(self, w: Worker, rescue: bool = True) -> None:
        for fn in self._functions.values():
            fn.copies.pop(w.info.id, None)
            fn.pending.pop(w.info.id, None)
        for req in list(self._requests.values()) if rescue else ():
            live = [a.worker for a in req.attempts if a.outcome is None]
            stuck = live and not req.done and req.id not in req.fn.held and set(live) == {w.info.id}
            if stuck and self._may_try_again(req):
                req.avoid.append(w.info.id)
                self._place(req)
