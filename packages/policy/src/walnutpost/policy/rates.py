"""Exponentially decayed event counts and the two traffic rates that several decisions share."""

import math

CALL_RATE_KEEP_ALIVES = (
    2.0  # time constant of arrival counts, in keep-alives: a function's share of all calls
)
ANSWER_RATE_OBJECTIVES = 2.0  # time constant of the answer rate, in latency objectives


class DecayingRate:
    """A count of events in which an event's weight falls by e in every `time_constant_us`."""

    __slots__ = ("began_us", "count", "time_constant_us", "updated_us")

    def __init__(self, time_constant_us: float) -> None:
        """Start empty; `time_constant_us` is the age at which an event weighs 1/e."""
        self.time_constant_us = time_constant_us
        self.count = 0.0
        self.updated_us = 0
        self.began_us = 0

    def add(self, now_us: int, amount: float = 1.0) -> None:
        """Count `amount` events at `now_us`."""
        self.began_us = self.began_us or now_us
        self.count = self.decayed_count(now_us) + amount
        self.updated_us = now_us

    def decayed_count(self, now_us: int) -> float:
        """Return the sum of the events' weights."""
        return self.count * math.exp((self.updated_us - now_us) / self.time_constant_us)

    def per_us(self, now_us: int, age_us: int = 0) -> float:
        """Return the events per microsecond, corrected for a short life.

        A counter that began lately covers only `1 - e^(-age/time_constant)` of the weights, so the plain
        figure would be too small by this factor (the bias correction of Adam, Kingma & Ba 2015, section 3).
        `age_us` is the age of the observer where it is more than the time since the first event.
        """
        covered = 1 - math.exp(-max(age_us or now_us - self.began_us, 1) / self.time_constant_us)
        return self.decayed_count(now_us) / self.time_constant_us / covered


class TrafficRates:
    """How many requests arrive at this front end, and how many of them are answered well."""

    __slots__ = ("answers", "arrivals")

    def __init__(self, keep_alive_us: int, objective_us: int) -> None:
        self.arrivals = DecayingRate(CALL_RATE_KEEP_ALIVES * keep_alive_us)
        self.answers = DecayingRate(ANSWER_RATE_OBJECTIVES * objective_us)
