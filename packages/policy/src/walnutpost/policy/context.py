"""What every decision may read: the settings, the time of the event, the random generator, the actions."""

from random import Random

from walnutpost import interface as api

PROBE_TIMEOUT_TICKS = 16  # an unanswered probe means silence after so many clock ticks ...
PROBE_TIMEOUT_OBJECTIVES = 0.04  # ... and no sooner than after this part of the latency objective
NEVER_US = 1 << 62  # later than every event


class DecisionContext:
    """One front end's settings with the figures derived from them, and the event that is being handled.

    The same events in the same order draw the same random numbers, so every draw belongs to the decision's
    recorded sequence.
    """

    __slots__ = (
        "actions",
        "began_us",
        "grace_us",
        "keep_alive_us",
        "now_us",
        "objective_us",
        "other_front_ends_ratio",
        "random",
        "settings",
        "shutdown_us",
    )

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Derive the figures; `seed` starts the random generator."""
        self.settings = settings
        self.random = Random(seed)
        self.now_us = 0
        self.actions: list[api.Action] = []
        self.began_us = 0
        self.shutdown_us = NEVER_US
        self.keep_alive_us = settings.keep_alive_us or settings.load_order_timeout_us or 1
        self.objective_us = max(1, min((c.latency_objective_us for c in settings.classes), default=1))
        # The part of all calls that other front ends send, unseen by this one.
        self.other_front_ends_ratio = 1 - 1 / max(1, settings.front_ends)
        # The time within which a live worker answers, however busy: docs/design.md, "silence".
        self.grace_us = int(
            max(PROBE_TIMEOUT_TICKS * settings.tick_us, PROBE_TIMEOUT_OBJECTIVES * self.objective_us)
        )

    def begin_event(self, now_us: int) -> None:
        """Set the time of the next event and start an empty list of actions."""
        self.now_us = now_us
        self.actions = []
