"""Drives the consensus core: one input after another, its effects in order, a wake-up at its deadline."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from walnutpost.consensus import Effect, Input, Raft, Tick
from walnutpost.eventloop import Loop
from walnutpost.eventloop.timers import Timer

MIN_TICK_DELAY_US = 1000


class ConsensusDriver:
    """Feeds `raft`. An input that arrives while another one is handled waits; out of service it is dropped.

    `execute` must not wait. While `is_in_service` returns False inputs are dropped, as lost messages.
    """

    def __init__(
        self,
        loop: Loop,
        raft: Raft,
        execute: Callable[[Effect], None],
        is_in_service: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._execute = execute
        self.is_in_service = is_in_service
        self._inbox: deque[Input] = deque()
        self._is_handling = False
        self._timer: Timer | None = None
        self.raft = raft

    def feed(self, event: Input) -> None:
        """Handle an input, or queue it if another one is being handled."""
        if not self.is_in_service():
            return
        self._inbox.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._inbox:
                for effect in self.raft.handle(self._loop.now(), self._inbox.popleft()):
                    self._execute(effect)
        finally:
            self._is_handling = False
        self._arm_timer()

    def enqueue(self, event: Input) -> None:
        """Queue an input that an effect leads to, to be handled after the present one."""
        self._inbox.append(event)

    def discard_queued(self) -> None:
        """Drop queued inputs and the wake-up."""
        self._inbox.clear()
        self.cancel_timer()

    def cancel_timer(self) -> None:
        """Drop the wake-up."""
        if self._timer is not None:
            self._timer.cancel()

    def _arm_timer(self) -> None:
        self.cancel_timer()
        delay_us = max(MIN_TICK_DELAY_US, self.raft.next_deadline_us - self._loop.now())
        self._timer = self._loop.call_later(delay_us, lambda: self.feed(Tick()))
