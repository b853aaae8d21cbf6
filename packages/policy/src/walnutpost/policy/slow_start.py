"""Slow start (rule 4): limit the attempts that a worker gets while it is warming up."""

from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.rates import TrafficRates
from walnutpost.policy.workers import Worker

SLOW_START_SAFETY_FACTOR = 0.62  # of the derived budget: workers and the front ends' traffic shares differ
# An irrational step (1 over the plastic number: Roberts 2018, quasirandom sequences) spreads the rounding
# thresholds evenly over time and over the front ends.
ROUNDING_PHASE_STEP = 0.7548776662
ROUNDING_THRESHOLD_WINDOWS = 2  # windows for which a rounding threshold stays in effect


class SlowStart:
    """This front end's share of the load that a worker can take while it warms up.

    Each front end derives its share from its own answers alone, so the shares add up without coordination
    (docs/design.md, "The cold budget").
    """

    __slots__ = ("_context", "_endpoints", "_guards", "_index", "_send_history_us", "_traffic")

    def __init__(self, context: DecisionContext, endpoints: Endpoints, traffic: TrafficRates) -> None:
        self._context = context
        self._endpoints = endpoints
        self._traffic = traffic
        self._guards = context.settings.guards
        self._index = context.settings.index
        # A send may begin on the worker up to `probe_timeout_us` later (`Send.begin_within_us`), so it counts
        # longer.
        self._send_history_us = self._guards.overload_window_us + context.probe_timeout_us

    def is_warming_up(self, worker: Worker) -> bool:
        """Return whether the worker started recently or was unresponsive for long until recently."""
        guards = self._guards
        warm_since_us = self._context.now_us - guards.warm_up_us
        return 0 < worker.started_us > warm_since_us and guards.overload_window_us > 0

    def has_budget(self, worker: Worker) -> bool:
        """Return whether the worker may get one more send within the window; always true once it is warm.

        The fractional part of the budget is the part of the time for which one more send is allowed: it is
        rounded by a threshold that changes with time and differs between front ends. If all rounded up,
        twenty front ends with a budget of 1.1 each would make forty sends.
        """
        now_us, sends_us = self._context.now_us, worker.recent_sends_us
        forget_before_us = now_us - self._send_history_us
        while sends_us and sends_us[0] < forget_before_us:
            sends_us.popleft()
        if not self.is_warming_up(worker):
            return True
        phase = now_us / (ROUNDING_THRESHOLD_WINDOWS * self._guards.overload_window_us)
        phase += (self._index + worker.info.id) * ROUNDING_PHASE_STEP
        rounding_threshold = phase // 1 * ROUNDING_PHASE_STEP % 1
        return len(sends_us) + rounding_threshold < self._budget(worker)

    def _budget(self, worker: Worker) -> float:
        """Return the sends allowed per window.

        That is what a worker answers per window on average, times the overload factor, the safety factor and
        the part of its full capacity that the worker has reached.
        """
        now_us, guards = self._context.now_us, self._guards
        worker_age_us = max(0, now_us - worker.started_us)
        capacity = guards.start_capacity + (1 - guards.start_capacity) * worker_age_us / guards.warm_up_us
        # The age counts as at least one window: sends of this front end's previous process within the window
        # may still be at the worker.
        age_us = max(now_us - self._context.first_event_us, guards.overload_window_us)
        answers_per_us = self._traffic.answers.per_us(now_us, age_us) / (self._endpoints.ready_count or 1)
        return (
            SLOW_START_SAFETY_FACTOR
            * guards.overload_factor
            * capacity
            * answers_per_us
            * guards.overload_window_us
        )
