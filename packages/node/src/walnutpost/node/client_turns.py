"""Turns for client connections that have more input than they may process at once."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from walnutpost.eventloop import Loop

MAX_ROUND_US = 5_000  # time per round of the event loop for all waiting connections together


class TurnTaker(Protocol):
    """A connection that waits for a turn."""

    def take_turn(self) -> None:
        """Process some input; the connection waits again if it has more."""


class ClientTurns:
    """Gives the waiting connections turns in order, for a limited time in each round of the event loop.

    Other clients and the workers' responses are handled in between, however much the waiting ones send.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._waiting: deque[TurnTaker] = deque()
        self._is_scheduled = False

    def __len__(self) -> int:
        """Return how many connections wait."""
        return len(self._waiting)

    def add(self, connection: TurnTaker) -> None:
        """Let the connection wait for a turn; it must not wait already."""
        self._waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        end_us = self._loop.now() + MAX_ROUND_US
        for _ in range(len(self._waiting)):
            self._loop.run_guarded("client", self._waiting.popleft().take_turn)
            if self._loop.now() >= end_us:
                break
        if self._waiting:
            self._schedule()
