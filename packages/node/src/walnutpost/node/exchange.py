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
    """Something that is owed an end: an attempt, an order or a probe. It gets one, whatever happens after.

    A command is decided on when it is given to a connection, and may leave much later: once the connection
    has come up, or the send buffer has room. `may_begin` is asked where its first byte would leave.
    """

    __slots__ = (
        "_end",
        "_wanted",
        "began_us",
        "command",
        "connection",
        "ended",
        "harmless",
        "id",
        "key",
        "latest_us",
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
        latest_us: int | None = None,
        wanted: Callable[[], bool] | None = None,
    ):
        """`latest_us`: the time until which its first byte may leave, as its decision stated; `wanted` says
        whether anybody still waits for its end. None for both: always."""
        self.id = id
        self.command = command
        self.began_us = began_us
        self._end = end
        self.latest_us = latest_us
        self._wanted = wanted
        self.ended = False
        self.key: tuple[int, int] | None = None  # call and attempt
        self.connection: WorkerConnection | None = None
        self.timer: Timer | None = None
        self.written = False  # whether the worker may have got any of it
        self.moves = 0
        self.harmless = False  # asks only, so that twice is as good as once

    def may_begin(self, now_us: int) -> bool:
        """Guards against what has changed between decision and first byte: the client has left, the answer
        is out, the time of the decision is over. What may not begin any more never ran."""
        return (self.latest_us is None or now_us <= self.latest_us) and (
            self._wanted is None or self._wanted()
        )

    def finish(self, outcome: Outcome, answer: resp.Answer | None = None) -> None:
        if not self.ended:
            self.ended = True
            if self.timer is not None:
                self.timer.cancel()
            self._end(self, outcome, answer)
