"""How slow, busy or faulty each worker is against the fleet's usual."""

import math

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.requests import Request
from walnutpost.policy.workers import SAMPLE_KEEP_ALIVES, Worker

FLEET_GAIN = 0.02  # weight of one answer in the fleet's means
SLOW_RATIO = 1.5  # times the fleet's usual strain from which a worker has no room
PRIOR_SAMPLES = 1.0  # samples' worth of trust in the usual: few samples weigh little
MAX_PACE_RATIO = 10.0  # of one answer's time to what was expected of it
MAX_BUSY_STRAIN = 20.0  # strain of entirely busy cores, before it is divided by the fleet's mean
BUSY_SAMPLE_WEIGHT = (
    2.0  # answers' times that one report of busy cores counts as, if all calls come from others
)
FULL_ANSWER_STRAIN = 4.0
ERROR_GAIN = 0.2  # weight of an error in a worker's error ratio; a good answer weighs half as much
FLEET_ERROR_GAIN = ERROR_GAIN / 4  # soon: clients may send what fails everywhere
OUTLIER_ERROR_EXCESS = 0.25  # error ratio beyond the fleet's: no unsafe call goes there
SUSPECTED_ERROR_EXCESS = 0.15  # beyond half the fleet's: overloaded, and second to others for unsafe calls
CROWDED_RATIO = 1.3  # times the mean attempts in flight, and ...
CROWDED_MARGIN = 1  # ... so many more, make a worker crowded
INITIAL_LATENCY_OBJECTIVES = 0.25  # the usual latency until answers show it


class OutlierDetection:
    """Load and error samples of the workers, compared with the means over the fleet.

    Samples fade over half a keep-alive. Reasons and figures: docs/design.md, "Departures and additions".
    """

    __slots__ = (
        "_context",
        "_endpoints",
        "_fade_us",
        "_min_deviation",
        "fleet_error_ratio",
        "fleet_pace",
        "fleet_strain",
        "usual_latency_us",
    )

    def __init__(self, context: DecisionContext, endpoints: Endpoints) -> None:
        self._context = context
        self._endpoints = endpoints
        self._fade_us = SAMPLE_KEEP_ALIVES * context.keep_alive_us
        # A lone front end's own counts show all there is, so smaller deviations are left out there.
        self._min_deviation = (SLOW_RATIO - 1) * (1 - context.other_front_ends_ratio)
        self.usual_latency_us = INITIAL_LATENCY_OBJECTIVES * context.objective_us
        self.fleet_pace = 1.0  # mean of answer times over their cost hints
        self.fleet_strain = 1.0  # mean strain from reports of busy cores
        self.fleet_error_ratio = 0.0  # among all answers

    def record_answer(self, worker: Worker, request: Request, event: api.AttemptEnded) -> None:
        """Take in a worker's answer: its report, whether it was full, whether it failed."""
        self._record_report(worker, event.report)
        if event.outcome is api.Outcome.FULL:
            self.record_sample(worker, FULL_ANSWER_STRAIN, 1)
        elif event.outcome in (api.Outcome.OK, api.Outcome.ERROR):
            self._record_error(worker, request, event.outcome is api.Outcome.ERROR)

    def record_latency(self, request: Request, worker: Worker, latency_us: int) -> None:
        """Take in the time of an answer from a warm copy, against the cost hint or the usual latency."""
        self.usual_latency_us += FLEET_GAIN * (latency_us - self.usual_latency_us)
        expected_us = max(1.0, float(request.cost_hint_us or self.usual_latency_us))
        pace = min(MAX_PACE_RATIO, latency_us / expected_us)
        self.fleet_pace += FLEET_GAIN * (pace - self.fleet_pace)
        self.record_sample(worker, pace / self.fleet_pace, 1)

    def record_sample(self, worker: Worker, strain: float, weight: float) -> None:
        """Add a load sample; a strain of 1 is the fleet's usual."""
        worker.sample_weights.add(self._context.now_us, weight)
        worker.sample_strains.add(self._context.now_us, weight * strain)

    def slowness(self, worker: Worker) -> float:
        """Return how slow or busy it is against the fleet's usual: the mean of its samples."""
        now_us = self._context.now_us
        strains = PRIOR_SAMPLES + worker.sample_strains.decayed_count(now_us)
        ratio = strains / (PRIOR_SAMPLES + worker.sample_weights.decayed_count(now_us))
        return ratio if abs(ratio - 1) > self._min_deviation else 1.0

    def error_ratio(self, worker: Worker) -> float:
        """Return the ratio of errors among its last answers; without new ones it fades."""
        return worker.error_ratio * math.exp((worker.error_ratio_us - self._context.now_us) / self._fade_us)

    def is_outlier(self, worker: Worker) -> bool:
        """Whether it fails so much more than the fleet that no unsafe call may go there."""
        return self.error_ratio(worker) > OUTLIER_ERROR_EXCESS + self.fleet_error_ratio

    def is_suspected(self, worker: Worker) -> bool:
        """Whether it fails enough to be second to others for unsafe calls.

        A worker that fails fast has little in flight, so the least-busy choice would feed it.
        """
        return self.error_ratio(worker) > SUSPECTED_ERROR_EXCESS + self.fleet_error_ratio / 2

    def is_overloaded(self, worker: Worker) -> bool:
        """Whether it is crowded with this front end's attempts, slow, or failing: it has no room."""
        usual_in_flight = self._endpoints.total_in_flight * worker.weight / self._endpoints.total_weight
        return (
            worker.in_flight > CROWDED_RATIO * usual_in_flight + CROWDED_MARGIN
            or self.slowness(worker) > SLOW_RATIO
            or self.is_suspected(worker)
        )

    def _record_report(self, worker: Worker, report: tuple[float, ...]) -> None:
        """Take in busy cores: the best sign of the calls that other front ends send, unseen by this one."""
        busy = dict(zip(self._context.settings.report_fields, report, strict=False)).get("busy")
        if busy is None:
            return
        strain = 1 / (1 + 1 / MAX_BUSY_STRAIN - min(1.0, busy))
        self.fleet_strain += FLEET_GAIN * (strain - self.fleet_strain)
        weight = BUSY_SAMPLE_WEIGHT * self._context.other_front_ends_ratio**3
        self.record_sample(worker, strain / self.fleet_strain, weight)

    def _record_error(self, worker: Worker, request: Request, is_error: bool) -> None:
        """Take in whether the answer was an error.

        A request's second error is left out: it fails everywhere, which is not the worker's fault.
        """
        if is_error and sum(a.outcome is api.Outcome.ERROR for a in request.attempts) > 1:
            return
        self.fleet_error_ratio += FLEET_ERROR_GAIN * (is_error - self.fleet_error_ratio)
        gain = ERROR_GAIN if is_error else ERROR_GAIN / 2
        current = self.error_ratio(worker)
        worker.error_ratio = current + gain * (is_error - current)
        worker.error_ratio_us = self._context.now_us
