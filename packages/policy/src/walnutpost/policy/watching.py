"""Silence: which workers are asked, which are set aside, and what becomes of the work out there."""

from walnutpost import interface as api
from walnutpost.interface import Outcome, WorkerState
from walnutpost.policy.loading import ASK, RATION_HELD
from walnutpost.policy.placing import QUIET_LEAST, QUIET_MOST, Placing
from walnutpost.policy.state import Worker

SET_ASIDE_MOST, TRIAL_AFTER = 0.5, 0.5  # of the ready workers; aims between questions to a silent one


class Watching(Placing):
    def _hear(self, w: Worker) -> None:
        if w.silent_since is not None and self._now - w.silent_since > self._aim:
            w.started = self._now  # it may have restarted: cold until the list tells
            w.sends.clear()
        w.heard, w.asked, w.silent_since = self._now, None, None

    def _watch(self, w: Worker) -> None:
        """A quiet worker with work out is asked for its copies; a live one answers at once, however busy.
        Each latency the calls still out are fewer by e, so the told price of a question sets the wait.
        Guards against machines that vanish without a reset. Harm: late echoes set a busy worker aside."""
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
        if fn is not None and self._order(fn, w, ASK, RATION_HELD):
            w.asked = self._now if w.asked is None else w.asked

    def _broken(self, w: Worker, outcome: Outcome) -> None:
        """A connection may break by itself, and a dead worker takes no new one: after a reset it is asked,
        and set aside if that breaks too. Guards against resets on the way. Harm: the dead get a call more."""
        if outcome is Outcome.RESET and w.asked is None and w.silent_since is None:
            self._question(w)
        else:
            self._silence(w)

    def _silence(self, w: Worker) -> None:
        aside = sum(o.ready and o.silent_since is not None for o in self._workers.values())
        if w.silent_since is None and aside + 1 <= SET_ASIDE_MOST * self._ready:
            w.silent_since, w.asked = self._now, None
            self._actions.append(api.Log(f"worker {w.info.id} set aside as silent, {w.out} requests out"))
            self._void(w)
            self._later(self._now + TRIAL_AFTER * self._aim, "watch", w.info.id)

    def _void(self, w: Worker, rescue: bool = True) -> None:
        """Belief in a worker's copies ends; safe requests out there get another attempt elsewhere."""
        for fn in self._functions.values():
            fn.copies.pop(w.info.id, None)
            fn.pending.pop(w.info.id, None)
        for req in list(self._requests.values()) if rescue else ():
            live = [a.worker for a in req.attempts if a.outcome is None]
            stuck = live and not req.done and req.id not in req.fn.held and set(live) == {w.info.id}
            if stuck and self._may_try_again(req):
                req.avoid.append(w.info.id)
                self._place(req)

    def _leave(self, w: Worker) -> None:
        """From the moment it is told, a draining or gone worker gets neither call nor order."""
        w.ready = False
        self._void(w, rescue=w.info.state is WorkerState.GONE)
