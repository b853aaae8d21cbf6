"""What is out at a worker and owed an end."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from walnutpost.interface import Outcome
from walnutpost.loop.timers import Timer
from walnutpost.node import resp

if TYPE_CHECKING:
    from walnutpost.node.connection import WorkerConnection


class Exchange:
    """Something that is owed an end: an attempt, an order or a probe. It gets one, whatever happens after."""

    __slots__ = (
        "_end",
        "began_us",
        "command",
        "connection",
        "ended",
        "harmless",
        "id",
        "key",
        "moves",
        "timer",
        "written",
    )

    def __init__(
        self,
        id: bytes,
        command: bytes,
        began_us: int,
        end: Callable[[Exchange, Outcome, resp.Answer | None], None],
    ):
        self.id = id
        self.command = command
        self.began_us = began_us
        self._end = end
        self.ended = False
        self.key: tuple[int, int] | None = None  # call and attempt
        self.connection: WorkerConnection | None = None
        self.timer: Timer | None = None
        self.written = False  # whether the worker may have got any of it
        self.moves = 0
        self.harmless = False  # asks only, so that twice is as good as once

    def finish(self, outcome: Outcome, answer: resp.Answer | None = None) -> None:
        if not self.ended:
            self.ended = True
            if self.timer is not None:
                self.timer.cancel()
            self._end(self, outcome, answer)
