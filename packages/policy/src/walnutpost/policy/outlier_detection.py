"""Outlier detection: how slow, busy or error-prone each worker is compared with the fleet."""

import math

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.requests import Request
from walnutpost.policy.workers import SAMPLE_TIME_CONSTANT_KEEP_ALIVES, Worker

FLEET_SMOOTHING = 0.02  # weight of one answer in the moving averages over the fleet
OVERLOADED_SLOWDOWN = 1.5  # relative slowdown above which a worker is overloaded
PRIOR_SAMPLES = 1.0  # weight of the prior (relative slowdown 1), which damps the effect of few samples
MAX_LATENCY_RATIO = 10.0  # of an answer's latency to the expected latency
MAX_BUSY_SLOWDOWN = 20.0  # slowdown at fully busy cores, before division by the mean of the fleet
BUSY_SAMPLE_WEIGHT = 2.0  # latency samples that one busy-core report equals if all calls come from others
FULL_ANSWER_SLOWDOWN = 4.0  # relative slowdown that an answer "full" counts as
ERROR_SMOOTHING = 0.2  # weight of an error in a worker's error ratio; a good answer weighs half as much
FLEET_ERROR_SMOOTHING = ERROR_SMOOTHING / 4  # reacts fast: clients may send calls that fail everywhere
OUTLIER_ERROR_EXCESS = 0.25  # above the fleet's error ratio: the worker gets no unsafe calls
SUSPECTED_ERROR_EXCESS = 0.15  # above half the fleet's: overloaded, and the last choice for unsafe calls
OVERLOADED_IN_FLIGHT_RATIO = 1.3  # times the expected attempts in flight, and ...
OVERLOADED_IN_FLIGHT_MARGIN = 1  # ... this many more make a worker overloaded
INITIAL_LATENCY_OBJECTIVES = 0.25  # mean latency before the first answer


class OutlierDetection:
    """Slowdown and error samples of the workers, compared with the means of the fleet.

    A slowdown is the ratio of a latency to the expected latency, or its estimate from the busy cores that a
    worker reports. Divided by the mean of the fleet it is a relative slowdown. Samples decay with a time
    constant of half a keep-alive. Reasons and figures: docs/design.md, "Departures and additions".
    """

    __slots__ = (
        "_context",
        "_endpoints",
        "_error_time_constant_us",
        "_min_deviation",
        "fleet_busy_slowdown",
        "fleet_error_ratio",
        "fleet_latency_ratio",
        "mean_latency_us",
    )

    def __init__(self, context: DecisionContext, endpoints: Endpoints) -> None:
        self._context = context
        self._endpoints = endpoints
        self._error_time_constant_us = SAMPLE_TIME_CONSTANT_KEEP_ALIVES * context.keep_alive_us
        # Smaller deviations count as 1. The fewer front ends there are, the more of the load shows in this
        # one's own counts of attempts, and the larger a deviation has to be.
        self._min_deviation = (OVERLOADED_SLOWDOWN - 1) * (1 - context.other_front_ends_ratio)
        self.mean_latency_us = INITIAL_LATENCY_OBJECTIVES * context.objective_us
        self.fleet_latency_ratio = 1.0  # mean ratio of latency to expected latency
        self.fleet_busy_slowdown = 1.0  # mean slowdown from reports of busy cores
        self.fleet_error_ratio = 0.0  # errors among all answers

    def record_answer(self, worker: Worker, request: Request, event: api.AttemptEnded) -> None:
        """Record an answer: its load report, and whether it was a success, an error or "full"."""
        self._record_report(worker, event.report)
        if event.outcome is api.Outcome.FULL:
            self.record_slowdown_sample(worker, FULL_ANSWER_SLOWDOWN, 1)
        elif event.outcome in (api.Outcome.OK, api.Outcome.ERROR):
            self._record_error(worker, request, event.outcome is api.Outcome.ERROR)

    def record_latency(self, request: Request, worker: Worker, latency_us: int) -> None:
        """Record the latency of an answer from a warm copy, relative to the cost hint or else the mean."""
        self.mean_latency_us += FLEET_SMOOTHING * (latency_us - self.mean_latency_us)
        expected_us = max(1.0, float(request.cost_hint_us or self.mean_latency_us))
        latency_ratio = min(MAX_LATENCY_RATIO, latency_us / expected_us)
        self.fleet_latency_ratio += FLEET_SMOOTHING * (latency_ratio - self.fleet_latency_ratio)
        self.record_slowdown_sample(worker, latency_ratio / self.fleet_latency_ratio, 1)

    def record_slowdown_sample(self, worker: Worker, relative_slowdown: float, weight: float) -> None:
        """Add a slowdown sample; a `relative_slowdown` of 1 is the mean of the fleet."""
        worker.sample_weights.add(self._context.now_us, weight)
        worker.slowdown_samples.add(self._context.now_us, weight * relative_slowdown)

    def relative_slowdown(self, worker: Worker) -> float:
        """Return the worker's relative slowdown: the weighted mean of its samples, 1 for the fleet's mean."""
        now_us = self._context.now_us
        slowdowns = PRIOR_SAMPLES + worker.slowdown_samples.decayed_count(now_us)
        ratio = slowdowns / (PRIOR_SAMPLES + worker.sample_weights.decayed_count(now_us))
        return ratio if abs(ratio - 1) > self._min_deviation else 1.0

    def error_ratio(self, worker: Worker) -> float:
        """Return the ratio of errors among the worker's recent answers; it decays while there are none."""
        return worker.error_ratio * math.exp(
            (worker.error_ratio_us - self._context.now_us) / self._error_time_constant_us
        )

    def is_outlier(self, worker: Worker) -> bool:
        """Return whether the worker fails so much more often than the fleet that it gets no unsafe calls."""
        return self.error_ratio(worker) > OUTLIER_ERROR_EXCESS + self.fleet_error_ratio

    def is_suspected(self, worker: Worker) -> bool:
        """Return whether the worker fails often enough to be the last choice for unsafe calls.

        A worker that fails fast has few attempts in flight, so it would attract calls as the least busy one.
        """
        return self.error_ratio(worker) > SUSPECTED_ERROR_EXCESS + self.fleet_error_ratio / 2

    def is_overloaded(self, worker: Worker) -> bool:
        """Return whether the worker has too many of this front end's attempts, is slow, or fails often."""
        expected_in_flight = self._endpoints.total_in_flight * worker.weight / self._endpoints.total_weight
        return (
            worker.in_flight > OVERLOADED_IN_FLIGHT_RATIO * expected_in_flight + OVERLOADED_IN_FLIGHT_MARGIN
            or self.relative_slowdown(worker) > OVERLOADED_SLOWDOWN
            or self.is_suspected(worker)
        )

    def _record_report(self, worker: Worker, report: tuple[float, ...]) -> None:
        """Record the busy cores that a worker reports.

        They are the best sign of the calls that other front ends send, which this one doesn't see.
        """
        busy = dict(zip(self._context.settings.report_fields, report, strict=False)).get("busy")
        if busy is None:
            return
        slowdown = 1 / (1 + 1 / MAX_BUSY_SLOWDOWN - min(1.0, busy))
        self.fleet_busy_slowdown += FLEET_SMOOTHING * (slowdown - self.fleet_busy_slowdown)
        weight = BUSY_SAMPLE_WEIGHT * self._context.other_front_ends_ratio**3
        self.record_slowdown_sample(worker, slowdown / self.fleet_busy_slowdown, weight)

    def _record_error(self, worker: Worker, request: Request, is_error: bool) -> None:
        """Record whether the answer was an error.

        Later errors of the same request are ignored: it fails on every worker, so no worker is at fault.
        """
        if is_error and sum(a.outcome is api.Outcome.ERROR for a in request.attempts) > 1:
            return
        self.fleet_error_ratio += FLEET_ERROR_SMOOTHING * (is_error - self.fleet_error_ratio)
        smoothing = ERROR_SMOOTHING if is_error else ERROR_SMOOTHING / 2
        current = self.error_ratio(worker)
        worker.error_ratio = current + smoothing * (is_error - current)
        worker.error_ratio_us = self._context.now_us
