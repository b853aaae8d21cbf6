"""Exponentially decaying event counts, and the two traffic rates that several decisions share."""

import math

CALL_RATE_KEEP_ALIVES = 2.0  # time constant of arrival counts, which give a function's share of all calls
ANSWER_RATE_OBJECTIVES = 2.0  # time constant of the answer rate


class DecayingRate:
    """An event count in which the weight of an event decays exponentially with its age."""

    __slots__ = ("count", "first_event_us", "time_constant_us", "updated_us")

    def __init__(self, time_constant_us: float) -> None:
        """Start with no events; `time_constant_us` is the age at which an event has the weight 1/e."""
        self.time_constant_us = time_constant_us
        self.count = 0.0
        self.updated_us = 0
        self.first_event_us = 0

    def add(self, now_us: int, amount: float = 1.0) -> None:
        """Count `amount` events at `now_us`."""
        self.first_event_us = self.first_event_us or now_us
        self.count = self.decayed_count(now_us) + amount
        self.updated_us = now_us

    def decayed_count(self, now_us: int) -> float:
        """Return the sum of the events' weights."""
        return self.count * math.exp((self.updated_us - now_us) / self.time_constant_us)

    def per_us(self, now_us: int, age_us: int = 0) -> float:
        """Return the events per microsecond, corrected for a short observation time.

        A counter of a given age covers only `1 - e^(-age/time_constant)` of the total weight, so the
        uncorrected rate would be too small by this factor (as in the bias correction of Adam, Kingma & Ba
        2015, section 3). `age_us` replaces the time since the first event if the observation began earlier.
        """
        covered = 1 - math.exp(-max(age_us or now_us - self.first_event_us, 1) / self.time_constant_us)
        return self.decayed_count(now_us) / self.time_constant_us / covered


class TrafficRates:
    """Rates of the requests that arrive at this front end and of the successful answers."""

    __slots__ = ("answers", "arrivals")

    def __init__(self, keep_alive_us: int, objective_us: int) -> None:
        self.arrivals = DecayingRate(CALL_RATE_KEEP_ALIVES * keep_alive_us)
        self.answers = DecayingRate(ANSWER_RATE_OBJECTIVES * objective_us)
