"""A command to a worker that is owed exactly one outcome: a call's attempt, an order, a question or a probe.

Knows neither connections nor their pool: whoever carries an exchange registers as its `carrier`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from walnutpost.eventloop.timers import Timer
from walnutpost.interface import Outcome
from walnutpost.node import resp


class Kind(Enum):
    """What a command is for."""

    CALL = "call"
    ORDER = "order"  # to load copies
    QUESTION = "question"  # an order for no copies: asks how many stand
    PROBE = "probe"


IDEMPOTENT = frozenset((Kind.QUESTION, Kind.PROBE))


class Progress(Enum):
    """How much of a command the kernel has been given on its present connection. One that is not SENT when
    that connection is aborted never reaches the worker whole."""

    WAITING = "waiting"
    PARTIAL = "partial"
    SENT = "sent"


class Carrier(Protocol):
    """The connection that an exchange is on."""

    def give_up(self, exchange: Exchange) -> None:
        """Owes the exchange nothing any more, and hands the kernel no further byte of it."""


class Exchange:
    """One command and its one outcome, whatever happens after that.

    A command is decided on when it is given to a connection, and may leave much later: once the connection
    has come up, or the send buffer has room. `may_begin` is asked where its first byte would leave, and
    `encode` then makes the command, so that it tells the time that is left.
    """

    __slots__ = (
        "_end",
        "_wanted",
        "abandoned",
        "began_us",
        "carrier",
        "deadline_us",
        "encode",
        "ended",
        "id",
        "kind",
        "moves",
        "progress",
        "queued_us",
        "send_by_us",
        "sent_us",
        "timer",
    )

    def __init__(
        self,
        kind: Kind,
        id: bytes,
        encode: Callable[[int], bytes],
        began_us: int,
        timeout_us: int,
        end: Callable[[Exchange, Outcome, resp.Answer | None], None],
        send_within_us: int = 0,
        wanted: Callable[[], bool] | None = None,
    ):
        """`encode` makes the command out of the time at which it begins to leave; `timeout_us` and
        `send_within_us` (0: no such limit) count from `began_us`, the decision; `wanted` says whether anybody
        still waits for the outcome (None: always)."""
        self.kind = kind
        self.id = id
        self.encode = encode
        self.began_us = began_us
        self.deadline_us = began_us + timeout_us
        self.send_by_us = began_us + send_within_us if send_within_us else self.deadline_us
        self._end = end
        self._wanted = wanted
        self.ended = False
        self.abandoned = False  # given up; its end is about to be reported
        self.carrier: Carrier | None = None
        self.timer: Timer | None = None
        self.progress = Progress.WAITING
        self.queued_us = began_us  # since when it has been with its present connection
        self.sent_us = 0  # when the kernel got its last byte
        self.moves = 0  # to other connections

    @property
    def repeatable(self) -> bool:
        """Whether it may go out on another connection once its present one is aborted: it can't have
        arrived whole, or only asks."""
        return self.progress is not Progress.SENT or self.kind in IDEMPOTENT

    @property
    def over(self) -> bool:
        """Whether it has ended, or was given up: no byte of it may leave any more."""
        return self.ended or self.abandoned

    def may_begin(self, now_us: int) -> bool:
        """Guards against what has changed between decision and first byte: the client has left, the answer
        is out, the time of the decision is over. What may not begin any more never ran."""
        in_time = now_us <= self.send_by_us and now_us < self.deadline_us
        return in_time and not self.over and (self._wanted is None or self._wanted())

    def finish(self, outcome: Outcome, answer: resp.Answer | None = None) -> None:
        """Reports the outcome, unless one was reported before."""
        if not self.ended:
            self.ended = True
            if self.timer is not None:
                self.timer.cancel()
            self._end(self, outcome, answer)
