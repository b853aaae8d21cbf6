"""Decides whether a call may be written to a connection, or must wait until its worker proves reachable.

Bytes that were written can't be taken back for certain: if the worker is cut off, a proxy on the way, or the
worker's own kernel, may hold them and deliver them after the connection has been reset. A call is therefore
not written to a connection that may be dead: one on which the worker owes a response and has sent nothing for
a while. A query is sent ahead, and the call follows as soon as it is answered.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from walnutpost.eventloop import Loop
from walnutpost.interface import Outcome
from walnutpost.node import resp
from walnutpost.node.exchange import CommandKind, Exchange, constant_encoder

# A worker that is cut off within this time of its last bytes gets the calls that are written meanwhile.
LIVENESS_WINDOW_US = 10_000
# Far above a round trip, and short enough to leave a call time for another connection or worker.
LIVENESS_TIMEOUT_US = 80_000


class Liveness:
    """When the worker last showed on one connection that it is reachable, and the query that asks it to."""

    def __init__(self, loop: Loop, on_timeout: Callable[[Exchange], None]) -> None:
        """`on_timeout` is called with a check that has had no answer within LIVENESS_TIMEOUT_US."""
        self._loop = loop
        self._on_timeout = on_timeout
        self._alive_us = 0  # a time at which the worker was reachable, or earlier
        self.has_unanswered_bytes = False  # nothing has arrived since the last bytes were sent
        self._last_check_number = 0
        self._is_checking = False

    @property
    def is_stale(self) -> bool:
        """Whether the worker has not shown within LIVENESS_WINDOW_US that it is reachable."""
        return self._loop.now() - self._alive_us > LIVENESS_WINDOW_US

    def record_sent(self) -> None:
        """Record that bytes were passed to the kernel."""
        self.has_unanswered_bytes = True

    def record_received(self) -> None:
        """Record that the connection was established, or that bytes were read from it."""
        self.has_unanswered_bytes = False
        self._alive_us = max(self._alive_us, self._loop.arrived_after())

    def create_check(self, call: Exchange) -> Exchange | None:
        """Return a query to send ahead of the call; None if one is open, or if the settings allow none."""
        if self._is_checking or call.encode_delivery_check is None:
            return None
        self._is_checking = True
        self._last_check_number += 1
        id = b"l%d" % self._last_check_number
        encode = constant_encoder(call.encode_delivery_check(id))
        now_us = self._loop.now()
        check = Exchange(
            CommandKind.LIVENESS_CHECK, id, encode, now_us, LIVENESS_TIMEOUT_US, self._on_check_ended
        )
        check.timer = self._loop.call_later(LIVENESS_TIMEOUT_US, partial(self._expire, check))
        return check

    def _on_check_ended(self, check: Exchange, outcome: Outcome, response: resp.Response | None) -> None:
        self._is_checking = False
        if response is not None:
            self._alive_us = self._loop.now()  # the worker has received the check since it was sent

    def _expire(self, check: Exchange) -> None:
        self._on_timeout(check)
        check.finish(Outcome.TIMEOUT)
