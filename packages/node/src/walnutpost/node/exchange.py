"""A command to a worker and its single outcome: an attempt of a call, a load order, a copy query or a probe.

This module doesn't depend on connections or their pool: the connection that carries an exchange sets itself
as the exchange's `connection`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from walnutpost.eventloop.timers import Timer
from walnutpost.interface import Outcome
from walnutpost.node import resp


class CommandKind(Enum):
    """The purpose of a command."""

    CALL = "call"
    LOAD_ORDER = "load_order"
    COPY_QUERY = "copy_query"  # a load order for 0 copies, which asks how many are loaded
    PROBE = "probe"
    DELIVERY_CHECK = "delivery_check"  # its response shows that the worker received what was sent before it
    LIVENESS_CHECK = "liveness_check"  # calls that wait behind it are sent once the worker answers


IDEMPOTENT_KINDS = frozenset((CommandKind.COPY_QUERY, CommandKind.PROBE))
CHECK_KINDS = frozenset((CommandKind.DELIVERY_CHECK, CommandKind.LIVENESS_CHECK))


class SendProgress(Enum):
    """How much of a command the kernel has accepted on its current connection.

    If the connection is reset before the command is SENT, the worker never receives the complete command.
    """

    WAITING = "waiting"
    PARTIAL = "partial"
    SENT = "sent"


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    def abandon(self, exchange: Exchange) -> None:
        """Detach the exchange, and send no further byte of it."""

    def require_delivery(self, call: Exchange) -> None:
        """Make sure that the worker has received the call, which was sent completely, or never will."""


class Exchange:
    """One command and its one outcome; anything that arrives after the outcome is ignored.

    The decision for a command is made when it is assigned to a connection, but its bytes may be sent much
    later: once the connection is established, or the send buffer has room. The connection therefore checks
    `may_send` just before the first byte, and only then calls `encode`, so that the command states the time
    that is left.
    """

    __slots__ = (
        "_is_awaited",
        "_on_end",
        "connection",
        "deadline_us",
        "decided_us",
        "deliver_by_us",
        "encode",
        "encode_delivery_check",
        "has_ended",
        "id",
        "is_abandoned",
        "is_cleared",
        "kind",
        "move_count",
        "needs_live_connection",
        "progress",
        "queued_us",
        "send_by_us",
        "sent_us",
        "sequence_number",
        "timer",
        "was_connection_silent",
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
        is_awaited: Callable[[], bool] | None = None,
        encode_delivery_check: Callable[[bytes], bytes] | None = None,
    ):
        """Create an exchange that waits to be sent.

        `encode` returns the bytes of the command for the time at which it is sent. `timeout_us` and
        `send_within_us` (0 means no such limit) count from `decided_us`. `is_awaited` returns whether a
        caller still waits for the outcome (None means always). `encode_delivery_check` returns a query with
        the given id that may be sent ahead of this command, or after it if it is abandoned (None means that
        none may).
        """
        self.kind = kind
        self.id = id
        self.encode = encode
        self.decided_us = decided_us
        self.deadline_us = decided_us + timeout_us
        self.send_by_us = decided_us + send_within_us if send_within_us else self.deadline_us
        self.deliver_by_us: int | None = None  # the worker must not receive it later
        self._on_end = on_end
        self._is_awaited = is_awaited
        self.encode_delivery_check = encode_delivery_check
        self.has_ended = False
        self.is_abandoned = False  # cancelled; the outcome will be reported shortly
        self.connection: ExchangeConnection | None = None
        self.timer: Timer | None = None
        self.progress = SendProgress.WAITING
        self.queued_us = decided_us  # when it was queued on its current connection
        self.sent_us = 0  # when the kernel accepted its last byte
        self.sequence_number = 0  # among the exchanges sent completely on its connection, from 1
        self.was_connection_silent = False  # nothing had arrived since it was sent, when this last mattered
        self.move_count = 0  # number of moves to other connections
        self.is_cleared = False  # its connection has shown life since it was queued there
        self.needs_live_connection = False  # another connection to its worker may be dead

    @property
    def can_move(self) -> bool:
        """Whether the exchange may move to another connection after its current one is reset.

        This is safe if the worker can't have received the complete command, or if the command is idempotent.
        A check is about its own connection only.
        """
        if self.kind in CHECK_KINDS:
            return False
        return self.progress is not SendProgress.SENT or self.kind in IDEMPOTENT_KINDS

    @property
    def is_over(self) -> bool:
        """Whether the exchange has ended or was abandoned, so that no further byte of it may be sent."""
        return self.has_ended or self.is_abandoned

    def was_sent_before(self, other: Exchange) -> bool:
        """Return whether this exchange was sent completely before the other one on the same connection."""
        return self.progress is SendProgress.SENT and self.sequence_number < other.sequence_number

    def may_send(self, now_us: int) -> bool:
        """Return whether the first byte may still be sent.

        Since the decision, the client may have left, the request may have been answered, or the time limit
        may have passed. A command that may not be sent any more counts as never run.
        """
        in_time = now_us <= self.send_by_us and now_us < self.deadline_us
        return in_time and not self.is_over and (self._is_awaited is None or self._is_awaited())

    def finish(self, outcome: Outcome, response: resp.Response | None = None) -> None:
        """Report the outcome, unless one was reported before."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.timer is not None:
            self.timer.cancel()
        self._on_end(self, outcome, response)


def constant_encoder(command: bytes) -> Callable[[int], bytes]:
    """Return an `encode` function for a command that doesn't depend on the time."""

    def encode(now_us: int) -> bytes:
        return command

    return encode
