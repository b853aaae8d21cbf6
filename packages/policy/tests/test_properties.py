"""Property test: the router keeps its rules in random sequences of legal events."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from walnutpost import interface as api
from walnutpost.policy import hash_rank
from walnutpost.testsupport.policy.harness import SECOND_US, SETTINGS, RouterHarness, listed_worker

LIMITED_LOAD_ORDERS = replace(
    SETTINGS,
    guards=replace(
        SETTINGS.guards, free_load_orders=2.0, load_orders_per_request=0.2, load_order_window_us=5 * SECOND_US
    ),
)
SETTINGS_VARIANTS = st.builds(
    lambda loads_on_miss, may_run_in_parallel: replace(
        LIMITED_LOAD_ORDERS,
        loads_on_miss=loads_on_miss,
        limits=replace(LIMITED_LOAD_ORDERS.limits, may_run_parallel_attempts=may_run_in_parallel),
    ),
    st.booleans(),
    st.booleans(),
)
# The kind of a step (repeated letters are drawn more often), a random pick, and a duration in microseconds.
STEP = st.tuples(st.sampled_from("rrrreeeehhtlg"), st.integers(0, 10_000), st.integers(0, 2_000_000))
NEVER_RAN = {api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.EXPIRED, api.Outcome.MISS}
OUTCOMES = [o for o in api.Outcome if o is not api.Outcome.OK] + [api.Outcome.OK] * 8


class RuleChecker:
    """Simulates the clients and workers of a router, and checks each of its actions against the rules."""

    def __init__(self, router_settings: api.Settings, seed: int) -> None:
        self.router_settings = router_settings
        self.harness = RouterHarness(workers=4, settings=router_settings, seed=seed)
        self.open_requests: dict[int, tuple[int, int]] = {}  # unanswered requests: class index and deadline
        self.attempts: dict[int, list[api.Outcome | None]] = {}  # outcomes by request, None in flight
        self.in_flight_attempts: list[tuple[int, int, int]] = []  # request, attempt and worker
        self.open_orders: list[api.LoadOrder] = []
        self.order_times_us: list[int] = []
        self.request_times_us: list[int] = []
        self.worker_states = dict.fromkeys(range(1, 5), api.WorkerState.READY)
        self.timer_times_us: list[int] = []

    def check(self, actions: list[api.Action]) -> None:
        """Check actions against the rules and record what they start."""
        now_us = self.harness.now_us
        for action in actions:
            match action:
                case api.Send(request_id, worker_id, timeout_us):
                    class_index, deadline_us = self.open_requests[request_id]
                    assert self.worker_states[worker_id] is api.WorkerState.READY
                    assert now_us < deadline_us
                    assert 0 < timeout_us <= deadline_us - now_us
                    outcomes = self.attempts[request_id]
                    assert len(outcomes) < self.router_settings.limits.max_attempts
                    if self.router_settings.classes[class_index].effect is api.Effect.UNSAFE:
                        assert all(o in NEVER_RAN for o in outcomes)
                    if not self.router_settings.limits.may_run_parallel_attempts:
                        assert None not in outcomes
                    self.in_flight_attempts.append((request_id, len(outcomes), worker_id))
                    outcomes.append(None)
                case api.Reject(request_id, _) | api.Fail(request_id):
                    class_index, _ = self.open_requests.pop(request_id)  # KeyError on a second answer
                    if (
                        isinstance(action, api.Reject)
                        and self.router_settings.classes[class_index].effect is api.Effect.UNSAFE
                    ):
                        assert all(o in NEVER_RAN for o in self.attempts[request_id])
                case api.LoadOrder(worker_id, _, copies):
                    self.open_orders.append(action)
                    if copies:
                        assert self.worker_states[worker_id] is api.WorkerState.READY
                        self.order_times_us.append(now_us)
                        guards = self.router_settings.guards
                        order_count = len(
                            [t for t in self.order_times_us if t >= now_us - guards.load_order_window_us]
                        )
                        request_count = len(
                            [t for t in self.request_times_us if t > now_us - guards.load_order_window_us]
                        )
                        assert (
                            order_count
                            <= guards.free_load_orders + guards.load_orders_per_request * request_count
                        )
                case api.Cancel(request_id, attempt):
                    assert attempt < len(self.attempts[request_id])
                case api.SetTimer(delay_us, _):
                    assert delay_us > 0
                    self.timer_times_us.append(now_us + delay_us)

    def check_totals(self) -> None:
        """Check the values that the router updates incrementally against a fresh computation."""
        router = self.harness.router
        assert (
            router.endpoints.total_in_flight
            == len(self.in_flight_attempts)
            == sum(w.in_flight for w in router.endpoints.workers.values())
        )
        assert router.endpoints.total_weight == sum(w.weight for w in router.endpoints.workers.values())
        for function in router.functions.by_key.values():
            expected_order = sorted(
                (w for w in router.endpoints.workers.values() if w.is_ready),
                key=lambda w: -hash_rank(function.key, w.info.id, router.endpoints.weight_of(w.info)),
            )
            assert router.endpoints.hash_order(function) == expected_order

    def advance(self, duration_us: int) -> None:
        """Advance the clock and run due timers; each open request must be answered by its deadline."""
        end_us = self.harness.now_us + duration_us
        while due := [t for t in self.timer_times_us if t <= end_us]:
            self.harness.now_us = max(self.harness.now_us, min(due))
            self.timer_times_us.remove(min(due))
            self.check(self.harness.feed(api.TimerDue(1)))
        self.harness.now_us = end_us
        for request_id, (_, deadline_us) in self.open_requests.items():
            assert deadline_us + self.router_settings.guards.answer_slack_us >= end_us, (
                f"request {request_id} was lost"
            )

    def step(self, kind: str, pick: int, duration_us: int) -> None:
        """Advance the clock and feed one event.

        Kinds: r request, e end of an attempt, h end of a load order, t timers only, l endpoint list,
        g request cancelled.
        """
        self.advance(duration_us if kind == "t" else duration_us // 40)
        if kind == "r":
            request_id, class_index, time_left_us = (
                len(self.attempts) + 1,
                pick % 2,
                100_000 + (pick * 331) % 2_900_000,
            )
            self.open_requests[request_id], self.attempts[request_id] = (
                (class_index, self.harness.now_us + time_left_us),
                [],
            )
            self.request_times_us.append(self.harness.now_us)
            event = api.RequestArrived(
                request_id, class_index, 0, pick % 5, time_left_us, None, 300.0, 1 + pick % 2, 0, False
            )
            self.check(self.harness.feed(event))
        elif kind == "e" and self.in_flight_attempts:
            request_id, attempt, worker_id = self.in_flight_attempts.pop(pick % len(self.in_flight_attempts))
            outcome = OUTCOMES[pick % len(OUTCOMES)]
            self.attempts[request_id][attempt] = outcome
            is_request_finished = outcome is api.Outcome.OK or request_id not in self.open_requests
            if is_request_finished:
                self.open_requests.pop(request_id, None)
            warmth = api.Warmth(pick % 4)
            ended = api.AttemptEnded(
                request_id, attempt, worker_id, outcome, 50_000, is_request_finished, warmth, 0, ()
            )
            self.check(self.harness.feed(ended))
        elif kind == "h" and self.open_orders:
            order = self.open_orders.pop(pick % len(self.open_orders))
            outcome = [api.Outcome.OK, api.Outcome.OK, api.Outcome.FULL, api.Outcome.RESET][pick % 4]
            ended_order = api.LoadOrderEnded(order.worker, order.function, outcome, 400_000, pick % 3)
            self.check(self.harness.feed(ended_order))
        elif kind == "l":
            worker_id, state = 1 + pick % 4, list(api.WorkerState)[pick % 3]
            self.worker_states[worker_id] = state
            started_at_us = self.harness.now_us if pick % 2 else 0
            self.check(
                self.harness.send_worker_list(
                    api.ListKind.DELTA, listed_worker(worker_id, state, started_at_us)
                )
            )
        elif kind == "g" and self.open_requests:
            request_id = list(self.open_requests)[pick % len(self.open_requests)]
            del self.open_requests[request_id]
            self.check(self.harness.feed(api.RequestCancelled(request_id)))


@settings(
    max_examples=150, deadline=None, derandomize=True, database=None, suppress_health_check=list(HealthCheck)
)
@given(SETTINGS_VARIANTS, st.integers(0, 1000), st.lists(STEP, min_size=20, max_size=150))
def test_rules_hold_for_any_sequence_of_events(
    router_settings: api.Settings, seed: int, steps: list[tuple[str, int, int]]
) -> None:
    checker = RuleChecker(router_settings, seed)
    for step in steps:
        checker.step(*step)
        checker.check_totals()
    checker.advance(4 * SECOND_US)
    assert not checker.open_requests, "a request was never answered"
