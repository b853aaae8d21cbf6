"""Timers of the policy, one per kind and subject; the caller is asked to arm only the earliest."""

from collections.abc import Iterator
from enum import IntEnum
from heapq import heapify, heappop, heappush

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext

MAX_CANCELLED = 1024  # entries of the heap that may be out of date, besides as many as are not
TIMER_TOKEN = 1  # always the same, because only one timer is armed at a time


class TimerKind(IntEnum):
    """Purpose of a timer. If several are due at the same time, the smallest value runs first."""

    REQUEST_DEADLINE = 1  # subject: request ID
    WATCH_ENDPOINTS = 2  # subject: 0
    REFRESH_COPIES = 3  # subject: function key
    RELEASE_QUEUED = 4  # subject: function key
    CHECK_WORKER = 5  # subject: worker ID


class Timers:
    """Heap of due times. For the same kind and subject, an earlier time replaces a later one."""

    __slots__ = ("_armed_us", "_context", "_due_us", "_min_delay_us", "queue")

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._min_delay_us = max(1, context.settings.tick_us)
        self._due_us: dict[tuple[TimerKind, int], int] = {}
        self._armed_us: int | None = None
        self.queue: list[tuple[int, TimerKind, int]] = []

    def schedule(self, when_us: float, kind: TimerKind, subject: int) -> None:
        """Schedule a timer for `when_us`, but at least one clock tick from now.

        A timer of the same kind and subject that is due sooner stays as it is.
        """
        due_us = int(max(when_us, self._context.now_us + self._min_delay_us))
        if due_us < self._due_us.get((kind, subject), due_us + 1):
            self._due_us[kind, subject] = due_us
            heappush(self.queue, (due_us, kind, subject))

    def cancel(self, kind: TimerKind, subject: int) -> None:
        """Cancel a timer, if there is one. Its entry leaves the heap later, when enough are out of date."""
        self._due_us.pop((kind, subject), None)
        if len(self.queue) > 2 * len(self._due_us) + MAX_CANCELLED:
            self.queue = [(due_us, *key) for key, due_us in self._due_us.items()]
            heapify(self.queue)

    def pop_due(self) -> Iterator[tuple[TimerKind, int]]:
        """Remove and yield the timers that are due; drop those that an earlier time has replaced."""
        now_us = self._context.now_us
        while self.queue and self.queue[0][0] <= now_us:
            due_us, kind, subject = heappop(self.queue)
            if self._due_us.get((kind, subject)) == due_us:
                del self._due_us[kind, subject]
                yield kind, subject

    def arm(self) -> None:
        """Ask the caller to arm the earliest timer, unless one that fires by then is already armed."""
        if not self.queue:
            return
        now_us, next_us = self._context.now_us, self.queue[0][0]
        if self._armed_us is None or self._armed_us <= now_us or next_us < self._armed_us:
            self._armed_us = next_us
            self._context.actions.append(api.SetTimer(next_us - now_us, TIMER_TOKEN))
