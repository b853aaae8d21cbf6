"""Turns for client connections that have more input than they may process at once."""

from __future__ import annotations

import itertools
from heapq import heappop, heappush
from typing import NamedTuple, Protocol

from walnutpost.eventloop import Loop

MAX_ROUND_US = 5_000  # processor time per round of the event loop for all waiting connections together


class TurnTaker(Protocol):
    """A connection that waits for a turn."""

    def take_turn(self) -> None:
        """Process some input; the connection waits again if it has more."""


class _Waiting(NamedTuple):
    due_us: int
    number: int  # decides between equal times
    since_us: int
    connection: TurnTaker


class ClientTurns:
    """Gives the waiting connections turns, for a limited time in each round of the event loop.

    Other clients and the workers' responses are handled in between, however much the waiting ones send. The
    connection that is due first gets the first turn, also if it is due in the future: a connection that has
    used much time is due later, but not never.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._waiting: list[_Waiting] = []
        self._numbers = itertools.count()
        self._longest_wait_us = 0
        self._is_scheduled = False

    def __len__(self) -> int:
        """Return how many connections wait."""
        return len(self._waiting)

    def add(self, connection: TurnTaker, due_us: int) -> None:
        """Let the connection wait for a turn; it must not wait already."""
        waiting = _Waiting(due_us, next(self._numbers), self._loop.now(), connection)
        heappush(self._waiting, waiting)
        self._schedule()

    def take_longest_wait_us(self) -> int:
        """Return the longest wait for a turn since the last call."""
        longest_us, self._longest_wait_us = self._longest_wait_us, 0
        return longest_us

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        end_us = self._loop.processor_time() + MAX_ROUND_US
        for _ in range(len(self._waiting)):
            first = heappop(self._waiting)
            self._longest_wait_us = max(self._longest_wait_us, self._loop.now() - first.since_us)
            self._loop.run_guarded("client", first.connection.take_turn)
            if self._loop.processor_time() >= end_us:
                break
        if self._waiting:
            self._schedule()
