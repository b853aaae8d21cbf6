"""The timer front: cron schedules fire deferred calls on the same core."""

from walnutpost.fronts.timers.front import TimersFront

__all__ = ["TimersFront"]
