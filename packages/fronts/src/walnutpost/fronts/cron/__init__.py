"""The cron front: schedules fire deferred calls on the same core as clients do."""

from walnutpost.fronts.cron.front import CronFront
from walnutpost.fronts.cron.pacer import FiringLimits

__all__ = ["CronFront", "FiringLimits"]
