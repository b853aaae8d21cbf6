"""Tracks the calls of one connection that have reached the worker by now, or must never reach it.

A call that the kernel has accepted may still be on its way when nobody waits for it any more, for example
while the network is interrupted, and would begin when it arrives. The connection must therefore be reset
soon, unless the worker is known to have received the call. The proof is a response to the call itself, or to
an exchange that was sent after it on the same connection, because the worker reads commands in order.
"""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.eventloop import Loop
from walnutpost.eventloop.timers import Timer
from walnutpost.interface import Outcome
from walnutpost.node import resp
from walnutpost.node.exchange import CommandKind, Exchange, constant_encoder

# A call must not begin later than 100 ms after its client has left; the rest is for the reset itself.
DELIVERY_TIMEOUT_US = 80_000


class DeliveryTracker:
    """The calls of one connection whose delivery must be proven, by sequence number."""

    def __init__(self, loop: Loop, on_timeout: Callable[[], None]) -> None:
        """`on_timeout` is called when the time for the delivery of a call is over without proof."""
        self._loop = loop
        self._on_timeout = on_timeout
        self._delivered_sequence_number = 0  # highest known; all exchanges up to it were delivered
        self._due_us: dict[int, int] = {}  # by sequence number
        self._timer: Timer | None = None
        self._last_check_number = 0

    def __bool__(self) -> bool:
        """Return whether a tracked call may still be on its way."""
        return bool(self._due_us)

    def is_delivered(self, exchange: Exchange) -> bool:
        """Return whether the worker is known to have received the exchange, which was sent completely."""
        return exchange.sequence_number <= self._delivered_sequence_number

    def add(self, exchange: Exchange) -> None:
        """Track a call that was sent completely; if it is tracked already, the earlier limit applies.

        Its delivery must be proven within `DELIVERY_TIMEOUT_US`, or by `exchange.deliver_by_us` if earlier.
        """
        number = exchange.sequence_number
        due_us = self._loop.now() + DELIVERY_TIMEOUT_US
        if exchange.deliver_by_us is not None:
            due_us = min(due_us, exchange.deliver_by_us)
        self._due_us[number] = min(due_us, self._due_us.get(number, due_us))
        self._schedule()

    def create_check(self, call: Exchange) -> Exchange | None:
        """Return a query that the worker answers once it has received the call; None if none is allowed."""
        if call.encode_delivery_check is None:
            return None
        self._last_check_number += 1
        id = b"d%d" % self._last_check_number
        encode = constant_encoder(call.encode_delivery_check(id))
        kind = CommandKind.DELIVERY_CHECK
        return Exchange(kind, id, encode, self._loop.now(), DELIVERY_TIMEOUT_US, _ignore_outcome)

    def record_delivery(self, sequence_number: int) -> None:
        """Record that the exchange with this sequence number, and so all before it, were delivered."""
        if sequence_number <= self._delivered_sequence_number:
            return
        self._delivered_sequence_number = sequence_number
        for delivered in [number for number in self._due_us if number <= sequence_number]:
            del self._due_us[delivered]

    def is_overdue(self) -> bool:
        """Return whether the time for the delivery of a call is over without proof."""
        return bool(self._due_us) and min(self._due_us.values()) <= self._loop.now()

    def close(self) -> None:
        """Stop tracking; the connection is closed."""
        self._due_us.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(min(self._due_us.values()), self._check)

    def _check(self) -> None:
        self._timer = None
        if self.is_overdue():
            self._on_timeout()
        if self._due_us:
            self._schedule()


def _ignore_outcome(check: Exchange, outcome: Outcome, response: resp.Response | None) -> None:
    """Do nothing: the connection records the response of each exchange as a proof of delivery."""
