"""Slow start (rule 4): what a worker may be sent while it is warming up."""

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.rates import TrafficRates
from walnutpost.policy.workers import Worker

SLOW_START_SAFETY_FACTOR = 0.62  # of the derived budget: workers differ, and so do the front ends' slices
# An irrational step (1 over the plastic number: Roberts 2018, quasirandom sequences) spreads turns evenly.
TURN_PHASE_STEP = 0.7548776662
TURN_WINDOWS = 2  # windows that a turn lasts


class SlowStart:
    """This front end's part of the load that a worker bears while it warms up.

    Each front end counts its own answers alone, so the parts add up without agreement (docs/design.md, "The
    cold budget").
    """

    __slots__ = ("_context", "_endpoints", "_guards", "_history_us", "_index", "_traffic")

    def __init__(self, context: DecisionContext, endpoints: Endpoints, traffic: TrafficRates) -> None:
        self._context = context
        self._endpoints = endpoints
        self._traffic = traffic
        self._guards = context.settings.guards
        self._index = context.settings.index
        # What was sent before may begin so much later, within the grace (`Send.begin_within_us`).
        self._history_us = self._guards.overload_window_us + context.grace_us

    def is_warming_up(self, worker: Worker) -> bool:
        """Whether its start is known and recent, or it came back from a long silence."""
        guards = self._guards
        warm_since_us = self._context.now_us - guards.warm_up_us
        return 0 < worker.started_us > warm_since_us and guards.overload_window_us > 0

    def has_budget(self, worker: Worker) -> bool:
        """Whether one more send fits what the worker bears within any window, by what warm ones serve.

        What the budget has beyond whole sends is a turn: one more send while it lasts. Turns begin at
        different times at each front end; rounded up instead, twenty parts of 1.1 were forty sends.
        """
        now_us, sends_us = self._context.now_us, worker.recent_sends_us
        forget_before_us = now_us - self._history_us
        while sends_us and sends_us[0] < forget_before_us:
            sends_us.popleft()
        if not self.is_warming_up(worker):
            return True
        phase = now_us / (TURN_WINDOWS * self._guards.overload_window_us)
        phase += (self._index + worker.info.id) * TURN_PHASE_STEP
        turn = phase // 1 * TURN_PHASE_STEP % 1
        return len(sends_us) + turn < self._budget(worker)

    def _budget(self, worker: Worker) -> float:
        """Mean answers per worker and window, times the overload factor and the part warmed up so far."""
        now_us, guards = self._context.now_us, self._guards
        age_of_worker_us = max(0, now_us - worker.started_us)
        capacity = guards.start_capacity + (1 - guards.start_capacity) * age_of_worker_us / guards.warm_up_us
        # No age counts for less than the window: what a predecessor sent within it is still at the worker.
        age_us = max(now_us - self._context.began_us, guards.overload_window_us)
        answers_per_us = self._traffic.answers.per_us(now_us, age_us) / (self._endpoints.ready_count or 1)
        return (
            SLOW_START_SAFETY_FACTOR
            * guards.overload_factor
            * capacity
            * answers_per_us
            * guards.overload_window_us
        )
