"""A command to a worker that ends with exactly one outcome: a call's attempt, a load order, a query, a probe.

Knows neither connections nor their pool: the connection that carries an exchange registers as its `carrier`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from walnutpost.eventloop.timers import Timer
from walnutpost.interface import Outcome
from walnutpost.node import resp


class CommandKind(Enum):
    """What a command is for."""

    CALL = "call"
    LOAD_ORDER = "load_order"
    COPY_QUERY = "copy_query"  # an order for no copies: asks how many are loaded
    PROBE = "probe"


IDEMPOTENT_KINDS = frozenset((CommandKind.COPY_QUERY, CommandKind.PROBE))


class SendProgress(Enum):
    """How much of a command the kernel has taken on its present connection.

    One that is not SENT when that connection is reset never reaches the worker complete.
    """

    WAITING = "waiting"
    PARTIAL = "partial"
    SENT = "sent"


class Carrier(Protocol):
    """The connection that carries an exchange."""

    def abandon(self, exchange: Exchange) -> None:
        """Detach the exchange, and give the kernel no further byte of it."""


class Exchange:
    """One command and its one outcome; whatever comes after the outcome is ignored.

    A command is decided on when it is given to a connection, and may leave much later: once the connection
    has come up, or the send buffer has room. `may_begin` is asked where its first byte would leave, and
    `encode` then makes the command, so that it states the time that is left.
    """

    __slots__ = (
        "_is_wanted",
        "_on_end",
        "carrier",
        "deadline_us",
        "decided_us",
        "encode",
        "has_ended",
        "id",
        "is_abandoned",
        "kind",
        "move_count",
        "progress",
        "queued_us",
        "send_by_us",
        "sent_us",
        "timer",
    )

    def __init__(
        self,
        kind: CommandKind,
        id: bytes,
        encode: Callable[[int], bytes],
        decided_us: int,
        timeout_us: int,
        on_end: Callable[[Exchange, Outcome, resp.Response | None], None],
        send_within_us: int = 0,
        is_wanted: Callable[[], bool] | None = None,
    ):
        """Make an exchange that waits to be sent.

        `encode` makes the command out of the time at which it begins to leave; `timeout_us` and
        `send_within_us` (0: no such limit) count from `decided_us`; `is_wanted` says whether somebody still
        waits for the outcome (None: always).
        """
        self.kind = kind
        self.id = id
        self.encode = encode
        self.decided_us = decided_us
        self.deadline_us = decided_us + timeout_us
        self.send_by_us = decided_us + send_within_us if send_within_us else self.deadline_us
        self._on_end = on_end
        self._is_wanted = is_wanted
        self.has_ended = False
        self.is_abandoned = False  # its outcome is about to be reported
        self.carrier: Carrier | None = None
        self.timer: Timer | None = None
        self.progress = SendProgress.WAITING
        self.queued_us = decided_us  # since when it has been with its present connection
        self.sent_us = 0  # when the kernel took its last byte
        self.move_count = 0  # to other connections

    @property
    def can_move(self) -> bool:
        """Whether it may go out on another connection once its present one is reset.

        It may where it can't have arrived complete, or is idempotent.
        """
        return self.progress is not SendProgress.SENT or self.kind in IDEMPOTENT_KINDS

    @property
    def is_over(self) -> bool:
        """Whether it has ended or was abandoned: no byte of it may leave any more."""
        return self.has_ended or self.is_abandoned

    def may_begin(self, now_us: int) -> bool:
        """Guard against what has changed between decision and first byte.

        The client may have left, the answer may be out, the time of the decision may be over. What may not
        begin any more never ran.
        """
        in_time = now_us <= self.send_by_us and now_us < self.deadline_us
        return in_time and not self.is_over and (self._is_wanted is None or self._is_wanted())

    def finish(self, outcome: Outcome, response: resp.Response | None = None) -> None:
        """Report the outcome, unless one was reported before."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.timer is not None:
            self.timer.cancel()
        self._on_end(self, outcome, response)
