"""The state of one worker as this front end sees it."""

from collections import deque
from dataclasses import dataclass, field

from walnutpost import interface as api
from walnutpost.policy.rates import DecayingRate

SAMPLE_KEEP_ALIVES = 0.5  # time constant of a worker's load and error samples, in keep-alives


@dataclass(slots=True, eq=False)
class Worker:
    """What is known of a worker. Times are microseconds; `started_us` 0 is long ago."""

    info: api.Worker
    started_us: int  # start time from the list, or the return from a long silence
    sample_weights: DecayingRate  # of load samples: how many lately ...
    sample_strains: DecayingRate  # ... and the sum of their strain, 1 being the fleet's usual
    is_ready: bool = True
    weight: float = 1.0
    in_flight: int = 0  # this front end's attempts
    last_heard_us: int = 0
    probe_sent_us: int | None = None  # the probe that it has not answered
    silent_since_us: int | None = None  # set aside by failure detection
    first_unanswered_order_us: int = 0  # first order or probe since it last answered; 0 is none
    unresolved_orders_us: list[int] = field(default_factory=list)  # ended so, and may still arrive
    error_ratio: float = 0.0  # of its last answers
    error_ratio_us: int = 0  # when that was computed
    recent_sends_us: deque[int] = field(default_factory=deque)  # within the slow-start window


def new_worker(info: api.Worker, keep_alive_us: int) -> Worker:
    """Return the state of a worker that is seen for the first time."""
    time_constant_us = SAMPLE_KEEP_ALIVES * keep_alive_us
    return Worker(info, info.started_at_us, DecayingRate(time_constant_us), DecayingRate(time_constant_us))
