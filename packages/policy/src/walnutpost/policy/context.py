"""Shared context of all decisions: settings, event time, random generator and the list of actions."""

from random import Random

from walnutpost import interface as api

PROBE_TIMEOUT_TICKS = 16  # a worker that leaves a probe unanswered for this long ...
PROBE_TIMEOUT_OBJECTIVES = 0.04  # ... and for this part of the latency objective is unresponsive
FAR_FUTURE_US = 1 << 62  # later than every event


class DecisionContext:
    """One front end's settings, the values derived from them, and the state of the event being handled.

    The same events in the same order draw the same random numbers, so adding, removing or reordering a draw
    changes the actions of a recorded sequence of events.
    """

    __slots__ = (
        "actions",
        "first_event_us",
        "keep_alive_us",
        "now_us",
        "objective_us",
        "other_front_ends_ratio",
        "probe_timeout_us",
        "random",
        "settings",
        "shutdown_us",
    )

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Derive the values from `settings` and seed the random generator."""
        self.settings = settings
        self.random = Random(seed)
        self.now_us = 0
        self.actions: list[api.Action] = []
        self.first_event_us = 0
        self.shutdown_us = FAR_FUTURE_US
        self.keep_alive_us = settings.keep_alive_us or settings.load_order_timeout_us or 1
        self.objective_us = max(1, min((c.latency_objective_us for c in settings.classes), default=1))
        # The part of all calls that other front ends send. This front end doesn't see them.
        self.other_front_ends_ratio = 1 - 1 / max(1, settings.front_ends)
        # A live worker answers a probe within this time, however busy it is: docs/design.md, "silence".
        self.probe_timeout_us = int(
            max(PROBE_TIMEOUT_TICKS * settings.tick_us, PROBE_TIMEOUT_OBJECTIVES * self.objective_us)
        )

    def begin_event(self, now_us: int) -> None:
        """Set the time of the event and start an empty list of actions."""
        self.now_us = now_us
        self.actions = []
