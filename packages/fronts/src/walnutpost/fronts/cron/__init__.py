"""The cron front: schedules make deferred calls to the same core as clients."""

from walnutpost.fronts.cron.front import CronFront
from walnutpost.fronts.cron.pacer import FiringLimits

__all__ = ["CronFront", "FiringLimits"]
