"""The timer front: cron schedules fire deferred calls on the same core."""

from walnutpost.fronts.cron.front import TimersFront

__all__ = ["TimersFront"]
