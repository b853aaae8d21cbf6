"""The state of one worker as this front end sees it."""

from collections import deque
from dataclasses import dataclass, field

from walnutpost import interface as api
from walnutpost.policy.rates import DecayingRate

SAMPLE_TIME_CONSTANT_KEEP_ALIVES = 0.5  # of a worker's slowdown and error samples


@dataclass(slots=True, eq=False)
class Worker:
    """State of one worker. Times are in microseconds; a `started_us` of 0 means an unknown start long ago."""

    info: api.Worker
    started_us: int  # from the list, or when it answered again after being unresponsive for long
    sample_weights: DecayingRate  # decayed sum of the weights of the samples
    slowdown_samples: DecayingRate  # decayed weighted sum; 1 is the mean of the fleet
    is_ready: bool = True
    weight: float = 1.0
    in_flight: int = 0  # attempts of this front end only
    last_heard_us: int = 0
    probe_sent_us: int | None = None  # first probe since its last answer
    unresponsive_since_us: int | None = None  # not None while it counts as unresponsive
    first_unanswered_order_us: int = 0  # first order or probe since its last answer; 0 if none
    unresolved_orders_us: list[int] = field(default_factory=list)  # end of orders that may still arrive
    error_ratio: float = 0.0  # moving average over its answers
    error_ratio_us: int = 0  # time of the last update of `error_ratio`
    recent_sends_us: deque[int] = field(default_factory=deque)  # times of sends that slow start counts


def new_worker(info: api.Worker, keep_alive_us: int) -> Worker:
    """Return the initial state of a worker."""
    time_constant_us = SAMPLE_TIME_CONSTANT_KEEP_ALIVES * keep_alive_us
    return Worker(info, info.started_at_us, DecayingRate(time_constant_us), DecayingRate(time_constant_us))
