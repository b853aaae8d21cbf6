"""Arbitrary legal orders of events; the rules are checked on the actions alone."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from walnutpost import interface as api
from walnutpost.policy import hash_rank
from walnutpost.testsupport.policy.harness import SECOND, SETTINGS, Rig, worker

RATIONED = replace(
    SETTINGS,
    guards=replace(
        SETTINGS.guards, free_load_orders=2.0, load_orders_per_request=0.2, load_order_window_us=5 * SECOND
    ),
)
SITES = st.builds(
    lambda loads, parallel: replace(
        RATIONED, loads_on_miss=loads, limits=replace(RATIONED.limits, may_run_parallel_attempts=parallel)
    ),
    st.booleans(),
    st.booleans(),
)
STEP = st.tuples(st.sampled_from("rrrreeeehhtlg"), st.integers(0, 10_000), st.integers(0, 2_000_000))
NEVER_RAN = {api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.MOOT, api.Outcome.MISS}
KINDS = [o for o in api.Outcome if o is not api.Outcome.OK] + [api.Outcome.OK] * 8


class Referee:
    """Plays the outside and notes every action against the rules."""

    def __init__(self, site: api.Settings, seed: int) -> None:
        self.site = site
        self.rig = Rig(workers=4, settings=site, seed=seed)
        self.open: dict[int, tuple[int, int]] = {}
        self.attempts: dict[int, list[api.Outcome | None]] = {}
        self.out: list[tuple[int, int, int]] = []
        self.orders_out: list[api.LoadOrder] = []
        self.ordered: list[int] = []
        self.taken: list[int] = []
        self.states = dict.fromkeys(range(1, 5), api.WorkerState.READY)
        self.timers: list[int] = []

    def check(self, actions: list[api.Action]) -> None:
        now = self.rig.now
        for action in actions:
            match action:
                case api.Send(rid, wid, timeout):
                    cls, expires = self.open[rid]
                    assert self.states[wid] is api.WorkerState.READY
                    assert now < expires
                    assert 0 < timeout <= expires - now
                    earlier = self.attempts[rid]
                    assert len(earlier) < self.site.limits.max_attempts
                    if self.site.classes[cls].effect is api.Effect.UNSAFE:
                        assert all(o in NEVER_RAN for o in earlier)
                    if not self.site.limits.may_run_parallel_attempts:
                        assert None not in earlier
                    self.out.append((rid, len(earlier), wid))
                    earlier.append(None)
                case api.Reject(rid, _) | api.Fail(rid):
                    cls, _ = self.open.pop(rid)  # a second answer finds nothing
                    if isinstance(action, api.Reject) and self.site.classes[cls].effect is api.Effect.UNSAFE:
                        assert all(o in NEVER_RAN for o in self.attempts[rid])
                case api.LoadOrder(wid, _, copies):
                    self.orders_out.append(action)
                    if copies:
                        assert self.states[wid] is api.WorkerState.READY
                        self.ordered.append(now)
                        g = self.site.guards
                        used = len([t for t in self.ordered if t >= now - g.load_order_window_us])
                        took = len([t for t in self.taken if t > now - g.load_order_window_us])
                        assert used <= g.free_load_orders + g.load_orders_per_request * took
                case api.Cancel(rid, number):
                    assert number < len(self.attempts[rid])
                case api.SetTimer(delay, _):
                    assert delay > 0
                    self.timers.append(now + delay)

    def sums_hold(self) -> None:
        """What the router keeps as it goes equals what it would find by looking at everything afresh."""
        router = self.rig.router
        assert (
            router.endpoints.total_in_flight
            == len(self.out)
            == sum(w.in_flight for w in router.endpoints.workers.values())
        )
        assert router.endpoints.total_weight == sum(w.weight for w in router.endpoints.workers.values())
        for fn in router.functions.by_key.values():
            afresh = sorted(
                (w for w in router.endpoints.workers.values() if w.is_ready),
                key=lambda w: -hash_rank(fn.key, w.info.id, router.endpoints.weight_of(w.info)),
            )
            assert router.endpoints.hash_order(fn) == afresh

    def advance(self, span: int) -> None:
        end = self.rig.now + span
        while due := [t for t in self.timers if t <= end]:
            self.rig.now = max(self.rig.now, min(due))
            self.timers.remove(min(due))
            self.check(self.rig.feed(api.TimerDue(1)))
        self.rig.now = end
        for rid, (_, expires) in self.open.items():
            assert expires + self.site.guards.answer_slack_us >= end, f"request {rid} was lost"

    def step(self, kind: str, pick: int, span: int) -> None:
        self.advance(span if kind == "t" else span // 40)
        if kind == "r":
            rid, cls, left = len(self.attempts) + 1, pick % 2, 100_000 + (pick * 331) % 2_900_000
            self.open[rid], self.attempts[rid] = (cls, self.rig.now + left), []
            self.taken.append(self.rig.now)
            event = api.RequestArrived(rid, cls, 0, pick % 5, left, None, 300.0, 1 + pick % 2, 0, False)
            self.check(self.rig.feed(event))
        elif kind == "e" and self.out:
            rid, number, wid = self.out.pop(pick % len(self.out))
            outcome = KINDS[pick % len(KINDS)]
            self.attempts[rid][number] = outcome
            done = outcome is api.Outcome.OK or rid not in self.open
            if done:
                self.open.pop(rid, None)
            warmth = api.Warmth(pick % 4)
            ended = api.AttemptEnded(rid, number, wid, outcome, 50_000, done, warmth, 0, ())
            self.check(self.rig.feed(ended))
        elif kind == "h" and self.orders_out:
            order = self.orders_out.pop(pick % len(self.orders_out))
            outcome = [api.Outcome.OK, api.Outcome.OK, api.Outcome.FULL, api.Outcome.RESET][pick % 4]
            ended_order = api.LoadOrderEnded(order.worker, order.function, outcome, 400_000, pick % 3)
            self.check(self.rig.feed(ended_order))
        elif kind == "l":
            wid, state = 1 + pick % 4, list(api.WorkerState)[pick % 3]
            self.states[wid] = state
            started = self.rig.now if pick % 2 else 0
            self.check(self.rig.list_workers(api.ListKind.DELTA, worker(wid, state, started)))
        elif kind == "g" and self.open:
            rid = list(self.open)[pick % len(self.open)]
            del self.open[rid]
            self.check(self.rig.feed(api.RequestCancelled(rid)))


@settings(
    max_examples=150, deadline=None, derandomize=True, database=None, suppress_health_check=list(HealthCheck)
)
@given(SITES, st.integers(0, 1000), st.lists(STEP, min_size=20, max_size=150))
def test_rules_hold_under_any_order_of_events(
    site: api.Settings, seed: int, steps: list[tuple[str, int, int]]
) -> None:
    referee = Referee(site, seed)
    for step in steps:
        referee.step(*step)
        referee.sums_hold()
    referee.advance(4 * SECOND)
    assert not referee.open, "a request was never answered"
